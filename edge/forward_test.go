package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/control"
	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/upstream"
)

// isolatedEntry is an entry that no target responds to. Its helpers follow a script.
type isolatedEntry struct {
	calmDependencies
	helpers  script
	attempts []greengageroute.Attempt
	lost     bool // the links are lost as the first target is tried
	isolated bool
	accepts  bool     // targets accept connections
	target   step     // their reaction; nil: they can't be reached
	avoided  []string // helpers, with the pool
}

func (entry *isolatedEntry) LiveEntries() int        { return 3 }
func (entry *isolatedEntry) LostPool(string) bool    { return entry.isolated }
func (entry *isolatedEntry) Helpers(string) []string { return []string{"h1", "h2", "h3", "h4", "h5"} }

func (entry *isolatedEntry) AcceptsConnections(greengageroute.Target) bool { return entry.accepts }

func (entry *isolatedEntry) AvoidHelper(address, pool string) {
	entry.avoided = append(entry.avoided, address+" "+pool)
}

func (entry *isolatedEntry) LinksWork(string) bool {
	entry.isolated = entry.isolated || entry.lost
	return !entry.isolated
}

func (entry *isolatedEntry) LinksWorkSince(pool string, _ time.Duration) bool {
	return entry.LinksWork(pool)
}

func (entry *isolatedEntry) Do(ctx context.Context, _ greengageroute.Request, attempt greengageroute.Attempt) (*upstream.Answer, error) {
	if !attempt.ToEntry && entry.target != nil {
		return entry.target(ctx, attempt)
	}
	if !attempt.ToEntry {
		return unreachable(ctx, attempt)
	}
	entry.attempts = append(entry.attempts, attempt)
	if len(entry.attempts) > len(entry.helpers) {
		return nil, &upstream.NotSentError{Target: attempt.Target.ID, Cause: errors.New("no step left in the script")}
	}
	return entry.helpers[len(entry.attempts)-1](ctx, attempt)
}

func (entry *isolatedEntry) service() *Service {
	directory := control.NewDirectory(greengageroute.RuntimeClock{})
	directory.SetRoutes(testRoutes)
	directory.Replace([]greengageroute.Target{
		{ID: "ledger-a", Pool: "ledger", State: greengageroute.TargetReady, Slots: 6},
		{ID: "llm-a", Pool: "llm", State: greengageroute.TargetReady, Membership: greengageroute.Membership{Replica: "ra", Epoch: 1, Model: "m", State: greengageroute.MemberOpen}},
	}, time.Time{})
	return newTestService("", directory, entry)
}

// refusedBy is a step of a script: the entry refuses the request without having it run.
func refusedBy(status int) func(context.Context, greengageroute.Attempt) (*upstream.Answer, error) {
	return func(context.Context, greengageroute.Attempt) (*upstream.Answer, error) {
		head := greengageroute.AnswerHead{ID: "id-1", Status: status, NotRun: true, RetryAfter: 700 * time.Millisecond}
		return &upstream.Answer{AnswerHead: head, Body: strings.NewReader("")}, nil
	}
}

// olderBuild is a step of a script: the entry doesn't know forwarded requests.
func olderBuild(context.Context, greengageroute.Attempt) (*upstream.Answer, error) {
	return &upstream.Answer{AnswerHead: greengageroute.AnswerHead{Status: http.StatusNotFound}, Body: strings.NewReader("404 page not found")}, nil
}

// TestIsolatedEntryForwardsRequests guards against callers who are refused by an entry that
// has lost its targets, against calls that run twice or, if they may be repeated, at more targets than
// their route allows, and against refusals that aren't true.
func TestIsolatedEntryForwardsRequests(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		helpers script
		lost    bool
		status  int
		body    string
		sent    int
	}{
		{"an action", "/post/x", script{answers(200, "done")}, false, 200, "done", 1},
		{"an action, as the links are lost", "/post/x", script{answers(200, "done")}, true, 200, "done", 1},
		{"an action that may have run is not sent again", "/post/x", script{resets, answers(200, "twice")}, false, 502, "", 1},
		{"an action without an answer", "/post/x", script{hangs}, false, 504, "", 1},
		{"the first entry isn't reached", "/post/x", script{unreachable, answers(200, "done")}, false, 200, "done", 2},
		{"the first entry is isolated too", "/post/x", script{refusedBy(421), answers(200, "done")}, false, 200, "done", 2},
		{"the first entry is of an older build", "/post/x", script{olderBuild, answers(200, "done")}, false, 200, "done", 2},
		{"no entry is reached", "/post/x", script{unreachable, unreachable, unreachable, answers(200, "too late")}, false, 503, "", 3},
		{"four entries are isolated too", "/post/x", script{refusedBy(421), refusedBy(421), refusedBy(421), refusedBy(421), answers(200, "done")}, false, 200, "done", 5},
		{"a stream, as four entries are isolated too", "/chat/x", script{refusedBy(421), refusedBy(421), refusedBy(421), refusedBy(421), answers(200, events(1, 5))}, false, 200, events(1, 5), 5},
		{"all entries are isolated", "/get/x", script{refusedBy(421), refusedBy(421), refusedBy(421), refusedBy(421), refusedBy(421), answers(200, "no")}, false, 503, "", 5},
		{"the other entry is at capacity", "/post/x", script{refusedBy(503), answers(200, "no")}, false, 503, "", 1},
		{"the other entry has another config", "/post/x", script{refusedBy(404)}, false, 503, "", 1},
		{"a target's error is forwarded", "/post/x", script{answers(500, "failed")}, false, 500, "failed", 1},
		{"a read whose answer is lost goes to another entry", "/get/x", script{resets, answers(200, "done")}, false, 200, "done", 2},
		{"a stream", "/chat/x", script{answers(200, events(1, 5))}, false, 200, events(1, 5), 1},
		{"a stream, as the links are lost", "/chat/x", script{answers(200, events(1, 5))}, true, 200, events(1, 5), 1},
		{"an action whose answer the other entry breaks off", "/post/x", script{unframed("ha"), answers(200, "twice")}, false, 502, "", 1},
		{"a read that the other entry may hedge by itself", "/get/x", script{after(900*time.Millisecond, answers(200, "late")), answers(200, "a third run")}, false, 200, "late", 1},
		{"a read whose answer the other entry breaks off", "/get/x", script{unframed("ha"), answers(200, "done")}, false, 200, "done", 2},
		{"a stream that the other entry breaks off between events", "/chat/x", script{unframed(events(1, 2)), answers(200, events(3, 5))}, false, 200, events(1, 5), 2},
		{"a stream that is cut is resumed through another entry", "/chat/x", script{aborts(events(1, 2)), answers(200, events(3, 5))}, false, 200, events(1, 5), 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				entry := &isolatedEntry{helpers: test.helpers, lost: test.lost, isolated: !test.lost}
				recorder := httptest.NewRecorder()
				entry.service().ServeHTTP(recorder, newRequest("POST", test.path))
				if recorder.Code != test.status || len(entry.attempts) != test.sent {
					t.Errorf("got %d after %d entries, want %d after %d", recorder.Code, len(entry.attempts), test.status, test.sent)
				}
				if test.body != "" && recorder.Body.String() != test.body {
					t.Errorf("got body %q, want %q", recorder.Body.String(), test.body)
				}
				if recorder.Code == http.StatusServiceUnavailable && recorder.Header().Get("Retry-After") == "" {
					t.Error("the 503 has no Retry-After header")
				}
				for number, attempt := range entry.attempts {
					resumed := number > 0 && strings.HasPrefix(test.body, "id: 1") && test.sent == 2
					if resumed && attempt.LastEventID != "2" {
						t.Errorf("the stream is resumed after event %q, want 2", attempt.LastEventID)
					}
				}
				time.Sleep(time.Second) // lets the crash checks of lost answers finish
			})
		})
	}
}

// helpedEntry is an isolated entry that forwards requests to entries at the given addresses.
type helpedEntry struct {
	isolatedEntry
	helpers []string
}

func (entry *helpedEntry) Helpers(string) []string { return entry.helpers }

// TestLostHelpersAttemptsCount guards against a request that reaches more targets than its route allows
// because the connection to the entry that it was forwarded to ends after that entry made some attempts.
func TestLostHelpersAttemptsCount(t *testing.T) {
	named := http.Header{platform.HeaderAttemptID: {"id-1"}, "Content-Type": {"text/event-stream"}}
	whole := func(body string) step {
		return func(context.Context, greengageroute.Attempt) (*upstream.Answer, error) {
			return &upstream.Answer{AnswerHead: greengageroute.AnswerHead{ID: "id-1", Status: http.StatusOK, Header: named}, Body: strings.NewReader(body)}, nil
		}
	}
	cut := func(body string) step {
		return func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
			answer, _ := aborts(body)(ctx, attempt) // never fails
			answer.Header = named
			return answer, nil
		}
	}
	tests := []struct {
		name   string
		path   string
		first  script // of the targets of the first entry, whose connections end during the last step
		second script // of those of the second one
		status int    // 0: broken off
		runs   int    // at targets
	}{
		{"a call", "/get/x", script{hangs}, script{whole("done")}, 200, 2},
		{"a call that was hedged", "/get/x", script{hangs, hangs}, script{whole("a third run")}, 502, 2},
		{"a call that was retried", "/get/x", script{resets, hangs}, script{whole("a third run")}, 502, 2},
		{"a stream", "/chat/x", script{hangs}, script{whole(events(1, 3))}, 200, 2},
		{"a stream that was retried", "/chat/x", script{resets, hangs}, script{whole(events(1, 3))}, 502, 2},
		{"a stream that was resumed", "/chat/x", script{cut(events(1, 2)), hangs}, script{whole(events(3, 5))}, 0, 2},
		{"a stream with a comment like a notice", "/chat/x", script{hangs}, script{whole(": entry-attempts x 2\n\n" + events(1, 3))}, 200, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			entry := &helpedEntry{isolatedEntry: isolatedEntry{isolated: true}}
			runs := func() (sum int) { return 0 }
			for number, steps := range []script{test.first, test.second} {
				helper, earlier := newFixture(steps), runs
				server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
					helper.service.ServeForwarded(writer, request)
				}))
				defer server.Close()
				if last := len(steps) - 1; number == 0 {
					steps[last] = func(ctx context.Context, _ greengageroute.Attempt) (*upstream.Answer, error) {
						time.AfterFunc(50*time.Millisecond, server.CloseClientConnections)
						return hangs(ctx, greengageroute.Attempt{})
					}
				}
				entry.helpers = append(entry.helpers, server.Listener.Addr().String())
				runs = func() int {
					helper.mu.Lock()
					defer helper.mu.Unlock()
					return earlier() + len(helper.attempts)
				}
			}
			service := entry.service()
			service.Peers, service.PeerSender = entry, upstream.NewClient(func() {})
			recorder := httptest.NewRecorder()
			if isAborted(func() { service.ServeHTTP(recorder, newRequest("POST", test.path)) }) {
				recorder.Code = 0
			}
			if recorder.Code != test.status || runs() != test.runs {
				t.Errorf("got %d after %d runs, want %d after %d", recorder.Code, runs(), test.status, test.runs)
			}
			if own := strings.Contains(test.name, "like a notice"); strings.Contains(recorder.Body.String(), "entry-attempts") != own {
				t.Errorf("the caller got %q, want a target's comment in it: %t", recorder.Body.String(), own)
			}
		})
	}
}

// TestEntriesThatCannotHelpAreToldApart guards against an entry that is asked again although it
// couldn't help, and against one that isn't asked for the pools that it reaches.
func TestEntriesThatCannotHelpAreToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry := &isolatedEntry{helpers: script{refusedBy(421), unreachable, olderBuild, answers(200, "done")}, isolated: true}
		recorder := httptest.NewRecorder()
		entry.service().ServeHTTP(recorder, newRequest("POST", "/post/x"))
		if want := []string{"h1 ledger", "h2 ", "h3 "}; recorder.Code != 200 || !slices.Equal(entry.avoided, want) {
			t.Errorf("got %d and avoids %q, want 200 and %q", recorder.Code, entry.avoided, want)
		}
	})
}

// TestSilentTargetsAreTriedWithoutHelpers guards against callers who are refused because all
// targets of a pool are silent for a moment at all entries.
func TestSilentTargetsAreTriedWithoutHelpers(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		accepts bool
		target  step
		status  int
	}{
		{"a call", "/post/x", true, answers(200, "done"), 200},
		{"a stream", "/chat/x", true, answers(200, events(1, 5)), 200},
		{"a call, no target accepts connections", "/post/x", false, answers(200, "done"), 503},
		{"a stream, no target accepts connections", "/chat/x", false, answers(200, events(1, 5)), 503},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				entry := &isolatedEntry{helpers: slices.Repeat(script{refusedBy(421)}, 5), isolated: true, accepts: test.accepts, target: test.target}
				recorder := httptest.NewRecorder()
				entry.service().ServeHTTP(recorder, newRequest("POST", test.path))
				if recorder.Code != test.status {
					t.Errorf("got %d, want %d", recorder.Code, test.status)
				}
				time.Sleep(time.Second) // lets checks of ends finish
			})
		})
	}
}

// TestHelperThatLosesItsLinksSaysSo guards against callers who are refused, as if the targets were at
// capacity, by an entry that finds out by a forwarded request that it is cut off too.
func TestHelperThatLosesItsLinksSaysSo(t *testing.T) {
	tests := []struct {
		path   string
		target step
		status int
		notRun bool
	}{
		{"/post/x", unreachable, 421, true},
		{"/get/x", unreachable, 421, true},
		{"/chat/x", unreachable, 421, true},
		{"/post/x", resets, 502, false}, // may have run
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%s %d", test.path, test.status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				entry := &isolatedEntry{lost: true, target: test.target}
				request := newRequest("POST", test.path)
				request.Header.Set("Entry-Attempts", "0")
				recorder := httptest.NewRecorder()
				entry.service().ServeForwarded(recorder, request)
				if notRun := recorder.Header().Get("X-Greengageroute-Not-Executed") != ""; recorder.Code != test.status || notRun != test.notRun {
					t.Errorf("got %d, marked as not run: %t, want %d, %t", recorder.Code, notRun, test.status, test.notRun)
				}
				time.Sleep(10 * time.Second) // lets the crash checks of lost answers finish
			})
		})
	}
}

// TestForwardedRequests guards against requests that entries pass around, against a refusal
// that the forwarding entry can't tell from one after a run, and against more attempts than
// the route allows.
func TestForwardedRequests(t *testing.T) {
	tests := []struct {
		name      string
		isolated  bool
		forwarded string // attempts sent before; empty: a caller's own request
		script    script
		served    bool
		status    int
		notRun    bool
	}{
		{"a request of another entry", false, "0", script{answers(200, "done")}, true, 200, false},
		{"this entry is isolated too", true, "0", nil, true, 421, true},
		{"no target is reached", false, "0", script{unreachable, unreachable, unreachable}, true, 503, true},
		{"the answer is lost", false, "0", script{resets}, true, 502, false},
		{"no attempt is left", false, "1", script{answers(200, "one too many")}, true, 503, true},
		{"not forwarded", false, "", nil, false, 200, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(test.script)
				if test.isolated {
					fixture.service.Prober = &isolatedEntry{isolated: true}
				}
				request := newRequest("POST", "/post/x")
				if test.forwarded != "" {
					request.Header.Set("Entry-Attempts", test.forwarded)
				}
				recorder := httptest.NewRecorder()
				served := fixture.service.ServeForwarded(recorder, request)
				if served != test.served || recorder.Code != test.status {
					t.Errorf("served: %v with %d, want %v with %d", served, recorder.Code, test.served, test.status)
				}
				if notRun := recorder.Header().Get("X-Greengageroute-Not-Executed") != ""; notRun != test.notRun {
					t.Errorf("marked as not run: %v, want %v", notRun, test.notRun)
				}
				time.Sleep(time.Second) // lets the crash checks of lost answers finish
			})
		})
	}
}
