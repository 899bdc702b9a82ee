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
	testTerm  = 3 * time.Second
	testOrder = 2 * time.Second
)

// flaky is a table that loses replies, delays and fails as told.
type flaky struct {
	Table
	delay func() time.Duration
	lose  func() bool
	down  atomic.Bool
}

func (table *flaky) Read(ctx context.Context, key string) (Row, error) {
	if table.down.Load() {
		return Row{}, &UnavailableError{}
	}
	time.Sleep(table.delay())
	row, err := table.Table.Read(ctx, key)
	time.Sleep(table.delay())
	return row, err
}

func (table *flaky) Commit(ctx context.Context, writes ...Write) error {
	if table.down.Load() {
		return &UnavailableError{}
	}
	time.Sleep(table.delay())
	err := table.Table.Commit(ctx, writes...)
	time.Sleep(table.delay())
	if table.lose() {
		return &UncertainError{}
	}
	return err
}

type (
	// holders checks that orders given under a lease do not overlap.
	holders struct {
		mu      sync.Mutex
		random  *rand.Rand
		until   map[string]time.Time
		highest uint64
		broken  []string
	}
)

func (holders *holders) draw(most time.Duration) time.Duration {
	holders.mu.Lock()
	defer holders.mu.Unlock()
	return time.Duration(holders.random.Int64N(int64(most)))
}

// order notes that the lease's holder begins an order now.
func (holders *holders) order(name string, fence uint64) {
	holders.mu.Lock()
	defer holders.mu.Unlock()
	now := time.Now()
	for other, until := range holders.until {
		if other != name && until.After(now) {
			holders.broken = append(holders.broken, fmt.Sprintf("%s begins an order while one of %s is under way", name, other))
		}
	}
	if fence < holders.highest {
		holders.broken = append(holders.broken, fmt.Sprintf("%s gives an order under fence %d after %d", name, fence, holders.highest))
	}
	holders.highest = max(holders.highest, fence)
	holders.until[name] = now.Add(testOrder)
}

// TestNoTwoHoldersAtOnce lets five entries compete over a table that loses
// replies and is at times slower than any order is long, and that freeze now and
// then: an order that a holder may begin never overlaps another's.
func TestNoTwoHoldersAtOnce(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			found := &holders{random: rand.New(rand.NewPCG(seed, 1)), until: map[string]time.Time{}}
			table := &flaky{
				Table: NewMemory(),
				delay: func() time.Duration {
					if found.draw(6) == 0 {
						return found.draw(6 * time.Second)
					}
					return found.draw(200 * time.Millisecond)
				},
				lose: func() bool { return found.draw(5) == 0 },
			}
			ctx, stop := context.WithTimeout(context.Background(), 10*time.Minute)
			defer stop()
			var entries sync.WaitGroup
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				lease := NewLease(table, "plan", name, testTerm, testOrder)
				entries.Go(func() { compete(ctx, found, name, lease) })
			}
			entries.Wait()
			for _, broken := range found.broken {
				t.Errorf("seed %d: %s", seed, broken)
			}
			if found.highest < 2 {
				t.Errorf("seed %d: the lease never changed hands, so nothing was shown", seed)
			}
		})
	}
}

// compete steps the lease in one goroutine and gives orders in another.
func compete(ctx context.Context, found *holders, name string, lease *Lease) {
	var loops sync.WaitGroup
	loops.Go(func() {
		for ctx.Err() == nil {
			_ = lease.Step(ctx)
			time.Sleep(found.draw(time.Second))
			if found.draw(20) == 0 {
				time.Sleep(found.draw(20 * time.Second)) // frozen
			}
		}
	})
	loops.Go(func() {
		for ctx.Err() == nil {
			if tenure := lease.Tenure(); tenure.Holds(time.Now(), testOrder) {
				found.order(name, tenure.Fence)
			}
			time.Sleep(found.draw(100 * time.Millisecond))
		}
	})
	loops.Wait()
}

func TestLeaseIsTakenOnlyAfterTermAndLongestOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		memory := NewMemory()
		first, second := NewLease(memory, "plan", "first", testTerm, testOrder), NewLease(memory, "plan", "second", testTerm, testOrder)
		_ = first.Step(ctx)
		began := time.Now()
		for !second.Tenure().Holds(time.Now(), 0) {
			if time.Since(began) > time.Minute {
				t.Fatal("never taken")
			}
			_ = second.Step(ctx)
			time.Sleep(100 * time.Millisecond)
		}
		if waited := time.Since(began); waited < testTerm+testOrder {
			t.Errorf("taken after %s, want at least %s", waited, testTerm+testOrder)
		}
		if first.Tenure().Holds(time.Now(), 0) {
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
		first, second := NewLease(memory, "plan", "first", time.Hour, testOrder), NewLease(memory, "plan", "second", testTerm, testOrder)
		_ = first.Step(ctx)
		fleets := NewFleets(memory)
		fleet, _ := fleets.Latest(ctx, "ne")
		step := greengageroute.FleetChange{Fleet: fleet, Group: "g", Reason: "test"}
		_ = second.Step(ctx)
		time.Sleep(testTerm + testOrder + time.Second)
		_ = second.Step(ctx)
		if !first.Tenure().Holds(time.Now(), 0) || !second.Tenure().Holds(time.Now(), 0) {
			t.Fatal("both were to believe that they hold the lease")
		}
		if _, err := fleets.Commit(ctx, first, step); err == nil {
			t.Error("a fleet was written without the lease")
		}
		if _, err := fleets.Commit(ctx, second, step); err != nil {
			t.Errorf("the holder could not write the fleet: %v", err)
		}
	})
}
