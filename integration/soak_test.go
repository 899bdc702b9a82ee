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
		*site
		random *rand.Rand
		began  time.Time

		mu       sync.Mutex
		asked    []soakRequest
		revoked  time.Time // when the second key was taken away; zero while it holds
		revokes  []span
		targets  []*standin.Target
		story    []string
		names    int
		answered int
	}

	// soakRequest is one request and how it ended.
	soakRequest struct {
		id, path, key string
		sent          time.Time
		status        int // 0: the connection broke
		body          string
	}

	// span is a time for which the second key was away.
	span struct{ from, to time.Time }
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

func (soak *soak) tell(format string, args ...any) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.story = append(soak.story, fmt.Sprintf("%6.2f s ", time.Since(soak.began).Seconds())+fmt.Sprintf(format, args...))
}

// caller asks one request after the other until the end.
func (soak *soak) caller(name int, random *rand.Rand, until time.Time) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 7 * time.Second}
	defer client.CloseIdleConnections()
	for number := 0; time.Now().Before(until); number++ {
		entry := soak.entries[random.IntN(len(soak.entries))]
		asked := soakRequest{
			id: fmt.Sprintf("s%d-%d", name, number), path: [...]string{"/chat/x", "/post/x", "/get/x"}[random.IntN(3)],
			key: [...]string{"key-1", "key-1", "key-2"}[random.IntN(3)], sent: time.Now(),
		}
		asked.status, asked.body = askEntry(client, entry, "POST", asked.path, asked.id, asked.key)
		soak.mu.Lock()
		soak.asked = append(soak.asked, asked)
		soak.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

// disturb does one random thing, and undoes it later if that is due.
func (soak *soak) disturb(later *sync.WaitGroup) {
	entry := soak.entries[soak.random.IntN(len(soak.entries))]
	target := soak.targets[soak.random.IntN(len(soak.targets))]
	length := time.Duration(200+soak.random.IntN(3000)) * time.Millisecond
	until := func(undo func()) {
		later.Go(func() {
			time.Sleep(length)
			undo()
		})
	}
	switch soak.random.IntN(16) {
	case 0:
		soak.tell("%s stands still for %s", entry.name, length)
		process := entry.cmd.Process
		_ = process.Signal(syscall.SIGSTOP)
		until(func() { _ = process.Signal(syscall.SIGCONT) })
	case 1, 2:
		signal := [...]syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[soak.random.IntN(2)]
		soak.tell("%s gets %s and starts again", entry.name, signal)
		soak.restart(entry, signal)
	case 3:
		faults := [...]standin.Faults{{Down: true}, {Hang: true}, {DropResponses: true}, {Delay: 250 * time.Millisecond}}[soak.random.IntN(4)]
		soak.tell("the store shows %+v for %s", faults, length)
		soak.store.SetFaults(faults)
		until(func() { soak.store.SetFaults(standin.Faults{}) })
	case 4:
		soak.tell("the store forgets its history")
		soak.store.DropHistory()
	case 5, 6:
		soak.tell("%s falls silent, another comes", target.ID)
		target.Hang(time.Second)
		soak.newcomer()
	case 7:
		soak.tell("%s is about to leave, another comes", target.ID)
		target.Drain()
		soak.newcomer()
	case 8:
		soak.tell("all entries are killed and start again")
		for _, one := range soak.entries {
			soak.restart(one, syscall.SIGKILL)
		}
	case 9:
		soak.tell("datagrams to %s are lost for %s", entry.name, length)
		entry.links.news.loss.Store([...]int64{30, 100}[soak.random.IntN(2)])
		until(func() { entry.links.news.loss.Store(0) })
	case 10, 11:
		soak.disturbLink("callers of "+entry.name, entry.links.callers, length, until)
	case 12:
		soak.disturbLink("the store and "+entry.name, entry.links.store, length, until)
	case 13:
		soak.disturbLink("other entries and "+entry.name, entry.links.peers, length, until)
	case 14:
		soak.proxies.mu.Lock()
		relay := soak.proxies.targets[target.ID]
		soak.proxies.mu.Unlock()
		soak.disturbLink("entries and "+target.ID, relay, length, until)
	default:
		soak.revoke()
	}
}

// disturbLink does one random thing to the connections that a proxy carries.
func (soak *soak) disturbLink(between string, relay *tcpRelay, length time.Duration, until func(undo func())) {
	hold := func(what string, holds *atomic.Bool) {
		soak.tell("%s: what goes %s is held for %s", between, what, length)
		holds.Store(true)
		until(func() { holds.Store(false) })
	}
	switch soak.random.IntN(6) {
	case 0:
		soak.tell("%s: connections are reset", between)
		relay.reset()
	case 1:
		soak.tell("%s: open connections fall silent for good", between)
		relay.silence()
	case 2:
		soak.tell("%s: connections are refused for %s", between, length)
		relay.setCut(true)
		until(func() { relay.setCut(false) })
	case 3:
		soak.tell("%s: each piece is late by 40 ms for %s", between, length)
		relay.delay.Store(int64(40 * time.Millisecond))
		until(func() { relay.delay.Store(0) })
	case 4:
		hold("there", &relay.holdsTo)
	default:
		hold("back", &relay.holdsBack)
	}
}

// restart ends an entry by the signal and starts it again.
func (soak *soak) restart(entry *siteEntry, signal syscall.Signal) {
	_ = entry.cmd.Process.Signal(syscall.SIGCONT)
	_ = entry.cmd.Process.Signal(signal)
	<-entry.done
	soak.launch(entry)
}

func (soak *soak) newcomer() {
	soak.names++
	soak.targets = append(soak.targets, soak.target(fmt.Sprintf("i-new-%d", soak.names), "llm", "d0"))
}

// revoke takes the second key away, or gives it back.
func (soak *soak) revoke() {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.names++
	if soak.revoked.IsZero() {
		soak.store.Put("op", "config", siteConfig(100+soak.names, "key-1"))
		soak.revoked = time.Now()
		return
	}
	soak.revokes = append(soak.revokes, span{soak.revoked, time.Now()})
	soak.revoked = time.Time{}
	soak.store.Put("op", "config", siteConfig(100+soak.names, "key-1", "key-2"))
}

func (soak *soak) runs(id string) int {
	runs := 0
	for _, target := range append(append([]*standin.Target{}, soak.targets...), soak.plain...) {
		runs += target.Runs(id)
	}
	return runs
}

// check goes through all requests once nothing is under way any more.
func (soak *soak) check() {
	spans := soak.revokes
	if !soak.revoked.IsZero() {
		spans = append(spans, span{soak.revoked, time.Now()})
	}
	for _, asked := range soak.asked {
		runs := soak.runs(asked.id)
		switch {
		case asked.path == "/post/x" && runs > 1:
			soak.t.Errorf("%+v ran %d times", asked, runs)
		case runs > 0 && asked.path == "/post/x" && (asked.status == 503 || asked.status == 429 || asked.status == 408 || asked.status == 421):
			soak.t.Errorf("%+v was said not to have run, and ran", asked)
		case asked.status == 404 || asked.status == 401 && asked.key == "key-1":
			soak.t.Errorf("%+v was denied", asked)
		case asked.status == 200 && asked.path == "/chat/x" && asked.body != wholeStream():
			soak.t.Errorf("%s came as %q", asked.id, asked.body)
		case asked.status == 200:
			soak.answered++
		}
		for _, span := range spans {
			if asked.key == "key-2" && runs > 0 && asked.sent.After(span.from.Add(revokeBound)) && asked.sent.Before(span.to) {
				soak.t.Errorf("%+v ran %s after its key was taken away", asked, asked.sent.Sub(span.from))
			}
		}
	}
	for _, broken := range soak.peers.Violations() {
		soak.t.Error(broken)
	}
}

// calm checks what has to hold once all faults are over: every entry is ready, a
// config is in force and a target that leaves gets nothing, within their bounds.
func (soak *soak) calm() {
	soak.ready()
	soak.chat(soak.entries[1]) // recovery
	time.Sleep(stableWindow)
	soak.revoke()
	leaving := soak.plain[0]
	leaving.Drain()
	time.Sleep(drainBound)
	keyed := http.StatusOK
	if !soak.revoked.IsZero() {
		keyed = http.StatusUnauthorized
	}
	for number := range 10 {
		for _, entry := range soak.entries {
			id := fmt.Sprintf("calm-%s-%d", entry.name, number)
			if status, body := soak.ask(entry, "POST", "/post/x", id, "key-1"); status != http.StatusOK || leaving.Runs(id) > 0 {
				soak.t.Errorf("%s: %d %q, %d runs at the target that left", id, status, body, leaving.Runs(id))
			}
		}
	}
	for _, entry := range soak.entries {
		if status, body := soak.ask(entry, "GET", "/get/x", soak.nextID(), "key-2"); status != keyed {
			soak.t.Errorf("%s answers the second key with %d %q, want %d", entry.name, status, body, keyed)
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
	for number := range uint64(*soakSeeds) {
		seeds = append(seeds, *soakFirst+number)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			if *soakParallel {
				t.Parallel()
			}
			site := emptySite(t)
			site.proxies = newProxies(site)
			site.populate(10, *soakEntries)
			soak := &soak{site: site, random: rand.New(rand.NewPCG(seed, 5)), began: time.Now()}
			soak.targets = soak.models
			soak.chat(soak.entries[0])
			until := time.Now().Add(*soakTime)
			var callers, later sync.WaitGroup
			for name := range 6 {
				random := rand.New(rand.NewPCG(seed, uint64(10+name)))
				callers.Go(func() { soak.caller(name, random, until) })
			}
			for time.Now().Before(until) {
				soak.disturb(&later)
				time.Sleep(time.Duration(100+soak.random.IntN(900)) * time.Millisecond)
			}
			later.Wait()
			callers.Wait()
			soak.store.SetFaults(standin.Faults{})
			soak.calm()
			soak.check()
			t.Logf("%d requests, %d answered, %d faults", len(soak.asked), soak.answered, len(soak.story))
			if soak.answered == 0 {
				t.Error("nothing was answered")
			}
			if t.Failed() {
				t.Logf("what happened:\n%s", strings.Join(soak.story, "\n"))
			}
		})
	}
}
