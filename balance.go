package greengageroute

import "time"

const (
	// remoteCost is what a replica in another data centre has to be faster by: its
	// events cross a link that is billed by the byte.
	remotePenalty = 12 * time.Millisecond
	// connectCost is what a replica has to be faster by that no connection is kept
	// to: a round trip, and its head's time for a new connection, which operators
	// bill. Predictions are off by more than that.
	connectPenalty = 8 * time.Millisecond
	// targetConnectCost is the same for a plain target, whose answers take 20 ms.
	targetConnectPenalty = 2 * time.Millisecond
	// gapMargin is the part of the longest allowed gap that a pass may take.
	gapMargin = 0.85
	// gapCost is what a replica has to be faster by whose next pass would make the
	// streams that run on it late.
	gapPenalty = 150 * time.Millisecond
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
func (candidate ReplicaCandidate) TimeToFirstToken(engine *Engine, model EngineModel, promptTokens int) time.Duration {
	expected := float64(engine.TimeToFirstToken(model, candidate.Load, promptTokens)) * max(candidate.Slowdown, 1)
	return time.Duration(expected)
}

// NextIterationTime predicts how long the streams that run at the replica wait while it
// reads the prompt beside what it has to read already.
func (candidate ReplicaCandidate) NextIterationTime(engine *Engine, model EngineModel, promptTokens int) time.Duration {
	prefillTokens := min(candidate.Load.PrefillTokens+promptTokens, engine.PrefillChunk*max(engine.StepsPerIteration, 1))
	iteration := engine.IterationTime(model, candidate.Load.Running+1) + engine.PrefillTime(model, prefillTokens)
	return time.Duration(float64(iteration) * max(candidate.Slowdown, 1))
}

// ChooseReplica returns the place of the replica that is expected to give the
// first token soonest, or -1. Replicas that are silent are chosen only if there
// is no other.
func ChooseReplica(engine *Engine, model EngineModel, promptTokens int, gapObjective time.Duration, candidates []ReplicaCandidate) (index int, expected time.Duration) {
	index = -1
	lowestCost := time.Duration(0)
	for i, candidate := range candidates {
		cost := candidate.TimeToFirstToken(engine, model, promptTokens)
		if !candidate.Local {
			cost += remotePenalty
		}
		if !candidate.HasIdleConnection {
			cost += connectPenalty
		}
		if candidate.Load.Running > 0 && gapObjective > 0 && candidate.NextIterationTime(engine, model, promptTokens) > time.Duration(gapMargin*float64(gapObjective)) {
			cost += gapPenalty
		}
		if candidate.Unresponsive {
			cost += time.Hour
		}
		if index < 0 || cost < lowestCost {
			index, lowestCost, expected = i, cost, candidate.TimeToFirstToken(engine, model, promptTokens)
		}
	}
	return index, expected
}

// ChooseTarget returns the place of the target that is expected to answer
// soonest, counting a failure as a second try, or -1.
func ChooseTarget(candidates []TargetCandidate) int {
	index := -1
	lowestCost := 0.0
	for i, candidate := range candidates {
		slots := float64(max(candidate.Target.Slots, 1))
		cost := candidate.Latency.Seconds() * (1 + float64(candidate.Running)/slots)
		cost *= 1 + 8*candidate.Failures
		if !candidate.Local {
			cost += 2e-3
		}
		if !candidate.HasIdleConnection {
			cost += targetConnectPenalty.Seconds()
		}
		if index < 0 || cost < lowestCost {
			index, lowestCost = i, cost
		}
	}
	return index
}
