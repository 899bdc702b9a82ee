package greengageroute

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

type (
	// demand is one stream of requests of a simulated overload.
	demand struct {
		workspace string
		class     Class
		perSecond float64
		seconds   float64 // how long a request holds its slot
	}

	// outcomes counts what became of a demand's requests.
	outcomes struct {
		mu     sync.Mutex
		sent   map[string]int
		served map[string]int
		told   map[string]int // refused with a truthful error
		end    time.Time
		work   float64 // slot-seconds of requests that were in time and ended before the end
	}
)

var (
	urgent = Class{Name: "counter", Rank: 0, Deadline: 2 * time.Second}
	chats  = Class{Name: "chats", Rank: 1, Deadline: 5 * time.Second}
	slow   = Class{Name: "letters", Rank: 2, Deadline: 20 * time.Second}
)

// overload sends the demands for a time through a gate and returns what became
// of them. gate waits for a slot and returns how to give it back.
func overload(length time.Duration, demands []demand, gate func(context.Context, AdmissionRequest) (func(), error)) *outcomes {
	found := &outcomes{sent: map[string]int{}, served: map[string]int{}, told: map[string]int{}, end: time.Now().Add(length)}
	var requests sync.WaitGroup
	for i, demand := range demands {
		random := rand.New(rand.NewPCG(7, uint64(i)))
		requests.Go(func() {
			for began := time.Now(); time.Since(began) < length; {
				time.Sleep(time.Duration(random.ExpFloat64() / demand.perSecond * float64(time.Second)))
				requests.Go(func() { found.one(demand, gate) })
			}
		})
	}
	requests.Wait()
	return found
}

func (outcomes *outcomes) one(demand demand, gate func(context.Context, AdmissionRequest) (func(), error)) {
	began := time.Now()
	release, err := gate(context.Background(), AdmissionRequest{Workspace: demand.workspace, Class: demand.class, Cost: demand.seconds})
	outcomes.mu.Lock()
	outcomes.sent[demand.workspace]++
	inTime := err == nil && time.Since(began) <= demand.class.Deadline
	var refused *OverloadError
	if errors.As(err, &refused) && refused.RetryAfter >= 0 {
		outcomes.told[demand.workspace]++
	}
	if inTime {
		outcomes.served[demand.workspace]++
	}
	outcomes.mu.Unlock()
	if err == nil {
		time.Sleep(time.Duration(demand.seconds * float64(time.Second)))
		release()
		outcomes.finished(demand, inTime)
	}
}

func (outcomes *outcomes) finished(demand demand, inTime bool) {
	outcomes.mu.Lock()
	defer outcomes.mu.Unlock()
	if inTime && time.Now().Before(outcomes.end) {
		outcomes.work += demand.seconds
	}
}

func (outcomes *outcomes) share(workspace string) float64 {
	return float64(outcomes.served[workspace]) / float64(max(outcomes.sent[workspace], 1))
}

// fifo is the baseline: slots in the order of arrival, without deadlines.
func fifo(slots int) func(context.Context, AdmissionRequest) (func(), error) {
	free := make(chan struct{}, slots)
	return func(context.Context, AdmissionRequest) (func(), error) {
		free <- struct{}{}
		return func() { <-free }, nil
	}
}

// demandsAt returns demands that together are a multiple of what ten slots can
// serve, with one workspace flooding.
func demandsAt(load float64) []demand {
	const capacity = 10.0 // slot-seconds a second
	rest := load*capacity - 2 - 2
	return []demand{
		{"stock", urgent, 10, 0.1},
		{"bookings", urgent, 10, 0.1},
		{"members", chats, 2, 0.5},
		{"recipes", chats, 2, 0.5},
		{"flood", slow, rest * 0.9, 1},
		{"minutes", slow, rest * 0.1, 1},
	}
}

func TestOverloadShedsLettersFirst(t *testing.T) {
	const slots = 10
	for _, load := range []float64{1.5, 3} {
		t.Run(fmt.Sprintf("%.1f times capacity", load), func(t *testing.T) {
			var ours, baseline *outcomes
			synctest.Test(t, func(*testing.T) {
				ours = overload(2*time.Minute, demandsAt(load), NewAdmission(slots, func(string) {}).Acquire)
			})
			synctest.Test(t, func(*testing.T) {
				baseline = overload(2*time.Minute, demandsAt(load), fifo(slots))
			})
			for _, workspace := range []string{"stock", "bookings", "members", "recipes", "minutes", "flood"} {
				t.Logf("%-9s in time %.3f (in order of arrival: %.3f), refused %d of %d", workspace, ours.share(workspace), baseline.share(workspace), ours.told[workspace], ours.sent[workspace])
			}
			for _, workspace := range []string{"stock", "bookings", "members", "recipes"} {
				if ours.share(workspace) < 0.99 {
					t.Errorf("%s: %.3f within the deadline, want 0.99", workspace, ours.share(workspace))
				}
			}
			if ours.share("minutes") < ours.share("flood") {
				t.Errorf("the workspace that floods got a larger share of what it asked for: %.3f against %.3f", ours.share("flood"), ours.share("minutes"))
			}
			for workspace, sent := range ours.sent {
				if ours.served[workspace]+ours.told[workspace] != sent {
					t.Errorf("%s: %d sent, %d served, %d refused truthfully", workspace, sent, ours.served[workspace], ours.told[workspace])
				}
			}
		})
	}
}

// TestGoodputPastTheKnee measures the work done within its deadline at several
// loads; it must not fall below 0.9 of the peak.
func TestGoodputPastTheKnee(t *testing.T) {
	const slots, length = 10, time.Minute
	peak, worst := 0.0, math.Inf(1)
	for _, load := range []float64{0.8, 1, 1.5, 2, 3, 5} {
		synctest.Test(t, func(t *testing.T) {
			found := overload(length, demandsAt(load), NewAdmission(slots, func(string) {}).Acquire)
			goodput := found.work / length.Seconds() / slots
			t.Logf("load %.1f: goodput %.3f of capacity", load, goodput)
			peak = max(peak, goodput)
			if load > 1 {
				worst = min(worst, goodput)
			}
		})
	}
	if worst < 0.9*peak {
		t.Errorf("goodput past the knee is %.3f, want at least 0.9 of the peak %.3f", worst, peak)
	}
}

// TestRecoveryAfterLosingHalf takes half of the slots away at load 0.9 for 30 s
// and measures how long the urgent class is late after they are back.
func TestRecoveryAfterLosingHalf(t *testing.T) {
	const slots, bound = 10, 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		admission := NewAdmission(slots, func(string) {})
		var mu sync.Mutex
		healed, last := time.Now().Add(time.Minute), time.Time{}
		time.AfterFunc(30*time.Second, func() { admission.SetSlots(slots / 2) })
		time.AfterFunc(time.Minute, func() { admission.SetSlots(slots) })
		overload(2*time.Minute, demandsAt(0.9), func(ctx context.Context, ticket AdmissionRequest) (func(), error) {
			release, err := admission.Acquire(ctx, ticket)
			if err != nil {
				mu.Lock()
				last = time.Now()
				mu.Unlock()
			}
			return release, err
		})
		recovery := max(last.Sub(healed), 0)
		t.Logf("last refusal %s after the slots were back", recovery)
		if recovery > bound {
			t.Errorf("refusals went on for %s after the slots were back, want at most %s", recovery, bound)
		}
	})
}

func TestAbandonedRequestsGiveTheirSlotBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := NewAdmission(1, func(string) {})
		ticket := AdmissionRequest{Workspace: "w", Class: urgent, Cost: 1}
		release, err := admission.Acquire(t.Context(), ticket)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		if _, err := admission.Acquire(ctx, ticket); !errors.Is(err, context.Canceled) {
			t.Errorf("got %v, want the caller's cancellation", err)
		}
		release()
		release() // has no effect
		for range 2 {
			if release, err = admission.Acquire(t.Context(), ticket); err != nil {
				t.Errorf("the slot is not free: %v", err)
				return
			}
			release()
		}
	})
}
