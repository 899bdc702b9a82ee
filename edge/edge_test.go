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
	// script is what the fake targets do with each attempt, in order.
	script []func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error)

	// stage is a service whose targets follow a script.
	stage struct {
		service  *Service
		age      time.Duration
		script   script
		mu       sync.Mutex
		attempts []greengageroute.Attempt
		silent   int
		loads    map[string]greengageroute.EngineLoad
		crashes  []mesh.CrashReport
		alive    bool
		live     int // entries
	}
)

func (stage *stage) Routes() *greengageroute.RouteTable { return testRoutes }
func (stage *stage) Age() time.Duration                 { return stage.age }
func (stage *stage) LiveEntries() int                   { return stage.live }
func (stage *stage) LoadChanged()                       {}
func (stage *stage) ReportCrash(report mesh.CrashReport) {
	stage.mu.Lock()
	defer stage.mu.Unlock()
	stage.crashes = append(stage.crashes, report)
}
func (stage *stage) Active(string, time.Duration) bool           { return false }
func (stage *stage) Loads() map[string]greengageroute.EngineLoad { return stage.loads }
func (stage *stage) Silent(greengageroute.Replica)               { stage.silent++ }
func (stage *stage) Answers(greengageroute.Target) bool          { return stage.alive }

func (stage *stage) Kept(greengageroute.Target, bool) bool { return false }

func (stage *stage) Do(ctx context.Context, _ greengageroute.Request, attempt greengageroute.Attempt) (*upstream.Answer, error) {
	stage.mu.Lock()
	place := len(stage.attempts)
	stage.attempts = append(stage.attempts, attempt)
	stage.mu.Unlock()
	if place >= len(stage.script) {
		return nil, &upstream.NotSentError{Target: attempt.Target.ID, Cause: errors.New("the script has ended")}
	}
	return stage.script[place](ctx, attempt)
}

var (
	testEngine = &greengageroute.Engine{
		Slots: 4, StepsPerIteration: 6, StepTime: 6 * time.Millisecond, PrefillRate: 50_000, PrefillChunk: 2048, MeanPromptTokens: 1000, MeanAnswerTokens: 100,
		Models: []greengageroute.EngineModel{{Name: "m", Size: 1, Share: 1, TimeFactor: 1}},
	}
	testRoutes = greengageroute.NewRouteTable(7, []greengageroute.Route{
		{Name: "post", Host: "h", Prefix: "/post/", Kind: greengageroute.NonIdempotent, Timeout: time.Second, Attempts: 1, Pools: to("ledger")},
		{Name: "get", Host: "h", Prefix: "/get/", Kind: greengageroute.Idempotent, Timeout: time.Second, Attempts: 2, Pools: to("ledger")},
		{Name: "open", Host: "h", Prefix: "/open/", Kind: greengageroute.Idempotent, Timeout: time.Second, Attempts: 2, Public: true, Pools: to("ledger")},
		{
			Name: "chat", Host: "h", Prefix: "/chat/", Kind: greengageroute.Streaming, Timeout: 8 * time.Second, Attempts: 2, Resumable: true,
			LatencyObjective: 250 * time.Millisecond, GapObjective: 200 * time.Millisecond, Pools: to("llm"),
		},
	}, map[string]greengageroute.Pool{"ledger": {Name: "ledger"}, "llm": {Name: "llm", Engine: testEngine}},
		map[string]greengageroute.KeyOwner{"key": {Name: "counters"}}, greengageroute.CallerLimits{BodyBytes: 1000}, true)
)

func to(pool string) []greengageroute.PoolShare {
	return []greengageroute.PoolShare{{Pool: pool, Weight: 1}}
}

func newStage(script script) *stage {
	stage := &stage{script: script, alive: true, live: 3}
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
	stage.service = New(Parts{
		Bounds: greengageroute.Bounds{RevocationTime: 5 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 300},
		Config: stage, Directory: directory, Peers: stage, Suspects: stage, Sender: stage,
		Counters: new(expvar.Map).Init(), Latencies: NewLatencies(), Log: logr.Discard(),
	})
	return stage
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

// serve answers a request; broken tells that the connection was cut.
func (stage *stage) serve(request *http.Request) (recorder *httptest.ResponseRecorder, broken bool) {
	recorder = httptest.NewRecorder()
	defer func() {
		if cause := recover(); cause == http.ErrAbortHandler {
			broken = true
		} else if cause != nil {
			panic(cause)
		}
	}()
	stage.service.ServeHTTP(recorder, request)
	return recorder, false
}

// Steps of scripts.

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
	return nil, &upstream.LostError{Target: attempt.Target.ID, Cause: errors.New("reset")}
}

func hangs(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
	<-ctx.Done()
	return nil, &upstream.LostError{Target: attempt.Target.ID, Cause: ctx.Err()}
}

// breaks streams some text and then breaks off.
func breaks(text string) func(context.Context, greengageroute.Attempt) (*upstream.Answer, error) {
	return func(_ context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
		body := io.MultiReader(strings.NewReader(text), failing{})
		head := greengageroute.AnswerHead{ID: "id-1", Status: http.StatusOK, Header: http.Header{"From": {attempt.Target.ID}}}
		return &upstream.Answer{AnswerHead: head, Body: body}, nil
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func events(from, to int) string {
	text := bytes.Buffer{}
	for id := from; id <= to; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: t%d\n\n", id, id)
	}
	return text.String()
}

func TestCallsArePromisedNotRunOnlyIfTheyWereNot(t *testing.T) {
	tests := []struct {
		name     string
		method   string
		path     string
		script   script
		status   int
		attempts int
	}{
		{"an action that is answered", "POST", "/post/x", script{answers(200, "done")}, 200, 1},
		{"an action whose answer never comes is not said to be not run", "POST", "/post/x", script{hangs}, 504, 1},
		{"an action whose connection is reset is not sent again", "POST", "/post/x", script{resets, answers(200, "twice")}, 502, 1},
		{"an action that no target took", "POST", "/post/x", script{rejects, answers(200, "beyond its attempts")}, 503, 1},
		{"an action that never left goes to another target", "POST", "/post/x", script{unreachable, answers(200, "done")}, 200, 2},
		{"a failure of the target is passed on", "POST", "/post/x", script{answers(500, "failed")}, 500, 1},
		{"a look-up that fails is tried elsewhere", "GET", "/get/x", script{answers(500, "failed"), answers(200, "done")}, 200, 2},
		{"a look-up whose answer is lost is tried elsewhere", "GET", "/get/x", script{resets, answers(200, "done")}, 200, 2},
		{"a look-up that two targets rejected", "GET", "/get/x", script{rejects, rejects}, 503, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stage := newStage(test.script)
				recorder, _ := stage.serve(newRequest(test.method, test.path))
				if recorder.Code != test.status || len(stage.attempts) != test.attempts {
					t.Errorf("got %d after %d attempts, want %d after %d", recorder.Code, len(stage.attempts), test.status, test.attempts)
				}
				if recorder.Code == http.StatusServiceUnavailable && recorder.Header().Get("Retry-After") == "" {
					t.Error("the refusal doesn't say when to come back")
				}
				synctest.Wait()
				time.Sleep(time.Second) // lets what looks into lost answers end
			})
		})
	}
}

func TestStreamsGoOnAtAnotherReplica(t *testing.T) {
	tests := []struct {
		name   string
		script script
		body   string
		broken bool
	}{
		{"whole", script{answers(200, events(1, 3))}, events(1, 3), false},
		{"broken between events", script{breaks(events(1, 2)), answers(200, events(3, 4))}, events(1, 4), false},
		{"broken within an event", script{breaks(events(1, 2) + "id: 3\nda"), answers(200, events(3, 4))}, events(1, 4), false},
		{"broken before the first event", script{breaks(""), answers(200, events(1, 2))}, events(1, 2), false},
		{"broken twice", script{breaks(events(1, 2)), breaks(events(3, 3))}, events(1, 3), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stage := newStage(test.script)
				recorder, broken := stage.serve(newRequest("POST", "/chat/x"))
				if broken != test.broken || recorder.Body.String() != test.body {
					t.Errorf("got %q, broken %t", recorder.Body, broken)
				}
				for _, attempt := range stage.attempts[1:] {
					if attempt.Target.ID == stage.attempts[0].Target.ID {
						t.Error("the stream went on at the replica that broke")
					}
				}
				time.Sleep(time.Second)
			})
		})
	}
}

func TestSecondAttemptStartsAfterTheLastWholeEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stage := newStage(script{breaks(events(1, 2) + "id: 3\n"), answers(200, events(3, 3))})
		stage.serve(newRequest("POST", "/chat/x"))
		if last := stage.attempts[1].LastEventID; last != "2" {
			t.Errorf("the second attempt goes on after event %q, want 2", last)
		}
		time.Sleep(time.Second)
	})
}

func TestOldConfigRefusesKeysAndStrangers(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		key    string
		age    time.Duration
		status int
	}{
		{"known key", "/get/x", "key", time.Second, 200},
		{"unknown key", "/get/x", "other", time.Second, 401},
		{"known key by an old config", "/get/x", "key", 4500 * time.Millisecond, 503},
		{"unknown key by an old config", "/get/x", "other", 4500 * time.Millisecond, 503},
		{"unknown route", "/none/x", "key", time.Second, 404},
		{"unknown route by an old config", "/none/x", "key", 4500 * time.Millisecond, 503},
		{"public route by an old config", "/open/x", "", 4500 * time.Millisecond, 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			stage := newStage(script{answers(200, "done")})
			stage.age = test.age
			request := newRequest("GET", test.path)
			request.Header.Set("Authorization", "Bearer "+test.key)
			if recorder, _ := stage.serve(request); recorder.Code != test.status {
				t.Errorf("got %d, want %d", recorder.Code, test.status)
			}
		})
	}
}

// The store is away: where no entry has it, callers come back when it may have
// returned; one entry that is cut off alone sends them to another soon.
func TestCallersComeBackWhenTheConfigMayBeProven(t *testing.T) {
	tests := []struct {
		name  string
		live  int
		after string
	}{
		{"all entries have lost the store", 12, "2.000"},
		{"this entry is cut off from the others too", 1, "0.500"},
	}
	for _, test := range tests {
		stage := newStage(script{answers(200, "done")})
		stage.age, stage.live = 4500*time.Millisecond, test.live
		request := newRequest("GET", "/get/x")
		request.Header.Set("Authorization", "Bearer key")
		recorder, _ := stage.serve(request)
		if after := recorder.Header().Get("Retry-After"); recorder.Code != 503 || after != test.after || len(stage.attempts) > 0 {
			t.Errorf("%s: got %d, to come back after %s, want %s", test.name, recorder.Code, after, test.after)
		}
	}
}

// Twice the load that the replicas can take: what can't be served in time is
// refused at once, with a time to come back, and not held.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stage := newStage(script{answers(200, events(1, 2))})
		stage.loads = map[string]greengageroute.EngineLoad{}
		for _, id := range []string{"llm-a", "llm-b", "llm-c"} {
			stage.loads[id] = greengageroute.EngineLoad{Running: 12, PrefillTokens: 30_000}
		}
		began := time.Now()
		recorder, _ := stage.serve(newRequest("POST", "/chat/x"))
		after, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64)
		if recorder.Code != http.StatusServiceUnavailable || err != nil || after < minOverloadRetry.Seconds() {
			t.Errorf("got %d, Retry-After %q", recorder.Code, recorder.Header().Get("Retry-After"))
		}
		if held := time.Since(began); held > 0 {
			t.Errorf("the refusal took %s", held)
		}
	})
}

func TestRequestsThatKillTargetsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stage := newStage(script{resets, resets, answers(200, "not again")})
		stage.alive = false
		stage.serve(newRequest("GET", "/get/poison"))
		time.Sleep(time.Second)
		if recorder, _ := stage.serve(newRequest("GET", "/get/poison")); recorder.Code != http.StatusServiceUnavailable {
			t.Errorf("the third run got %d", recorder.Code)
		}
		if recorder, _ := stage.serve(newRequest("GET", "/get/other")); recorder.Code != http.StatusOK {
			t.Errorf("another request got %d", recorder.Code)
		}
		if len(stage.crashes) != 2 {
			t.Errorf("the other entries heard of %d deaths, want 2", len(stage.crashes))
		}
	})
}

func TestLongBodyIsRefused(t *testing.T) {
	stage := newStage(nil)
	request := newRequest("POST", "/post/x")
	request.Body, request.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))), 2000
	if recorder, _ := stage.serve(request); recorder.Code != http.StatusRequestEntityTooLarge || len(stage.attempts) > 0 {
		t.Errorf("got %d after %d attempts", recorder.Code, len(stage.attempts))
	}
}
