package control

import (
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

// demandLoads is a source with the same load at each head.
type demandLoads map[string]greengageroute.EngineLoad

func (loads demandLoads) TotalLoads() map[string]greengageroute.EngineLoad { return loads }
func (demandLoads) RequestedRanks(string) map[string]int                   { return map[string]int{"m": 2} }

// TestDemandIsAMean guards against a planner that acts on a moment's load: after its start, in a
// short burst, or in the trough of a wave.
func TestDemandIsAMean(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := NewDirectory(greengageroute.RuntimeClock{})
		engine := &greengageroute.Engine{Slots: 20, Models: []greengageroute.EngineModel{{Name: "m", Size: 1}}}
		directory.SetRoutes(greengageroute.NewRouteTable(1, nil, map[string]greengageroute.Pool{"llm": {Name: "llm", Engine: engine}}, nil, greengageroute.CallerLimits{}, false))
		directory.Replace([]greengageroute.Target{{
			ID: "head", Pool: "llm", State: greengageroute.TargetReady, Membership: greengageroute.Membership{Replica: "r", Epoch: 1, Model: "m", State: greengageroute.MemberOpen},
		}}, time.Time{})
		loads := demandLoads{}
		demand := NewDemand(loads, directory, greengageroute.RuntimeClock{})
		observe := func(running int, length time.Duration) greengageroute.ModelDemand {
			loads["head"] = greengageroute.EngineLoad{Running: running}
			var last map[string]greengageroute.ModelDemand
			for range length / (100 * time.Millisecond) {
				last = demand.Observe("llm", engine)
				time.Sleep(100 * time.Millisecond)
			}
			return last["m"]
		}
		steps := []struct {
			name            string
			running         int
			length          time.Duration
			lowest, highest float64 // of the mean
			lowestPeak      float64
			hasRank         bool
		}{
			{"no requests yet", 0, 20 * time.Second, 0, 0, 0, false},
			{"too short", 10, 5 * time.Second, 0, 0, 0, false},
			{"steady", 10, 5 * time.Second, 10, 10, 10, true},
			{"short burst", 20, time.Second, 11, 12, 11, true},
			{"trough", 2, 20 * time.Second, 2, 3, 8, true},
		}
		for _, step := range steps {
			got := observe(step.running, step.length)
			if got.Running < step.lowest || got.Running > step.highest || got.Peak < step.lowestPeak || got.HasRank != step.hasRank {
				t.Errorf("%s: %+v, want a mean of %v to %v and a peak from %v on", step.name, got, step.lowest, step.highest, step.lowestPeak)
			}
		}
	})
}
