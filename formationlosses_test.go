package greengageroute

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	// lossInterval is the time between two losses, and lossTrial how long they go on.
	lossInterval = 2700 * time.Millisecond
	lossTrial    = 40 * time.Second
	// lossSeeds is the number of trials.
	lossSeeds = 3
	// minMeanOpen is the share of a model's replicas that have to serve on average.
	minMeanOpen = 0.8
)

// lossyPool loses members of its replicas for good, and gets as many new, empty targets, in
// the domains that have the fewest.
type lossyPool struct {
	*simulatedPool
	random *rand.Rand
	losses int // each lossInterval
	added  int
}

func (pool *lossyPool) lose() {
	var members []string
	for _, id := range slices.Sorted(maps.Keys(pool.targets)) {
		if member := pool.targets[id].Membership; !pool.targets[id].crashed && member.Replica != "" && !member.isPreload() {
			members = append(members, id)
		}
	}
	for range pool.losses {
		target := pool.targets[members[pool.random.IntN(len(members))]]
		target.crashed, target.absentSince = true, pool.now
	}
}

func (pool *lossyPool) add() {
	sizes := map[string]int{}
	for _, target := range pool.targets {
		if !target.crashed {
			sizes[target.Domain]++
		}
	}
	for range pool.losses {
		domain := slices.MinFunc(slices.Sorted(maps.Keys(sizes)), func(a, b string) int { return sizes[a] - sizes[b] })
		sizes[domain]++
		pool.added++
		id := fmt.Sprintf("%s-new-%d", domain, pool.added)
		pool.targets[id] = &simulatedTarget{Target: Target{ID: id, Pool: "llm", Domain: domain, State: TargetReady, StartUnixMilli: 1, ListedSince: pool.now}}
	}
}

// meanOpen returns the share of each model's replicas that served on average.
func (pool *lossyPool) meanOpen(formation *Formation) map[string]float64 {
	pool.run(formation, 14*time.Second, false)
	before, sums := pool.openByModel(), map[string]float64{}
	nextLoss, nextAdded := pool.now.Add(lossInterval), pool.now.Add(3*lossInterval)
	const rounds = int(lossTrial / (100 * time.Millisecond))
	for range rounds {
		if !pool.now.Before(nextLoss) {
			nextLoss = nextLoss.Add(lossInterval)
			pool.lose()
		}
		if !pool.now.Before(nextAdded) {
			nextAdded = nextAdded.Add(lossInterval)
			pool.add()
		}
		pool.run(formation, 100*time.Millisecond, true)
		for model, open := range pool.openByModel() {
			sums[model] += float64(open) / float64(before[model]) / float64(rounds)
		}
	}
	return sums
}

// A pool with replicas of eight and of two targets that loses three members every 2.7 s kept a
// third of its wide replicas out of service: each needs a staged spare in its own domain, and
// the spares were staged for the narrow ones, or used up by them.
func TestSteadyLossesLeaveBothModelsServing(t *testing.T) {
	tests := []struct {
		name   string
		demand map[string]ModelDemand
	}{
		{"unknown demand", nil},
		{"two fifths and half of the slots in use", map[string]ModelDemand{"wide": {Running: 72}, "narrow": {Running: 360}}},
	}
	engine := *testEngine
	engine.Slots = 20
	engine.Models = []EngineModel{
		{Name: "wide", Size: 8, Share: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, StageTime: 1600 * time.Millisecond},
		{Name: "narrow", Size: 2, Share: 0.5, TimeFactor: 0.6, LoadTime: 12 * time.Second, StageTime: 1100 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sums := map[string]float64{}
			for seed := range uint64(lossSeeds) {
				pool := &lossyPool{simulatedPool: newSimulatedPool(t, 9, 18), random: rand.New(rand.NewPCG(seed, 1)), losses: 3}
				pool.engine, pool.demand = &engine, test.demand
				for model, share := range pool.meanOpen(NewFormation(pool.view(false), 1000)) {
					sums[model] += share / lossSeeds
				}
			}
			for _, model := range engine.Models {
				if sums[model.Name] < minMeanOpen {
					t.Errorf("on average %.2f of the replicas of the %s model served, want %.2f", sums[model.Name], model.Name, minMeanOpen)
				}
			}
			t.Logf("replicas that served on average: %v", sums)
		})
	}
}
