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
	usualLatency = 20 * time.Millisecond
	// failureMemory is the time after which a failure counts for a third.
	failureMemory = 3 * time.Second
	// paceWeight is the weight of the newest gap between events.
	paceWeight = 0.08
	// paceMemory is the time after which a measured pace counts for a third: a
	// replica that got nothing for being slow is tried again.
	paceMemory = 4 * time.Second
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
		targets map[string]*Seen
	}

	// Seen is what this entry has seen of one target.
	Seen struct {
		Running  int
		Reading  int // prompt tokens sent and not yet read
		Latency  time.Duration
		Failures float64   // decayed share
		LastSign time.Time // of the last event or answer
		failedAt time.Time
		slowness float64 // of the pace of events against the published one
		pacedAt  time.Time
	}
)

// NewTracker returns a tracker that has seen nothing.
func NewTracker() *Tracker {
	tracker := &Tracker{seed: maphash.MakeSeed()}
	for i := range tracker.shards {
		tracker.shards[i].targets = map[string]*Seen{}
	}
	return tracker
}

func (tracker *Tracker) with(id string, edit func(seen *Seen)) {
	shard := &tracker.shards[maphash.String(tracker.seed, id)%trackerShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	seen, known := shard.targets[id]
	if !known {
		seen = &Seen{Latency: usualLatency}
		shard.targets[id] = seen
	}
	edit(seen)
}

// Begin notes a request with a prompt at a target. The returned function ends it.
func (tracker *Tracker) Begin(id string, prompt int) (done func()) {
	now := time.Now()
	tracker.with(id, func(seen *Seen) {
		if seen.Running == 0 {
			seen.LastSign = now
		}
		seen.Running++
		seen.Reading += prompt
	})
	return func() { tracker.with(id, func(seen *Seen) { seen.Running-- }) }
}

// Read notes that a prompt has been read, or never will be.
func (tracker *Tracker) Read(id string, prompt int) {
	tracker.with(id, func(seen *Seen) { seen.Reading -= prompt })
}

// Sign notes an event of a stream from a target.
func (tracker *Tracker) Sign(id string, now time.Time) {
	tracker.with(id, func(seen *Seen) { seen.LastSign = now })
}

// Paced notes a gap between events, as a multiple of the published pass time.
func (tracker *Tracker) Paced(id string, ratio float64, now time.Time) {
	tracker.with(id, func(seen *Seen) {
		known := seen.SlownessAt(now)
		seen.slowness = known + paceWeight*(ratio-known)
		seen.pacedAt = now
	})
}

// SlownessAt returns the pace of the target's events against the published one.
func (seen Seen) SlownessAt(now time.Time) float64 {
	if seen.pacedAt.IsZero() {
		return 1
	}
	return 1 + (seen.slowness-1)*math.Exp(-now.Sub(seen.pacedAt).Seconds()/paceMemory.Seconds())
}

// Answered notes how a target answered.
func (tracker *Tracker) Answered(id string, took time.Duration, failed bool) {
	now := time.Now()
	tracker.with(id, func(seen *Seen) {
		seen.LastSign = now
		seen.Latency += time.Duration(latencyWeight * float64(took-seen.Latency))
		seen.Failures = seen.failuresAt(now) * (1 - latencyWeight)
		if failed {
			seen.Failures += latencyWeight
		}
		seen.failedAt = now
	})
}

func (seen *Seen) failuresAt(now time.Time) float64 {
	return seen.Failures * math.Exp(-now.Sub(seen.failedAt).Seconds()/failureMemory.Seconds())
}

// Seen returns what was seen of a target.
func (tracker *Tracker) Seen(id string) Seen {
	var copied Seen
	tracker.with(id, func(seen *Seen) {
		copied = *seen
		copied.Failures = seen.failuresAt(time.Now())
	})
	return copied
}

// Loads returns what is under way at each target, and forgets idle ones.
func (tracker *Tracker) Loads() []mesh.Load {
	var loads []mesh.Load
	for i := range tracker.shards {
		shard := &tracker.shards[i]
		shard.mu.Lock()
		for id, seen := range shard.targets {
			if seen.Running > 0 {
				silent := time.Since(seen.LastSign).Milliseconds()
				loads = append(loads, mesh.Load{Target: id, Running: seen.Running, PrefillTokens: seen.Reading, IdleMillis: silent})
			} else if time.Since(seen.LastSign) > time.Minute {
				delete(shard.targets, id)
			}
		}
		shard.mu.Unlock()
	}
	return loads
}
