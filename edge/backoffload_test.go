package edge

import (
	"context"
	"fmt"
	"io"
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
	backoffsFrom    = 2 * time.Second
	backoffsUntil   = 14 * time.Second
	backoffLoadTime = 24 * time.Second
	// From backoffDelay after a target has turned an entry away until the end of the backoff that
	// it asked for, it may get backoffExtra requests from that entry.
	backoffDelay = 500 * time.Millisecond
	backoffExtra = 2
)

type (
	// backoffLoad is a pattern of requests to targets of which some turn all or part of them
	// away for a time, and ask for a backoff.
	backoffLoad struct {
		name                   string
		path                   string
		entries, targets, busy int
		backoff                time.Duration
		turnedAway             float64 // share of the requests to the busy targets
		perSecond              float64
		minServed              float64 // share of the requests
	}

	// backoffFleet is a fleet of entries that send to targets.
	backoffFleet struct {
		load    backoffLoad
		entries []*backoffEntry
		began   time.Time

		mu       sync.Mutex
		before   map[string]int // requests by target before the backoffs
		after    map[string]int // the same afterwards
		broken   []string
		outcomes map[int]int // number of requests by status
		longest  time.Duration
	}

	// backoffEntry is an entry of the fleet. It implements the service's dependencies.
	backoffEntry struct {
		calmDependencies
		fleet   *backoffFleet
		service *Service
		asked   map[string][]*askedBackoff // by target; guarded by fleet.mu
	}

	askedBackoff struct {
		at, until time.Time
		requests  int
	}
)

func newBackoffFleet(load backoffLoad) *backoffFleet {
	fleet := &backoffFleet{load: load, began: time.Now(), before: map[string]int{}, after: map[string]int{}, outcomes: map[int]int{}}
	directory := control.NewDirectory(greengageroute.RuntimeClock{})
	directory.SetRoutes(testRoutes)
	var targets []greengageroute.Target
	for i := range load.targets {
		target := greengageroute.Target{ID: headName(i), Pool: "ledger", State: greengageroute.TargetReady, Slots: 6, StartUnixMilli: 7}
		if load.path == "/chat/x" {
			target.Pool = "llm"
			target.Membership = greengageroute.Membership{Replica: fmt.Sprint("r", i), Epoch: 1, Model: "m", State: greengageroute.MemberOpen}
		}
		targets = append(targets, target)
	}
	directory.Replace(targets, time.Time{})
	for i := range load.entries {
		entry := &backoffEntry{fleet: fleet, asked: map[string][]*askedBackoff{}}
		entry.service = newTestService(fmt.Sprint("entry-", i), directory, entry)
		fleet.entries = append(fleet.entries, entry)
	}
	return fleet
}

func (entry *backoffEntry) LiveEntries() int { return len(entry.fleet.entries) }

// Do implements Sender.
func (entry *backoffEntry) Do(_ context.Context, request greengageroute.Request, attempt greengageroute.Attempt) (*upstream.Answer, error) {
	if entry.fleet.turnsAway(entry, attempt.Target.ID) {
		head := greengageroute.AnswerHead{ID: request.ID, Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: entry.fleet.load.backoff}
		return &upstream.Answer{AnswerHead: head, Body: strings.NewReader("")}, nil
	}
	time.Sleep(answerTime)
	return &upstream.Answer{AnswerHead: greengageroute.AnswerHead{ID: request.ID, Status: http.StatusOK}, Body: strings.NewReader(events(1, 3))}, nil
}

// turnsAway records the arrival of a request and reports whether the target turns it away.
func (fleet *backoffFleet) turnsAway(entry *backoffEntry, target string) bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	now := time.Now()
	for _, backoff := range entry.asked[target] {
		if now.Sub(backoff.at) > backoffDelay && now.Before(backoff.until) {
			if backoff.requests++; backoff.requests == backoffExtra+1 {
				fleet.broken = append(fleet.broken, fmt.Sprintf("%s at %s", target, now.Sub(fleet.began)))
			}
		}
	}
	since := now.Sub(fleet.began)
	switch {
	case since < backoffsFrom:
		fleet.before[target]++
	case since > backoffsUntil+fleet.load.backoff:
		fleet.after[target]++
	}
	if target >= headName(fleet.load.busy) || since < backoffsFrom || since >= backoffsUntil || rand.Float64() >= fleet.load.turnedAway {
		return false
	}
	entry.asked[target] = append(entry.asked[target], &askedBackoff{at: now, until: now.Add(fleet.load.backoff)})
	return true
}

// backoffLeft returns the shortest time until a target takes requests of an entry again.
func (fleet *backoffFleet) backoffLeft(entry *backoffEntry) time.Duration {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	least := time.Hour
	for i := range fleet.load.targets {
		left := time.Duration(0)
		for _, backoff := range entry.asked[headName(i)] {
			left = max(left, time.Until(backoff.until))
		}
		least = min(least, left)
	}
	return least
}

// play sends the requests. It reports refusals whose Retry-After doesn't hold.
func (fleet *backoffFleet) play(t *testing.T) (requests int) {
	random := rand.New(rand.NewPCG(1, 2))
	for time.Since(fleet.began) < backoffLoadTime {
		time.Sleep(time.Duration(random.ExpFloat64() / fleet.load.perSecond * float64(time.Second)))
		entry := fleet.entries[random.IntN(len(fleet.entries))]
		requests++
		request := newRequest(map[string]string{"/get/x": http.MethodGet}[fleet.load.path], fleet.load.path)
		request.Body = io.NopCloser(strings.NewReader(fmt.Sprint("body ", requests)))
		go func() {
			started, left := time.Now(), fleet.backoffLeft(entry)
			recorder := httptest.NewRecorder()
			entry.service.ServeHTTP(recorder, request)
			fleet.mu.Lock()
			defer fleet.mu.Unlock()
			fleet.outcomes[recorder.Code]++
			if recorder.Code == http.StatusOK {
				return
			}
			fleet.longest = max(fleet.longest, time.Since(started))
			after, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64)
			if known := left > backoffDelay; err != nil || known && after < left.Seconds()-0.001 {
				t.Errorf("refused with Retry-After %q while all targets want nothing for %s", recorder.Header().Get("Retry-After"), left)
			}
		}()
	}
	time.Sleep(time.Second) // lets the requests end
	synctest.Wait()
	return requests
}

// TestBackoffsAreKept guards against targets that ask for a backoff and are sent more
// requests, because one that turns everything away looks idle.
func TestBackoffsAreKept(t *testing.T) {
	tests := []backoffLoad{
		{"two of fourteen heads turn all away", "/chat/x", 13, 14, 2, 3 * time.Second, 1, 150, 0.985},
		{"half of the heads turn half away", "/chat/x", 13, 14, 7, 3 * time.Second, 0.5, 150, 0.95},
		{"all heads turn all away", "/chat/x", 13, 14, 14, 2 * time.Second, 1, 60, 0.35},
		{"short backoffs of all heads", "/chat/x", 13, 14, 14, 300 * time.Millisecond, 0.2, 60, 0.7},
		{"one of three plain targets", "/get/x", 13, 3, 1, 3 * time.Second, 1, 30, 0.99},
		{"all plain targets turn half away", "/get/x", 13, 3, 3, time.Second, 0.5, 30, 0.7},
		{"large fleet", "/chat/x", 100, 80, 20, 5 * time.Second, 1, 500, 0.8},
	}
	for _, load := range tests {
		t.Run(load.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newBackoffFleet(load)
				requests := fleet.play(t)
				served := float64(fleet.outcomes[http.StatusOK]) / float64(requests)
				t.Logf("%.3f served; refused within %s", served, fleet.longest)
				if len(fleet.broken) > 0 {
					t.Errorf("%d backoffs weren't kept, the first of %s", len(fleet.broken), fleet.broken[0])
				}
				if served < load.minServed {
					t.Errorf("%.3f of the requests were served, want %.3f", served, load.minServed)
				}
				if fleet.longest > 0 {
					t.Errorf("a request was refused after %s, want at once", fleet.longest)
				}
				for i := range load.busy {
					if target := headName(i); fleet.before[target] > 0 && fleet.after[target] == 0 {
						t.Errorf("%s got requests before the backoffs and none after them", target)
					}
				}
			})
		})
	}
}

// TestBackoffsHoldForBegunStreams guards against a broken-off stream that is resumed at a head
// that wants no requests.
func TestBackoffsHoldForBegunStreams(t *testing.T) {
	tests := []struct {
		name    string
		backoff time.Duration
		resumed bool // after the backoff
	}{
		{"for longer than the stream has left", time.Minute, false},
		{"for a second", time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				resumedAfter := time.Duration(0)
				fixture := newFixture(script{aborts(events(1, 2)), func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
					resumedAfter = time.Since(began)
					return answers(200, events(3, 4))(ctx, attempt)
				}})
				for _, id := range []string{"llm-a", "llm-b"} {
					target, _ := fixture.service.Directory.View().Target(id)
					fixture.service.recordBackoff(target, test.backoff)
				}
				recorder, aborted := fixture.serve(newRequest("POST", "/chat/x"))
				switch {
				case !test.resumed && (!aborted || recorder.Body.String() != events(1, 2) || len(fixture.attempts) != 1):
					t.Errorf("got body %q after %d attempts, aborted: %t; want one attempt", recorder.Body, len(fixture.attempts), aborted)
				case test.resumed && (aborted || recorder.Body.String() != events(1, 4) || resumedAfter < test.backoff):
					t.Errorf("got body %q, aborted: %t, resumed after %s; want it whole and not before %s", recorder.Body, aborted, resumedAfter, test.backoff)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestBackoffsInAnswers guards against a backoff that another target asked for, and one that
// outlives the process that asked.
func TestBackoffsInAnswers(t *testing.T) {
	asks := func(status int, instance string) func(context.Context, greengageroute.Attempt) (*upstream.Answer, error) {
		return func(context.Context, greengageroute.Attempt) (*upstream.Answer, error) {
			head := greengageroute.AnswerHead{ID: "id-1", Status: status, NotRun: true, Instance: instance, RetryAfter: time.Hour}
			return &upstream.Answer{AnswerHead: head, Body: strings.NewReader("")}, nil
		}
	}
	tests := []struct {
		name     string
		answer   func(context.Context, greengageroute.Attempt) (*upstream.Answer, error)
		backsOff bool
	}{
		{"the target turns the request away", asks(503, ""), true},
		{"another target has the address", asks(421, "other"), false},
		{"the target runs the request", answers(200, "done"), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(script{test.answer, answers(200, "done")})
				fixture.serve(newRequest("GET", "/get/x"))
				target := fixture.attempts[0].Target
				backoff := fixture.service.Backoff(target)
				if backsOff := backoff.Remaining(target.StartUnixMilli, time.Now()) > 0; backsOff != test.backsOff {
					t.Errorf("the entry backs off: %t, want %t", backsOff, test.backsOff)
				}
				if backoff.Remaining(target.StartUnixMilli+1, time.Now()) > 0 {
					t.Error("the entry backs off from the restarted target")
				}
				if backoff.Remaining(target.StartUnixMilli, time.Now().Add(time.Minute)) > 0 {
					t.Error("the entry backs off for more than a minute")
				}
			})
		})
	}
}
