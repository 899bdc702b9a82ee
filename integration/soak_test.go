package integration

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"greengageroute.example/greengageroute/platform/standin"
)

var (
	soakSeeds    = flag.Int("soak-seeds", 1, "seeds that the soak plays")
	soakFirst    = flag.Uint64("soak-first", 1, "the first of them")
	soakEntries  = flag.Int("soak-entries", 3, "entries of each site")
	soakParallel = flag.Bool("soak-parallel", false, "play seeds beside each other, as many as -parallel says")
	soakTime     = flag.Duration("soak-time", 12*time.Second, "how long each is played")
)

type (
	// soak plays random faults on a site and checks the promises meanwhile.
	soak struct {
		*deployment
		random    *rand.Rand
		startedAt time.Time

		mu          sync.Mutex
		requests    []soakRequest
		revokedAt   time.Time // when the second key was taken away; zero while it holds
		revocations []interval
		targets     []*standin.Target
		faultLog    []string
		lastNumber  int
		succeeded   int
	}

	// soakRequest is one request and how it ended.
	soakRequest struct {
		id, path, key string
		sentAt        time.Time
		status        int // 0: the connection broke
		body          string
	}

	// span is a time for which the second key was away.
	interval struct{ from, to time.Time }
)

// soakRegressions are seeds that once failed.
var soakRegressions = []uint64{
	// A planner opened a replica and repaired it a millisecond later, before the
	// list showed the head open: members left it. TestOpenOnItsWayIsClosedFirst.
	141,
}

// Bounds by the settings of the site, and of its operator for the config.
const (
	// revokeBound is when a key that was taken away has to have stopped working.
	revokeBound = 5 * time.Second
	// drainBound is when a target that leaves, or a config, has to be known to all.
	drainBound = 2 * time.Second
	// stableWindow is how long after all faults bounds hold again.
	stableWindow = 3 * time.Second
)

func (soak *soak) logFault(format string, args ...any) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.faultLog = append(soak.faultLog, fmt.Sprintf("%6.2f s ", time.Since(soak.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// caller asks one request after the other until the end.
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

// disturb does one random thing, and undoes it later if that is due.
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
		soak.logFault("%s stands still for %s", entry.name, duration)
		process := entry.cmd.Process
		_ = process.Signal(syscall.SIGSTOP)
		undoLater(func() { _ = process.Signal(syscall.SIGCONT) })
	case 1, 2:
		signal := [...]syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[soak.random.IntN(2)]
		soak.logFault("%s gets %s and starts again", entry.name, signal)
		soak.restart(entry, signal)
	case 3:
		faults := [...]standin.Faults{{Down: true}, {Hang: true}, {DropResponses: true}, {Delay: 250 * time.Millisecond}}[soak.random.IntN(4)]
		soak.logFault("the store shows %+v for %s", faults, duration)
		soak.store.SetFaults(faults)
		undoLater(func() { soak.store.SetFaults(standin.Faults{}) })
	case 4:
		soak.logFault("the store forgets its history")
		soak.store.DropHistory()
	case 5, 6:
		soak.logFault("%s falls silent, another comes", target.ID)
		target.Hang(time.Second)
		soak.addTarget()
	case 7:
		soak.logFault("%s is about to leave, another comes", target.ID)
		target.Drain()
		soak.addTarget()
	case 8:
		soak.logFault("all entries are killed and start again")
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

// disturbLink does one random thing to the connections that a proxy carries.
func (soak *soak) injectLinkFault(between string, proxy *tcpProxy, duration time.Duration, undoLater func(undo func())) {
	hold := func(direction string, held *atomic.Bool) {
		soak.logFault("%s: what goes %s is held for %s", between, direction, duration)
		held.Store(true)
		undoLater(func() { held.Store(false) })
	}
	switch soak.random.IntN(6) {
	case 0:
		soak.logFault("%s: connections are reset", between)
		proxy.reset()
	case 1:
		soak.logFault("%s: open connections fall silent for good", between)
		proxy.stall()
	case 2:
		soak.logFault("%s: connections are refused for %s", between, duration)
		proxy.setBlocked(true)
		undoLater(func() { proxy.setBlocked(false) })
	case 3:
		soak.logFault("%s: each piece is late by 40 ms for %s", between, duration)
		proxy.delay.Store(int64(40 * time.Millisecond))
		undoLater(func() { proxy.delay.Store(0) })
	case 4:
		hold("there", &proxy.holdUpstream)
	default:
		hold("back", &proxy.holdDownstream)
	}
}

// restart ends an entry by the signal and starts it again.
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

// revoke takes the second key away, or gives it back.
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

func (soak *soak) countRuns(id string) int {
	runs := 0
	for _, target := range append(append([]*standin.Target{}, soak.targets...), soak.plainTargets...) {
		runs += target.Runs(id)
	}
	return runs
}

// check goes through all requests once nothing is under way any more.
func (soak *soak) checkRequests() {
	revocations := soak.revocations
	if !soak.revokedAt.IsZero() {
		revocations = append(revocations, interval{soak.revokedAt, time.Now()})
	}
	for _, request := range soak.requests {
		runs := soak.countRuns(request.id)
		switch {
		case request.path == "/post/x" && runs > 1:
			soak.t.Errorf("%+v ran %d times", request, runs)
		case runs > 0 && request.path == "/post/x" && (request.status == 503 || request.status == 429 || request.status == 408 || request.status == 421):
			soak.t.Errorf("%+v was said not to have run, and ran", request)
		case request.status == 404 || request.status == 401 && request.key == "key-1":
			soak.t.Errorf("%+v was denied", request)
		case request.status == 200 && request.path == "/chat/x" && request.body != expectedStream():
			soak.t.Errorf("%s came as %q", request.id, request.body)
		case request.status == 200:
			soak.succeeded++
		}
		for _, revocation := range revocations {
			if request.key == "key-2" && runs > 0 && request.sentAt.After(revocation.from.Add(revokeBound)) && request.sentAt.Before(revocation.to) {
				soak.t.Errorf("%+v ran %s after its key was taken away", request, request.sentAt.Sub(revocation.from))
			}
		}
	}
	for _, violation := range soak.peers.Violations() {
		soak.t.Error(violation)
	}
}

// calm checks what has to hold once all faults are over: every entry is ready, a
// config is in force and a target that leaves gets nothing, within their bounds.
func (soak *soak) checkRecovery() {
	soak.waitReady()
	soak.requireStream(soak.entries[1]) // recovery
	time.Sleep(stableWindow)
	soak.toggleSecondKey()
	leaving := soak.plainTargets[0]
	leaving.Drain()
	time.Sleep(drainBound)
	wantStatus := http.StatusOK
	if !soak.revokedAt.IsZero() {
		wantStatus = http.StatusUnauthorized
	}
	for attempt := range 10 {
		for _, entry := range soak.entries {
			id := fmt.Sprintf("calm-%s-%d", entry.name, attempt)
			if status, body := soak.send(entry, "POST", "/post/x", id, "key-1"); status != http.StatusOK || leaving.Runs(id) > 0 {
				soak.t.Errorf("%s: %d %q, %d runs at the target that left", id, status, body, leaving.Runs(id))
			}
		}
	}
	for _, entry := range soak.entries {
		if status, body := soak.send(entry, "GET", "/get/x", soak.nextAttemptID(), "key-2"); status != wantStatus {
			soak.t.Errorf("%s answers the second key with %d %q, want %d", entry.name, status, body, wantStatus)
		}
	}
}

// TestSoak plays random faults in overlapping series against processes, and
// checks what callers and targets see. More seeds by hand:
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
				t.Error("nothing was answered")
			}
			if t.Failed() {
				t.Logf("what happened:\n%s", strings.Join(soak.faultLog, "\n"))
			}
		})
	}
}
