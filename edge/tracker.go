package edge

import (
	"hash/maphash"
	"math"
	"sync"
	"sync/atomic"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
)

const (
	trackerShards = 8
	// initialLatency is assumed for a target that has not answered yet.
	initialLatency = 20 * time.Millisecond
	// failureDecay is the time constant of a failure's decay: after it, a failure
	// counts for about a third.
	failureDecay = 3 * time.Second
	// slowdownWeight is the weight of the newest inter-event gap in the mean.
	slowdownWeight = 0.08
	// slowdownDecay is the time after which a measured slowdown counts for about a
	// third, so that a replica that got no requests for being slow is tried again.
	slowdownDecay = 4 * time.Second
	// latencyWeight is the weight of the newest answer in the mean latency.
	latencyWeight = 0.2
	// recordTTL is how long the record of an idle target is kept: longer than any backoff.
	recordTTL = 90 * time.Second
	// liftedTTL is how long the peers are told that a target has lifted its limit.
	liftedTTL = 2 * time.Second
	// turnRetryAfter is sent when targets take requests, but none from this entry now.
	turnRetryAfter = 500 * time.Millisecond
)

type (
	// Tracker counts this entry's running requests at each target and records how
	// the target has answered recently.
	Tracker struct {
		seed     maphash.Seed
		shards   [trackerShards]trackerShard
		activity sync.Map // by pool: when a target last sent something, as *atomic.Int64 in Unix nanoseconds
	}

	trackerShard struct {
		mu      sync.Mutex
		targets map[string]*TargetStats
	}

	// TargetStats is this entry's record of one target.
	TargetStats struct {
		Running         int
		PrefillTokens   int // sent, not yet processed
		Latency         time.Duration
		Failures        float64   // exponentially decayed share of failed answers
		LastActivity    time.Time // of the last event or answer, or of the first running request
		LastReceived    time.Time // of the last event or answer; zero if there was none
		failuresUpdated time.Time
		slowdown        float64 // inter-event gap as a multiple of the published iteration time
		slowdownUpdated time.Time
		limit           greengageroute.TargetLimit
		sent            greengageroute.SendCount // by this entry, while the target has a limit
		usedTurn        int64                    // the last one in which this entry sent a request
		backoff         greengageroute.TargetBackoff
		sentAt          time.Time // of the last request
		cold            coldRecord
		fullness        greengageroute.TargetFullness
		faults          greengageroute.TargetFaults
	}
)

// NewTracker returns an empty tracker.
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

// Begin records the start of a request at a target. The returned function records
// its end.
func (tracker *Tracker) Begin(id string, promptTokens int) (done func()) {
	now := time.Now()
	tracker.update(id, func(stats *TargetStats) {
		if stats.Running == 0 {
			stats.LastActivity = now
		}
		stats.Running++
		stats.sentAt = now
		stats.PrefillTokens += promptTokens
		if stats.limit.InForce(now) {
			stats.sent = stats.sent.WithRequest(now)
			stats.usedTurn = greengageroute.CurrentLimitTurn(now)
		}
	})
	return func() { tracker.update(id, func(stats *TargetStats) { stats.Running-- }) }
}

// FinishPrefill records that the prefill of a prompt has finished or was abandoned.
func (tracker *Tracker) FinishPrefill(id string, promptTokens int) {
	tracker.update(id, func(stats *TargetStats) { stats.PrefillTokens -= promptTokens })
}

// RecordEvent records the arrival of an event from a target, whose stream may have shown before
// that it goes on as it should.
func (tracker *Tracker) RecordEvent(id string, sound bool, now time.Time) {
	tracker.update(id, func(stats *TargetStats) {
		stats.LastActivity, stats.LastReceived = now, now
		if sound {
			stats.faults = stats.faults.WithSound(now)
		}
	})
}

// RecordEventGap records an inter-event gap, as a multiple of the published
// iteration time.
func (tracker *Tracker) RecordEventGap(id string, ratio float64, now time.Time) {
	tracker.update(id, func(stats *TargetStats) {
		current := stats.SlowdownAt(now)
		stats.slowdown = current + slowdownWeight*(ratio-current)
		stats.slowdownUpdated = now
	})
}

// SlowdownAt returns the target's inter-event gap as a multiple of the published
// iteration time. It decays to 1 while nothing is measured.
func (stats TargetStats) SlowdownAt(now time.Time) float64 {
	if stats.slowdownUpdated.IsZero() {
		return 1
	}
	return 1 + (stats.slowdown-1)*math.Exp(-now.Sub(stats.slowdownUpdated).Seconds()/slowdownDecay.Seconds())
}

// RecordActivity records that a target of a pool has sent something.
func (tracker *Tracker) RecordActivity(pool string, now time.Time) {
	tracker.poolActivity(pool).Store(now.UnixNano())
}

// Silent reports whether no target of a pool has sent anything within the given time.
func (tracker *Tracker) Silent(pool string, within time.Duration) bool {
	return time.Now().UnixNano()-tracker.poolActivity(pool).Load() > int64(within)
}

func (tracker *Tracker) poolActivity(pool string) *atomic.Int64 {
	last, known := tracker.activity.Load(pool)
	if !known {
		last, _ = tracker.activity.LoadOrStore(pool, new(atomic.Int64))
	}
	return last.(*atomic.Int64)
}

// RecordAnswer records an answer's duration and whether it failed.
func (tracker *Tracker) RecordAnswer(id string, latency time.Duration, failed bool) {
	now := time.Now()
	tracker.update(id, func(stats *TargetStats) {
		stats.LastActivity, stats.LastReceived = now, now
		stats.Latency += time.Duration(latencyWeight * float64(latency-stats.Latency))
		stats.Failures = stats.failuresAt(now) * (1 - latencyWeight)
		if failed {
			stats.Failures += latencyWeight
		}
		stats.failuresUpdated = now
		stats.fullness = greengageroute.TargetFullness{}
	})
}

// RecordRejection records that a target rejected a request as full. How fast it did says nothing
// about its latency.
func (tracker *Tracker) RecordRejection(id string) {
	now := time.Now()
	tracker.update(id, func(stats *TargetStats) {
		stats.LastActivity, stats.LastReceived = now, now
		stats.fullness = stats.fullness.WithRejection(stats.Latency, now)
	})
}

func (stats *TargetStats) failuresAt(now time.Time) float64 {
	return stats.Failures * math.Exp(-now.Sub(stats.failuresUpdated).Seconds()/failureDecay.Seconds())
}

// RecordLimit records the limit that a target names in an answer, 0 for none, to a
// request that was sent at the given time. It reports whether a limit comes into force,
// or is lifted: an answer to a request that was sent before the limit was named doesn't
// lift it.
func (tracker *Tracker) RecordLimit(id string, perSecond float64, sentAt time.Time) (changed bool) {
	now := time.Now()
	tracker.update(id, func(stats *TargetStats) {
		before := stats.limit.InForce(now)
		if perSecond > 0 || before && sentAt.After(stats.limit.NamedAt) {
			stats.limit = greengageroute.TargetLimit{PerSecond: perSecond, NamedAt: now}
		}
		changed = before != stats.limit.InForce(now)
	})
	return changed
}

// AdoptLimit records what the other entries know of a target's limit, unless this entry
// knows a newer one.
func (tracker *Tracker) AdoptLimit(id string, known greengageroute.PeerLimit) {
	limit := greengageroute.TargetLimit{PerSecond: known.PerSecond, NamedAt: time.Now().Add(-known.Age)}
	tracker.update(id, func(stats *TargetStats) {
		if limit.IsNewerThan(stats.limit) {
			stats.limit = limit
		}
	})
}

// LimitWait returns how long a target takes no further request by its limit, and whether
// it has one. sentByOthers is the SendCount of the other entries.
func (tracker *Tracker) LimitWait(id string, sentByOthers float64) (wait time.Duration, limited bool) {
	now := time.Now()
	tracker.update(id, func(stats *TargetStats) {
		if limited = stats.limit.InForce(now); limited {
			wait = stats.limit.RetryAfter(stats.sent.At(now) + sentByOthers)
		}
	})
	return wait, limited
}

// TurnWait returns how long this entry has to wait for its turn at a target with a limit,
// in a fleet of so many entries that their counts come late.
func (tracker *Tracker) TurnWait(entry, id string, entries int) (wait time.Duration) {
	now := time.Now()
	tracker.update(id, func(stats *TargetStats) {
		if turn, found := greengageroute.LimitTurn(entry, id, stats.limit, entries, now); !found || turn == stats.usedTurn {
			wait = turnRetryAfter
		}
	})
	return wait
}

// RecordBackoff records that a target has turned a request away and wants no more for a time.
// It reports whether the target took requests before.
func (tracker *Tracker) RecordBackoff(target greengageroute.Target, asked time.Duration) (began bool) {
	now := time.Now()
	tracker.update(target.ID, func(stats *TargetStats) {
		began = stats.backoff.Remaining(target.StartUnixMilli, now) == 0
		stats.backoff = stats.backoff.WithBackoff(asked, target.StartUnixMilli, now)
	})
	return began
}

// Backoff returns the backoff that a target has asked this entry for.
func (tracker *Tracker) Backoff(id string) (backoff greengageroute.TargetBackoff) {
	tracker.update(id, func(stats *TargetStats) { backoff = stats.backoff })
	return backoff
}

// Limits returns the limits that the entry knows, and how many requests it sent lately.
func (tracker *Tracker) Limits() []mesh.TargetLimit {
	var limits []mesh.TargetLimit
	now := time.Now()
	for i := range tracker.shards {
		shard := &tracker.shards[i]
		shard.mu.Lock()
		for id, stats := range shard.targets {
			age := now.Sub(stats.limit.NamedAt)
			if stats.limit.InForce(now) || age < liftedTTL {
				limits = append(limits, mesh.TargetLimit{
					Target: id, MilliPerSecond: int64(1000 * stats.limit.PerSecond), AgeMillis: age.Milliseconds(), CentiSent: int64(100 * stats.sent.At(now)),
				})
			}
		}
		shard.mu.Unlock()
	}
	return limits
}

// Stats returns a copy of the record of a target.
func (tracker *Tracker) Stats(id string) TargetStats {
	var copied TargetStats
	tracker.update(id, func(stats *TargetStats) {
		copied = *stats
		copied.Failures = stats.failuresAt(time.Now())
	})
	return copied
}

// Loads returns the load of each target with running requests. It drops the
// records of targets that have been idle for recordTTL.
func (tracker *Tracker) Loads() []mesh.Load {
	var loads []mesh.Load
	for i := range tracker.shards {
		shard := &tracker.shards[i]
		shard.mu.Lock()
		for id, stats := range shard.targets {
			if stats.Running > 0 {
				// A request that was sent is no sign of life.
				idle := min(time.Since(stats.LastReceived), recordTTL).Milliseconds()
				loads = append(loads, mesh.Load{Target: id, Running: stats.Running, PrefillTokens: stats.PrefillTokens, IdleMillis: idle})
			} else if time.Since(stats.LastActivity) > recordTTL && time.Since(stats.cold.since) > recordTTL {
				delete(shard.targets, id)
			}
		}
		shard.mu.Unlock()
	}
	return loads
}
