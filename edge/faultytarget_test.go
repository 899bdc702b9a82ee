package edge

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/http1"
	"greengageroute.example/greengageroute/upstream"
)

// TestFaultyTargetIsMetByFewCallers guards against a target whose answers are too long and that
// every caller meets, and against one that is sound again and gets no requests.
func TestFaultyTargetIsMetByFewCallers(t *testing.T) {
	const (
		span     = 10 * time.Second
		maxMet   = int(span / time.Second) // once a second
		requests = 300
	)
	lost := func(part string) script {
		return script{func(_ context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
			return nil, &upstream.AnswerLostError{Target: attempt.Target.ID, Cause: &upstream.TooLongError{What: part, Bytes: 64 << 10, Limit: 64 << 10}}
		}}
	}
	malformed := script{func(_ context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
		return nil, &upstream.AnswerLostError{Target: attempt.Target.ID, Cause: &http1.MalformedError{Reason: "an invalid status"}}
	}}
	for _, test := range []struct {
		name, path string
		faulty     script
	}{
		{"stream, head", "/chat/x", lost("the head of the response")},
		{"stream, answer to another request", "/chat/x", lost("the answer to another request")},
		{"stream, event", "/chat/x", script{answers(http.StatusOK, events(1, 1)+strings.Repeat("x", maxEventBytes+1))}},
		{"stream of a plain target, event", "/feed/x", script{answers(http.StatusOK, events(1, 1)+strings.Repeat("x", maxEventBytes+1))}},
		{"stream, body of an error", "/talk/x", script{answers(http.StatusTeapot, strings.Repeat("x", maxAnswerBytes+1))}},
		{"call, head", "/get/x", lost("the head of the response")},
		{"stream, malformed head", "/chat/x", malformed},
		{"call, malformed head", "/get/x", malformed},
		{"call, body", "/get/x", script{answers(http.StatusOK, strings.Repeat("x", maxAnswerBytes+1))}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				faulty, met := true, map[string]int{}
				step := func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
					met[attempt.Target.ID]++
					time.Sleep(initialLatency)
					if faulty && strings.HasSuffix(attempt.Target.ID, "-a") {
						return test.faulty[0](ctx, attempt)
					}
					if test.path == "/get/x" {
						return answers(http.StatusOK, "sound")(ctx, attempt)
					}
					return answers(http.StatusOK, events(1, 3))(ctx, attempt)
				}
				fixture := newFixture(slices.Repeat(script{step}, 10_000))
				fixture.serving, fixture.confirmations = true, slices.Repeat([]bool{true}, 10_000)
				send := func() {
					for range requests {
						fixture.serve(newRequest("POST", test.path))
						time.Sleep(span/requests - initialLatency)
					}
				}
				send()
				pool := "llm-a"
				if met["ledger-a"]+met["ledger-b"] > 0 {
					pool = "ledger-a"
				}
				t.Logf("%d of %d callers met the faulty target", met[pool], requests)
				if met[pool] > maxMet || met[pool] == 0 {
					t.Errorf("%d of %d callers met the faulty target, want 1 to %d", met[pool], requests, maxMet)
				}
				faulty = false
				time.Sleep(time.Minute) // longer than it counts as faulty
				clear(met)
				send()
				if met[pool] <= maxMet {
					t.Errorf("%d of %d callers met the target once it was sound, want more than %d", met[pool], requests, maxMet)
				}
				time.Sleep(time.Second) // lets the crash checks finish
			})
		})
	}
}
