package greengageroute

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

type (
	// smallPool is a pool of plain targets that many entries call, in simulated time. Entries know
	// the requests of others as of the last message.
	smallPool struct {
		random  *rand.Rand
		slots   int
		latency time.Duration
		failing float64 // part of its requests that the first target fails
		targets int
		running []int
		told    []int // running, as of the last message
		entries []poolEntry
		ends    poolEvents
		now     time.Time
		// outcomes
		arrivals, rejected, refused, failed int
	}

	poolEntry struct {
		running  []int
		failures []float64
		failedAt []time.Time
		fullness []TargetFullness
	}

	poolEvent struct {
		at            time.Time
		entry, target int
	}

	poolEvents []poolEvent
)

func (events poolEvents) Len() int           { return len(events) }
func (events poolEvents) Less(i, j int) bool { return events[i].at.Before(events[j].at) }
func (events poolEvents) Swap(i, j int)      { events[i], events[j] = events[j], events[i] }
func (events *poolEvents) Push(event any)    { *events = append(*events, event.(poolEvent)) }
func (events *poolEvents) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// failuresAt returns the share of a target's failed answers, decayed as entries do.
func (entry *poolEntry) failuresAt(target int, now time.Time) float64 {
	return entry.failures[target] * math.Exp(-now.Sub(entry.failedAt[target]).Seconds()/3)
}

func newSmallPool(targets, entries int, latency time.Duration, failing float64) *smallPool {
	pool := &smallPool{random: rand.New(rand.NewPCG(1, 2)), slots: 6, latency: latency, failing: failing, targets: targets, running: make([]int, targets), told: make([]int, targets), now: time.Unix(0, 0)}
	for range entries {
		pool.entries = append(pool.entries, poolEntry{make([]int, targets), make([]float64, targets), make([]time.Time, targets), make([]TargetFullness, targets)})
	}
	return pool
}

// advance ends the requests that are due.
func (pool *smallPool) advance(to time.Time) {
	for len(pool.ends) > 0 && !pool.ends[0].at.After(to) {
		end := heap.Pop(&pool.ends).(poolEvent)
		pool.running[end.target]--
		pool.entries[end.entry].running[end.target]--
	}
	pool.now = to
}

// call has an entry call the pool, with a second attempt if the first is rejected.
func (pool *smallPool) call(entryIndex int) {
	entry := &pool.entries[entryIndex]
	tried := Set[int]{}
	pool.arrivals++
	for range 2 {
		var candidates []TargetCandidate
		var indices []int
		for target := range pool.targets {
			if tried.Has(target) {
				continue
			}
			own := entry.running[target]
			candidates = append(candidates, TargetCandidate{
				Target: Target{Slots: pool.slots}, Running: max(pool.told[target], own), Own: own, Latency: pool.latency, Failures: entry.failuresAt(target, pool.now), Full: entry.fullness[target].Remaining(pool.now),
				Local: target%3 == entryIndex%3, HasIdleConnection: true,
			})
			indices = append(indices, target)
		}
		index := ChooseTarget(candidates, pool.random.IntN)
		if index < 0 || len(tried) > 0 && candidates[index].Full > 0 {
			break
		}
		target := indices[index]
		tried.Add(target)
		if pool.running[target] >= pool.slots {
			pool.rejected++
			entry.fullness[target] = entry.fullness[target].WithRejection(pool.latency, pool.now)
			continue
		}
		entry.fullness[target] = TargetFullness{}
		pool.running[target]++
		entry.running[target]++
		duration := time.Duration(float64(pool.latency) * (0.7 + 0.6*pool.random.Float64()))
		heap.Push(&pool.ends, poolEvent{pool.now.Add(duration), entryIndex, target})
		entry.failures[target] = entry.failuresAt(target, pool.now) * 0.8
		entry.failedAt[target] = pool.now
		if target == 0 && pool.random.Float64() < pool.failing {
			entry.failures[target] += 0.2
			pool.failed++
		}
		return
	}
	pool.refused++
}

// TestSmallPoolRejectsFew guards against entries that all send to the target that was the least
// loaded at the last message, and that send again to targets that have just rejected a request.
func TestSmallPoolRejectsFew(t *testing.T) {
	tests := []struct {
		targets, entries int
		latency          time.Duration
		perSecond        float64
		failing          float64
		most             float64 // rejections for each arrival
	}{
		{3, 142, 30 * time.Millisecond, 110, 0, 0.01},
		{3, 142, 30 * time.Millisecond, 250, 0, 0.06},
		{3, 142, 30 * time.Millisecond, 250, 0.3, 0.12},
		{7, 26, 60 * time.Millisecond, 200, 0, 0.01},
		{7, 26, 60 * time.Millisecond, 350, 0, 0.15},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d targets %v a second failing %v", test.targets, test.perSecond, test.failing), func(t *testing.T) {
			pool := newSmallPool(test.targets, test.entries, test.latency, test.failing)
			end := pool.now.Add(30 * time.Second)
			nextMessage := pool.now
			for pool.now.Before(end) {
				next := pool.now.Add(time.Duration(pool.random.ExpFloat64() / test.perSecond * float64(time.Second)))
				for nextMessage.Before(next) {
					pool.advance(nextMessage)
					copy(pool.told, pool.running)
					nextMessage = nextMessage.Add(120 * time.Millisecond)
				}
				pool.advance(next)
				pool.call(pool.random.IntN(test.entries))
			}
			t.Logf("%d arrivals, %d rejections, %d refused, %d failed", pool.arrivals, pool.rejected, pool.refused, pool.failed)
			if share := float64(pool.rejected) / float64(pool.arrivals); share > test.most {
				t.Errorf("%.3f rejections for each arrival, want at most %.3f", share, test.most)
			}
		})
	}
}
