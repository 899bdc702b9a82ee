package greengageroute

import (
	"testing"
	"time"
)

// calmInput is the input for a request of usual length on a replica with the given number of
// running requests.
func calmInput(running int) OverloadInput {
	return OverloadInput{
		Engine: fleetEngine, Model: fleetEngine.Models[0], Load: EngineLoad{Running: running}, Slowdown: 1, Objective: 300 * time.Millisecond,
		Remaining: 8 * time.Second, PromptTokens: 500, LowestObjective: 300 * time.Millisecond, Draw: 0.5, Occupancy: 0.5,
	}
}

// TestDecisionsOnACalmSystem guards against requests that are refused where the rule before
// sent them, although the replicas have free slots and none was refused lately.
func TestDecisionsOnACalmSystem(t *testing.T) {
	decisions := 0
	for running := range fleetEngine.Slots {
		for _, slowdown := range []float64{1, 1.3, 1.6, 2.5} {
			for _, prefill := range []int{0, 500, 4000, 16_000} {
				for _, prompt := range []int{50, 500, 4000} {
					for _, draw := range []float64{0, 0.5, 0.999} {
						for moreUrgent := range 3 {
							input := calmInput(running)
							input.Load.PrefillTokens, input.Slowdown, input.PromptTokens, input.Draw = prefill, slowdown, prompt, draw
							input.MoreUrgent, input.OverUsual = moreUrgent, moreUrgent == 2
							if decisions++; decideByFactor(input).IsSent() && !input.Decide().IsSent() {
								t.Errorf("%+v: %s, want it sent as before", input, input.Decide().Outcome)
							}
						}
					}
				}
			}
		}
	}
	t.Logf("%d decisions", decisions)
}

// TestDecisions guards against requests that are sent where others would wait in vain, and
// refused where they take nothing from others.
func TestDecisions(t *testing.T) {
	tests := []struct {
		name    string
		change  func(input *OverloadInput)
		outcome OverloadOutcome
	}{
		{"full replica, short queue", func(*OverloadInput) {}, OverloadSent},
		{"long queue", func(input *OverloadInput) { input.Load.Running = 24 }, OverloadRefusedQueue},
		{"long queue without an objective", func(input *OverloadInput) { input.Load.Running, input.Objective = 24, 0 }, OverloadSent},
		{"most of the objective was spent waiting", func(input *OverloadInput) { input.Waited = 200 * time.Millisecond }, OverloadRefusedQueue},
		{"the same with a free slot", func(input *OverloadInput) { input.Waited, input.Load.Running = 200*time.Millisecond, 19 }, OverloadSent},
		{"long prompt, short queue", func(input *OverloadInput) { input.PromptTokens = 20_000 }, OverloadSent},
		{"long prompt, free slots", func(input *OverloadInput) { input.PromptTokens, input.Load.Running = 60_000, 10 }, OverloadSent},
		{"slow replica, free slots", func(input *OverloadInput) { input.Slowdown, input.Load.Running = 6, 10 }, OverloadSent},
		{"less urgent than what is seen", func(input *OverloadInput) { input.MoreUrgent, input.Occupancy = 1, 1 }, OverloadRefusedRank},
		{"workspace over its usual rate", func(input *OverloadInput) { input.OverUsual, input.Occupancy = true, 1 }, OverloadRefusedWorkspace},
		{"long objective, seen beside a short one", func(input *OverloadInput) { input.Objective, input.Load.Running = 3*time.Second, 26 }, OverloadRefusedQueue},
		{"deadline before the first token", func(input *OverloadInput) { input.Remaining, input.Load.Running = 50*time.Millisecond, 0 }, OverloadRefusedDeadline},
		{"deadline within the generation", func(input *OverloadInput) { input.Remaining = 400 * time.Millisecond }, OverloadRefusedDeadline},
		{"the same with a short answer", func(input *OverloadInput) { input.Remaining, input.AnswerTokens = 400*time.Millisecond, 12 }, OverloadSent},
		{"a large offset doesn't starve", func(input *OverloadInput) { input.Offset = time.Second }, OverloadSent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			input := calmInput(fleetEngine.Slots)
			test.change(&input)
			decision := input.Decide()
			if decision.Outcome != test.outcome || decision.IsSent() != (decision.RetryAfter == 0) {
				t.Errorf("got %+v, want %s", decision, test.outcome)
			}
		})
	}
}

// TestOverloadedRetryAfter guards against callers that return before anything has changed, all at
// once, or too late for their deadline.
func TestOverloadedRetryAfter(t *testing.T) {
	for _, remaining := range []time.Duration{time.Millisecond, 450 * time.Millisecond, time.Second, 8 * time.Second} {
		seen := Set[time.Duration]{}
		for _, draw := range []float64{0, 0.3, 0.6, 0.999} {
			for _, share := range []float64{0, 0.5, 1} {
				input := calmInput(40)
				input.Remaining, input.Draw, input.RefusedShare = remaining, draw, share
				after := input.Decide().RetryAfter
				if after <= 0 || after > max(remaining/3, time.Millisecond) || remaining > 900*time.Millisecond && after < MinOverloadRetryAfter {
					t.Errorf("%s of %s at a refused share of %.1f", after, remaining, share)
				}
				seen.Add(after)
			}
		}
		if remaining >= time.Second && len(seen) < 4 {
			t.Errorf("%d different times of 12 for %s", len(seen), remaining)
		}
	}
}

// TestIdleEnginesAreNeverRefused guards against a refused share that keeps itself up: an engine
// with short answers must take requests again once it is idle.
func TestIdleEnginesAreNeverRefused(t *testing.T) {
	for _, answer := range []int{6, 30, 100, 3000} {
		engine := *fleetEngine
		engine.MeanAnswerTokens = answer
		refused, now := RefusedShare{share: 1, at: time.Unix(0, 0)}, time.Unix(0, 0)
		sent := 0
		for i := range 200 {
			now = now.Add(10 * time.Millisecond)
			input := calmInput(0)
			input.Engine, input.RefusedShare, input.Draw, input.Occupancy = &engine, refused.At(now), float64(i*37%100)/100, 0
			input.Remaining = time.Minute
			decision := input.Decide()
			refused = refused.WithDecision(decision.IsSent(), now)
			if i >= 100 && decision.IsSent() {
				sent++
			}
		}
		if sent < 95 {
			t.Errorf("%d of 100 requests are sent with answers of %d tokens, want all after a second", sent, answer)
		}
	}
}
