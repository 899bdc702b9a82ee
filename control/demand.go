package control

import (
	"math"
	"sync"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

const (
	// demandDecay is the time constant of the mean of the requests in progress: longer than
	// most bursts, which end before weights are loaded for them.
	demandDecay = 6 * time.Second
	// minDemandTime is how long demand is observed before it is reported.
	minDemandTime = 6 * time.Second
	// maxDemandGap is the longest gap between two observations. After a longer one, as when
	// this entry didn't plan, the mean begins anew.
	maxDemandGap = 2 * time.Second
	// peakDecay is the time constant of the highest mean: the load rises and falls in waves of
	// some seconds, and weights are loaded for longer.
	peakDecay = time.Minute
	// rankTTL is how long the most urgent rank of a model's requests counts.
	rankTTL = time.Minute
)

type (
	// DemandSource tells what callers ask of the models.
	DemandSource interface {
		// TotalLoads returns the loads of the targets from all entries, this one included.
		TotalLoads() map[string]greengageroute.EngineLoad
		// RequestedRanks returns the rank of the most urgent route requested lately for each model
		// of a pool, as far as this entry has received requests for it.
		RequestedRanks(pool string) map[string]int
	}

	// Demand measures what callers ask of each model, for the planner.
	Demand struct {
		source    DemandSource
		directory *Directory
		clock     greengageroute.Clock

		mu    sync.Mutex
		pools map[string]*poolDemand
	}

	poolDemand struct {
		since, observedAt time.Time
		isIdle            bool               // no request was observed yet
		running, peak     map[string]float64 // mean and its highest value lately, by model
		ranks             map[string]seenRank
	}

	seenRank struct {
		rank int
		at   time.Time
	}
)

// NewDemand returns a measurement without observations.
func NewDemand(source DemandSource, directory *Directory, clock greengageroute.Clock) *Demand {
	return &Demand{source: source, directory: directory, clock: clock, pools: map[string]*poolDemand{}}
}

// Observe returns the demand for each model of a pool, once it was observed for minDemandTime.
// The planner calls it in each round.
func (demand *Demand) Observe(pool string, engine *greengageroute.Engine) map[string]greengageroute.ModelDemand {
	now, loads, ranks := demand.clock.Now(), demand.source.TotalLoads(), demand.source.RequestedRanks(pool)
	demand.mu.Lock()
	defer demand.mu.Unlock()
	observed, known := demand.pools[pool]
	if !known || now.Sub(observed.observedAt) > maxDemandGap {
		observed = &poolDemand{since: now, isIdle: true, running: map[string]float64{}, peak: map[string]float64{}, ranks: map[string]seenRank{}}
		demand.pools[pool] = observed
	}
	kept := math.Exp(-now.Sub(observed.observedAt).Seconds() / peakDecay.Seconds())
	weight := 1 - math.Exp(-now.Sub(observed.observedAt).Seconds()/demandDecay.Seconds())
	if observed.isIdle {
		weight = 1 // the mean begins with the first requests
	}
	observed.observedAt = now
	total := 0
	result := map[string]greengageroute.ModelDemand{}
	for _, model := range engine.Models {
		running := 0
		for _, replica := range demand.directory.View().Replicas(pool, model.Name) {
			running += loads[replica.Head().ID].Running
		}
		total += running
		observed.running[model.Name] += weight * (float64(running) - observed.running[model.Name])
		observed.peak[model.Name] = max(observed.peak[model.Name]*kept, observed.running[model.Name])
		if rank, requested := ranks[model.Name]; requested {
			observed.recordRank(model.Name, rank, now)
		}
		seen, ranked := observed.ranks[model.Name]
		result[model.Name] = greengageroute.ModelDemand{
			Running: observed.running[model.Name], Peak: observed.peak[model.Name], Rank: seen.rank, HasRank: ranked && now.Sub(seen.at) < rankTTL,
		}
	}
	if observed.isIdle = observed.isIdle && total == 0; observed.isIdle {
		observed.since = now // before the first request nothing is known of the demand
	}
	if now.Sub(observed.since) < minDemandTime {
		return nil
	}
	return result
}

// recordRank records a rank if it is as urgent as the last one recorded, or that is outdated.
func (observed *poolDemand) recordRank(model string, rank int, now time.Time) {
	if seen, known := observed.ranks[model]; !known || rank <= seen.rank || now.Sub(seen.at) >= rankTTL {
		observed.ranks[model] = seenRank{rank, now}
	}
}
