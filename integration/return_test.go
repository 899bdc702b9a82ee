package integration

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"greengageroute.example/greengageroute/platform/standin"
)

var (
	returnKinds = []requestKind{{"/chat/x", "m"}, {"/chat/x", "n"}, {"/post/x", "m"}, {"/get/x", "m"}}

	returnSeeds   = flag.Int("return-seeds", 1, "seeds of each return of all machines")
	returnEntries = flag.Int("return-entries", 3, "entries of the deployments in which all machines return")
	returnCentres = flag.Int("return-centres", 1, "data centres of these entries")
	peerPort      = regexp.MustCompile(`internal_port_range=\d+`)
	portRange     = regexp.MustCompile(`internal_port_range=.*`)
)

const (
	// recoveryBound is the time after the return of the last machine from which a share of
	// recoveredShare of the requests has to be served.
	recoveryBound  = 15 * time.Second
	recoveredShare = 0.25
	mostServed     = 0.9

	// slowLoadTime is longer than recoveryBound: what the hosts have staged has to be used.
	slowLoadTime = 16 * time.Second
	powerOffTime = 2 * time.Second
	never        = 1000 * time.Second

	returnRequestInterval = 20 * time.Millisecond
	returnRequestTimeout  = 7 * time.Second
	// returnWatchTime is how long requests are sent on once they are served again, or after the
	// bound.
	returnWatchTime = 4 * time.Second
)

type (
	// span is when machines of a kind return after the loss of all: in random order from one
	// time to another.
	span struct{ from, to time.Duration }

	// returnTest is one way in which all machines return.
	returnTest struct {
		name             string
		entries, targets span
		lateTargets      []int // by index
		lateBy           time.Duration
		store            time.Duration // when the store is back; 0: it never was away
		fleet            int           // entries; 0: by flag
		targetsPerDomain int           // 0: 10
		moreDomains      int           // beside the first
		loadsPerSecond   int           // 0: 20
		loadTime         time.Duration // 0: slowLoadTime
		hostsAreEmpty    bool          // nothing is staged
		moves            bool          // half of the entries return at other addresses
		replaces         bool          // half of the entries never return; others do under other names
		portsHeld        time.Duration // by another process, from the entries' return on
		rowLapse         time.Duration // until the rows of targets lapse; 0: before any machine returns
		losesControl     bool          // the store has lost the rows of the planner
		any              bool          // times and targets are drawn
	}

	// requestKind is a kind of request.
	requestKind struct{ path, model string }

	// returnedRequest is a request while machines return.
	returnedRequest struct {
		kind   requestKind
		sentAt time.Time
		status int
	}

	// balancedEntry is an entry as a load balancer knows it.
	balancedEntry struct{ name, callerAddress, readyAddress string }

	// returnPlay sends requests to the entries that are ready, as a load balancer does.
	returnPlay struct {
		*deployment
		test   returnTest
		random *rand.Rand

		entered, ready atomic.Pointer[[]balancedEntry]

		mu       sync.Mutex
		requests []returnedRequest
	}
)

// at returns when one of several machines returns.
func (span span) at(index, count int) time.Duration {
	return span.from + (span.to-span.from)*time.Duration(index)/time.Duration(max(count-1, 1))
}

// TestReturnOfAllMachines guards against requests that aren't served within the time allowed
// after all machines went and returned, in any order. For figures:
//
//	go test ./integration -run ReturnOfAllMachines -return-seeds 3 -return-entries 20 -v
func TestReturnOfAllMachines(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const second = time.Second
	for _, test := range []returnTest{
		{name: "all at once"},
		{name: "store last", store: 6 * second},
		{name: "entries first", targets: span{5 * second, 5 * second}},
		{name: "targets first", entries: span{5 * second, 5 * second}},
		{name: "rows stand", rowLapse: 10 * second},
		{name: "rows stand, entries first", rowLapse: 10 * second, targets: span{5 * second, 5 * second}},
		{name: "rows stand, targets one by one", rowLapse: 4 * second, targets: span{0, 8 * second}},
		{name: "rows stand, store last", rowLapse: 20 * second, store: 6 * second, targets: span{0, 8 * second}},
		{name: "rows stand, a member and its spare last", rowLapse: 4 * second, lateTargets: []int{1, 9}, lateBy: 5 * second},
		{name: "targets one by one", targets: span{0, 8 * second}},
		{name: "times and targets drawn", any: true},
		{name: "entries one by one", entries: span{0, 8 * second}},
		{name: "all one by one, store last", entries: span{0, 6 * second}, targets: span{0, 6 * second}, store: 7 * second},
		{name: "half of the entries at other addresses", moves: true, store: 2 * second},
		{name: "half of the entries replaced", replaces: true, store: 2 * second},
		{name: "half of a fleet with relays replaced", fleet: 24, replaces: true},
		{name: "ports held", portsHeld: 3 * second},
		{name: "rows of the planner lost", losesControl: true, store: 2 * second},
		{name: "empty hosts", hostsAreEmpty: true, loadTime: 5 * second, entries: span{0, 3 * second}, targets: span{0, 3 * second}},
		{name: "27 targets one by one, few loads", targetsPerDomain: 27, loadsPerSecond: 4, targets: span{0, 6 * second}},
		{name: "54 targets, few loads", targetsPerDomain: 27, moreDomains: 1, loadsPerSecond: 4, targets: span{0, second}},
		{name: "27 targets, few loads, empty hosts", targetsPerDomain: 27, loadsPerSecond: 4, loadTime: 5 * second, hostsAreEmpty: true, targets: span{0, 3 * second}},
	} {
		for seed := range uint64(*returnSeeds) {
			t.Run(fmt.Sprintf("%s/seed %d", test.name, seed+1), func(t *testing.T) {
				t.Parallel()
				playReturn(t, test, rand.New(rand.NewPCG(seed+1, 50)))
			})
		}
	}
}

// drawn returns the test with times and targets that are drawn.
func (test returnTest) drawn(random *rand.Rand) returnTest {
	upTo := func(most time.Duration) time.Duration {
		if random.IntN(3) == 0 {
			return 0
		}
		return time.Duration(random.Int64N(int64(most)))
	}
	test.rowLapse, test.entries.to, test.targets.to = upTo(10*time.Second), upTo(6*time.Second), upTo(8*time.Second)
	if random.IntN(4) == 0 {
		test.store = upTo(6 * time.Second)
	}
	test.targetsPerDomain = 6 + random.IntN(8)
	test.moreDomains = random.IntN(2)
	test.lateTargets = random.Perm(test.targetsPerDomain * (1 + test.moreDomains))[:random.IntN(test.targetsPerDomain)]
	test.lateBy = test.targets.to + upTo(6*time.Second)
	return test
}

func playReturn(t *testing.T, test returnTest, random *rand.Rand) {
	if test.any {
		test = test.drawn(random)
		t.Logf("%+v", test)
	}
	play := &returnPlay{deployment: newEmptyDeployment(t), test: test, random: random}
	play.start(cmp.Or(test.targetsPerDomain, 10))
	addresses := play.balancedEntries()
	play.entered.Store(&addresses)
	play.ready.Store(&addresses)
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	callers.Go(func() { play.followReady(ctx) })
	callers.Go(func() { play.call(ctx) })
	play.waitFor("requests of all kinds are served", func() bool {
		_, served := play.timesToShare(time.Now().Add(-2*time.Second), mostServed)
		return served
	})
	play.powerOff()
	time.Sleep(powerOffTime)
	returnedAt := play.powerOn()
	for recovered := false; !recovered && time.Since(returnedAt) < recoveryBound; time.Sleep(pollInterval) {
		_, recovered = play.timesToShare(returnedAt, mostServed)
	}
	time.Sleep(returnWatchTime)
	cancel()
	callers.Wait()
	play.check(returnedAt)
}

// start starts the deployment. Until the machines go, targets load in no time.
func (play *returnPlay) start(targetsPerDomain int) {
	load, staged := cmp.Or(play.test.loadTime, slowLoadTime), 1600*time.Millisecond
	model := func(name string, size int) map[string]any {
		return map[string]any{"name": name, "size": size, "share": 1, "pace": 1, "load_time_s": load.Seconds(), "warm_s": staged.Seconds()}
	}
	config := platformConfig(3, "key-1")
	engine := config["services"].([]any)[1].(map[string]any)["engine"].(map[string]any)
	engine["models"] = []any{model("m", 3), model("n", 2)}
	loads := cmp.Or(play.test.loadsPerSecond, 20)
	engine["loads_per_s"], engine["loads_at_once"] = loads, loads
	play.store.Put("op", "config", config)
	for domain := range 1 + play.test.moreDomains {
		for i := range targetsPerDomain {
			play.modelTargets = append(play.modelTargets, play.startTarget(fmt.Sprintf("i-model-%d-%d", domain, i), "llm", fmt.Sprint("d", domain)))
		}
	}
	for i := range 2 {
		play.plainTargets = append(play.plainTargets, play.startTarget(fmt.Sprintf("i-plain-%d", i), "ledger", ""))
	}
	for i := range cmp.Or(play.test.fleet, *returnEntries) {
		play.entries = append(play.entries, play.startEntryIn(string(rune('a'+i%*returnCentres)), fmt.Sprint("entry-", i)))
	}
	play.waitReady()
	for _, kind := range returnKinds {
		play.waitFor("requests of all kinds are served", func() bool {
			return kind.send(http.DefaultClient, play.balancedEntries()[0], play.nextAttemptID()) == http.StatusOK
		})
	}
	play.peers.SetLoadTimes(load, staged)
}

// balancedEntries returns the entries as a load balancer knows them.
func (play *returnPlay) balancedEntries() (addresses []balancedEntry) {
	for _, entry := range play.entries {
		addresses = append(addresses, balancedEntry{entry.name, entry.callerAddress, entry.readyAddress})
	}
	return addresses
}

func (play *returnPlay) targets() []*standin.Target {
	return slices.Concat(play.modelTargets, play.plainTargets)
}

// powerOff ends all entries and targets, and takes the store away.
func (play *returnPlay) powerOff() {
	for _, entry := range play.entries {
		_ = entry.cmd.Process.Kill()
	}
	for _, target := range play.targets() {
		target.PowerOff(cmp.Or(play.test.rowLapse, standin.RowLapse))
	}
	if play.test.store > 0 {
		play.store.SetFaults(standin.Faults{Hang: true})
	}
	for _, entry := range play.entries {
		<-entry.exited
	}
}

// powerOn has all machines return, and returns when the last one was back.
func (play *returnPlay) powerOn() (returnedAt time.Time) {
	if play.test.losesControl {
		play.store.Remove("control", "planner")
		play.store.Remove("control", "heads-llm")
	}
	var returns sync.WaitGroup
	after := func(delay time.Duration, start func()) {
		returns.Go(func() {
			time.Sleep(delay)
			start()
		})
	}
	if play.test.store > 0 {
		after(play.test.store, func() { play.store.SetFaults(standin.Faults{}) })
	}
	targets := play.targets()
	for i, index := range play.random.Perm(len(targets)) {
		heartbeat := time.Duration(play.random.IntN(300)) * time.Millisecond // until its row is written
		delay := max(play.test.targets.at(i, len(targets)), play.test.store+heartbeat)
		if slices.Contains(play.test.lateTargets, index) {
			delay = play.test.lateBy
		}
		after(delay, func() { targets[index].PowerOn(!play.test.hostsAreEmpty) })
	}
	var names []string
	for _, entry := range play.entries {
		names = append(names, entry.name)
	}
	slices.Sort(names)
	for i, index := range play.random.Perm(len(play.entries)) {
		entry := play.entries[index]
		// Of equal VMs, the first by name are the relays.
		play.prepareEntry(entry, slices.Index(names, entry.name) < (len(names)+1)/2)
		delay := play.test.entries.at(i, len(play.entries))
		if play.test.portsHeld > 0 {
			_, peers, _ := strings.Cut(peerPort.FindString(readFile(play.t, entry.settingsPath)), "=")
			held := []string{entry.callerAddress, entry.readyAddress, "127.0.0.1:" + peers}
			play.holdPort(held[i%len(held)], delay+play.test.portsHeld)
		}
		after(delay, func() { play.startProcess(entry) })
	}
	addresses := play.balancedEntries()
	play.entered.Store(&addresses)
	returns.Wait()
	return time.Now()
}

// prepareEntry changes the settings of an entry that isn't running as its return demands.
func (play *returnPlay) prepareEntry(entry *entryProcess, moves bool) {
	settings := readFile(play.t, entry.settingsPath)
	replace := func(setting, value string) { settings = strings.Replace(settings, setting, value, 1) }
	replace("bootstrap=true", "bootstrap=false")
	if moves && play.test.replaces {
		replace("node_name="+entry.name, "node_name=late-"+entry.name)
		entry.name = "late-" + entry.name
	}
	if moves && (play.test.replaces || play.test.moves) {
		callers, ready, peers := freeTCP(play.t), freeTCP(play.t), freeUDP(play.t)
		replace("frontend="+entry.callerAddress, "frontend="+callers)
		replace("ready="+entry.readyAddress, "ready="+ready)
		entry.callerAddress, entry.readyAddress = callers, ready
		_, port, _ := strings.Cut(peers, ":")
		settings = portRange.ReplaceAllString(settings, "internal_port_range="+port+","+port)
	}
	writeFile(play.t, entry.settingsPath, settings)
}

// holdPort has another process hold a port for a time.
func (play *returnPlay) holdPort(address string, duration time.Duration) {
	holder, err := net.Listen("tcp4", address)
	if err != nil {
		play.t.Fatal(err)
	}
	time.AfterFunc(duration, func() { _ = holder.Close() })
}

// followReady asks the entries which of them are ready.
func (play *returnPlay) followReady(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 200 * time.Millisecond}
	for ctx.Err() == nil {
		var ready []balancedEntry
		for _, entry := range *play.entered.Load() {
			if response, err := client.Get("http://" + entry.readyAddress + "/ready"); err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready = append(ready, entry)
				}
			}
		}
		play.ready.Store(&ready)
		time.Sleep(pollInterval)
	}
}

// call sends requests of all kinds at a fixed rate, half of them on kept connections.
func (play *returnPlay) call(ctx context.Context) {
	kept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: returnRequestTimeout}
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: returnRequestTimeout}
	defer kept.CloseIdleConnections()
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(returnRequestInterval)
	defer ticker.Stop()
	for number := 0; ctx.Err() == nil; number++ {
		<-ticker.C
		client := []*http.Client{kept, fresh}[number/len(returnKinds)%2]
		running.Go(func() {
			request := returnedRequest{kind: returnKinds[number%len(returnKinds)], sentAt: time.Now()}
			if ready := *play.ready.Load(); len(ready) > 0 {
				request.status = request.kind.send(client, ready[rand.IntN(len(ready))], fmt.Sprint("r-", number))
			}
			play.mu.Lock()
			defer play.mu.Unlock()
			play.requests = append(play.requests, request)
		})
	}
}

// send returns the status of the whole response, or 0.
func (kind requestKind) send(client *http.Client, entry balancedEntry, id string) int {
	request, err := newCallerRequest(&entryProcess{callerAddress: entry.callerAddress}, "POST", kind.path, id, "key-1")
	if err != nil {
		return 0
	}
	request.Header.Set("X-Greengageroute-Model", kind.model)
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode == http.StatusOK && kind.path == "/chat/x" && string(body) != expectedStream() {
		return 0
	}
	return response.StatusCode
}

// timesToShare returns how long after a time a share was served of the requests of each kind that
// were sent within a second, or never, and whether all kinds were.
func (play *returnPlay) timesToShare(from time.Time, share float64) (times []time.Duration, met bool) {
	play.mu.Lock()
	requests := slices.Clone(play.requests)
	play.mu.Unlock()
	slices.SortFunc(requests, func(a, b returnedRequest) int { return a.sentAt.Compare(b.sentAt) })
	met = true
	for _, kind := range returnKinds {
		reached := never
		var window []returnedRequest
		for _, request := range requests {
			if request.kind != kind || request.sentAt.Before(from) {
				continue
			}
			window = append(window, request)
			if request.sentAt.Sub(window[0].sentAt) < time.Second {
				continue
			}
			if servedShare(window) >= share {
				reached = window[0].sentAt.Sub(from)
				break
			}
			window = window[1:]
		}
		times = append(times, reached.Round(10*time.Millisecond))
		met = met && reached < never
	}
	return times, met
}

func servedShare(requests []returnedRequest) float64 {
	served := 0
	for _, request := range requests {
		if request.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(len(requests), 1))
}

// startPhases returns the median and the longest time after its start at which an entry reached
// each phase of its last start.
func (play *returnPlay) startPhases() (lines []string) {
	times := map[string][]int{}
	for _, entry := range play.entries {
		last := map[string]int{}
		for line := range strings.Lines(readFile(play.t, entry.logPath)) {
			var phase struct {
				Phase string `json:"phase"`
				After int    `json:"after-ms"`
			}
			if json.Unmarshal([]byte(line), &phase) == nil && phase.Phase != "" {
				last[phase.Phase] = phase.After
			}
		}
		for phase, after := range last {
			times[phase] = append(times[phase], after)
		}
	}
	for phase, after := range times {
		slices.Sort(after)
		lines = append(lines, fmt.Sprintf("%s %d, %d (%d entries)", phase, after[len(after)/2], after[len(after)-1], len(after)))
	}
	slices.Sort(lines)
	return lines
}

// check checks that enough requests were served once the time allowed was over, and all along
// that targets were asked for nothing that they may not do.
func (play *returnPlay) check(returnedAt time.Time) {
	quarter, recovered := play.timesToShare(returnedAt, recoveredShare)
	most, _ := play.timesToShare(returnedAt, mostServed)
	play.t.Logf("after the return: a quarter served after %v, %.1f after %v (%v)", quarter, mostServed, most, returnKinds)
	play.t.Logf("phases of starts, median and longest in ms: %s", strings.Join(play.startPhases(), "; "))
	for i, kind := range returnKinds {
		late := slices.DeleteFunc(slices.Clone(play.requests), func(request returnedRequest) bool {
			return request.kind != kind || request.sentAt.Sub(returnedAt) < recoveryBound
		})
		if share := servedShare(late); !recovered && len(late) > 0 && share < recoveredShare || quarter[i] > recoveryBound {
			play.t.Errorf("%v: %.2f of the requests sent later than %s after the return were served, want %.2f", kind, share, recoveryBound, recoveredShare)
		}
	}
	for _, violation := range play.peers.Violations() {
		play.t.Error(violation)
	}
}
