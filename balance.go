package greengageroute

import "time"

const (
	// remoteCost is what a replica in another data centre has to be faster by: its
	// events cross a link that is billed by the byte.
	remoteCost = 12 * time.Millisecond
	// connectCost is what a replica has to be faster by that no connection is kept
	// to: a round trip, and its head's time for a new connection, which operators
	// bill. Predictions are off by more than that.
	connectCost = 8 * time.Millisecond
	// targetConnectCost is the same for a plain target, whose answers take 20 ms.
	targetConnectCost = 2 * time.Millisecond
	// gapMargin is the part of the longest allowed gap that a pass may take.
	gapMargin = 0.85
	// gapCost is what a replica has to be faster by whose next pass would make the
	// streams that run on it late.
	gapCost = 150 * time.Millisecond
)

type (
	// ReplicaCandidate is a replica with what is known of its load.
	ReplicaCandidate struct {
		Replica           Replica
		Load              EngineLoad // of all entries
		Slowdown          float64    // measured pace against the published one; 1 is as published
		Local             bool       // its head is in the entry's data centre
		Unresponsive      bool       // silent for longer than a pass takes
		HasIdleConnection bool       // there is an idle connection to its head
	}

	// TargetCandidate is a target of a plain service with what is known of it.
	TargetCandidate struct {
		Target            Target
		Running           int           // requests of all entries
		Latency           time.Duration // usual time to answer
		Failures          float64       // share of its latest answers that failed
		Local             bool
		HasIdleConnection bool // there is an idle connection to it
	}
)

// TimeToFirstToken predicts the time to the first token at the replica.
func (choice ReplicaCandidate) TimeToFirstToken(engine *Engine, model EngineModel, prompt int) time.Duration {
	expected := float64(engine.TimeToFirstToken(model, choice.Load, prompt)) * max(choice.Slowdown, 1)
	return time.Duration(expected)
}

// NextIterationTime predicts how long the streams that run at the replica wait while it
// reads the prompt beside what it has to read already.
func (choice ReplicaCandidate) NextIterationTime(engine *Engine, model EngineModel, prompt int) time.Duration {
	reading := min(choice.Load.PrefillTokens+prompt, engine.PrefillChunk*max(engine.StepsPerIteration, 1))
	pass := engine.IterationTime(model, choice.Load.Running+1) + engine.PrefillTime(model, reading)
	return time.Duration(float64(pass) * max(choice.Slowdown, 1))
}

// ChooseReplica returns the place of the replica that is expected to give the
// first token soonest, or -1. Replicas that are silent are chosen only if there
// is no other.
func ChooseReplica(engine *Engine, model EngineModel, prompt int, gap time.Duration, choices []ReplicaCandidate) (place int, expected time.Duration) {
	place = -1
	best := time.Duration(0)
	for i, choice := range choices {
		cost := choice.TimeToFirstToken(engine, model, prompt)
		if !choice.Local {
			cost += remoteCost
		}
		if !choice.HasIdleConnection {
			cost += connectCost
		}
		if choice.Load.Running > 0 && gap > 0 && choice.NextIterationTime(engine, model, prompt) > time.Duration(gapMargin*float64(gap)) {
			cost += gapCost
		}
		if choice.Unresponsive {
			cost += time.Hour
		}
		if place < 0 || cost < best {
			place, best, expected = i, cost, choice.TimeToFirstToken(engine, model, prompt)
		}
	}
	return place, expected
}

// ChooseTarget returns the place of the target that is expected to answer
// soonest, counting a failure as a second try, or -1.
func ChooseTarget(choices []TargetCandidate) int {
	place := -1
	best := 0.0
	for i, choice := range choices {
		slots := float64(max(choice.Target.Slots, 1))
		cost := choice.Latency.Seconds() * (1 + float64(choice.Running)/slots)
		cost *= 1 + 8*choice.Failures
		if !choice.Local {
			cost += 2e-3
		}
		if !choice.HasIdleConnection {
			cost += targetConnectCost.Seconds()
		}
		if place < 0 || cost < best {
			place, best = i, cost
		}
	}
	return place
}
