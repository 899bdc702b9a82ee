package edge

import (
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	greengageroute "greengageroute.example/greengageroute"
)

const (
	// maxIdleWorkspaces is the number of workspaces from which idle ones are dropped.
	maxIdleWorkspaces = 256
	// allWorkspaces is the key of the rate of all workspaces together. No workspace that
	// owns a key has an empty name.
	allWorkspaces = ""
)

// CountAdmission counts the decisions on streams to pools with a published engine. It is
// followed by the outcome and the rank.
const CountAdmission = "admission-"

type (
	// overloadRecords is what an entry has seen lately of the streams to engines.
	overloadRecords struct {
		mu         sync.Mutex
		models     map[overloadKey]*overloadModel
		workspaces map[string]greengageroute.UsualRate
	}

	// overloadKey identifies a model of a pool.
	overloadKey struct{ pool, model string }

	overloadModel struct {
		offset  greengageroute.FirstTokenOffset
		ranks   greengageroute.SeenRanks
		refused map[int]greengageroute.RefusedShare // by level
		lengths greengageroute.RequestLengths
		// routeRanks are the ranks of the routes, whatever that of the workspace.
		routeRanks greengageroute.SeenRanks
	}
)

func newOverloadRecords() *overloadRecords {
	return &overloadRecords{models: map[overloadKey]*overloadModel{}, workspaces: map[string]greengageroute.UsualRate{}}
}

// model returns the record of a model. The caller holds the lock.
func (records *overloadRecords) model(key overloadKey) *overloadModel {
	model, known := records.models[key]
	if !known {
		model = &overloadModel{refused: map[int]greengageroute.RefusedShare{}}
		records.models[key] = model
	}
	return model
}

// recordFirstToken records the time to first token of a request that found a free slot.
func (records *overloadRecords) recordFirstToken(key overloadKey, measured, predicted time.Duration) {
	records.mu.Lock()
	defer records.mu.Unlock()
	model := records.model(key)
	model.offset = model.offset.WithSample(measured, predicted)
}

// recordLengths records the lengths of a request and its complete answer.
func (records *overloadRecords) recordLengths(key overloadKey, engine *greengageroute.Engine, promptTokens, answerTokens int) {
	records.mu.Lock()
	defer records.mu.Unlock()
	model := records.model(key)
	model.lengths = model.lengths.WithAnswer(engine, promptTokens, answerTokens)
}

// withLengths returns a model with the measured lengths of its requests.
func (records *overloadRecords) withLengths(key overloadKey, model greengageroute.EngineModel) greengageroute.EngineModel {
	records.mu.Lock()
	defer records.mu.Unlock()
	return records.model(key).lengths.Of(model)
}

// recordRequest records a request's kind, and reports whether its workspace is within its
// usual rate.
func (records *overloadRecords) recordRequest(key overloadKey, route greengageroute.Route, rank int, workspace string, now time.Time) (isUsual bool) {
	records.mu.Lock()
	defer records.mu.Unlock()
	model := records.model(key)
	model.ranks = model.ranks.WithRequest(rank, route.LatencyObjective, now)
	model.routeRanks = model.routeRanks.WithRequest(route.Priority, route.LatencyObjective, now)
	if workspace == "" {
		return true
	}
	rate, known := records.workspaces[workspace]
	if !known && len(records.workspaces) >= maxIdleWorkspaces {
		maps.DeleteFunc(records.workspaces, func(_ string, rate greengageroute.UsualRate) bool { return rate.IsIdle(now) })
	}
	all := records.workspaces[allWorkspaces]
	rate, isUsual = rate.WithRequest(now, all.GrowthOfOthers(rate, now))
	records.workspaces[workspace] = rate
	records.workspaces[allWorkspaces], _ = all.WithRequest(now, 1)
	return isUsual
}

// recordDecision records whether a request of a level was sent.
func (records *overloadRecords) recordDecision(key overloadKey, level int, isSent bool, now time.Time) {
	records.mu.Lock()
	defer records.mu.Unlock()
	refused := records.model(key).refused
	refused[level] = refused[level].WithDecision(isSent, now)
}

// input returns what the records tell of a model.
func (records *overloadRecords) input(key overloadKey, rank int, overUsual bool, now time.Time) (input greengageroute.OverloadInput) {
	records.mu.Lock()
	defer records.mu.Unlock()
	model := records.model(key)
	input.Offset, input.OverUsual = model.offset.Mean(), overUsual
	input.LowestObjective, input.MoreUrgent = model.ranks.AtLeastAsUrgent(rank, now)
	input.RefusedShare, input.UrgentRefusedShare = greengageroute.HighestRefusedShares(model.refused, greengageroute.OverloadLevel(rank, overUsual), now)
	return input
}

// RequestedRanks returns the rank of the most urgent route requested lately for each model of a
// pool, as far as this entry has received requests for it.
func (service *Service) RequestedRanks(pool string) map[string]int {
	records, ranks, now := service.overload, map[string]int{}, time.Now()
	records.mu.Lock()
	defer records.mu.Unlock()
	for key, model := range records.models {
		if rank, found := model.routeRanks.MostUrgent(now); found && key.pool == pool {
			ranks[key.model] = rank
		}
	}
	return ranks
}

func (exchange *exchange) overloadKey() overloadKey {
	return overloadKey{exchange.pool.Name, exchange.Model}
}

// isRanked reports whether the operator ranks the streams of the request's pool. Otherwise
// nothing is recorded for the admission by rank.
func (exchange *exchange) isRanked() bool { return exchange.routes.RanksStreams(exchange.pool.Name) }

// hasBegun reports whether events of the stream were sent to the caller, by this entry or by the
// one that forwards the request.
func (exchange *exchange) hasBegun() bool {
	return exchange.headerSent || exchange.forwarded && exchange.resumed
}

// refuseLate refuses a stream of a pool whose streams aren't ranked if its predicted time to the
// first token is far over its objective.
func (exchange *exchange) refuseLate(chosen source) *Refusal {
	objective := exchange.route.LatencyObjective
	if chosen.timeToFirstToken <= time.Duration(greengageroute.OverloadFactor*float64(objective)) {
		return nil
	}
	return unavailable("the replicas are at capacity", max(chosen.timeToFirstToken-objective, minOverloadRetryAfter))
}

// admit decides whether a stream is sent to the source, or to its alternative. A stream that
// has begun, or may have run, is sent regardless of the load: a refusal would end it for good.
func (exchange *exchange) admit(chosen source) (source, *Refusal) {
	if chosen.engine == nil || exchange.route.LatencyObjective <= 0 || exchange.hasBegun() || exchange.mayHaveRun || exchange.attemptsPending > 0 {
		return chosen, nil
	}
	if !exchange.isRanked() {
		return chosen, exchange.refuseLate(chosen)
	}
	records, key, now := exchange.service.overload, exchange.overloadKey(), time.Now()
	if !exchange.decided {
		exchange.decided = true
		exchange.overUsual = !records.recordRequest(key, exchange.route, exchange.priority, exchange.Workspace, now)
	}
	decision := exchange.overloadInput(chosen, now).Decide()
	if !decision.IsSent() && chosen.alternative != nil {
		other := *chosen.alternative
		// A cold target's turn was taken for the first choice alone.
		if second := exchange.overloadInput(other, now).Decide(); second.IsSent() && exchange.takeColdTurn(other.replica.Head()) {
			chosen, decision = other, second
		}
	}
	// A deadline that is too short for an idle replica says nothing about the load.
	if decision.Outcome != greengageroute.OverloadRefusedDeadline || decision.IsFull {
		records.recordDecision(key, greengageroute.OverloadLevel(exchange.priority, exchange.overUsual), decision.IsSent(), now)
	}
	exchange.recordDecision(chosen, decision)
	if decision.IsSent() {
		return chosen, nil
	}
	return chosen, unavailable(overloadReason(decision.Outcome), decision.RetryAfter)
}

func (exchange *exchange) overloadInput(source source, now time.Time) greengageroute.OverloadInput {
	input := exchange.service.overload.input(exchange.overloadKey(), exchange.priority, exchange.overUsual, now)
	input.Engine, input.Model, input.Load, input.Slowdown, input.Occupancy = source.engine, source.model, source.load, source.slowdown, source.occupancy
	input.Objective, input.Waited, input.Remaining = exchange.route.LatencyObjective, now.Sub(exchange.arrived), exchange.deadline.Sub(now)
	input.PromptTokens, input.AnswerTokens = exchange.PromptTokens, exchange.AnswerTokens
	input.Draw = float64(xxhash.Sum64String(exchange.ID+"/"+source.replica.Name)>>11) / (1 << 53)
	return input
}

// recordDecision counts a decision, and logs one that was made on a full replica or refuses.
func (exchange *exchange) recordDecision(source source, decision greengageroute.OverloadDecision) {
	service := exchange.service
	service.Counters.Add(CountAdmission+string(decision.Outcome)+"-"+strconv.Itoa(exchange.priority), 1)
	if decision.IsSent() && !decision.IsFull {
		return
	}
	service.Log.V(1).Info("admission under overload", "id", exchange.ID, "outcome", string(decision.Outcome), "rank", exchange.priority, "workspace", exchange.Workspace,
		"over-usual", exchange.overUsual, "replica", source.replica.Name, "running", source.load.Running, "predicted-ms", decision.Predicted.Milliseconds(),
		"objective-ms", exchange.route.LatencyObjective.Milliseconds(), "retry-after", decision.RetryAfter.String())
}

func overloadReason(outcome greengageroute.OverloadOutcome) string {
	switch outcome {
	case greengageroute.OverloadRefusedDeadline:
		return "the deadline can't be met"
	case greengageroute.OverloadRefusedRank:
		return "the replicas are at capacity, and the rest is reserved for more urgent requests"
	case greengageroute.OverloadRefusedWorkspace:
		return "the replicas are at capacity, and the workspace sends more than usual"
	default:
		return "the replicas are at capacity"
	}
}
