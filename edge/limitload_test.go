package edge

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
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
	limitFrom     = 2 * time.Second
	limitUntil    = 16 * time.Second
	limitLoadTime = 24 * time.Second
	// A target may get, within limitSpan, limitFactor times what its limit allows and
	// limitExtra requests more. Entries that have passed on an answer with the limit for
	// less than toldDelay don't count.
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	toldDelay   = 500 * time.Millisecond

	answerTime = 150 * time.Millisecond
)

type (
	// limitLoad is a pattern of requests to heads of which some name a limit for a time.
	limitLoad struct {
		name                    string
		entries, heads, limited int
		limit                   float64 // of each limited head, a second
		perSecond               float64
		minServed               float64       // share of the requests
		exchange                time.Duration // how old the counts of other entries get
		liftedAbove             float64       // mean of the requests a second that heads get when their limit has ended
	}

	// limitFleet is a fleet of entries that send to heads.
	limitFleet struct {
		load      limitLoad
		directory *control.Directory
		entries   []*limitEntry
		began     time.Time

		mu          sync.Mutex
		loads       map[string]int // requests in progress by head, as last exchanged
		limits      map[string]greengageroute.PeerLimit
		exchangedAt time.Time
		arrivals    map[string][]limitArrival // by head
		outcomes    map[int]int               // number of requests by status
		requests    int
	}

	limitArrival struct {
		at    time.Time
		entry *limitEntry
	}

	// limitEntry is an entry of the fleet. It implements the service's dependencies.
	limitEntry struct {
		calmDependencies
		fleet   *limitFleet
		service *Service
		toldAt  map[string]time.Time // by head; guarded by fleet.mu
		loads   map[string]int       // its part of the fleet's; guarded by fleet.mu
		sent    map[string]float64   // the same of the requests to limited heads
	}
)

func newLimitFleet(load limitLoad) *limitFleet {
	fleet := &limitFleet{
		load: load, directory: control.NewDirectory(greengageroute.RuntimeClock{}), began: time.Now(),
		arrivals: map[string][]limitArrival{}, outcomes: map[int]int{},
	}
	fleet.directory.SetRoutes(testRoutes)
	var targets []greengageroute.Target
	for i := range load.heads {
		targets = append(targets, greengageroute.Target{
			ID: headName(i), Pool: "llm", State: greengageroute.TargetReady,
			Membership: greengageroute.Membership{Replica: fmt.Sprint("r", i), Epoch: 1, Model: "m", State: greengageroute.MemberOpen},
		})
	}
	fleet.directory.Replace(targets, time.Time{})
	for i := range load.entries {
		entry := &limitEntry{fleet: fleet, toldAt: map[string]time.Time{}}
		entry.service = newTestService(fmt.Sprint("entry-", i), fleet.directory, entry)
		fleet.entries = append(fleet.entries, entry)
	}
	return fleet
}

func headName(index int) string { return fmt.Sprintf("llm-%03d", index) }

func (entry *limitEntry) LiveEntries() int { return len(entry.fleet.entries) }

// Loads returns the loads of the other entries.
func (entry *limitEntry) Loads() map[string]greengageroute.EngineLoad {
	entry.fleet.mu.Lock()
	defer entry.fleet.mu.Unlock()
	loads := make(map[string]greengageroute.EngineLoad, len(entry.fleet.loads))
	for head, running := range entry.fleet.loads {
		loads[head] = greengageroute.EngineLoad{Running: running - entry.loads[head]}
	}
	return loads
}

// Limits returns what the other entries know.
func (entry *limitEntry) Limits() map[string]greengageroute.PeerLimit {
	entry.fleet.mu.Lock()
	defer entry.fleet.mu.Unlock()
	elapsed := time.Since(entry.fleet.exchangedAt)
	limits := make(map[string]greengageroute.PeerLimit, len(entry.fleet.limits))
	for head, limit := range entry.fleet.limits {
		limit.Age += elapsed
		limit.Sent = greengageroute.NewSendCount(limit.Sent-entry.sent[head], entry.fleet.exchangedAt).At(time.Now())
		limits[head] = limit
	}
	return limits
}

// IsFullMesh reports whether the fleet is small.
func (entry *limitEntry) IsFullMesh() bool { return len(entry.fleet.entries) < 24 }

// exchange has the entries learn of each other's loads and limits.
func (fleet *limitFleet) exchange() {
	loads, limits := map[string]int{}, map[string]greengageroute.PeerLimit{}
	for _, entry := range fleet.entries {
		own := map[string]int{}
		for _, load := range entry.service.Tracker().Loads() {
			own[load.Target] = load.Running
			loads[load.Target] += load.Running
		}
		sent := map[string]float64{}
		for _, limit := range entry.service.Tracker().Limits() {
			known, found := limits[limit.Target]
			if age := time.Duration(limit.AgeMillis) * time.Millisecond; !found || age < known.Age {
				known.PerSecond, known.Age = float64(limit.MilliPerSecond)/1000, age
			}
			sent[limit.Target] = float64(limit.CentiSent) / 100
			known.Sent += sent[limit.Target]
			limits[limit.Target] = known
		}
		fleet.mu.Lock()
		entry.loads, entry.sent = own, sent
		fleet.mu.Unlock()
	}
	fleet.mu.Lock()
	fleet.loads, fleet.limits, fleet.exchangedAt = loads, limits, time.Now()
	fleet.mu.Unlock()
}

// Do implements Sender.
func (entry *limitEntry) Do(_ context.Context, request greengageroute.Request, attempt greengageroute.Attempt) (*upstream.Answer, error) {
	fleet, head := entry.fleet, attempt.Target.ID
	fleet.mu.Lock()
	fleet.arrivals[head] = append(fleet.arrivals[head], limitArrival{time.Now(), entry})
	fleet.mu.Unlock()
	time.Sleep(answerTime)
	limit := fleet.limitOf(head)
	if limit > 0 {
		fleet.mu.Lock()
		if _, told := entry.toldAt[head]; !told {
			entry.toldAt[head] = time.Now()
		}
		fleet.mu.Unlock()
	}
	head200 := greengageroute.AnswerHead{ID: request.ID, Status: http.StatusOK, LimitPerSecond: limit}
	return &upstream.Answer{AnswerHead: head200, Body: strings.NewReader(events(1, 3))}, nil
}

// limitOf returns the limit that a head names now, 0 for none.
func (fleet *limitFleet) limitOf(head string) float64 {
	since := time.Since(fleet.began)
	if head >= headName(fleet.load.limited) || since < limitFrom || since >= limitUntil {
		return 0
	}
	return fleet.load.limit
}

func (fleet *limitFleet) play() {
	random := rand.New(rand.NewPCG(1, 2))
	for time.Since(fleet.began) < limitLoadTime {
		time.Sleep(time.Duration(random.ExpFloat64() / fleet.load.perSecond * float64(time.Second)))
		if time.Since(fleet.exchangedAt) >= fleet.load.exchange {
			fleet.exchange()
		}
		entry := fleet.entries[random.IntN(len(fleet.entries))]
		fleet.requests++
		request := newRequest(http.MethodPost, "/chat/x")
		request.Body = io.NopCloser(strings.NewReader(fmt.Sprint("body ", fleet.requests)))
		go func() {
			recorder := httptest.NewRecorder()
			entry.service.ServeHTTP(recorder, request)
			fleet.mu.Lock()
			defer fleet.mu.Unlock()
			fleet.outcomes[recorder.Code]++
		}()
	}
	time.Sleep(10 * time.Second) // lets the requests end
	synctest.Wait()
}

// mostInSpan returns the most requests that a head got within limitSpan, from the time on
// from which its limit binds, from entries that knew the limit.
func (fleet *limitFleet) mostInSpan(head string) int {
	from := fleet.began.Add(limitFrom + stableWindow)
	until := fleet.began.Add(limitUntil)
	var counted []time.Time
	most := 0
	for _, arrival := range fleet.arrivals[head] {
		toldAt, told := arrival.entry.toldAt[head]
		if !told || arrival.at.Before(toldAt.Add(toldDelay)) || arrival.at.Before(from) || arrival.at.After(until) {
			continue
		}
		counted = append(counted, arrival.at)
		for arrival.at.Sub(counted[0]) > limitSpan {
			counted = counted[1:]
		}
		most = max(most, len(counted))
	}
	return most
}

// rateAfterLimit returns how many requests a second a head gets at the end.
func (fleet *limitFleet) rateAfterLimit(head string) float64 {
	from, count := fleet.began.Add(limitUntil+limitSpan), 0
	for _, arrival := range fleet.arrivals[head] {
		if arrival.at.After(from) {
			count++
		}
	}
	return float64(count) / (limitLoadTime - limitUntil - limitSpan).Seconds()
}

// TestLimitsOfTargetsHoldForAllEntriesTogether guards against targets in need that get
// far more requests than the limit that they name in their answers.
func TestLimitsOfTargetsHoldForAllEntriesTogether(t *testing.T) {
	tests := []limitLoad{
		{"a third of the heads", 13, 18, 6, 4, 150, 0.99, 60 * time.Millisecond, 5},
		{"most heads", 13, 18, 13, 6, 150, 0.99, 60 * time.Millisecond, 6.5},
		{"all heads, less than what is asked for", 13, 12, 12, 3, 80, 0.5, 60 * time.Millisecond, 4},
		{"limits below one a second", 13, 12, 4, 0.3, 60, 0.99, 60 * time.Millisecond, 1},
		{"large fleet", 100, 80, 40, 3, 500, 0.99, 60 * time.Millisecond, 4},
		{"large fleet, all heads, counts of half a second ago", 100, 40, 40, 2.5, 400, 0.15, 500 * time.Millisecond, 4},
	}
	for _, load := range tests {
		t.Run(load.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newLimitFleet(load)
				fleet.play()
				allowed, most, after := load.limit*limitSpan.Seconds()*limitFactor+limitExtra, 0, 0.0
				for i := range load.limited {
					most = max(most, fleet.mostInSpan(headName(i)))
					after += fleet.rateAfterLimit(headName(i)) / float64(load.limited)
				}
				served := float64(fleet.outcomes[http.StatusOK]) / float64(fleet.requests)
				t.Logf("at most %d requests in %s, %.0f allowed; %.3f served; %.1f a second and head after the limit", most, limitSpan, allowed, served, after)
				if float64(most) > allowed {
					t.Errorf("a target with a limit of %.1f a second got %d requests in %s, want at most %.0f", load.limit, most, limitSpan, allowed)
				}
				if served < load.minServed {
					t.Errorf("%.3f of the requests were served, want %.2f", served, load.minServed)
				}
				if after < load.liftedAbove {
					t.Errorf("targets got %.1f requests a second after their limit, want %.1f", after, load.liftedAbove)
				}
			})
		})
	}
}

// TestBegunStreamsIgnoreLimits guards against an answer that is broken off because all
// remaining heads are at their limits.
func TestBegunStreamsIgnoreLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(script{aborts(events(1, 2)), answers(200, events(3, 4))})
		for _, id := range []string{"llm-b", "llm-c"} {
			fixture.service.tracker.RecordLimit(id, 0.5, time.Now())
			fixture.service.tracker.Begin(id, 0)()
		}
		recorder, aborted := fixture.serve(newRequest("POST", "/chat/x"))
		if aborted || recorder.Body.String() != events(1, 4) {
			t.Errorf("got body %q, aborted: %t; want all four events", recorder.Body, aborted)
		}
		time.Sleep(time.Second)
	})
}
