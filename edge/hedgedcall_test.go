package edge

import (
	"context"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/upstream"
)

// after is a step of a script: the target reacts after a silence, unless the attempt is
// cancelled before.
func after(silence time.Duration, reaction step) step {
	return func(ctx context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
		select {
		case <-time.After(silence):
			return reaction(ctx, attempt)
		case <-ctx.Done():
			return hangs(ctx, attempt)
		}
	}
}

// TestSilenceEndsNoCall guards against a call that fails because its target was silent for a
// while, against one that runs twice although it may not, and against targets that work on
// for a call that another one has answered.
func TestSilenceEndsNoCall(t *testing.T) {
	late := after(700*time.Millisecond, answers(200, "late"))
	tests := []struct {
		name     string
		path     string
		script   script
		status   int
		body     string
		attempts int
		took     time.Duration
	}{
		{"an action", "/post/x", script{after(900*time.Millisecond, answers(200, "late")), answers(200, "twice")}, 200, "late", 1, 900 * time.Millisecond},
		{"a read, the second target is faster", "/get/x", script{late, after(100*time.Millisecond, answers(200, "second"))}, 200, "second", 2, 600 * time.Millisecond},
		{"a read, the second target is silent too", "/get/x", script{late, hangs}, 200, "late", 2, 700 * time.Millisecond},
		{"a read, the second target resets", "/get/x", script{late, resets}, 200, "late", 2, 700 * time.Millisecond},
		{"a read, the second target rejects it", "/get/x", script{late, rejects}, 200, "late", 2, 700 * time.Millisecond},
		{"a read, the second target can't be reached", "/get/x", script{late, unreachable, unreachable, unreachable}, 200, "late", 2, 700 * time.Millisecond},
		{"a read, the second target fails", "/get/x", script{late, answers(500, "failed")}, 200, "late", 2, 700 * time.Millisecond},
		{"a read, both fail", "/get/x", script{after(700*time.Millisecond, answers(500, "failed")), answers(503, "failed too")}, 500, "failed", 2, 700 * time.Millisecond},
		{"a read, the second fails, and the first resets", "/get/x", script{after(700*time.Millisecond, resets), answers(500, "failed")}, 500, "failed", 2, 700 * time.Millisecond},
		{"a read, both are silent", "/get/x", script{hangs, hangs}, 504, "", 2, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				times := &attemptTimes{}
				fixture := newServingFixture(times.recorded(test.script...))
				began := time.Now()
				recorder, _ := fixture.serve(newRequest("GET", test.path))
				if recorder.Code != test.status || test.body != "" && recorder.Body.String() != test.body || len(fixture.attempts) != test.attempts {
					t.Errorf("got %d %q after %d attempts, want %d %q after %d", recorder.Code, recorder.Body, len(fixture.attempts), test.status, test.body, test.attempts)
				}
				if took := time.Since(began); took != test.took {
					t.Errorf("answered after %s, want %s", took, test.took)
				}
				synctest.Wait()
				for index := range fixture.attempts {
					if at, cancelled := times.cancelled[index]; !cancelled || at > test.took {
						t.Errorf("attempt %d was ended after %s (%t), want %s at most", index, at, cancelled, test.took)
					}
				}
				if running := fixture.service.tracker.Loads(); len(running) > 0 {
					t.Errorf("attempts count as running: %v", running)
				}
				time.Sleep(time.Second) // lets the crash checks of lost answers finish
			})
		})
	}
}

// TestSilentLinksEndNoCall guards against a call that waits for silent links although
// another entry reaches the targets.
func TestSilentLinksEndNoCall(t *testing.T) {
	tests := []struct {
		path     string
		status   int
		attempts int
	}{{"/get/x", http.StatusOK, 2}, {"/post/x", http.StatusGatewayTimeout, 1}}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			fixture := newFixture(script{hangs, answers(200, "by another entry")})
			now := time.Now()
			fixture.service.Prober = &isolatedLater{fixture, now.Add(100 * time.Millisecond), now.Add(time.Minute)}
			fixture.service.Peers = &helpedFixture{fixture}
			recorder, _ := fixture.serve(newRequest("GET", test.path))
			if recorder.Code != test.status || len(fixture.attempts) != test.attempts || test.attempts > 1 && !fixture.attempts[1].ToEntry {
				t.Errorf("%s: got %d after %d attempts, want %d after %d", test.path, recorder.Code, len(fixture.attempts), test.status, test.attempts)
			}
		})
	}
}

// TestSilenceIsNoCrash guards against requests that are refused because targets were silent
// while they had them, for longer than an answer is awaited on a connection.
func TestSilenceIsNoCrash(t *testing.T) {
	isSilent := func(_ context.Context, attempt greengageroute.Attempt) (*upstream.Answer, error) {
		return nil, &upstream.AnswerLostError{Target: attempt.Target.ID, Cause: os.ErrDeadlineExceeded}
	}
	for _, path := range []string{"/get/x", "/post/x", "/chat/x"} {
		synctest.Test(t, func(t *testing.T) {
			fixture := newFixture(script{isSilent, isSilent})
			fixture.targetsAccept = false
			fixture.serve(newRequest("POST", path))
			time.Sleep(time.Second)
			synctest.Wait()
			if len(fixture.crashes) > 0 {
				t.Errorf("%s: %d crashes were reported, want none", path, len(fixture.crashes))
			}
		})
	}
}

// lateConfirmations is the sender of a fixture whose targets confirm the ends of their answers
// after a silence.
type lateConfirmations struct {
	*fixture
	silence time.Duration
}

func (sender *lateConfirmations) CheckKeptConnection(ctx context.Context, _ greengageroute.Target, _ string, _ time.Time) (greengageroute.AnswerHead, error) {
	select {
	case <-time.After(sender.silence):
		return greengageroute.AnswerHead{}, nil
	case <-ctx.Done():
		return greengageroute.AnswerHead{}, ctx.Err()
	}
}

// TestSilenceAfterAnUnframedAnswer guards against the whole answer of a call that ran once, and
// can't be sent again, that is replaced by an error because its target was silent at its end.
func TestSilenceAfterAnUnframedAnswer(t *testing.T) {
	tests := []struct {
		path   string
		status int
		body   string
		took   time.Duration
	}{
		{"/post/x", 200, "whole", 600 * time.Millisecond},
		{"/get/x", 200, "second", confirmTimeout},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			fixture := newFixture(script{unframed("whole"), answers(200, "second")})
			fixture.service.Sender = &lateConfirmations{fixture, 600 * time.Millisecond}
			began := time.Now()
			recorder, _ := fixture.serve(newRequest("GET", test.path))
			if took := time.Since(began); recorder.Code != test.status || recorder.Body.String() != test.body || took != test.took {
				t.Errorf("%s: got %d %q after %s, want %d %q after %s", test.path, recorder.Code, recorder.Body, took, test.status, test.body, test.took)
			}
			time.Sleep(time.Second)
		})
	}
}
