package greengageroute

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// remotePenalty is added for a replica in another data centre, since its events
	// cross a link that is billed by the byte.
	remotePenalty = 12 * time.Millisecond
	// connectPenalty is added for a replica without an idle connection: a round
	// trip, and the time that its head needs for a new connection, which operators
	// bill. Predictions have a larger error than that.
	connectPenalty = 8 * time.Millisecond
	// targetConnectPenalty is the same for a target of a plain service, whose
	// responses take 20 ms.
	targetConnectPenalty = 2 * time.Millisecond
	// alikeFactor is up to which multiple of the lowest expected time the times of targets are
	// alike: their latencies vary by more.
	alikeFactor = 1.1
	// targetLoadAge is the age of what entries of a large fleet know of each other's requests.
	targetLoadAge = 120 * time.Millisecond
	// minLoadWeight is the least weight of what is known of others' requests at a target: a lasting
	// difference between targets shows there.
	minLoadWeight = 0.1
	// gapMargin is the part of the gap objective that an iteration may take.
	gapMargin = 0.85
	// gapPenalty is added for a replica whose next iteration would make its running
	// streams miss the gap objective.
	gapPenalty = 150 * time.Millisecond
	// suspicionDelay is added, with the longest iteration, for a replica that another entry
	// suspects: what a request at a lost replica waits until the members were probed. A sound
	// replica is still used if the others are full by that much.
	suspicionDelay = 300 * time.Millisecond
	// shareSize is how many replicas of a model an entry prefers, of those in its data
	// centre and of the others each. Entries of a large fleet would otherwise dial
	// nearly every request, and all choose the same replicas before they learn of each
	// other's requests.
	shareSize = 8
	// outsideSharePenalty is added for a replica that the entry doesn't prefer, up to
	// twice as much by its rank, so that entries whose shares are full spread too.
	outsideSharePenalty = 30 * time.Millisecond
	// faultPenalty is added for a target whose answers broke the protocol. It is used if there is
	// no other that responds.
	faultPenalty = time.Minute
)

type (
	// ReplicaCandidate is a replica with the load and health known to the entry.
	ReplicaCandidate struct {
		Replica           Replica
		Load              EngineLoad    // from all entries
		Slowdown          float64       // measured time divided by the published one
		Local             bool          // its head is in the entry's data centre
		Unresponsive      bool          // no event for longer than an iteration takes
		Suspected         bool          // another entry says so, and none has received one since
		HasIdleConnection bool          // there is an idle connection to its head
		SharePenalty      time.Duration // positive if the entry prefers other replicas
		Limited           bool          // its head gets no more requests now, by the limit that it names or as it asked for a backoff
		Faulty            bool          // answers of its head broke the protocol
	}

	// TargetCandidate is a target of a plain service with the load and health known
	// to the entry.
	TargetCandidate struct {
		Target            Target
		Running           int           // requests from all entries
		Own               int           // of these, this entry's
		Latency           time.Duration // mean response time
		Failures          float64       // fraction of its latest responses that failed
		Full              time.Duration // it has just rejected a request as full, and counts so for this long
		Local             bool
		HasIdleConnection bool // there is an idle connection to it
		Limited           bool // it gets no more requests now, by the limit that it names or as it asked for a backoff
		Faulty            bool // its answers broke the protocol
	}
)

// SetSharePenalties sets the penalties of the candidates outside the entry's share. The
// shares of the entries overlap at random, and change only with the replicas that come
// and go.
func SetSharePenalties(entry string, candidates []ReplicaCandidate) {
	seed := xxhash.Sum64String(entry)
	weights := make([]uint64, len(candidates))
	var local, remote [shareSize]uint64 // highest weights, in descending order
	for i, candidate := range candidates {
		weights[i] = mixBits(xxhash.Sum64String(candidate.Replica.Name) ^ seed)
		if candidate.Local {
			insertDescending(&local, weights[i])
		} else {
			insertDescending(&remote, weights[i])
		}
	}
	for i := range candidates {
		lowest := remote[shareSize-1]
		if candidates[i].Local {
			lowest = local[shareSize-1]
		}
		if weights[i] < lowest {
			rank := 1 - float64(weights[i])/math.MaxUint64
			candidates[i].SharePenalty = outsideSharePenalty + time.Duration(rank*float64(outsideSharePenalty))
		}
	}
}

// insertDescending inserts a value into the highest ones, if it is one of them.
func insertDescending(highest *[shareSize]uint64, value uint64) {
	for i := range highest {
		if value > highest[i] {
			value, highest[i] = highest[i], value
		}
	}
}

// TimeToFirstToken predicts the time to the first token at the replica.
func (candidate ReplicaCandidate) TimeToFirstToken(engine *Engine, model EngineModel, promptTokens int) time.Duration {
	expected := float64(engine.TimeToFirstToken(model, candidate.Load, promptTokens)) * max(candidate.Slowdown, 1)
	return time.Duration(expected)
}

// NextIterationTime predicts the duration of the replica's next iteration, which
// its running streams wait for, if the prompt is added to the pending prefill.
func (candidate ReplicaCandidate) NextIterationTime(engine *Engine, model EngineModel, promptTokens int) time.Duration {
	prefillTokens := min(candidate.Load.PrefillTokens+promptTokens, engine.PrefillChunk*max(engine.StepsPerIteration, 1))
	iteration := engine.IterationTime(model, candidate.Load.Running+1) + engine.PrefillTime(model, prefillTokens)
	return time.Duration(float64(iteration) * max(candidate.Slowdown, 1))
}

// ChooseReplica returns the index of the candidate with the lowest expected time
// to the first token, penalties included, or -1 if there is none or all are limited.
// Unresponsive replicas are chosen only if there is no other.
func ChooseReplica(engine *Engine, model EngineModel, promptTokens int, gapObjective time.Duration, candidates []ReplicaCandidate) (index int, expected time.Duration) {
	index = -1
	lowestCost := time.Duration(0)
	for i, candidate := range candidates {
		if candidate.Limited {
			continue
		}
		cost := candidate.TimeToFirstToken(engine, model, promptTokens)
		if !candidate.Local {
			cost += remotePenalty
		}
		if !candidate.HasIdleConnection {
			cost += connectPenalty
		}
		cost += candidate.SharePenalty
		if candidate.Load.Running > 0 && gapObjective > 0 && candidate.NextIterationTime(engine, model, promptTokens) > time.Duration(gapMargin*float64(gapObjective)) {
			cost += gapPenalty
		}
		if candidate.Suspected {
			cost += suspicionDelay + engine.LongestIteration(model, candidate.Load)
		}
		if candidate.Faulty {
			cost += faultPenalty
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

// ChooseFreeReplica returns the index of the candidate with a free slot that has the lowest
// predicted time to the first token, if the chosen one has none, or -1. Penalties may choose
// a full replica where a request would be refused.
func ChooseFreeReplica(engine *Engine, model EngineModel, promptTokens, chosen int, candidates []ReplicaCandidate) (index int, expected time.Duration) {
	index = -1
	if candidates[chosen].Load.Running < engine.Slots {
		return index, 0
	}
	for i, candidate := range candidates {
		if candidate.Limited || candidate.Unresponsive || candidate.Load.Running >= engine.Slots {
			continue
		}
		if index >= 0 && candidate.Faulty && !candidates[index].Faulty {
			continue
		}
		timeToFirstToken := candidate.TimeToFirstToken(engine, model, promptTokens)
		if index < 0 || candidates[index].Faulty && !candidate.Faulty || timeToFirstToken < expected {
			index, expected = i, timeToFirstToken
		}
	}
	return index, expected
}

// Occupancy returns the part of the slots that are taken of the replicas that get requests.
func Occupancy(engine *Engine, candidates []ReplicaCandidate) float64 {
	taken, slots := 0, 0
	for _, candidate := range candidates {
		if !candidate.Limited {
			taken += min(candidate.Load.Running, engine.Slots)
			slots += engine.Slots
		}
	}
	return float64(taken) / float64(max(slots, 1))
}

// expectedTime predicts the response time of the target with so many running requests, penalties
// included. Requests beyond its slots wait or are rejected, and one that has few free slots may
// have none when the request arrives. A failure counts as the time of a second attempt.
func (candidate TargetCandidate) expectedTime(running float64) time.Duration {
	slots := candidate.slots()
	use := min(running/slots, 1)
	expected := candidate.Latency.Seconds() * (1 + max(running+1-slots, 0)/slots + use*use*use)
	expected *= 1 + 8*candidate.Failures
	if !candidate.Local {
		expected += 2e-3
	}
	if !candidate.HasIdleConnection {
		expected += targetConnectPenalty.Seconds()
	}
	if candidate.Faulty {
		expected += faultPenalty.Seconds()
	}
	return time.Duration(expected*float64(time.Second)) + candidate.Full
}

func (candidate TargetCandidate) slots() float64 { return float64(max(candidate.Target.Slots, 1)) }

// estimateRunning estimates the requests that run at each target now. What is known of other
// entries' requests is about targetLoadAge old, and a request ends within the target's latency: the
// shorter that is, the more a target's load is taken for the mean of all.
func estimateRunning(candidates []TargetCandidate) []float64 {
	others, slots := 0.0, 0.0
	for _, candidate := range candidates {
		others += float64(candidate.Running - candidate.Own)
		slots += candidate.slots()
	}
	running := make([]float64, len(candidates))
	for i, candidate := range candidates {
		mean := others / slots * candidate.slots()
		weight := max(math.Exp(-targetLoadAge.Seconds()/max(candidate.Latency, time.Millisecond).Seconds()), minLoadWeight)
		running[i] = float64(candidate.Own) + mean + weight*(float64(candidate.Running-candidate.Own)-mean)
	}
	return running
}

// ChooseTarget returns the index of a target with a low expected response time, or -1 if there is
// none or all are limited. Targets that have just rejected a request as full are chosen only if all
// have. Of two targets at random whose expected times are alike, the better one is chosen: entries
// that know the same loads would otherwise all choose the same target. The function randomInt
// returns a random number below the given one.
func ChooseTarget(candidates []TargetCandidate, randomInt func(below int) int) int {
	allFull := true
	for _, candidate := range candidates {
		allFull = allFull && (candidate.Limited || candidate.Full > 0)
	}
	running, expected := estimateRunning(candidates), make([]time.Duration, len(candidates))
	lowest := time.Duration(math.MaxInt64)
	var alike []int
	for i, candidate := range candidates {
		if candidate.Limited || candidate.Full > 0 && !allFull {
			continue
		}
		expected[i] = candidate.expectedTime(running[i])
		lowest = min(lowest, expected[i])
		alike = append(alike, i)
	}
	alike = slices.DeleteFunc(alike, func(i int) bool { return float64(expected[i]) > alikeFactor*float64(lowest) })
	if len(alike) == 0 {
		return -1
	}
	first, second := alike[randomInt(len(alike))], alike[randomInt(len(alike))]
	if expected[second] < expected[first] {
		return second
	}
	return first
}
