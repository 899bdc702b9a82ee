package edge

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/control"
	"greengageroute.example/greengageroute/upstream"
)

const (
	// A cold target may get coldAllowed requests in a second: 1.5 times 17, and 5.
	coldAllowed = 30.5
	coldTime    = 3 * time.Second
	// coldRowDelay is how late a row comes to an entry at most.
	coldRowDelay = time.Second
	// coldToldTime is the time after which all entries of a large fleet have been told of a
	// cold target.
	coldToldTime = 600 * time.Millisecond
	// coldMinServed is the share of the first tries that is served while a third of the heads
	// is away or cold.
	coldMinServed = 0.97
)

// coldLoad is a pattern of heads that become cold while the load goes on.
type coldLoad struct {
	name        string
	entries     int
	heads       int
	perSecond   float64 // requests at each entry
	cold        int     // number of heads
	byResponses bool    // without a restart, and only the responses say so
	restarts    bool    // some entries restart meanwhile
}

// newColdRoutes returns the routes of the tests, to engines of so many slots, whose cold targets
// take 17 requests a second.
func newColdRoutes(slots int) *greengageroute.RouteTable {
	engine := *testEngine
	engine.Slots = slots
	routes, pools := *testRoutes, maps.Clone(testRoutes.Pools)
	pools["llm"] = greengageroute.Pool{Name: "llm", Engine: &engine, ColdTime: coldTime, ColdPerSecond: 17}
	routes.Pools = pools
	return &routes
}

// mostInSecond returns the most requests that one of the given heads got in a second of a
// period, and how many they all got.
func (fleet *fleet) mostInSecond(heads []string, from, to time.Time) (most, sum int) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, head := range heads {
		var counted []time.Time
		for _, at := range fleet.arrivals[head] {
			if at.Before(from) || at.After(to) {
				continue
			}
			sum++
			counted = append(counted, at)
			for at.Sub(counted[0]) > time.Second {
				counted = counted[1:]
			}
			most = max(most, len(counted))
		}
	}
	return most, sum
}

// list has each running entry receive the rows within a time.
func (fleet *fleet) list(rows []greengageroute.Target, removed []string, within time.Duration) {
	random := rand.New(rand.NewPCG(3, 9))
	for _, entry := range fleet.all() {
		time.AfterFunc(time.Duration(random.Float64()*float64(within)), func() {
			if process, _ := entry.running(); process != nil {
				process.directory.Apply(rows, removed, time.Time{})
			}
		})
	}
}

// restart has cold heads leave the list, and come back under new epochs. It returns when they
// are back.
func (load coldLoad) restart(fleet *fleet, heads []string) (back time.Time) {
	fleet.list(nil, heads, 0)
	time.Sleep(1400 * time.Millisecond)
	back = time.Now()
	fleet.mu.Lock()
	for index := range fleet.targets[:load.cold] {
		target := &fleet.targets[index]
		target.StartUnixMilli, target.Membership.Epoch, target.ColdRemaining = 9, 2, coldTime
		target.Revision.Version, target.Statement = 2, 1
	}
	fleet.mu.Unlock()
	fleet.list(fleet.targets[:load.cold], nil, coldRowDelay)
	return back
}

func (load coldLoad) play(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	fleet := newFleetOf(ctx, load.entries, 3, load.heads, newColdRoutes(30))
	time.Sleep(3 * time.Second) // the entries hear from each other
	calling, stopCalling := context.WithCancel(ctx)
	callers := fleet.startCallers(calling, load.perSecond)
	time.Sleep(2 * time.Second)
	var heads []string
	for index := range load.cold {
		heads = append(heads, headName(index))
	}
	began := time.Now()
	from := began
	if load.byResponses {
		fleet.mu.Lock()
		for _, head := range heads {
			fleet.coldUntil[head] = began.Add(coldTime)
		}
		fleet.mu.Unlock()
		from = began.Add(coldToldTime)
	} else {
		from = load.restart(fleet, heads)
	}
	warm := from
	if load.byResponses {
		warm = began
	}
	warm = warm.Add(coldTime)
	if load.restarts {
		time.Sleep(time.Until(from.Add(time.Second)))
		for index, entry := range fleet.all() {
			if index%20 == 0 { // a relay among them
				entry.kill(false)
				time.AfterFunc(700*time.Millisecond, entry.start)
			}
		}
	}
	time.Sleep(time.Until(warm))
	most, sum := fleet.mostInSecond(heads, from, warm)
	time.Sleep(2 * time.Second)
	_, after := fleet.mostInSecond(heads, warm, time.Now())
	stopCalling()
	callers.Wait()
	all := names(fleet.all())
	count, share, outcomes := fleet.served(all, began, warm)
	t.Logf("%d heads cold: at most %d requests in a second, %.1f allowed, %.1f a second and head; %.1f when warm; %.3f of %d first tries served (%s)",
		load.cold, most, coldAllowed, float64(sum)/warm.Sub(from).Seconds()/float64(load.cold), float64(after)/2/float64(load.cold), share, count, outcomes)
	if float64(most) > coldAllowed {
		t.Errorf("a cold head got %d requests in a second, want at most %.1f", most, coldAllowed)
	}
	if share < coldMinServed && !load.restarts {
		t.Errorf("%.3f of the first tries were served, want %.2f; %s", share, coldMinServed, outcomes)
	}
	if after == 0 || sum == 0 {
		t.Errorf("the heads got %d requests while cold and %d when warm, want some", sum, after)
	}
	cancel()
	time.Sleep(time.Second) // lets the probes end
}

// brokenHeadEntry is an entry whose first head breaks its streams off after two events when it
// is lost. It implements the service's dependencies.
type brokenHeadEntry struct {
	calmDependencies
	routes  *greengageroute.RouteTable
	service *Service
	lost    chan struct{}

	mu       sync.Mutex
	arrivals map[string]int // by head
}

func (entry *brokenHeadEntry) Routes() *greengageroute.RouteTable { return entry.routes }
func (entry *brokenHeadEntry) LiveEntries() int                   { return 1 }

// Do implements Sender.
func (entry *brokenHeadEntry) Do(ctx context.Context, request greengageroute.Request, attempt greengageroute.Attempt) (*upstream.Answer, error) {
	entry.mu.Lock()
	entry.arrivals[attempt.Target.ID]++
	entry.mu.Unlock()
	answer := greengageroute.AnswerHead{ID: request.ID, Status: http.StatusOK}
	if attempt.Target.ID != headName(0) {
		last, _ := strconv.Atoi(attempt.LastEventID) // 0 for a new stream
		return &upstream.Answer{AnswerHead: answer, Body: strings.NewReader(events(last+1, 4))}, nil
	}
	reader, writer := io.Pipe()
	go func() {
		_, _ = io.WriteString(writer, events(1, 2)) // the reader's end shows in the test
		select {
		case <-entry.lost:
		case <-ctx.Done():
		}
		writer.CloseWithError(io.ErrUnexpectedEOF)
	}()
	return &upstream.Answer{AnswerHead: answer, Body: reader}, nil
}

// arrived returns how many requests a head got.
func (entry *brokenHeadEntry) arrived(head string) int {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return entry.arrivals[head]
}

// TestColdHeadsAreSpared guards against heads that crash as they come back cold and empty,
// and all entries send to them at once.
func TestColdHeadsAreSpared(t *testing.T) {
	tests := []coldLoad{
		{name: "a third of the heads restart", entries: 142, heads: 18, perSecond: 4.4, cold: 6},
		{name: "a third of the heads restart, and entries too", entries: 142, heads: 18, perSecond: 4.4, cold: 6, restarts: true},
		{name: "one of many heads restarts", entries: 142, heads: 72, perSecond: 4.4, cold: 1},
		{name: "small fleet", entries: 13, heads: 18, perSecond: 48, cold: 6},
		{name: "heads become cold without a restart", entries: 142, heads: 18, perSecond: 7, cold: 6, byResponses: true},
		{name: "heads become cold without a restart, small fleet", entries: 13, heads: 18, perSecond: 75, cold: 6, byResponses: true},
	}
	for _, load := range tests {
		t.Run(load.name, func(t *testing.T) {
			if raceDetector && load.entries > maxRaceEntries {
				t.Skip("too slow under the race detector; smaller fleets run the same code")
			}
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { load.play(t) })
		})
	}
}

// TestBegunStreamsSpareColdHeads guards against a cold head that gets all streams of a replica
// that was lost, since streams that have begun are resumed regardless of limits.
func TestBegunStreamsSpareColdHeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := control.NewDirectory(greengageroute.RuntimeClock{})
		routes := newColdRoutes(80)
		directory.SetRoutes(routes)
		head := func(index int, cold time.Duration) greengageroute.Target {
			return greengageroute.Target{
				ID: headName(index), Pool: "llm", State: greengageroute.TargetReady, ColdRemaining: cold,
				Membership: greengageroute.Membership{Replica: fmt.Sprint("r", index), Epoch: 1, Model: "m", State: greengageroute.MemberOpen},
			}
		}
		directory.Replace([]greengageroute.Target{head(0, 0)}, time.Time{})
		entry := &brokenHeadEntry{routes: routes, lost: make(chan struct{}), arrivals: map[string]int{}}
		entry.service = newTestService("entry", directory, entry)
		const streams = 90
		outcomes := make(chan bool, streams)
		for index := range streams {
			go func() {
				request := newRequest("POST", "/chat/x")
				request.Body = io.NopCloser(strings.NewReader(fmt.Sprint("body ", index)))
				recorder := httptest.NewRecorder()
				aborted := isAborted(func() { entry.service.ServeHTTP(recorder, request) })
				refused := recorder.Code == http.StatusServiceUnavailable // before it began
				outcomes <- !aborted && (refused || recorder.Body.String() == events(1, 4))
			}()
		}
		time.Sleep(100 * time.Millisecond)
		directory.Apply([]greengageroute.Target{head(1, coldTime)}, []string{headName(0)}, time.Time{})
		close(entry.lost)
		time.Sleep(time.Second)
		if got := entry.arrived(headName(1)); float64(got) > coldAllowed || got == 0 {
			t.Errorf("a cold head got %d of %d streams in a second, want some, at most %.1f", got, streams, coldAllowed)
		}
		whole := 0
		for range streams {
			if <-outcomes {
				whole++
			}
		}
		if whole < streams {
			t.Errorf("%d of %d streams were completed or refused before they began, want all; %v", whole, streams, entry.service.Counters)
		}
	})
}
