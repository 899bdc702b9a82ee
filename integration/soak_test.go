package integration

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"greengageroute.example/greengageroute/platform/standin"
)

var (
	soakSeeds    = flag.Int("soak-seeds", 1, "number of seeds to run")
	soakFirst    = flag.Uint64("soak-first", 1, "first seed")
	soakEntries  = flag.Int("soak-entries", 3, "entries of each deployment")
	soakParallel = flag.Bool("soak-parallel", true, "run seeds in parallel, at most -parallel at a time")
	soakTime     = flag.Duration("soak-time", 12*time.Second, "how long faults are injected for each seed")
)

type (
	// soak injects random faults into a deployment under load and checks what its
	// callers and targets see.
	soak struct {
		*deployment
		random    *rand.Rand
		startedAt time.Time

		mu          sync.Mutex
		requests    []soakRequest
		revokedAt   time.Time // of the second key; zero while the key is valid
		revocations []interval
		targets     []*standin.Target
		faultLog    []string
		lastNumber  int // of added targets and changed configs
		succeeded   int
		quietUntil  map[*standin.Target]time.Time // no other silence before
	}

	// soakRequest is a request and its result.
	soakRequest struct {
		id, path, key string
		sentAt        time.Time
		status        int // 0: the connection failed
		body          string
	}

	// interval is a time during which the second key was revoked.
	interval struct{ from, to time.Time }
)

// soakRegressions lists seeds that found a fault.
var soakRegressions = []uint64{
	// A planner opened a replica and repaired it a millisecond later, before the
	// target list showed its head as open, and members left an open replica. See
	// TestPendingOpenIsClosedFirst.
	141,
	// A head is cut off from the entries for 2.5 s, the planner gives it up after two
	// orders without response, and its members leave while it is open.
	701, 747,
	// A request that was sent with a revoked key is held on its way until the key is
	// valid again.
	746,
}

// Bounds that follow from the entries' settings, and for a config from its
// operator's.
const (
	// revokeBound is the time after which a revoked key must be refused.
	revokeBound = 5 * time.Second
	// drainBound is the time after which all entries must have learned that a target
	// drains or that the config has changed.
	drainBound = 2 * time.Second
	// stableWindow is the time after the last fault from which bounds hold again.
	stableWindow = 3 * time.Second
)

func (soak *soak) logFault(format string, args ...any) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.faultLog = append(soak.faultLog, fmt.Sprintf("%6.2f s ", time.Since(soak.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// runCaller sends one request after the other until the deadline.
func (soak *soak) runCaller(name int, random *rand.Rand, deadline time.Time) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 7 * time.Second}
	defer client.CloseIdleConnections()
	for sequence := 0; time.Now().Before(deadline); sequence++ {
		entry := soak.entries[random.IntN(len(soak.entries))]
		request := soakRequest{
			id: fmt.Sprintf("s%d-%d", name, sequence), path: [...]string{"/chat/x", "/post/x", "/get/x"}[random.IntN(3)],
			key: [...]string{"key-1", "key-1", "key-2"}[random.IntN(3)], sentAt: time.Now(),
		}
		request.status, request.body = sendRequest(client, entry, "POST", request.path, request.id, request.key)
		soak.mu.Lock()
		soak.requests = append(soak.requests, request)
		soak.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

// injectFault injects a random fault; faults with a duration are undone later.
func (soak *soak) injectFault(pendingUndos *sync.WaitGroup) {
	entry := soak.entries[soak.random.IntN(len(soak.entries))]
	target := soak.targets[soak.random.IntN(len(soak.targets))]
	duration := time.Duration(200+soak.random.IntN(3000)) * time.Millisecond
	undoLater := func(undo func()) {
		pendingUndos.Go(func() {
			time.Sleep(duration)
			undo()
		})
	}
	switch soak.random.IntN(16) {
	case 0:
		soak.logFault("%s is suspended for %s", entry.name, duration)
		process := entry.cmd.Process
		_ = process.Signal(syscall.SIGSTOP)
		undoLater(func() { _ = process.Signal(syscall.SIGCONT) })
	case 1, 2:
		signal := [...]syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[soak.random.IntN(2)]
		soak.logFault("%s gets signal %s and is restarted", entry.name, signal)
		soak.restart(entry, signal)
	case 3:
		faults := [...]standin.Faults{{Down: true}, {Hang: true}, {DropResponses: true}, {Delay: 250 * time.Millisecond}}[soak.random.IntN(4)]
		soak.logFault("the store has faults %+v for %s", faults, duration)
		soak.store.SetFaults(faults)
		undoLater(func() { soak.store.SetFaults(standin.Faults{}) })
	case 4:
		soak.logFault("the store drops its history")
		soak.store.DropHistory()
	case 5, 6:
		soak.logFault("%s hangs, another target is added", target.ID)
		target.Hang(time.Second)
		soak.addTarget()
	case 7:
		soak.logFault("%s drains, another target is added", target.ID)
		target.Drain()
		soak.addTarget()
	case 8:
		soak.logFault("all entries are killed and restarted")
		for _, other := range soak.entries {
			soak.restart(other, syscall.SIGKILL)
		}
	case 9:
		soak.logFault("datagrams to %s are lost for %s", entry.name, duration)
		entry.proxies.gossip.lossPercent.Store([...]int64{30, 100}[soak.random.IntN(2)])
		undoLater(func() { entry.proxies.gossip.lossPercent.Store(0) })
	case 10, 11:
		soak.injectLinkFault("callers of "+entry.name, entry.proxies.callers, duration, undoLater)
	case 12:
		soak.injectLinkFault("the store and "+entry.name, entry.proxies.store, duration, undoLater)
	case 13:
		soak.injectLinkFault("other entries and "+entry.name, entry.proxies.peers, duration, undoLater)
	case 14:
		soak.proxies.mu.Lock()
		proxy := soak.proxies.targets[target.ID]
		soak.proxies.mu.Unlock()
		soak.injectLinkFault("entries and "+target.ID, proxy, duration, undoLater)
	default:
		soak.toggleSecondKey()
	}
}

// injectLinkFault injects a random fault into the connections of a proxy.
func (soak *soak) injectLinkFault(between string, proxy *tcpProxy, duration time.Duration, undoLater func(undo func())) {
	hold := func(direction string, held *atomic.Bool) {
		soak.logFault("%s: data %s is held for %s", between, direction, duration)
		held.Store(true)
		undoLater(func() { held.Store(false) })
	}
	switch soak.random.IntN(6) {
	case 0:
		soak.logFault("%s: open connections are reset", between)
		proxy.reset()
	case 1:
		soak.logFault("%s: open connections stall forever", between)
		proxy.stall()
	case 2:
		soak.logFault("%s: connections are closed and refused for %s", between, duration)
		proxy.setBlocked(true)
		undoLater(func() { proxy.setBlocked(false) })
	case 3:
		soak.logFault("%s: each write to upstream is delayed by 40 ms for %s", between, duration)
		proxy.delay.Store(int64(40 * time.Millisecond))
		undoLater(func() { proxy.delay.Store(0) })
	case 4:
		hold("to upstream", &proxy.holdUpstream)
	default:
		hold("from upstream", &proxy.holdDownstream)
	}
}

// restoreStore restores the store from copies that are up to 4 s old until the deadline, on
// its own beside the other faults.
func (soak *soak) restoreStore(random *rand.Rand, deadline time.Time) {
	for time.Now().Before(deadline) {
		copied, copiedAt := soak.store.Copy(), time.Now()
		time.Sleep(time.Duration(500+random.IntN(3500)) * time.Millisecond)
		soak.logFault("the store is restored from a copy, %s old", time.Since(copiedAt))
		soak.store.Restore(copied, true)
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
	}
}

// troubleTargets has random targets answer in trouble, or say that they are leaving, until
// the deadline, on its own beside the other faults.
func (soak *soak) troubleTargets(random *rand.Rand, deadline time.Time) {
	targets := slices.Concat(soak.modelTargets, soak.plainTargets)
	for time.Now().Before(deadline) {
		target := targets[random.IntN(len(targets))]
		trouble := standin.Trouble{
			Kind: standin.EndUnframed + standin.TroubleKind(random.IntN(6)), Share: []float64{0.1, 0.5, 1}[random.IntN(3)],
			Backoff: time.Duration(100+random.IntN(3000)) * time.Millisecond,
		}
		duration := time.Duration(200+random.IntN(2000)) * time.Millisecond
		soak.logFault("%s: %s, a share of %.1f, for %s", target.ID, trouble.Kind, trouble.Share, duration)
		target.SetTrouble(trouble)
		time.Sleep(duration)
		target.SetTrouble(standin.Trouble{})
		if random.IntN(8) == 0 && target != soak.plainTargets[1] { // one plain target remains
			soak.logFault("%s says that it is leaving", target.ID)
			target.SayLeaving()
		}
	}
}

// holdRows has single rows of random targets arrive late at the store until the deadline, on its
// own beside the other faults.
func (soak *soak) holdRows(random *rand.Rand, deadline time.Time) {
	for time.Now().Before(deadline) {
		target, delay := soak.modelTargets[random.IntN(len(soak.modelTargets))], time.Duration(200+random.IntN(3000))*time.Millisecond
		soak.logFault("the next row of %s arrives %s late", target.ID, delay)
		target.HoldNextRow(delay)
		time.Sleep(time.Duration(100+random.IntN(900)) * time.Millisecond)
	}
}

// holdOrders has single orders to random targets carried out late until the deadline, on its own
// beside the other faults.
func (soak *soak) holdOrders(random *rand.Rand, deadline time.Time) {
	for time.Now().Before(deadline) {
		target, delay := soak.modelTargets[random.IntN(len(soak.modelTargets))], time.Duration(300+random.IntN(2700))*time.Millisecond
		soak.logFault("the next order to %s isn't answered, and carried out %s late", target.ID, delay)
		target.HoldNextOrder(delay)
		time.Sleep(time.Duration(100+random.IntN(1900)) * time.Millisecond)
	}
}

// restart stops an entry with the signal and starts it again.
func (soak *soak) restart(entry *entryProcess, signal syscall.Signal) {
	_ = entry.cmd.Process.Signal(syscall.SIGCONT)
	_ = entry.cmd.Process.Signal(signal)
	<-entry.exited
	soak.startProcess(entry)
}

func (soak *soak) addTarget() {
	soak.lastNumber++
	soak.targets = append(soak.targets, soak.startTarget(fmt.Sprintf("i-new-%d", soak.lastNumber), "llm", "d0"))
}

// toggleSecondKey revokes the second key, or restores it.
func (soak *soak) toggleSecondKey() {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.lastNumber++
	if soak.revokedAt.IsZero() {
		soak.store.Put("op", "config", platformConfig(100+soak.lastNumber, "key-1"))
		soak.revokedAt = time.Now()
		return
	}
	soak.revocations = append(soak.revocations, interval{soak.revokedAt, time.Now()})
	soak.revokedAt = time.Time{}
	soak.store.Put("op", "config", platformConfig(100+soak.lastNumber, "key-1", "key-2"))
}

// countRuns returns how often targets executed the request with the id.
func (soak *soak) countRuns(id string) int {
	runs := 0
	for _, target := range append(append([]*standin.Target{}, soak.targets...), soak.plainTargets...) {
		runs += target.Runs(id)
	}
	return runs
}

// checkRequests checks the results of all requests; none may be in flight.
func (soak *soak) checkRequests() {
	revocations := soak.revocations
	if !soak.revokedAt.IsZero() {
		revocations = append(revocations, interval{soak.revokedAt, time.Now()})
	}
	for _, request := range soak.requests {
		runs := soak.countRuns(request.id)
		switch {
		case request.path == "/post/x" && runs > 1:
			soak.t.Errorf("%+v ran %d times, want at most once", request, runs)
		case runs > 0 && request.path == "/post/x" && (request.status == 503 || request.status == 429 || request.status == 408 || request.status == 421):
			soak.t.Errorf("%+v ran, though its status says that it did not", request)
		case request.status == 404 || request.status == 401 && request.key == "key-1":
			soak.t.Errorf("%+v was refused, though its key and route are valid", request)
		case request.status == 200 && request.path == "/chat/x" && request.body != expectedStream():
			soak.t.Errorf("stream %s with status 200 has body %q, want all 30 events", request.id, request.body)
		case callerResult{request.path, request.id, request.status, request.body}.isCut():
			soak.t.Errorf("call %+v with status 200 has not the whole answer of a target", request)
		case request.status == 200:
			soak.succeeded++
		}
		for _, revocation := range revocations {
			if request.key == "key-2" && runs > 0 && request.sentAt.After(revocation.from.Add(revokeBound)) && request.sentAt.Before(revocation.to) {
				soak.t.Errorf("%+v ran, though it was sent %s after its key was revoked", request, request.sentAt.Sub(revocation.from))
			}
		}
	}
	for _, violation := range soak.peers.Violations() {
		soak.t.Error(violation)
	}
}

// checkRecovery checks the deployment after the last fault: every entry becomes
// ready, and within its bound a new config is in force and a draining target gets
// no requests.
//
// The callers' idle connections are closed first: one that a proxy has silenced
// stays silent after the last fault.
func (soak *soak) checkRecovery() {
	http.DefaultClient.CloseIdleConnections()
	soak.waitReady()
	soak.requireStream(soak.entries[1]) // waits for the end of recovery
	time.Sleep(stableWindow)
	soak.toggleSecondKey()
	draining := soak.plainTargets[0]
	draining.Drain()
	time.Sleep(drainBound)
	wantStatus := http.StatusOK
	if !soak.revokedAt.IsZero() {
		wantStatus = http.StatusUnauthorized
	}
	for attempt := range 10 {
		for _, entry := range soak.entries {
			id := fmt.Sprintf("calm-%s-%d", entry.name, attempt)
			if status, body := soak.send(entry, "POST", "/post/x", id, "key-1"); status != http.StatusOK || draining.Runs(id) > 0 {
				soak.t.Errorf("%s: got status %d, body %q and %d runs at the draining target, want status 200 and none", id, status, body, draining.Runs(id))
			}
		}
	}
	for _, entry := range soak.entries {
		if status, body := soak.send(entry, "GET", "/get/x", soak.nextAttemptID(), "key-2"); status != wantStatus {
			soak.t.Errorf("%s answers the second key with status %d, body %q, want status %d", entry.name, status, body, wantStatus)
		}
	}
}

// TestSoak injects random, overlapping faults into a deployment of processes and
// checks what callers and targets see. To run more seeds:
//
//	go test ./integration -run Soak -soak-seeds 50 -soak-time 20s -timeout 1h
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	seeds := append([]uint64{}, soakRegressions...)
	for offset := range uint64(*soakSeeds) {
		seeds = append(seeds, *soakFirst+offset)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			if *soakParallel {
				t.Parallel()
			}
			deployment := newEmptyDeployment(t)
			deployment.proxies = newProxySet(deployment)
			deployment.startTargetsAndEntries(10, *soakEntries)
			soak := &soak{deployment: deployment, random: rand.New(rand.NewPCG(seed, 5)), startedAt: time.Now()}
			soak.targets = soak.modelTargets
			soak.requireStream(soak.entries[0])
			deadline := time.Now().Add(*soakTime)
			var callers, pendingUndos sync.WaitGroup
			for name := range 6 {
				random := rand.New(rand.NewPCG(seed, uint64(10+name)))
				callers.Go(func() { soak.runCaller(name, random, deadline) })
			}
			if !slices.Contains(soakRegressions, seed) { // found without these faults
				callers.Go(func() { soak.silenceTargets(rand.New(rand.NewPCG(seed, 50)), deadline) })
				callers.Go(func() { soak.addOddRows(rand.New(rand.NewPCG(seed, 60)), deadline) })
				callers.Go(func() { soak.restoreStore(rand.New(rand.NewPCG(seed, 30)), deadline) })
				callers.Go(func() { soak.troubleTargets(rand.New(rand.NewPCG(seed, 40)), deadline) })
				callers.Go(func() { soak.holdRows(rand.New(rand.NewPCG(seed, 70)), deadline) })
				callers.Go(func() { soak.holdOrders(rand.New(rand.NewPCG(seed, 80)), deadline) })
			}
			for time.Now().Before(deadline) {
				soak.injectFault(&pendingUndos)
				time.Sleep(time.Duration(100+soak.random.IntN(900)) * time.Millisecond)
			}
			pendingUndos.Wait()
			callers.Wait()
			soak.store.SetFaults(standin.Faults{})
			soak.checkRecovery()
			soak.checkRequests()
			t.Logf("%d requests, %d answered, %d faults", len(soak.requests), soak.succeeded, len(soak.faultLog))
			if soak.succeeded == 0 {
				t.Error("no request succeeded")
			}
			if t.Failed() {
				t.Logf("injected faults:\n%s", strings.Join(soak.faultLog, "\n"))
			}
		})
	}
}
