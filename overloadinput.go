package greengageroute

import (
	"math"
	"time"
)

const (
	// HealthySlowdown is the ratio of a healthy replica's inter-event gaps to the time of
	// an iteration that only decodes. The gaps include prefill.
	HealthySlowdown = 1.6
	// OverloadFactor is the limit of the predicted time to first token on a replica with
	// free slots, as a multiple of the objective. Beyond it the queue is looked at.
	OverloadFactor = 1.5
	// minQueueingShare is the part of the objective that a request may always spend in the
	// queue, so that long prompts aren't starved.
	minQueueingShare = 0.25
	// rankReserve is the factor on the budget for queueing for each more urgent rank seen
	// lately: what it leaves is reserved for that rank.
	rankReserve = 0.6
	// overUsualReserve is the same for a workspace beyond its usual rate.
	overUsualReserve = 0.5
	// budgetSpread is the least width of the range that the budget is drawn from, as a part
	// of it. The share of requests sent then falls continuously with the load, where a
	// common edge would make all entries that see the same loads send or refuse together.
	budgetSpread = 0.5
	// loadAge is how old the loads of other entries can be. In that time entries send to a
	// replica what they can't see of each other. The range is widened by multiples of it,
	// and what is reserved for more urgent requests is measured in it. It counts for at most
	// a part of the time in which all slots become free, maxLoadAgeShare: otherwise engines
	// with short answers would refuse requests while they are idle.
	loadAge         = 100 * time.Millisecond
	maxLoadAgeShare = 0.1
	// minReleases is the number of slots of a replica that become free within loadAge from
	// which on it counts in full. Where fewer do, entries can't exceed the slots by many
	// requests, and replicas with few slots would refuse while one is free.
	minReleases = 1.75
	// spreadAges is the widening for as many refused requests as sent ones. With less, the
	// entries send more than the replicas serve before they see it.
	spreadAges = 9
	// maxRefusedShare bounds the share of refused requests that widens the range.
	maxRefusedShare = 0.8
	// calmRefusedShare is the share of refused requests below which none counts.
	calmRefusedShare = 0.01
	// pressureFrom is the occupancy of the replicas from which on the range is widened, up
	// to pressureSpreadAges, before any request is refused.
	pressureFrom       = 0.9
	pressureSpreadAges = 2.25
	// reservedAges is what is reserved for more urgent requests if all of them are refused,
	// and pressureReservedAges what is reserved for each more urgent rank on full replicas,
	// even if none is.
	reservedAges         = 6
	pressureReservedAges = 1.5
	// overUsualRanks is the number of ranks that a request beyond the usual rate of its
	// workspace counts as less urgent for what is reserved on full replicas.
	overUsualRanks = 3
	// generationShare is the part of the mean generation time that a deadline must leave.
	// Answers may be shorter than expected.
	generationShare = 0.5
	// MinOverloadRetryAfter keeps callers from retrying before any running request has
	// ended.
	MinOverloadRetryAfter = 200 * time.Millisecond
	// overloadSpan is the Retry-After time for the share of refused requests 1. Bursts last
	// for 3 to 14 s; a caller that returns within one adds to it and is late anyway.
	overloadSpan = 8 * time.Second
	// maxRetryAfterShare is the part of the remaining time that callers honour as
	// Retry-After.
	maxRetryAfterShare = 1.0 / 3
	// retryAfterSpread is the part of the Retry-After time that is drawn at random, so
	// that callers don't return together.
	retryAfterSpread = 0.3
)

type (
	// OverloadInput is what the decision on a stream that has not begun depends on: the
	// request, the replica chosen for it, and what the entry has seen lately.
	OverloadInput struct {
		Engine       *Engine
		Model        EngineModel
		Load         EngineLoad
		Slowdown     float64
		Offset       time.Duration // of the measured time to first token from the predicted one
		Objective    time.Duration // 0: none, the request is sent
		Waited       time.Duration // since the request's arrival
		Remaining    time.Duration // until the deadline
		PromptTokens int
		AnswerTokens int // 0: not known
		// LowestObjective is the lowest one of the ranks at least as urgent that were seen
		// lately at the model, and MoreUrgent the number of the more urgent ranks.
		LowestObjective time.Duration
		MoreUrgent      int
		OverUsual       bool // the workspace is beyond its usual rate with this request
		// RefusedShare is the share refused lately of the requests of a level at least as
		// urgent, the highest one, and UrgentRefusedShare that of the more urgent levels.
		RefusedShare, UrgentRefusedShare float64
		Occupancy                        float64 // part of the slots of the model's replicas that are taken
		Draw                             float64 // at least 0 and below 1, drawn for each request
	}
)

// Decide returns whether the request is sent or refused.
func (input OverloadInput) Decide() OverloadDecision {
	queueing, budget := input.queueing(), input.budget(input.MoreUrgent, input.OverUsual)
	firstToken := input.unloaded(input.Objective, input.PromptTokens) + max(queueing, 0)
	decision := OverloadDecision{Outcome: OverloadSent, Predicted: input.Waited + firstToken, IsFull: input.isFull()}
	switch {
	case input.Objective <= 0:
		return decision
	case firstToken+input.generation() > input.Remaining:
		decision.Outcome = OverloadRefusedDeadline
	case queueing <= budget, !input.isFull() && (budget >= 0 || input.isCalm()) && input.meetsFactor():
		return decision
	case queueing <= input.budget(input.MoreUrgent, false):
		decision.Outcome = OverloadRefusedWorkspace
	case queueing <= input.budget(0, false):
		decision.Outcome = OverloadRefusedRank
	default:
		decision.Outcome = OverloadRefusedQueue
	}
	decision.RetryAfter = input.retryAfter(max(queueing, 0) - budget)
	return decision
}

// isFull reports whether the request would wait for a slot.
func (input OverloadInput) isFull() bool { return input.Load.Running >= input.Engine.Slots }

// meetsFactor reports whether the predicted time to first token is acceptable on a replica
// with free slots.
func (input OverloadInput) meetsFactor() bool {
	candidate := ReplicaCandidate{Load: input.Load, Slowdown: input.Slowdown}
	return candidate.TimeToFirstToken(input.Engine, input.Model, input.PromptTokens) <= time.Duration(OverloadFactor*float64(input.Objective))
}

// queueing predicts the time spent waiting for other requests: for a slot, while the
// prompts sent before are prefilled. The time for a slot contains the prefill of those that
// get one first, hence a healthy replica's slowdown. It is negative by the time in which
// further free slots would fill.
func (input OverloadInput) queueing() time.Duration {
	wait := max(input.Engine.SlotWait(input.Model, input.Load), input.Engine.PrefillTime(input.Model, input.Load.PrefillTokens))
	wait -= time.Duration(max(input.Engine.Slots-input.Load.Running-1, 0)) * input.Engine.slotReleaseInterval(input.Model)
	return time.Duration(float64(wait) * max(input.Slowdown/HealthySlowdown, 1))
}

// unloaded predicts the time to first token without a queue, at the replica's speed under
// its present load.
func (input OverloadInput) unloaded(objective time.Duration, promptTokens int) time.Duration {
	work := input.Engine.PrefillTime(input.Model, promptTokens) + input.Engine.IterationTime(input.Model, input.Load.Running+1)*3/2
	return time.Duration(float64(work)*max(input.Slowdown, 1)) + min(input.Offset, objective)
}

// budget returns how long the request may wait for others; less than 0 if it may only take one
// of several free slots. A less urgent rank, or one with a longer objective, may not wait where
// a more urgent request of usual length could not.
func (input OverloadInput) budget(moreUrgent int, overUsual bool) time.Duration {
	budget := input.queueingBudget(input.Objective, input.PromptTokens)
	if input.LowestObjective > 0 && input.LowestObjective < input.Objective {
		budget = min(budget, input.queueingBudget(input.LowestObjective, input.Engine.meanPrompt(input.Model)))
	}
	spread := max(budgetSpread*float64(budget), input.spread())
	factor := math.Pow(rankReserve, float64(moreUrgent))
	if overUsual {
		factor *= overUsualReserve
		moreUrgent += overUsualRanks
	}
	wait := time.Duration(float64(budget)*factor - spread*input.Draw - input.reserved(moreUrgent))
	// A request that is late already, such as one whose body came slowly, may still take a
	// free slot.
	return max(wait-input.Waited, min(wait, 0))
}

// isCalm reports whether the replicas have free slots and no request was refused lately.
func (input OverloadInput) isCalm() bool {
	return input.pressure() == 0 && input.RefusedShare < calmRefusedShare
}

// spread returns the width of the range that the budget is drawn from, in nanoseconds.
func (input OverloadInput) spread() float64 {
	refused := min(input.RefusedShare, maxRefusedShare)
	return input.loadAge() * max(pressureSpreadAges*input.pressure(), spreadAges*refused/(1-refused))
}

// reserved returns what is reserved for more urgent requests, in nanoseconds.
func (input OverloadInput) reserved(moreUrgent int) float64 {
	if moreUrgent == 0 {
		return 0
	}
	return input.loadAge() * max(reservedAges*min(input.UrgentRefusedShare, maxRefusedShare), pressureReservedAges*float64(moreUrgent)*input.pressure())
}

func (input OverloadInput) loadAge() float64 {
	interval := float64(input.Engine.slotReleaseInterval(input.Model))
	age := float64(loadAge) * min(float64(loadAge)/max(minReleases*interval, 1), 1)
	return min(age, maxLoadAgeShare*float64(input.Engine.Slots)*interval)
}

// pressure returns how near the replicas are to being full, from 0 to 1.
func (input OverloadInput) pressure() float64 {
	return min(max(input.Occupancy-pressureFrom, 0)/(1-pressureFrom), 1)
}

func (input OverloadInput) queueingBudget(objective time.Duration, promptTokens int) time.Duration {
	return max(objective-input.unloaded(objective, promptTokens), time.Duration(minQueueingShare*float64(objective)))
}

// generation returns a modest estimate of the time from the first token to the last.
func (input OverloadInput) generation() time.Duration {
	tokens := input.Engine.meanAnswer(input.Model)
	if input.AnswerTokens > 0 {
		tokens = min(tokens, input.AnswerTokens)
	}
	iterations := generationShare * float64(tokens) / float64(max(input.Engine.StepsPerIteration, 1))
	return time.Duration(iterations * float64(input.Engine.IterationTime(input.Model, 1)))
}

// retryAfter returns when to retry, for an excess of the queue over the budget: the queue has
// to shorten, and the more requests are refused, the longer the overload lasts.
func (input OverloadInput) retryAfter(excess time.Duration) time.Duration {
	after := max(excess, MinOverloadRetryAfter) + time.Duration(input.RefusedShare*float64(overloadSpan))
	after += time.Duration(retryAfterSpread * input.Draw * float64(after))
	if limit := time.Duration(maxRetryAfterShare * float64(input.Remaining)); after > limit {
		after = time.Duration(float64(limit) * (1 - retryAfterSpread*input.Draw))
	}
	return max(after, time.Millisecond) // 0 would stand for none
}
