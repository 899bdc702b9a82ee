package edge

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/control"
	"greengageroute.example/greengageroute/mesh"
	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/upstream"
)

type (
	// fakeDependencies are the dependencies of a service that tests replace by one fake.
	fakeDependencies interface {
		Config
		Peers
		Prober
		Sender
	}

	// script holds the fake targets' reaction to each attempt, in order.
	script []func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error)

	// fixture is a service whose targets follow a script. It implements the
	// service's dependencies.
	fixture struct {
		service        *Service
		age            time.Duration
		script         script
		mu             sync.Mutex
		attempts       []greengageroute.Attempt
		probedReplicas int
		loads          map[string]greengageroute.EngineLoad
		routes         *greengageroute.RouteTable
		crashes        []greengageroute.CrashReport
		targetsAccept  bool
		serving        bool   // whether heads show that they serve
		confirmations  []bool // whether targets confirm the ends of their answers, in order
		liveEntries    int
		health         greengageroute.AnswerHead // answer to health checks
		// reportedLeaving are the targets reported to the peers.
		reportedLeaving []greengageroute.TargetInstance
	}
)

func (fixture *fixture) Routes() *greengageroute.RouteTable               { return fixture.routes }
func (fixture *fixture) Age() time.Duration                               { return fixture.age }
func (fixture *fixture) LiveEntries() int                                 { return fixture.liveEntries }
func (fixture *fixture) LoadChanged()                                     {}
func (fixture *fixture) IsFullMesh() bool                                 { return true }
func (fixture *fixture) Limits() map[string]greengageroute.PeerLimit      { return nil }
func (fixture *fixture) ReportCold(...mesh.ColdReport)                    {}
func (fixture *fixture) Seat() greengageroute.Seat                        { return greengageroute.Seat{Entries: 3} }
func (fixture *fixture) ReportSound(...greengageroute.CrashCause)         {}
func (fixture *fixture) ReportSuspected(...greengageroute.TargetInstance) {}
func (fixture *fixture) ReportLeaving(leaving ...greengageroute.TargetInstance) {
	fixture.reportedLeaving = append(fixture.reportedLeaving, leaving...)
}

func (fixture *fixture) ReportCrash(report greengageroute.CrashReport) {
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	fixture.crashes = append(fixture.crashes, report)
}
func (fixture *fixture) Active(string, time.Duration) bool           { return false }
func (fixture *fixture) Helpers(string) []string                     { return nil }
func (fixture *fixture) AvoidHelper(string, string)                  {}
func (fixture *fixture) EntryDataCentres() map[string]string         { return nil }
func (fixture *fixture) LinksWork(string) bool                       { return true }
func (fixture *fixture) LinksWorkSince(string, time.Duration) bool   { return true }
func (fixture *fixture) LostPool(string) bool                        { return false }
func (fixture *fixture) Loads() map[string]greengageroute.EngineLoad { return fixture.loads }

func (fixture *fixture) ProbeReplica(greengageroute.Replica) {
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	fixture.probedReplicas++
}

func (fixture *fixture) AcceptsConnections(greengageroute.Target) bool { return fixture.targetsAccept }

func (fixture *fixture) HasIdleConnection(greengageroute.Target, bool) bool { return false }

func (fixture *fixture) StillServes(greengageroute.Target) bool {
	return fixture.serving || fixture.confirm()
}

func (fixture *fixture) CheckKeptConnection(_ context.Context, _ greengageroute.Target, path string, _ time.Time) (greengageroute.AnswerHead, error) {
	if !fixture.confirm() || path != "/health" {
		return fixture.health, errors.New("not confirmed")
	}
	return fixture.health, nil
}

func (fixture *fixture) confirm() bool {
	if len(fixture.confirmations) == 0 {
		return false
	}
	confirmed := fixture.confirmations[0]
	fixture.confirmations = fixture.confirmations[1:]
	return confirmed
}

func (fixture *fixture) Do(ctx context.Context, _ greengageroute.Request, attempt greengageroute.Attempt) (*upstream.Answer, error) {
	fixture.mu.Lock()
	index := len(fixture.attempts)
	fixture.attempts = append(fixture.attempts, attempt)
	fixture.mu.Unlock()
	if index >= len(fixture.script) {
		return nil, &upstream.NotSentError{Target: attempt.Target.ID, Cause: errors.New("no step left in the script")}
	}
	return fixture.script[index](ctx, attempt)
}

// calmDependencies implements dependencies of a service where nothing fails and nothing is
// told by other entries.
type calmDependencies struct{}

func (calmDependencies) Routes() *greengageroute.RouteTable                 { return testRoutes }
func (calmDependencies) Age() time.Duration                                 { return 0 }
func (calmDependencies) Loads() map[string]greengageroute.EngineLoad        { return nil }
func (calmDependencies) Limits() map[string]greengageroute.PeerLimit        { return nil }
func (calmDependencies) IsFullMesh() bool                                   { return true }
func (calmDependencies) LoadChanged()                                       {}
func (calmDependencies) Active(string, time.Duration) bool                  { return true }
func (calmDependencies) Helpers(string) []string                            { return nil }
func (calmDependencies) AvoidHelper(string, string)                         {}
func (calmDependencies) EntryDataCentres() map[string]string                { return nil }
func (calmDependencies) LinksWork(string) bool                              { return true }
func (calmDependencies) LinksWorkSince(string, time.Duration) bool          { return true }
func (calmDependencies) LostPool(string) bool                               { return false }
func (calmDependencies) ReportCrash(greengageroute.CrashReport)             {}
func (calmDependencies) ReportLeaving(...greengageroute.TargetInstance)     {}
func (calmDependencies) ReportCold(...mesh.ColdReport)                      {}
func (calmDependencies) Seat() greengageroute.Seat                          { return greengageroute.Seat{Entries: 1} }
func (calmDependencies) ReportSuspected(...greengageroute.TargetInstance)   {}
func (calmDependencies) ReportSound(...greengageroute.CrashCause)           {}
func (calmDependencies) ProbeReplica(greengageroute.Replica)                {}
func (calmDependencies) AcceptsConnections(greengageroute.Target) bool      { return true }
func (calmDependencies) HasIdleConnection(greengageroute.Target, bool) bool { return true }
func (calmDependencies) StillServes(greengageroute.Target) bool             { return true }
func (calmDependencies) CheckKeptConnection(context.Context, greengageroute.Target, string, time.Time) (greengageroute.AnswerHead, error) {
	return greengageroute.AnswerHead{}, nil
}

var (
	testEngine = &greengageroute.Engine{
		Slots: 4, StepsPerIteration: 6, StepTime: 6 * time.Millisecond, PrefillRate: 50_000, PrefillChunk: 2048, MeanPromptTokens: 1000, MeanAnswerTokens: 100,
		Models: []greengageroute.EngineModel{{Name: "m", Size: 1, Share: 1, TimeFactor: 1}},
	}
	testRoutes, rankedRoutes = newTestRoutes(0), newTestRoutes(1)
)

// newTestRoutes returns the routes with a priority of the route for talks, the others have 0.
func newTestRoutes(talkPriority int) *greengageroute.RouteTable {
	return greengageroute.NewRouteTable(7, []greengageroute.Route{
		{Name: "post", Host: "h", Prefix: "/post/", Kind: greengageroute.NonIdempotent, Timeout: time.Second, Attempts: 1, Pools: toPool("ledger")},
		{Name: "get", Host: "h", Prefix: "/get/", Kind: greengageroute.Idempotent, Timeout: time.Second, Attempts: 2, Pools: toPool("ledger")},
		{Name: "open", Host: "h", Prefix: "/open/", Kind: greengageroute.Idempotent, Timeout: time.Second, Attempts: 2, Public: true, Pools: toPool("ledger")},
		{
			Name: "chat", Host: "h", Prefix: "/chat/", Kind: greengageroute.Streaming, Timeout: 8 * time.Second, Attempts: 2, Resumable: true,
			LatencyObjective: 250 * time.Millisecond, GapObjective: 200 * time.Millisecond, Pools: toPool("llm"),
		},
		{Name: "talk", Host: "h", Prefix: "/talk/", Kind: greengageroute.Streaming, Timeout: 8 * time.Second, Attempts: 2, Priority: talkPriority, Pools: toPool("llm")},
		{Name: "feed", Host: "h", Prefix: "/feed/", Kind: greengageroute.Streaming, Timeout: 8 * time.Second, Attempts: 2, Resumable: true, Pools: toPool("ledger")},
	}, map[string]greengageroute.Pool{"ledger": {Name: "ledger", HealthPath: "/health"}, "llm": {Name: "llm", Engine: testEngine}},
		map[string]greengageroute.KeyOwner{"key": {Name: "counters"}}, greengageroute.CallerLimits{BodyBytes: 1000}, true)
}

func toPool(pool string) []greengageroute.PoolShare {
	return []greengageroute.PoolShare{{Pool: pool, Weight: 1}}
}

func newFixture(script script) *fixture {
	fixture := &fixture{script: script, targetsAccept: true, liveEntries: 3, routes: testRoutes}
	directory := control.NewDirectory(greengageroute.RuntimeClock{})
	directory.SetRoutes(testRoutes)
	var targets []greengageroute.Target
	for _, id := range []string{"a", "b", "c"} {
		targets = append(targets,
			greengageroute.Target{ID: "ledger-" + id, Pool: "ledger", State: greengageroute.TargetReady, Slots: 6},
			greengageroute.Target{ID: "llm-" + id, Pool: "llm", State: greengageroute.TargetReady, Membership: greengageroute.Membership{
				Replica: "r" + id, Epoch: 1, Model: "m", State: greengageroute.MemberOpen,
			}})
	}
	directory.Replace(targets, time.Time{})
	fixture.service = newTestService("", directory, fixture)
	return fixture
}

// newTestService returns the service of an entry that depends on one fake, and tries no
// quarantined requests.
func newTestService(entry string, directory *control.Directory, fake fakeDependencies) *Service {
	return New(Dependencies{
		Entry:  entry,
		Bounds: greengageroute.Bounds{RevocationTime: 5 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 300},
		Config: fake, Directory: directory, Peers: fake, Prober: fake, Sender: fake, PeerSender: fake,
		Counters: new(expvar.Map).Init(), Latencies: NewLatencyHistograms(), Log: logr.Discard(), MayTryQuarantined: func() bool { return false },
	})
}

func newRequest(method, path string) *http.Request {
	request := httptest.NewRequest(method, path, strings.NewReader("body"))
	request.Host, request.RequestURI = "h", path
	request.Header.Set(platform.HeaderAttemptID, "id-1")
	request.Header.Set("Authorization", "Bearer key")
	request.Header.Set("X-Greengageroute-Model", "m")
	request.Header.Set("X-Greengageroute-Token-Counts", "1000,100")
	return request
}

// serve handles a request. It reports whether the connection was aborted.
func (fixture *fixture) serve(request *http.Request) (recorder *httptest.ResponseRecorder, aborted bool) {
	recorder = httptest.NewRecorder()
	aborted = isAborted(func() {
		if !fixture.service.ServeForwarded(recorder, request) {
			fixture.service.ServeHTTP(recorder, request)
		}
	})
	return recorder, aborted
}

// isAborted runs a handler and reports whether it aborted the connection.
func isAborted(handle func()) (aborted bool) {
	defer func() {
		if cause := recover(); cause == http.ErrAbortHandler {
			aborted = true
		} else if cause != nil {
			panic(cause)
		}
	}()
	handle()
	return false
}

// answers is a step of a script: the target returns an answer. The functions after
// it are steps too.
func answers(status int, body string) func(context.Context, greengageroute.Attempt) (*upstream.Answer, error) {
	return func(_ context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
		return &upstream.Answer{
			AnswerHead: greengageroute.AnswerHead{ID: "id-1", Status: status, Header: http.Header{"From": {attempt.Target.ID}}},
			Body:       strings.NewReader(body),
		}, nil
	}
}

func rejects(_ context.Context, _ greengageroute.Attempt) (*upstream.Answer, error) {
	head := greengageroute.AnswerHead{ID: "id-1", Status: http.StatusServiceUnavailable, NotRun: true}
	return &upstream.Answer{AnswerHead: head, Body: strings.NewReader("")}, nil
}

func unreachable(_ context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
	return nil, &upstream.NotSentError{Target: attempt.Target.ID, Cause: errors.New("refused")}
}

func resets(_ context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
	return nil, &upstream.AnswerLostError{Target: attempt.Target.ID, Cause: errors.New("reset")}
}

func hangs(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
	<-ctx.Done()
	return nil, &upstream.AnswerLostError{Target: attempt.Target.ID, Cause: ctx.Err()}
}

// aborts streams some text and then ends with a read error.
func aborts(text string) func(context.Context, greengageroute.Attempt) (*upstream.Answer, error) {
	return func(_ context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
		body := io.MultiReader(strings.NewReader(text), failingReader{})
		head := greengageroute.AnswerHead{ID: "id-1", Status: http.StatusOK, Header: http.Header{"From": {attempt.Target.ID}}}
		return &upstream.Answer{AnswerHead: head, Body: body}, nil
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func events(from, to int) string {
	text := bytes.Buffer{}
	for id := from; id <= to; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: t%d\n\n", id, id)
	}
	return text.String()
}

// TestUnavailableOnlyIfTheCallDidNotRun guards against callers who are told that their
// request has not run, which they take for leave to send it again, while it may have.
func TestUnavailableOnlyIfTheCallDidNotRun(t *testing.T) {
	tests := []struct {
		name     string
		method   string
		path     string
		script   script
		status   int
		attempts int
	}{
		{"an answered action", "POST", "/post/x", script{answers(200, "done")}, 200, 1},
		{"an action without an answer may have run", "POST", "/post/x", script{hangs}, 504, 1},
		{"an action whose connection is reset is not retried", "POST", "/post/x", script{resets, answers(200, "twice")}, 502, 1},
		{"an action that its target rejected", "POST", "/post/x", script{rejects, answers(200, "beyond its attempts")}, 503, 1},
		{"an action that was not sent goes to another target", "POST", "/post/x", script{unreachable, answers(200, "done")}, 200, 2},
		{"an action that failed with 503 and may have run", "POST", "/post/x", script{answers(503, "failed")}, 502, 1},
		{"an action that failed with 429 and may have run", "POST", "/post/x", script{answers(429, "failed")}, 502, 1},
		{"a read that failed with 503 twice", "GET", "/get/x", script{answers(503, "failed"), answers(503, "failed")}, 503, 2},
		{"an error answer to an action is forwarded", "POST", "/post/x", script{answers(500, "failed")}, 500, 1},
		{"a failed read is retried at another target", "GET", "/get/x", script{answers(500, "failed"), answers(200, "done")}, 200, 2},
		{"a read whose answer is lost is retried at another target", "GET", "/get/x", script{resets, answers(200, "done")}, 200, 2},
		{"a read that two targets rejected", "GET", "/get/x", script{rejects, rejects}, 503, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(test.script)
				recorder, _ := fixture.serve(newRequest(test.method, test.path))
				if recorder.Code != test.status || len(fixture.attempts) != test.attempts {
					t.Errorf("got %d after %d attempts, want %d after %d", recorder.Code, len(fixture.attempts), test.status, test.attempts)
				}
				if recorder.Code == http.StatusServiceUnavailable && recorder.Body.String() != "failed" && recorder.Header().Get("Retry-After") == "" {
					t.Error("the 503 has no Retry-After header")
				}
				synctest.Wait()
				time.Sleep(time.Second) // lets the crash checks of lost answers finish
			})
		})
	}
}

// ofType is a step of a script: the target returns a success with a content type.
func ofType(contentType, body string) func(context.Context, greengageroute.Attempt) (*upstream.Answer, error) {
	return func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
		answer, err := answers(200, body)(ctx, attempt)
		answer.Header.Set("Content-Type", contentType)
		return answer, err
	}
}

// TestStreamsResumeAtAnotherReplica guards against streams that miss events or have them
// twice, that look complete and aren't, or that contain the error of a second target.
func TestStreamsResumeAtAnotherReplica(t *testing.T) {
	tests := []struct {
		name    string
		script  script
		body    string
		aborted bool
	}{
		{"complete", script{answers(200, events(1, 3))}, events(1, 3), false},
		{"aborted between events", script{aborts(events(1, 2)), answers(200, events(3, 4))}, events(1, 4), false},
		{"aborted within an event", script{aborts(events(1, 2) + "id: 3\nda"), answers(200, events(3, 4))}, events(1, 4), false},
		{"aborted before the first event", script{aborts(""), answers(200, events(1, 2))}, events(1, 2), false},
		{"ended within an event", script{answers(200, events(1, 2)+"id: 3\ndata: t"), answers(200, events(3, 4))}, events(1, 4), false},
		{"ended after the line of an event", script{answers(200, events(1, 2)+"id: 3\ndata: t3\n"), answers(200, events(3, 4))}, events(1, 4), false},
		{"ended within an event twice", script{answers(200, events(1, 2)+"id: 3"), answers(200, "id: 3\n")}, events(1, 2), true},
		{"the second target answers with an error", script{aborts(events(1, 2)), answers(500, "HTTP/1.1 500 failed")}, events(1, 2), true},
		{"the second target refuses for good", script{aborts(events(1, 2)), answers(404, "not here")}, events(1, 2), true},
		{"the second target didn't run it", script{aborts(events(1, 2)), rejects}, events(1, 2), true},
		{"the second target sends an error as a success", script{aborts(events(1, 2)), ofType("application/json", "{\"error\": 500}")}, events(1, 2), true},
		{"the second target sends an empty text", script{aborts(events(1, 2)), ofType("text/plain", "")}, events(1, 2), true},
		{"aborted twice", script{aborts(events(1, 2)), aborts(events(3, 3))}, events(1, 3), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(test.script)
				recorder, aborted := fixture.serve(newRequest("POST", "/chat/x"))
				if aborted != test.aborted || recorder.Body.String() != test.body {
					t.Errorf("got body %q, aborted %t", recorder.Body, aborted)
				}
				for _, attempt := range fixture.attempts[1:] {
					if attempt.Target.ID == fixture.attempts[0].Target.ID {
						t.Error("the stream resumed at the replica that aborted it")
					}
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// unframed is a step of a script: an answer that only the end of its connection delimits.
func unframed(body string) func(context.Context, greengageroute.Attempt) (*upstream.Answer, error) {
	return func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
		answer, err := answers(200, body)(ctx, attempt)
		answer.EndsWithConnection = true
		return answer, err
	}
}

// TestStreamsThatEndWithTheirConnection guards against a stream that looks complete
// because its target has crashed between two events.
func TestStreamsThatEndWithTheirConnection(t *testing.T) {
	tests := []struct {
		name          string
		accept        bool
		second        func(context.Context, greengageroute.Attempt) (*upstream.Answer, error)
		confirmations []bool
		body          string
		aborted       bool
	}{
		{"the target is up", true, nil, []bool{true}, events(1, 2), false},
		{"the target has crashed", false, answers(200, events(3, 4)), nil, events(1, 4), false},
		{"another process accepts connections at once", true, answers(200, events(3, 4)), nil, events(1, 4), false},
		{"the second target has crashed too", false, unframed(events(3, 3)), nil, events(1, 3), true},
		{"the second target has crashed before its first event", false, unframed(""), nil, events(1, 2), true},
		{"the second target confirms that nothing follows", false, unframed(""), []bool{false, true}, events(1, 2), false},
		{"there is no second target", false, unreachable, nil, events(1, 2), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(script{unframed(events(1, 2)), test.second})
				fixture.targetsAccept, fixture.confirmations = test.accept, test.confirmations
				recorder, aborted := fixture.serve(newRequest("POST", "/chat/x"))
				if aborted != test.aborted || recorder.Body.String() != test.body {
					t.Errorf("got body %q, aborted: %t; want %q", recorder.Body, aborted, test.body)
				}
				time.Sleep(time.Second)
				synctest.Wait()
				if reported := len(fixture.crashes) > 0; reported == test.accept {
					t.Errorf("crash reported: %t", reported)
				}
			})
		})
	}
}

// TestCallsThatEndWithTheirConnection guards against half an answer of a crashed target
// that is delivered with the length of the half.
func TestCallsThatEndWithTheirConnection(t *testing.T) {
	tests := []struct {
		name          string
		method        string
		path          string
		script        script
		confirmations []bool
		status        int
		body          string
	}{
		{"a read of a target that is up", "GET", "/get/x", script{unframed("whole")}, []bool{true}, 200, "whole"},
		{"a read of a crashed target is repeated", "GET", "/get/x", script{unframed("ha"), answers(200, "whole")}, nil, 200, "whole"},
		{"a read of two crashed targets", "GET", "/get/x", script{unframed("ha"), unframed("ha")}, nil, 502, ""},
		{"an action of a target that is up", "POST", "/post/x", script{unframed("whole")}, []bool{true}, 200, "whole"},
		{"an action of a crashed target may have run", "POST", "/post/x", script{unframed("ha"), answers(200, "twice")}, nil, 502, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(test.script)
				fixture.confirmations = test.confirmations
				recorder, _ := fixture.serve(newRequest(test.method, test.path))
				if recorder.Code != test.status || test.status == 200 && recorder.Body.String() != test.body {
					t.Errorf("got %d %q, want %d %q", recorder.Code, recorder.Body, test.status, test.body)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

func TestSecondAttemptStartsAfterTheLastCompleteEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(script{aborts(events(1, 2) + "id: 3\n"), answers(200, events(3, 3))})
		fixture.serve(newRequest("POST", "/chat/x"))
		if last := fixture.attempts[1].LastEventID; last != "2" {
			t.Errorf("the second attempt starts after event %q, want 2", last)
		}
		time.Sleep(time.Second)
	})
}

func TestUnconfirmedConfigRefusesKeysAndUnknownRoutes(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		key    string
		age    time.Duration
		status int
	}{
		{"known key", "/get/x", "key", time.Second, 200},
		{"unknown key", "/get/x", "other", time.Second, 401},
		{"known key, unconfirmed config", "/get/x", "key", 4500 * time.Millisecond, 503},
		{"unknown key, unconfirmed config", "/get/x", "other", 4500 * time.Millisecond, 503},
		{"unknown route", "/none/x", "key", time.Second, 404},
		{"unknown route, unconfirmed config", "/none/x", "key", 4500 * time.Millisecond, 503},
		{"public route, unconfirmed config", "/open/x", "", 4500 * time.Millisecond, 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(script{answers(200, "done")})
			fixture.age = test.age
			request := newRequest("GET", test.path)
			request.Header.Set("Authorization", "Bearer "+test.key)
			if recorder, _ := fixture.serve(request); recorder.Code != test.status {
				t.Errorf("got %d, want %d", recorder.Code, test.status)
			}
		})
	}
}

// While the store is unreachable, no entry can confirm its config, and callers
// should retry after the outage. If only this entry is cut off, callers should
// retry soon, as another entry can serve them.
func TestRetryAfterWhileConfigIsUnconfirmed(t *testing.T) {
	tests := []struct {
		name  string
		live  int
		after string
	}{
		{"the store is unreachable for all entries", 12, "2.000"},
		{"this entry is cut off from its peers too", 1, "0.500"},
	}
	for _, test := range tests {
		fixture := newFixture(script{answers(200, "done")})
		fixture.age, fixture.liveEntries = 4500*time.Millisecond, test.live
		request := newRequest("GET", "/get/x")
		request.Header.Set("Authorization", "Bearer key")
		recorder, _ := fixture.serve(request)
		if after := recorder.Header().Get("Retry-After"); recorder.Code != 503 || after != test.after || len(fixture.attempts) > 0 {
			t.Errorf("%s: got %d with Retry-After %s, want 503 with %s", test.name, recorder.Code, after, test.after)
		}
	}
}

// At twice the load that the replicas can take, a request that can't be served in
// time must be refused at once with a Retry-After time, not queued.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(script{answers(200, events(1, 2))})
		fixture.loads = map[string]greengageroute.EngineLoad{}
		for _, id := range []string{"llm-a", "llm-b", "llm-c"} {
			fixture.loads[id] = greengageroute.EngineLoad{Running: 12, PrefillTokens: 30_000}
		}
		began := time.Now()
		recorder, _ := fixture.serve(newRequest("POST", "/chat/x"))
		after, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64)
		if recorder.Code != http.StatusServiceUnavailable || err != nil || after < minOverloadRetryAfter.Seconds() {
			t.Errorf("got %d with Retry-After %q, want 503 with a time", recorder.Code, recorder.Header().Get("Retry-After"))
		}
		if elapsed := time.Since(began); elapsed > 0 {
			t.Errorf("the refusal took %s", elapsed)
		}
	})
}

func TestCrashInducingRequestsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(script{resets, resets, answers(200, "not again")})
		fixture.targetsAccept = false
		fixture.serve(newRequest("GET", "/get/crash"))
		time.Sleep(time.Second)
		if recorder, _ := fixture.serve(newRequest("GET", "/get/crash")); recorder.Code != http.StatusServiceUnavailable {
			t.Errorf("after two crashes, the request got %d, want 503", recorder.Code)
		}
		if recorder, _ := fixture.serve(newRequest("GET", "/get/other")); recorder.Code != http.StatusOK {
			t.Errorf("another request got %d, want 200", recorder.Code)
		}
		if len(fixture.crashes) != 2 {
			t.Errorf("%d crashes were reported to the other entries, want 2", len(fixture.crashes))
		}
	})
}

// TestCrashedHeadsAreProbed guards against requests that are refused because their entry
// tries one head after the other that it could know to be gone.
func TestCrashedHeadsAreProbed(t *testing.T) {
	tests := []struct {
		name   string
		script script
		accept bool
		probed bool
	}{
		{"a head that breaks off and accepts no connections", script{aborts(events(1, 2)), answers(200, events(3, 4))}, false, true},
		{"a head that breaks off and accepts connections", script{aborts(events(1, 2)), answers(200, events(3, 4))}, true, false},
		{"a head that can't be connected to", script{unreachable, answers(200, events(1, 2))}, true, true},
		{"a head that answers", script{answers(200, events(1, 2))}, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(test.script)
				fixture.targetsAccept = test.accept
				fixture.serve(newRequest("POST", "/chat/x"))
				time.Sleep(time.Second)
				synctest.Wait()
				if probed := fixture.probedReplicas > 0; probed != test.probed {
					t.Errorf("probed: %t, want %t", probed, test.probed)
				}
			})
		})
	}
}

func TestLongBodyIsRefused(t *testing.T) {
	fixture := newFixture(nil)
	request := newRequest("POST", "/post/x")
	request.Body, request.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))), 2000
	if recorder, _ := fixture.serve(request); recorder.Code != http.StatusRequestEntityTooLarge || len(fixture.attempts) > 0 {
		t.Errorf("got %d after %d attempts, want 413 after none", recorder.Code, len(fixture.attempts))
	}
}

type endlessReader string

func (text endlessReader) Read(buffer []byte) (int, error) {
	for read := copy(buffer, text); read < len(buffer); {
		read += copy(buffer[read:], buffer[:read])
	}
	return len(buffer), nil
}

// endless is a step of a script: the target returns an answer that never ends.
func endless(status int, text string) func(context.Context, greengageroute.Attempt) (*upstream.Answer, error) {
	return func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
		answer, err := answers(status, "")(ctx, attempt)
		answer.Body = endlessReader(text)
		return answer, err
	}
}

// TestEndlessAnswersAreNotDelivered guards against answers of targets in trouble that
// fill the memory, and against a truncated answer that looks complete.
func TestEndlessAnswersAreNotDelivered(t *testing.T) {
	tests := []struct {
		name, method, path string
		script             script
		status             int
		body               string
	}{
		{"body of a plain service", http.MethodPost, "/post/x", script{endless(200, "x")}, http.StatusBadGateway, ""},
		{"body of an idempotent call, then an answer", http.MethodGet, "/get/x", script{endless(200, "x"), answers(200, "own")}, 200, "own"},
		{"event of a stream, then an answer", http.MethodPost, "/chat/x", script{endless(200, "data: x\n"), answers(200, "id: 1\ndata: own\n\n")}, 200, "id: 1\ndata: own\n\n"},
		{"line of a stream, then an answer", http.MethodPost, "/chat/x", script{endless(200, "x"), answers(200, "id: 1\ndata: own\n\n")}, 200, "id: 1\ndata: own\n\n"},
		{"body of a failure, then an answer", http.MethodPost, "/chat/x", script{endless(400, "x"), answers(200, "id: 1\ndata: own\n\n")}, 200, "id: 1\ndata: own\n\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			recorder, aborted := newFixture(test.script).serve(newRequest(test.method, test.path))
			if aborted || recorder.Code != test.status || test.body != "" && recorder.Body.String() != test.body {
				t.Errorf("got status %d, %d bytes of body, aborted: %t; want status %d and body %q", recorder.Code, recorder.Body.Len(), aborted, test.status, test.body)
			}
		})
	}
}

// TestStoppedTimerIsNotStartedAgain guards against a check that outlives its attempt: it
// runs while the attempt ends, and starts the timer again afterwards.
func TestStoppedTimerIsNotStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var checks atomic.Int32
		timer := &recheckTimer{}
		timer.start(time.Second, func() {
			checks.Add(1)
			time.Sleep(time.Second) // the attempt ends meanwhile
			timer.reset(time.Second)
		})
		time.Sleep(1500 * time.Millisecond)
		timer.stop()
		time.Sleep(time.Minute)
		if count := checks.Load(); count != 1 {
			t.Errorf("%d checks ran, want 1", count)
		}
	})
}
