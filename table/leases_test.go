package table

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

const (
	testTerm         = 3 * time.Second
	testLongestOrder = 2 * time.Second
)

// flaky is a table that loses replies, delays and fails as told.
type flakyTable struct {
	Table
	delay     func() time.Duration
	loseReply func() bool
	down      atomic.Bool
}

func (table *flakyTable) Read(ctx context.Context, key string) (Row, error) {
	if table.down.Load() {
		return Row{}, &UnavailableError{}
	}
	time.Sleep(table.delay())
	row, err := table.Table.Read(ctx, key)
	time.Sleep(table.delay())
	return row, err
}

func (table *flakyTable) Commit(ctx context.Context, writes ...Write) error {
	if table.down.Load() {
		return &UnavailableError{}
	}
	time.Sleep(table.delay())
	err := table.Table.Commit(ctx, writes...)
	time.Sleep(table.delay())
	if table.loseReply() {
		return &UncertainError{}
	}
	return err
}

type (
	// holders checks that orders given under a lease do not overlap.
	orderMonitor struct {
		mu           sync.Mutex
		random       *rand.Rand
		orderEnds    map[string]time.Time
		highestFence uint64
		violations   []string
	}
)

func (monitor *orderMonitor) randomDuration(limit time.Duration) time.Duration {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return time.Duration(monitor.random.Int64N(int64(limit)))
}

// order notes that the lease's holder begins an order now.
func (monitor *orderMonitor) recordOrder(name string, fence uint64) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	now := time.Now()
	for other, end := range monitor.orderEnds {
		if other != name && end.After(now) {
			monitor.violations = append(monitor.violations, fmt.Sprintf("%s begins an order while one of %s is under way", name, other))
		}
	}
	if fence < monitor.highestFence {
		monitor.violations = append(monitor.violations, fmt.Sprintf("%s gives an order under fence %d after %d", name, fence, monitor.highestFence))
	}
	monitor.highestFence = max(monitor.highestFence, fence)
	monitor.orderEnds[name] = now.Add(testLongestOrder)
}

// TestNoTwoHoldersAtOnce lets five entries compete over a table that loses
// replies and is at times slower than any order is long, and that freeze now and
// then: an order that a holder may begin never overlaps another's.
func TestNoTwoHoldersAtOnce(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			monitor := &orderMonitor{random: rand.New(rand.NewPCG(seed, 1)), orderEnds: map[string]time.Time{}}
			table := &flakyTable{
				Table: NewMemory(),
				delay: func() time.Duration {
					if monitor.randomDuration(6) == 0 {
						return monitor.randomDuration(6 * time.Second)
					}
					return monitor.randomDuration(200 * time.Millisecond)
				},
				loseReply: func() bool { return monitor.randomDuration(5) == 0 },
			}
			ctx, stop := context.WithTimeout(context.Background(), 10*time.Minute)
			defer stop()
			var entries sync.WaitGroup
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				lease := NewLease(table, "plan", name, testTerm, testLongestOrder)
				entries.Go(func() { compete(ctx, monitor, name, lease) })
			}
			entries.Wait()
			for _, violation := range monitor.violations {
				t.Errorf("seed %d: %s", seed, violation)
			}
			if monitor.highestFence < 2 {
				t.Errorf("seed %d: the lease never changed hands, so nothing was shown", seed)
			}
		})
	}
}

// compete steps the lease in one goroutine and gives orders in another.
func compete(ctx context.Context, monitor *orderMonitor, name string, lease *Lease) {
	var loops sync.WaitGroup
	loops.Go(func() {
		for ctx.Err() == nil {
			_ = lease.Step(ctx)
			time.Sleep(monitor.randomDuration(time.Second))
			if monitor.randomDuration(20) == 0 {
				time.Sleep(monitor.randomDuration(20 * time.Second)) // frozen
			}
		}
	})
	loops.Go(func() {
		for ctx.Err() == nil {
			if held := lease.Held(); held.Holds(time.Now(), testLongestOrder) {
				monitor.recordOrder(name, held.Fence)
			}
			time.Sleep(monitor.randomDuration(100 * time.Millisecond))
		}
	})
	loops.Wait()
}

func TestLeaseIsTakenOnlyAfterTermAndLongestOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		memory := NewMemory()
		first, second := NewLease(memory, "plan", "first", testTerm, testLongestOrder), NewLease(memory, "plan", "second", testTerm, testLongestOrder)
		_ = first.Step(ctx)
		started := time.Now()
		for !second.Held().Holds(time.Now(), 0) {
			if time.Since(started) > time.Minute {
				t.Fatal("never taken")
			}
			_ = second.Step(ctx)
			time.Sleep(100 * time.Millisecond)
		}
		if waited := time.Since(started); waited < testTerm+testLongestOrder {
			t.Errorf("taken after %s, want at least %s", waited, testTerm+testLongestOrder)
		}
		if first.Held().Holds(time.Now(), 0) {
			t.Error("the first still holds it")
		}
	})
}

// TestFleetIsNotWrittenWithoutTheLease has a holder that believes in a longer
// term than the others, as one does that was frozen after its last look at the
// clock.
func TestFleetIsNotWrittenWithoutTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		memory := NewMemory()
		first, second := NewLease(memory, "plan", "first", time.Hour, testLongestOrder), NewLease(memory, "plan", "second", testTerm, testLongestOrder)
		_ = first.Step(ctx)
		fleets := NewFleets(memory)
		fleet, _ := fleets.Latest(ctx, "ne")
		change := greengageroute.FleetChange{Fleet: fleet, Group: "g", Reason: "test"}
		_ = second.Step(ctx)
		time.Sleep(testTerm + testLongestOrder + time.Second)
		_ = second.Step(ctx)
		if !first.Held().Holds(time.Now(), 0) || !second.Held().Holds(time.Now(), 0) {
			t.Fatal("both were to believe that they hold the lease")
		}
		if _, err := fleets.Commit(ctx, first, change); err == nil {
			t.Error("a fleet was written without the lease")
		}
		if _, err := fleets.Commit(ctx, second, change); err != nil {
			t.Errorf("the holder could not write the fleet: %v", err)
		}
	})
}
