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

// flakyTable is a table that delays calls, loses the replies of commits, and is
// unreachable while down is set.
type flakyTable struct {
	Table
	delay     func() time.Duration
	dropReply func() bool
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
	if table.dropReply() {
		return &UncertainError{}
	}
	return err
}

type (
	// orderMonitor checks the orders given under a lease: orders of two holders
	// must not overlap, and the fence must not decrease.
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

// recordOrder records that a holder begins an order now, and any violation.
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
		monitor.violations = append(monitor.violations, fmt.Sprintf("%s gives an order under fence %d after fence %d", name, fence, monitor.highestFence))
	}
	monitor.highestFence = max(monitor.highestFence, fence)
	monitor.orderEnds[name] = now.Add(testLongestOrder)
}

// TestNoTwoHoldersAtOnce guards against two entries that give orders under the
// lease at once. Five entries, which freeze now and then, compete for it over a
// table that loses replies and whose delay at times exceeds the longest order.
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
				dropReply: func() bool { return monitor.randomDuration(5) == 0 },
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
				t.Errorf("seed %d: the lease never changed its holder, so the run has tested nothing", seed)
			}
		})
	}
}

// compete calls Step in one goroutine and gives orders in another.
func compete(ctx context.Context, monitor *orderMonitor, name string, lease *Lease) {
	var loops sync.WaitGroup
	loops.Go(func() {
		for ctx.Err() == nil {
			_ = lease.Step(ctx)
			time.Sleep(monitor.randomDuration(time.Second))
			if monitor.randomDuration(20) == 0 {
				time.Sleep(monitor.randomDuration(20 * time.Second)) // the entry is frozen
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
				t.Fatal("the second entry did not take the expired lease within a minute")
			}
			_ = second.Step(ctx)
			time.Sleep(100 * time.Millisecond)
		}
		if waited := time.Since(started); waited < testTerm+testLongestOrder {
			t.Errorf("the lease was taken after %s, want at least %s", waited, testTerm+testLongestOrder)
		}
		if first.Held().Holds(time.Now(), 0) {
			t.Error("the first entry still holds the lease")
		}
	})
}

// TestFleetIsNotWrittenWithoutTheLease guards against a fleet that is written by
// an entry whose lease another entry has taken. The first holder assumes a longer
// term, which has the effect of a freeze after it last checked its clock.
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
			t.Fatal("the setup failed: both entries must assume that they hold the lease")
		}
		if _, err := fleets.Commit(ctx, first, change); err == nil {
			t.Error("the first entry wrote a fleet after another entry took the lease")
		}
		if _, err := fleets.Commit(ctx, second, change); err != nil {
			t.Errorf("the holder of the lease could not write the fleet: %v", err)
		}
	})
}
