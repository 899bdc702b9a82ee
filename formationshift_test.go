package greengageroute

import (
	"testing"
	"time"
)

// A model with idle replicas kept its targets while all slots of the model with the most urgent
// requests were in use, and two in five of these were late.
func TestTargetsShiftToBusyModelWithUrgentRequests(t *testing.T) {
	tests := []struct {
		name        string
		wide, small ModelDemand
		wantWide    int
		wantSmall   int
	}{
		{"urgent model at 0.6 of its slots, the other at 0.17", ModelDemand{Running: 30, Rank: 1, HasRank: true}, ModelDemand{Running: 432, Rank: 0, HasRank: true}, 4, 32},
		{"both alike in rank", ModelDemand{Running: 30, Rank: 1, HasRank: true}, ModelDemand{Running: 432, Rank: 1, HasRank: true}, 6, 24},
		{"the other model would be left too busy", ModelDemand{Running: 56, Rank: 1, HasRank: true}, ModelDemand{Running: 432, Rank: 0, HasRank: true}, 6, 24},
		{"both in use alike", ModelDemand{Running: 90, Rank: 1, HasRank: true}, ModelDemand{Running: 432, Rank: 0, HasRank: true}, 6, 24},
		{"overloaded urgent model, idle other one", ModelDemand{Running: 1, Rank: 1, HasRank: true}, ModelDemand{Running: 1000, Rank: 0, HasRank: true}, 3, 36},
	}
	engine := *testEngine
	engine.Slots = 30
	engine.Models = []EngineModel{
		{Name: "wide", Size: 16, Share: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, StageTime: 1600 * time.Millisecond},
		{Name: "small", Size: 4, Share: 0.5, TimeFactor: 0.6, LoadTime: 12 * time.Second, StageTime: 1100 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool := newSimulatedPool(t, 6, 37)
			for _, target := range pool.targets {
				target.DataCentre = "dc-" + string(target.Domain[1]%3+'0')
			}
			pool.engine = &engine
			formation := NewFormation(pool.view(false), 1000)
			pool.run(formation, 14*time.Second, false)
			pool.demand = map[string]ModelDemand{"wide": test.wide, "small": test.small}
			pool.run(formation, 40*time.Second, true)
			if open := pool.openByModel(); open["wide"] != test.wantWide || open["small"] != test.wantSmall {
				t.Errorf("open replicas %v, want %d wide and %d small", open, test.wantWide, test.wantSmall)
			}
		})
	}
}
