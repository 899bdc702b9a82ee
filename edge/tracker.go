package edge

import (
	"hash/maphash"
	"math"
	"sync"
	"time"

	"greengageroute.example/greengageroute/mesh"
)

const (
	trackerShards = 8
	// usualLatency stands in for a target that has not answered yet.
	initialLatency = 20 * time.Millisecond
	// failureMemory is the time after which a failure counts for a third.
	failureDecay = 3 * time.Second
	// paceWeight is the weight of the newest gap between events.
	slowdownWeight = 0.08
	// paceMemory is the time after which a measured pace counts for a third: a
	// replica that got nothing for being slow is tried again.
	slowdownDecay = 4 * time.Second
	// latencyWeight is the weight of the newest answer in the usual latency.
	latencyWeight = 0.2
)

type (
	// Tracker counts what this entry has under way at each target and how the
	// target has answered lately.
	Tracker struct {
		seed   maphash.Seed
		shards [trackerShards]trackerShard
	}

	trackerShard struct {
		mu      sync.Mutex
		targets map[string]*TargetStats
	}

	// TargetStats is what this entry has seen of one target.
	TargetStats struct {
		Running         int
		PrefillTokens   int // prompt tokens sent and not yet read
		Latency         time.Duration
		Failures        float64   // decayed share
		LastActivity    time.Time // of the last event or answer
		failuresUpdated time.Time
		slowdown        float64 // of the pace of events against the published one
		slowdownUpdated time.Time
	}
)

// NewTracker returns a tracker that has seen nothing.
func NewTracker() *Tracker {
	tracker := &Tracker{seed: maphash.MakeSeed()}
	for i := range tracker.shards {
		tracker.shards[i].targets = map[string]*TargetStats{}
	}
	return tracker
}

func (tracker *Tracker) update(id string, apply func(stats *TargetStats)) {
	shard := &tracker.shards[maphash.String(tracker.seed, id)%trackerShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	stats, known := shard.targets[id]
	if !known {
		stats = &TargetStats{Latency: initialLatency}
		shard.targets[id] = stats
	}
	apply(stats)
}

// Begin notes a request with a prompt at a target. The returned function ends it.
func (tracker *Tracker) Begin(id string, promptTokens int) (done func()) {
	now := time.Now()
	tracker.update(id, func(stats *TargetStats) {
		if stats.Running == 0 {
			stats.LastActivity = now
		}
		stats.Running++
		stats.PrefillTokens += promptTokens
	})
	return func() { tracker.update(id, func(stats *TargetStats) { stats.Running-- }) }
}

// FinishPrefill records that a prompt has been read, or never will be.
func (tracker *Tracker) FinishPrefill(id string, promptTokens int) {
	tracker.update(id, func(stats *TargetStats) { stats.PrefillTokens -= promptTokens })
}

// RecordEvent records an event of a stream from a target.
func (tracker *Tracker) RecordEvent(id string, now time.Time) {
	tracker.update(id, func(stats *TargetStats) { stats.LastActivity = now })
}

// RecordEventGap records a gap between events, as a multiple of the published pass time.
func (tracker *Tracker) RecordEventGap(id string, ratio float64, now time.Time) {
	tracker.update(id, func(stats *TargetStats) {
		current := stats.SlowdownAt(now)
		stats.slowdown = current + slowdownWeight*(ratio-current)
		stats.slowdownUpdated = now
	})
}

// SlowdownAt returns the pace of the target's events against the published one.
func (stats TargetStats) SlowdownAt(now time.Time) float64 {
	if stats.slowdownUpdated.IsZero() {
		return 1
	}
	return 1 + (stats.slowdown-1)*math.Exp(-now.Sub(stats.slowdownUpdated).Seconds()/slowdownDecay.Seconds())
}

// RecordAnswer records how a target answered.
func (tracker *Tracker) RecordAnswer(id string, took time.Duration, failed bool) {
	now := time.Now()
	tracker.update(id, func(stats *TargetStats) {
		stats.LastActivity = now
		stats.Latency += time.Duration(latencyWeight * float64(took-stats.Latency))
		stats.Failures = stats.failuresAt(now) * (1 - latencyWeight)
		if failed {
			stats.Failures += latencyWeight
		}
		stats.failuresUpdated = now
	})
}

func (stats *TargetStats) failuresAt(now time.Time) float64 {
	return stats.Failures * math.Exp(-now.Sub(stats.failuresUpdated).Seconds()/failureDecay.Seconds())
}

// Stats returns what was seen of a target.
func (tracker *Tracker) Stats(id string) TargetStats {
	var copied TargetStats
	tracker.update(id, func(stats *TargetStats) {
		copied = *stats
		copied.Failures = stats.failuresAt(time.Now())
	})
	return copied
}

// Loads returns what is under way at each target, and forgets idle ones.
func (tracker *Tracker) Loads() []mesh.Load {
	var loads []mesh.Load
	for i := range tracker.shards {
		shard := &tracker.shards[i]
		shard.mu.Lock()
		for id, stats := range shard.targets {
			if stats.Running > 0 {
				silent := time.Since(stats.LastActivity).Milliseconds()
				loads = append(loads, mesh.Load{Target: id, Running: stats.Running, Reading: stats.PrefillTokens, Silent: silent})
			} else if time.Since(stats.LastActivity) > time.Minute {
				delete(shard.targets, id)
			}
		}
		shard.mu.Unlock()
	}
	return loads
}
