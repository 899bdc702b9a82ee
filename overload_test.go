package greengageroute

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const (
	fleetWorkspaces = 5
	// The first workspace sends more than usual in some loads.
	loudWorkspace = 0
	// overloadTolerance covers what differs between runs.
	overloadTolerance = 0.02
)

type (
	overloadKind struct {
		rank      int
		objective time.Duration
		share     float64 // of the usual load
	}

	// overloadLoad is a load of which the burst is tested.
	overloadLoad struct {
		name              string
		kinds             []overloadKind
		seed              uint64
		entries, replicas int
		factors           []float64 // on the usual load in the burst, by kind
		loudFactor        float64   // on that of one workspace, 0: as the others
		prefillLeft       float64   // part of a prompt that is not cached, 0: all of it
		leaving           float64   // part of the callers that leave after 0.35 s
		gone              float64   // part of the replicas that are lost for the first half of the burst
		falseShare        float64   // part of the replicas that a peer reports as full
		retryAtOnce       bool
		dataCentres       bool // one has half the replicas of the other, and as many entries
		fewLarge          bool // six entries get two fifths of the requests
		mayExceed         bool // the load is within 1.5 to 3 times the capacity
	}

	kindResult struct{ requests, inTime, late, refused, large, largeServed, tryInTime int }

	// overloadResult counts the requests of the burst.
	overloadResult struct {
		kinds      [3]kindResult
		workspaces [fleetWorkspaces]kindResult
		windows    map[int][2]int // sent and refused, by 100 ms
		flips      int
	}
)

var (
	rankedKinds = []overloadKind{{0, 300 * time.Millisecond, 0.7}, {1, 400 * time.Millisecond, 0.15}, {2, 800 * time.Millisecond, 0.15}}
	equalKinds  = []overloadKind{{1, 300 * time.Millisecond, 0.86}, {1, 500 * time.Millisecond, 0.07}, {1, 500 * time.Millisecond, 0.07}}
)

func (load overloadLoad) capacity() float64 {
	return float64(load.replicas) / fleetEngine.slotReleaseInterval(fleetEngine.Models[0]).Seconds()
}

// seeds returns the number of runs: more with few replicas, whose results vary.
func (load overloadLoad) seeds() uint64 { return uint64(max(36/load.replicas, 2)) }

func (load overloadLoad) perSecond(now, kind, workspace int) float64 {
	rate := usualLoad * load.capacity() * load.kinds[kind].share / fleetWorkspaces
	if now < fleetWarmUp || now >= fleetWarmUp+fleetBurst {
		return rate
	}
	if load.loudFactor > 0 && workspace == loudWorkspace {
		return rate * load.loudFactor
	}
	return rate * load.factors[kind]
}

func (load overloadLoad) prefillShare() float64 {
	if load.prefillLeft == 0 {
		return 1
	}
	return load.prefillLeft
}

func (load overloadLoad) patience(random *rand.Rand) time.Duration {
	if random.Float64() >= load.leaving {
		return 0
	}
	return 350 * time.Millisecond
}

func (load overloadLoad) entryOf(random *rand.Rand) int {
	if load.fewLarge && random.Float64() < 0.4 {
		return random.IntN(6)
	}
	return random.IntN(load.entries)
}

func (load overloadLoad) falseLoads(now int) []EngineLoad {
	if now < fleetWarmUp || load.falseShare == 0 {
		return nil
	}
	loads := make([]EngineLoad, load.replicas)
	for i := range int(load.falseShare * float64(load.replicas)) {
		loads[i].Running = 20
	}
	return loads
}

// change loses replicas and has them come back, slow at first.
func (load overloadLoad) change(fleet *overloadFleet) {
	for _, replica := range fleet.replicas[:int(load.gone*float64(load.replicas))] {
		switch fleet.now {
		case fleetWarmUp:
			fleet.lose(replica)
		case fleetWarmUp + fleetBurst/2:
			replica.gone, replica.factor = false, 1.5
		case fleetWarmUp + fleetBurst*3/4:
			replica.factor = 1
		}
	}
}

func (result *overloadResult) recordDecision(now int, sent bool) {
	if result.windows == nil {
		result.windows = map[int][2]int{}
	}
	window := result.windows[now/100]
	if sent {
		window[0]++
	} else {
		window[1]++
	}
	result.windows[now/100] = window
}

// add adds the result of another run.
func (result *overloadResult) add(other overloadResult) {
	for i := range result.kinds {
		result.kinds[i].add(other.kinds[i])
	}
	for i := range result.workspaces {
		result.workspaces[i].add(other.workspaces[i])
	}
	result.flips += other.countFlips()
}

func (counts *kindResult) add(other kindResult) {
	counts.requests, counts.inTime, counts.late, counts.refused = counts.requests+other.requests, counts.inTime+other.inTime, counts.late+other.late, counts.refused+other.refused
	counts.large, counts.largeServed, counts.tryInTime = counts.large+other.large, counts.largeServed+other.largeServed, counts.tryInTime+other.tryInTime
}

func (result *overloadResult) end(fleet *overloadFleet, request *fleetRequest, served bool) {
	if !request.counted {
		return
	}
	inTime := served && time.Duration(fleet.now-request.arrived)*time.Millisecond <= fleet.load.kinds[request.kind].objective
	for _, counts := range []*kindResult{&result.kinds[request.kind], &result.workspaces[request.workspace]} {
		counts.requests++
		isLarge := float64(request.prompt) > 2.3*float64(fleetEngine.MeanPromptTokens) // a tenth
		if isLarge {
			counts.large++
		}
		if served && time.Duration(fleet.now-request.triedAt)*time.Millisecond <= fleet.load.kinds[request.kind].objective {
			counts.tryInTime++
		}
		switch {
		case inTime:
			counts.inTime++
		case served:
			counts.late++
		default:
			counts.refused++
		}
		if isLarge && served {
			counts.largeServed++
		}
	}
}

func (result *overloadResult) total() (total kindResult) {
	for _, counts := range result.kinds {
		total.add(counts)
	}
	return total
}

func (counts kindResult) refusedShare() float64 {
	return float64(counts.refused) / float64(max(counts.requests, 1))
}

func (counts kindResult) inTimeShare() float64 {
	return float64(counts.inTime) / float64(max(counts.requests, 1))
}

// countFlips counts the changes of the fleet between refusing most requests and sending most.
func (result *overloadResult) countFlips() (flips int) {
	refuses := false
	for window := fleetWarmUp / 100; window < (fleetWarmUp+fleetBurst)/100; window++ {
		counts := result.windows[window]
		share := float64(counts[1]) / float64(max(counts[0]+counts[1], 1))
		if refuses && share < 0.1 || !refuses && share > 0.9 {
			refuses = !refuses
			flips++
		}
	}
	return flips
}

func (result *overloadResult) String() string {
	total := result.total()
	text := strings.Builder{}
	fmt.Fprintf(&text, "in time %.3f by try %.3f late %.3f refused %.3f", total.inTimeShare(), float64(total.tryInTime)/float64(total.requests), float64(total.late)/float64(total.requests), float64(total.refused)/float64(total.requests))
	text.WriteString(" | kinds in time/refused")
	for _, counts := range result.kinds {
		fmt.Fprintf(&text, " %.3f/%.3f", counts.inTimeShare(), counts.refusedShare())
	}
	text.WriteString(" | workspaces")
	for _, counts := range result.workspaces[:2] {
		fmt.Fprintf(&text, " %.3f/%.3f", counts.inTimeShare(), counts.refusedShare())
	}
	fmt.Fprintf(&text, " | large served %.3f | flips %d", float64(total.largeServed)/float64(max(total.large, 1)), result.flips)
	return text.String()
}

// decideByFactor is the rule before: the predicted time to first token may be 1.5 times the
// objective.
func decideByFactor(input OverloadInput) OverloadDecision {
	candidate := ReplicaCandidate{Load: input.Load, Slowdown: input.Slowdown}
	predicted := candidate.TimeToFirstToken(input.Engine, input.Model, input.PromptTokens)
	if predicted <= input.Objective*3/2 {
		return OverloadDecision{Outcome: OverloadSent}
	}
	return OverloadDecision{Outcome: OverloadRefusedQueue, RetryAfter: max(predicted-input.Objective, MinOverloadRetryAfter)}
}

// TestOverload guards against a queue that makes nearly all answers late, and against kinds,
// workspaces and long prompts that are starved under load.
func TestOverload(t *testing.T) {
	all := func(factor float64) []float64 {
		return []float64{factor / usualLoad, factor / usualLoad, factor / usualLoad}
	}
	tests := []overloadLoad{
		{name: "the usual load", kinds: rankedKinds, factors: all(usualLoad)},
		{name: "burst of the urgent kind", kinds: rankedKinds, factors: []float64{2.7, 1, 1}},
		{name: "burst of the least urgent kind", kinds: rankedKinds, factors: []float64{1, 1, 8}},
		{name: "all kinds at 1.5 times the capacity", kinds: rankedKinds, factors: all(1.5), mayExceed: true},
		{name: "all kinds at 2 times the capacity", kinds: rankedKinds, factors: all(2), mayExceed: true},
		{name: "all kinds at 3 times the capacity", kinds: rankedKinds, factors: all(3), mayExceed: true},
		{name: "kinds of one rank at 1.6 times the usual load", kinds: equalKinds, factors: all(1.6 * usualLoad)},
		{name: "kinds of one rank at 2 times the capacity", kinds: equalKinds, factors: all(2), mayExceed: true},
		{name: "one workspace at 8 times its usual rate", kinds: rankedKinds, factors: []float64{1, 1, 1}, loudFactor: 8},
		{name: "a prompt part that many requests share", kinds: rankedKinds, factors: all(1.5), prefillLeft: 0.2, mayExceed: true},
		{name: "callers that retry at once", kinds: rankedKinds, factors: all(1.5), retryAtOnce: true, mayExceed: true},
		{name: "callers that leave", kinds: rankedKinds, factors: all(1.5), leaving: 0.3},
		{name: "a third of the replicas gone and back cold", kinds: rankedKinds, factors: all(usualLoad), gone: 0.34},
		{name: "three replicas of which one is gone", kinds: rankedKinds, factors: all(usualLoad), gone: 0.34, replicas: 3},
		{name: "two data centres, one with half the replicas", kinds: rankedKinds, factors: all(1.5), dataCentres: true, mayExceed: true},
		{name: "142 entries of which a few are large", kinds: rankedKinds, factors: all(1.5), entries: 142, replicas: 24, fewLarge: true, mayExceed: true},
		{name: "a peer that reports a false load", kinds: rankedKinds, factors: all(usualLoad), falseShare: 0.25},
	}
	for _, load := range tests {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			if load.entries == 0 {
				load.entries = 26
			}
			if load.replicas == 0 {
				load.replicas = 12
			}
			var before, after overloadResult
			for load.seed = range load.seeds() {
				before.add(newOverloadFleet(load, decideByFactor, false).run())
				after.add(newOverloadFleet(load, OverloadInput.Decide, true).run())
			}
			possible := min(float64(load.seeds())*load.capacity()*fleetBurst/1000/float64(after.total().requests), 1)
			t.Logf("%s, of which at most %.3f can be served at once\nbefore: %s\nafter:  %s", load.name, possible, &before, &after)
			load.check(t, before.total(), after, possible)
		})
	}
}

// check checks the results of a load. A repeated request is measured from its repetition where
// the decision is judged, since an entry doesn't know that it is one, and from its first try
// where callers are.
func (load overloadLoad) check(t *testing.T, before kindResult, after overloadResult, possible float64) {
	t.Helper()
	total := after.total()
	if total.tryInTime < before.tryInTime || total.inTimeShare() < before.inTimeShare()-overloadTolerance {
		t.Errorf("%.3f in time, %d by try; before %.3f and %d", total.inTimeShare(), total.tryInTime, before.inTimeShare(), before.tryInTime)
	}
	if byTry := float64(total.tryInTime) / float64(total.requests); load.mayExceed && byTry < 0.8*possible {
		t.Errorf("%.3f in time by try, want 0.8 of %.3f", byTry, possible)
	}
	if 2*total.largeServed*total.requests < total.large*(total.inTime+total.late) {
		t.Errorf("%d of %d large prompts served, and %d of all %d", total.largeServed, total.large, total.inTime+total.late, total.requests)
	}
	for i, kind := range load.kinds[1:] {
		if more, less := after.kinds[i], after.kinds[i+1]; kind.rank > load.kinds[i].rank && less.refusedShare() < more.refusedShare()-overloadTolerance {
			t.Errorf("%.3f of rank %d are refused, and %.3f of rank %d", less.refusedShare(), kind.rank, more.refusedShare(), load.kinds[i].rank)
		}
	}
	if load.loudFactor == 0 {
		return
	}
	loud := after.workspaces[loudWorkspace]
	if served := 1 - loud.refusedShare(); served*load.loudFactor < 1 {
		t.Errorf("%.3f of the requests of the workspace at %.0f times its usual rate are served, want its usual rate", served, load.loudFactor)
	}
	for i, other := range after.workspaces[loudWorkspace+1:] {
		if other.refusedShare() > 0.25 || other.inTimeShare() < loud.inTimeShare() {
			t.Errorf("%.3f of the requests of workspace %d are refused, %.3f are in time; of the loud one %.3f", other.refusedShare(), i+1, other.inTimeShare(), loud.inTimeShare())
		}
	}
}
