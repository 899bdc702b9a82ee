package caller

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/target"
)

type (
	// faultyEngine is an engine whose probes find it healthy, and which fails each request.
	faultyEngine struct {
		TargetClient
		failure  error
		requests int
	}

	// probedState is a state with one group, which is available again a second after each
	// failure.
	probedState struct {
		staticState
		availableAt time.Time
	}
)

func (engine *faultyEngine) Generate(_ context.Context, _ string, _ target.GenerateRequest, _ func() time.Time, _ func()) (*target.Stream, error) {
	engine.requests++
	return nil, engine.failure
}

func (state *probedState) Available(_ string, now time.Time) []greengageroute.GroupCandidate {
	if now.Before(state.availableAt) {
		return nil
	}
	return []greengageroute.GroupCandidate{{Group: greengageroute.Group{Name: "g", Generation: 1, Members: []greengageroute.Member{{VM: "vm-1", Address: "10.0.0.1:1"}}}}}
}

func (state *probedState) RecordGroupFailure(greengageroute.Group, string) {
	state.availableAt = time.Now().Add(time.Second)
}

// TestChatsEndAtFaultyEngine guards against a caller that waits for good for an engine whose
// probes find it healthy and which fails each request.
func TestChatsEndAtFaultyEngine(t *testing.T) {
	const deadline = 5 * time.Second
	for _, test := range []struct {
		name    string
		failure error
	}{
		{"refuses", &target.RefusedError{Status: http.StatusInternalServerError}},
		{"sends no answer", &target.AnswerLostError{Cause: errors.New("a line of the answer is too long")}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				engine := &faultyEngine{failure: test.failure}
				service := New(Dependencies{
					State: &probedState{staticState: staticState{claimConfig(t, false)}}, Targets: engine, Router: greengageroute.NewRouter(), InFlight: NewInFlightRequests(),
					Quarantine: greengageroute.NewQuarantine(func(greengageroute.QuarantineChange) {}), Counters: new(expvar.Map).Init(), Log: logr.Discard(),
				})
				completion := Completion{Model: "m", Messages: []ChatMessage{{Content: "x"}}, MaxTokens: 10}
				run := service.newChatRun(greengageroute.Workspace{}, completion, newChatCauses([]byte("x"), completion), 0, 1)
				run.class.Deadline = deadline
				started := time.Now()
				_, err := run.next(ctx)
				if waited := time.Since(started); err == nil || waited > 2*deadline {
					t.Errorf("the caller got error %v after %s and %d attempts, want an end within %s", err, waited, engine.requests, 2*deadline)
				}
				run.leaveGroup()
			})
		})
	}
}
