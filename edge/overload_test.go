package edge

import (
	"cmp"
	"context"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/upstream"
)

// loadOfAll returns the same number of running requests at all heads of the fixture.
func loadOfAll(running int) map[string]greengageroute.EngineLoad {
	loads := map[string]greengageroute.EngineLoad{}
	for _, id := range []string{"llm-a", "llm-b", "llm-c"} {
		loads[id] = greengageroute.EngineLoad{Running: running}
	}
	return loads
}

// TestAdmission guards against streams that are refused although they have begun or may have
// run, and against routes without an objective that are refused.
func TestAdmission(t *testing.T) {
	fills := func(fixture **fixture, step func(context.Context, greengageroute.Attempt) (*upstream.Answer, error)) func(context.Context, greengageroute.Attempt) (*upstream.Answer, error) {
		return func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
			(*fixture).loads = loadOfAll(30)
			return step(ctx, attempt)
		}
	}
	var current *fixture
	tests := []struct {
		name      string
		path      string
		running   int
		script    script
		status    int
		counter   string
		urgencies []int
		routes    *greengageroute.RouteTable // nil: rankedRoutes
	}{
		{"free slots", "/chat/x", 1, script{answers(200, events(1, 3))}, 200, "admission-sent-0", []int{2}, nil},
		{"full replicas", "/chat/x", 30, script{answers(200, events(1, 3))}, 503, "admission-refused-queue-0", nil, nil},
		{"full replicas, no objective", "/talk/x", 30, script{answers(200, events(1, 3))}, 200, "", []int{4}, nil},
		{"full replicas, no engine", "/feed/x", 30, script{answers(200, events(1, 3))}, 200, "", []int{0}, nil},
		{"broken off, full since", "/chat/x", 1, script{fills(&current, aborts(events(1, 2))), answers(200, events(3, 4))}, 200, "admission-sent-0", []int{2, 1}, nil},
		{"may have run, full since", "/chat/x", 1, script{fills(&current, resets), answers(200, events(1, 4))}, 200, "admission-sent-0", []int{2, 2}, nil},
		{"turned away, full since", "/chat/x", 1, script{fills(&current, rejects), answers(200, events(1, 4))}, 503, "admission-refused-queue-0", []int{2}, nil},
		{"ranks alike, full replicas", "/chat/x", 30, script{answers(200, events(1, 3))}, 503, "refused-503", nil, testRoutes},
		{"ranks alike, broken off", "/chat/x", 1, script{fills(&current, aborts(events(1, 2))), answers(200, events(3, 4))}, 200, "", []int{0, 0}, testRoutes},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				current = newFixture(test.script)
				current.routes = cmp.Or(test.routes, rankedRoutes)
				current.loads = loadOfAll(test.running)
				recorder, aborted := current.serve(newRequest("POST", test.path))
				if recorder.Code != test.status || aborted || len(current.attempts) != len(test.urgencies) {
					t.Fatalf("got %d after %d attempts, aborted: %t; want %d after %d", recorder.Code, len(current.attempts), aborted, test.status, len(test.urgencies))
				}
				for i, attempt := range current.attempts {
					if attempt.Urgency != test.urgencies[i] {
						t.Errorf("attempt %d has urgency %d, want %d", i, attempt.Urgency, test.urgencies[i])
					}
				}
				if test.counter != "" && current.count(test.counter) != "1" {
					t.Errorf("%s is %q, want 1", test.counter, current.count(test.counter))
				}
				after, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64)
				if test.status == 503 && (err != nil || after < 0.2 || test.routes == nil && after > 8.0/3) {
					t.Errorf("refused with Retry-After %q", recorder.Header().Get("Retry-After"))
				}
				time.Sleep(time.Second) // lets the crash checks end
			})
		})
	}
}

// TestOffsetIsLearned guards against predictions that lack the engine's fixed time before the
// first token, and against those learned from full replicas, where the queue is measured.
func TestOffsetIsLearned(t *testing.T) {
	tests := []struct {
		name    string
		running int
		learned bool
	}{{"free slots", 1, true}, {"full replicas", 4, false}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var steps script
				for range 10 {
					steps = append(steps, func(context.Context, greengageroute.Attempt) (*upstream.Answer, error) {
						time.Sleep(200 * time.Millisecond)
						return &upstream.Answer{AnswerHead: greengageroute.AnswerHead{ID: "id-1", Status: 200}, Body: strings.NewReader(events(1, 3))}, nil
					})
				}
				fixture := newFixture(steps)
				fixture.loads, fixture.routes = loadOfAll(test.running), rankedRoutes
				for range steps {
					fixture.serve(newRequest("POST", "/chat/x"))
				}
				predicted := testEngine.TimeToFirstToken(testEngine.Models[0], fixture.loads["llm-a"], 0)
				offset := fixture.service.overload.input(overloadKey{"llm", "m"}, 0, false, time.Now()).Offset
				if want := 200*time.Millisecond - predicted; test.learned && (offset < want-50*time.Millisecond || offset > want+50*time.Millisecond) {
					t.Errorf("the offset is %s, want about %s", offset, want)
				}
				if !test.learned && offset != 0 {
					t.Errorf("the offset is %s, want none", offset)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// BenchmarkAdmit measures a decision with its records.
func BenchmarkAdmit(b *testing.B) {
	records, key, now := newOverloadRecords(), overloadKey{"llm", "m"}, time.Now()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		isUsual := records.recordRequest(key, greengageroute.Route{Priority: i % 3, LatencyObjective: 300 * time.Millisecond}, i%3, "workspace", now)
		input := records.input(key, i%3, !isUsual, now)
		input.Engine, input.Model, input.Load.Running, input.Slowdown = testEngine, testEngine.Models[0], i%8, 1.2
		input.Objective, input.Remaining, input.Draw, input.Occupancy = 300*time.Millisecond, 8*time.Second, 0.5, 0.95
		records.recordDecision(key, greengageroute.OverloadLevel(i%3, !isUsual), input.Decide().IsSent(), now)
	}
}
