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
	// load is the request stream of one workspace in a simulated overload.
	load struct {
		workspace string
		class     Class
		perSecond float64
		seconds   float64 // how long a request occupies its slot
	}

	// results counts the requests of each workspace by their outcome.
	results struct {
		mu      sync.Mutex
		sent    map[string]int
		served  map[string]int
		refused map[string]int // refused with an OverloadError that has a valid RetryAfter
		end     time.Time
		work    float64 // slot-seconds of requests that were in time and completed before end
	}
)

var (
	urgent      = Class{Name: "counter", Rank: 0, Deadline: 2 * time.Second}
	interactive = Class{Name: "chats", Rank: 1, Deadline: 5 * time.Second}
	batch       = Class{Name: "letters", Rank: 2, Deadline: 20 * time.Second}
)

// simulateOverload sends the loads for the given length of time and returns the
// results. acquire waits for a slot and returns the function that releases it.
func simulateOverload(length time.Duration, loads []load, acquire func(context.Context, AdmissionRequest) (func(), error)) *results {
	results := &results{sent: map[string]int{}, served: map[string]int{}, refused: map[string]int{}, end: time.Now().Add(length)}
	var requests sync.WaitGroup
	for i, load := range loads {
		random := rand.New(rand.NewPCG(7, uint64(i)))
		requests.Go(func() {
			for start := time.Now(); time.Since(start) < length; {
				time.Sleep(time.Duration(random.ExpFloat64() / load.perSecond * float64(time.Second)))
				requests.Go(func() { results.send(load, acquire) })
			}
		})
	}
	requests.Wait()
	return results
}

func (results *results) send(load load, acquire func(context.Context, AdmissionRequest) (func(), error)) {
	start := time.Now()
	release, err := acquire(context.Background(), AdmissionRequest{Workspace: load.workspace, Class: load.class, Cost: load.seconds})
	results.mu.Lock()
	results.sent[load.workspace]++
	inTime := err == nil && time.Since(start) <= load.class.Deadline
	var refused *OverloadError
	if errors.As(err, &refused) && refused.RetryAfter >= 0 {
		results.refused[load.workspace]++
	}
	if inTime {
		results.served[load.workspace]++
	}
	results.mu.Unlock()
	if err == nil {
		time.Sleep(time.Duration(load.seconds * float64(time.Second)))
		release()
		results.recordCompletion(load, inTime)
	}
}

func (results *results) recordCompletion(load load, inTime bool) {
	results.mu.Lock()
	defer results.mu.Unlock()
	if inTime && time.Now().Before(results.end) {
		results.work += load.seconds
	}
}

func (results *results) share(workspace string) float64 {
	return float64(results.served[workspace]) / float64(max(results.sent[workspace], 1))
}

// fifo returns the baseline's acquire function: slots are granted in the order of
// arrival, without deadlines.
func fifo(slots int) func(context.Context, AdmissionRequest) (func(), error) {
	free := make(chan struct{}, slots)
	return func(context.Context, AdmissionRequest) (func(), error) {
		free <- struct{}{}
		return func() { <-free }, nil
	}
}

// loadsAt returns loads that together are the given multiple of the capacity of ten
// slots. The workspace "flood" sends most of them.
func loadsAt(factor float64) []load {
	const capacity = 10.0 // slot-seconds a second
	remainder := factor*capacity - 2 - 2
	return []load{
		{"stock", urgent, 10, 0.1},
		{"bookings", urgent, 10, 0.1},
		{"members", interactive, 2, 0.5},
		{"recipes", interactive, 2, 0.5},
		{"flood", batch, remainder * 0.9, 1},
		{"minutes", batch, remainder * 0.1, 1},
	}
}

// Under overload, the workspaces of the urgent and interactive classes must be
// served within their deadline, the flooding workspace must not take the share of
// another one of its class, and every request must be served or refused.
func TestOverloadShedsLowPriorityFirst(t *testing.T) {
	const slots = 10
	for _, factor := range []float64{1.5, 3} {
		t.Run(fmt.Sprintf("%.1f times capacity", factor), func(t *testing.T) {
			var admitted, baseline *results
			synctest.Test(t, func(*testing.T) {
				admitted = simulateOverload(2*time.Minute, loadsAt(factor), NewAdmission(slots, func(string) {}).Acquire)
			})
			synctest.Test(t, func(*testing.T) {
				baseline = simulateOverload(2*time.Minute, loadsAt(factor), fifo(slots))
			})
			for _, workspace := range []string{"stock", "bookings", "members", "recipes", "minutes", "flood"} {
				t.Logf("%-9s in time %.3f (in order of arrival: %.3f), refused %d of %d", workspace, admitted.share(workspace), baseline.share(workspace), admitted.refused[workspace], admitted.sent[workspace])
			}
			for _, workspace := range []string{"stock", "bookings", "members", "recipes"} {
				if admitted.share(workspace) < 0.99 {
					t.Errorf("%s: fraction served within the deadline is %.3f, want at least 0.99", workspace, admitted.share(workspace))
				}
			}
			if admitted.share("minutes") < admitted.share("flood") {
				t.Errorf("the flooding workspace had %.3f of its requests served, the other workspace of its class only %.3f", admitted.share("flood"), admitted.share("minutes"))
			}
			for workspace, sent := range admitted.sent {
				if admitted.served[workspace]+admitted.refused[workspace] != sent {
					t.Errorf("%s: %d requests sent, but %d served in time and %d refused with an OverloadError", workspace, sent, admitted.served[workspace], admitted.refused[workspace])
				}
			}
		})
	}
}

// TestGoodputUnderOverload measures the work completed within the deadlines at
// several loads. Above capacity, it must not fall below 0.9 of the peak.
func TestGoodputUnderOverload(t *testing.T) {
	const slots, length = 10, time.Minute
	peak, worst := 0.0, math.Inf(1)
	for _, factor := range []float64{0.8, 1, 1.5, 2, 3, 5} {
		synctest.Test(t, func(t *testing.T) {
			results := simulateOverload(length, loadsAt(factor), NewAdmission(slots, func(string) {}).Acquire)
			goodput := results.work / length.Seconds() / slots
			t.Logf("load %.1f: goodput %.3f of capacity", factor, goodput)
			peak = max(peak, goodput)
			if factor > 1 {
				worst = min(worst, goodput)
			}
		})
	}
	if worst < 0.9*peak {
		t.Errorf("the lowest goodput above capacity is %.3f, want at least 0.9 of the peak %.3f", worst, peak)
	}
}

// TestRecoveryAfterLosingHalfTheSlots removes half of the slots for 30 s at a load
// of 0.9 and measures how long requests are still refused after the slots are
// restored.
func TestRecoveryAfterLosingHalfTheSlots(t *testing.T) {
	const slots, bound = 10, 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		admission := NewAdmission(slots, func(string) {})
		var mu sync.Mutex
		restored, lastRefusal := time.Now().Add(time.Minute), time.Time{}
		time.AfterFunc(30*time.Second, func() { admission.SetSlots(slots / 2) })
		time.AfterFunc(time.Minute, func() { admission.SetSlots(slots) })
		simulateOverload(2*time.Minute, loadsAt(0.9), func(ctx context.Context, request AdmissionRequest) (func(), error) {
			release, err := admission.Acquire(ctx, request)
			if err != nil {
				mu.Lock()
				lastRefusal = time.Now()
				mu.Unlock()
			}
			return release, err
		})
		recovery := max(lastRefusal.Sub(restored), 0)
		t.Logf("last refusal %s after the slots were restored", recovery)
		if recovery > bound {
			t.Errorf("requests were refused for %s after the slots were restored, want at most %s", recovery, bound)
		}
	})
}

func TestCancelledRequestReleasesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := NewAdmission(1, func(string) {})
		request := AdmissionRequest{Workspace: "w", Class: urgent, Cost: 1}
		release, err := admission.Acquire(t.Context(), request)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		if _, err := admission.Acquire(ctx, request); !errors.Is(err, context.Canceled) {
			t.Errorf("Acquire with a cancelled context returned %v, want context.Canceled", err)
		}
		release()
		release() // a second call must have no effect
		for range 2 {
			if release, err = admission.Acquire(t.Context(), request); err != nil {
				t.Errorf("the released slot is not available: %v", err)
				return
			}
			release()
		}
	})
}
