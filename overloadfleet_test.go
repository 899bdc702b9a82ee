package greengageroute

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// fleetWarmUp is the time at the usual load, fleetBurst that of the load under test.
	fleetWarmUp = 15_000
	fleetBurst  = 8_000
	fleetAfter  = 4_000
	// fleetExchange is the interval at which an entry hears of the others' loads, which are
	// fleetLag old then, in ms.
	fleetExchange = 88
	fleetLag      = 12
	fleetOffset   = 110 * time.Millisecond // fixed time before the first token
	fleetTimeout  = 8 * time.Second
	usualLoad     = 0.75 // of the capacity
	allWorkspaces = -1
)

type (
	overloadPolicy func(input OverloadInput) OverloadDecision

	// fleetRequest is one request of a caller, with its repetition.
	fleetRequest struct {
		kind, workspace, entry, replica, prompt, answer int
		arrived, triedAt                                int // in ms
		urgency                                         int
		toPrefill, left                                 int
		tries                                           int
		counted, begun, done, overUsual                 bool
		record                                          func() // at the first token
	}

	// fleetReplica is an engine: requests wait by urgency, and run in iterations.
	fleetReplica struct {
		queue, running []*fleetRequest
		busy           bool
		slowdown       float64 // measured
		gone           bool
		factor         float64 // on its iterations
	}

	// overloadFleet is a model of entries and replicas in steps of a millisecond.
	overloadFleet struct {
		load     overloadLoad
		decide   overloadPolicy
		urgent   bool // whether urgencies are sent
		random   *rand.Rand
		now      int
		events   map[int][]func()
		replicas []*fleetReplica
		own      [][]EngineLoad // by entry and replica
		others   [][]EngineLoad // as last heard
		offsets  []FirstTokenOffset
		ranks    []SeenRanks
		rates    []map[int]UsualRate
		refused  []map[int]RefusedShare // by entry and rank
		ids      int
		result   overloadResult
	}
)

var fleetEngine = &Engine{
	Slots: 20, StepsPerIteration: 6, StepTime: 7800 * time.Microsecond, StepTimePerSequence: 50 * time.Microsecond, PrefillRate: 50_000, PrefillChunk: 512,
	MeanPromptTokens: 500, MeanAnswerTokens: 100, Models: []EngineModel{{Name: "m", Size: 2, Share: 1, TimeFactor: 1}},
}

func newOverloadFleet(load overloadLoad, decide overloadPolicy, urgent bool) *overloadFleet {
	fleet := &overloadFleet{load: load, decide: decide, urgent: urgent, random: rand.New(rand.NewPCG(1, load.seed)), events: map[int][]func(){}}
	for range load.replicas {
		fleet.replicas = append(fleet.replicas, &fleetReplica{slowdown: 1, factor: 1})
	}
	for range load.entries {
		fleet.own = append(fleet.own, make([]EngineLoad, load.replicas))
		fleet.others = append(fleet.others, make([]EngineLoad, load.replicas))
		fleet.rates = append(fleet.rates, map[int]UsualRate{})
		fleet.refused = append(fleet.refused, map[int]RefusedShare{})
	}
	fleet.offsets, fleet.ranks = make([]FirstTokenOffset, load.entries), make([]SeenRanks, load.entries)
	return fleet
}

func (fleet *overloadFleet) after(delay time.Duration, event func()) {
	at := fleet.now + max(int(math.Round(delay.Seconds()*1000)), 1)
	fleet.events[at] = append(fleet.events[at], event)
}

func (fleet *overloadFleet) time() time.Time { return time.UnixMilli(int64(fleet.now)) }

// run plays the load.
func (fleet *overloadFleet) run() overloadResult {
	due := make([]float64, len(fleet.load.kinds)*fleetWorkspaces)
	for i := range due {
		due[i] = fleet.random.ExpFloat64()
	}
	for ; fleet.now < fleetWarmUp+fleetBurst+fleetAfter; fleet.now++ {
		for _, event := range fleet.events[fleet.now] {
			event()
		}
		delete(fleet.events, fleet.now)
		fleet.load.change(fleet)
		for entry := range fleet.own {
			if (fleet.now+entry*7)%fleetExchange == 0 {
				fleet.hear(entry)
			}
		}
		for i := range due {
			kind, workspace := i/fleetWorkspaces, i%fleetWorkspaces
			due[i] -= fleet.load.perSecond(fleet.now, kind, workspace) / 1000
			for due[i] <= 0 {
				due[i] += fleet.random.ExpFloat64()
				fleet.arrive(kind, workspace)
			}
		}
	}
	return fleet.result
}

// hear updates what an entry knows of the others' loads.
func (fleet *overloadFleet) hear(entry int) {
	heard := slices.Clone(fleet.load.falseLoads(fleet.now))
	if heard == nil {
		heard = make([]EngineLoad, len(fleet.replicas))
	}
	for other, loads := range fleet.own {
		for i, load := range loads {
			if other != entry {
				heard[i].Running += load.Running
				heard[i].PrefillTokens += load.PrefillTokens
			}
		}
	}
	fleet.after(fleetLag*time.Millisecond, func() { fleet.others[entry] = heard })
}

func (fleet *overloadFleet) arrive(kind, workspace int) {
	request := &fleetRequest{kind: kind, workspace: workspace, arrived: fleet.now, counted: fleet.now >= fleetWarmUp && fleet.now < fleetWarmUp+fleetBurst}
	request.prompt = 1 + int(fleet.random.ExpFloat64()*float64(fleetEngine.MeanPromptTokens))
	request.answer = 1 + int(fleet.random.ExpFloat64()*float64(fleetEngine.MeanAnswerTokens))
	fleet.try(request)
}

// try has an entry choose a replica and decide.
func (fleet *overloadFleet) try(request *fleetRequest) {
	request.triedAt = fleet.now
	if request.tries++; request.tries > 2 || request.done {
		fleet.result.end(fleet, request, false)
		return
	}
	request.entry = fleet.load.entryOf(fleet.random)
	entry, kind, now := request.entry, fleet.load.kinds[request.kind], fleet.time()
	var candidates []ReplicaCandidate
	for i, replica := range fleet.replicas {
		load := fleet.others[entry][i]
		load.Running += fleet.own[entry][i].Running
		load.PrefillTokens += fleet.own[entry][i].PrefillTokens
		candidates = append(candidates, ReplicaCandidate{
			Replica: Replica{Name: fmt.Sprint(i)}, Load: load, Slowdown: replica.slowdown, HasIdleConnection: true, Limited: replica.gone,
			Local: !fleet.load.dataCentres || (i < fleet.load.replicas/3) == (entry%2 == 0),
		})
	}
	model := fleetEngine.Models[0]
	SetSharePenalties(fmt.Sprint("entry-", entry), candidates)
	index, _ := ChooseReplica(fleetEngine, model, request.prompt, 0, candidates)
	fleet.ranks[entry] = fleet.ranks[entry].WithRequest(kind.rank, kind.objective, now)
	if request.tries == 1 {
		rates := fleet.rates[entry]
		growth := rates[allWorkspaces].GrowthOfOthers(rates[request.workspace], now)
		rate, isUsual := rates[request.workspace].WithRequest(now, growth)
		rates[request.workspace], request.overUsual = rate, !isUsual
		rates[allWorkspaces], _ = rates[allWorkspaces].WithRequest(now, 1)
	}
	lowest, moreUrgent := fleet.ranks[entry].AtLeastAsUrgent(kind.rank, now)
	input := OverloadInput{
		Engine: fleetEngine, Model: model, Offset: fleet.offsets[entry].Mean(), Objective: kind.objective,
		Remaining: fleetTimeout, PromptTokens: request.prompt, LowestObjective: lowest, MoreUrgent: moreUrgent, OverUsual: request.overUsual,
		Draw: fleet.random.Float64(),
	}
	level := OverloadLevel(kind.rank, request.overUsual)
	input.RefusedShare, input.UrgentRefusedShare = HighestRefusedShares(fleet.refused[entry], level, now)
	input.Occupancy = Occupancy(fleetEngine, candidates)
	input.Load, input.Slowdown = candidates[index].Load, candidates[index].Slowdown
	decision := fleet.decide(input)
	if free, _ := ChooseFreeReplica(fleetEngine, model, request.prompt, index, candidates); !decision.IsSent() && free >= 0 && fleet.urgent {
		index = free
		input.Load, input.Slowdown = candidates[index].Load, candidates[index].Slowdown
		decision = fleet.decide(input)
	}
	fleet.refused[entry][level] = fleet.refused[entry][level].WithDecision(decision.IsSent(), now)
	fleet.result.recordDecision(fleet.now, decision.IsSent())
	if !decision.IsSent() {
		if fleet.load.retryAtOnce {
			decision.RetryAfter = 0
		}
		fleet.after(min(decision.RetryAfter, fleetTimeout/3), func() { fleet.try(request) })
		return
	}
	fleet.send(request, index, candidates[index].TimeToFirstToken(fleetEngine, model, request.prompt))
}
