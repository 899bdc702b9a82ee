package caller

import (
	"context"
	"errors"
	"expvar"
	"fmt"
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

	// probedState is a state with the groups g and others, of which g is available again a
	// second after each failure.
	probedState struct {
		staticState
		availableAt time.Time
		others      []string
	}
)

func (engine *faultyEngine) Generate(_ context.Context, _ string, _ target.GenerateRequest, _ func() time.Time, _ func()) (*target.Stream, error) {
	engine.requests++
	return nil, engine.failure
}

func (state *probedState) Available(_ string, now time.Time) []greengageroute.GroupCandidate {
	var candidates []greengageroute.GroupCandidate
	for _, name := range append([]string{"g"}, state.others...) {
		if name != "g" || !now.Before(state.availableAt) {
			group := greengageroute.Group{Name: name, Generation: 1, Members: []greengageroute.Member{{VM: name, Address: "10.0.0.1:1"}}}
			candidates = append(candidates, greengageroute.GroupCandidate{Group: group})
		}
	}
	return candidates
}

func (state *probedState) RecordGroupFailure(greengageroute.Group, string) {
	state.availableAt = time.Now().Add(time.Second)
}

func newChatService(state State, targets TargetClient) *Service {
	return New(Dependencies{
		State: state, Targets: targets, Router: greengageroute.NewRouter(), InFlight: NewInFlightRequests(),
		Quarantine: greengageroute.NewQuarantine(func(greengageroute.QuarantineChange) {}), Counters: new(expvar.Map).Init(), Log: logr.Discard(),
	})
}

func newTestRun(service *Service, content string) *chatRun {
	completion := Completion{Model: "m", Messages: []ChatMessage{{Content: content}}, MaxTokens: 10}
	return service.newChatRun(greengageroute.Workspace{}, completion, newChatCauses([]byte(content), completion), 0, 1)
}

// TestFaultyGroupIsRarelyPicked guards against chats that meet a faulty engine after each probe
// that finds it healthy, although another group is sound.
func TestFaultyGroupIsRarelyPicked(t *testing.T) {
	const faultyTime, interval = 10 * time.Minute, 100 * time.Millisecond
	for _, test := range []struct {
		name    string
		failure error
	}{
		{"refuses", &target.RefusedError{Status: http.StatusInternalServerError}},
		{"sends no answer", &target.AnswerLostError{Cause: errors.New("a line of the answer is too long")}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := newChatService(&probedState{staticState: staticState{claimConfig(t, false)}, others: []string{"sound"}}, &faultyEngine{})
				met, lost, started := 0, 0, time.Now()
				for number := 0; time.Since(started) < faultyTime; number++ {
					service.retryBudget.RecordRequest()
					run := newTestRun(service, fmt.Sprint(number))
					var err error
					if run.group, err = run.pickGroup(t.Context()); err == nil && run.group.Name == "g" {
						met++
						err = run.failover(t.Context(), test.failure)
					} else {
						run.recordToken(target.Chunk{})
					}
					if err != nil {
						lost++
					}
					run.endRequest = func() {}
					run.leaveGroup()
					time.Sleep(interval)
				}
				t.Logf("%d chats met the faulty group, %d were lost", met, lost)
				// The first, and one after each rest: 1, 2, 4, 8 and 16 s, then 30 s each.
				if most := 6 + int(faultyTime/(30*time.Second)); met > most || met == 0 || lost > 0 {
					t.Errorf("%d chats met the faulty group and %d were lost, want at most %d and none", met, lost, most)
				}
			})
		})
	}
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
				run := newTestRun(newChatService(&probedState{staticState: staticState{claimConfig(t, false)}}, engine), "x")
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
