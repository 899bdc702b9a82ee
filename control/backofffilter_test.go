package control

import (
	"context"
	"errors"
	"expvar"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
)

// busyTarget counts what reaches a target that has asked for a backoff.
type busyTarget struct {
	backoff         greengageroute.TargetBackoff
	orders, reports int
	accepts         bool
}

func (busy *busyTarget) Backoff(greengageroute.Target) greengageroute.TargetBackoff {
	return busy.backoff
}

func (busy *busyTarget) Send(context.Context, greengageroute.TargetOrder, time.Duration) error {
	busy.orders++
	return nil
}

func (busy *busyTarget) Report(context.Context, greengageroute.Target, time.Duration) (greengageroute.TargetReport, error) {
	busy.reports++
	return greengageroute.TargetReport{StartUnixMilli: 7}, nil
}

// TestBackoffHoldsForOrdersAndProbes guards against a target that asks for a backoff and is
// asked for its state meanwhile, and against one that is lost because nobody asks.
func TestBackoffHoldsForOrdersAndProbes(t *testing.T) {
	tests := []struct {
		name            string
		asked           time.Duration
		after           time.Duration // since it asked
		restarted       bool
		accepts         bool
		alive           bool
		orders, reports int
	}{
		{"no backoff", 0, 0, false, true, true, 1, 1},
		{"during a backoff", 3 * time.Second, time.Second, false, true, true, 0, 0},
		{"crashed during a backoff", 3 * time.Second, time.Second, false, false, false, 0, 0},
		{"after its backoff", 3 * time.Second, 3 * time.Second, false, true, true, 1, 1},
		{"a later process", 3 * time.Second, time.Second, true, true, true, 1, 1},
		{"a long backoff holds shorter for orders", time.Minute, 10 * time.Second, false, true, true, 1, 0},
		{"a year", 365 * 24 * time.Hour, time.Minute, false, true, true, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := greengageroute.Target{ID: "i-1", StartUnixMilli: 7}
				busy := &busyTarget{accepts: test.accepts}
				if test.asked > 0 {
					start := target.StartUnixMilli
					if test.restarted {
						start--
					}
					busy.backoff = busy.backoff.WithBackoff(test.asked, start, time.Now())
				}
				time.Sleep(test.after)
				filter := NewBackoffFilter(busy, busy, busy, greengageroute.RuntimeClock{})
				filter.accepts = func(greengageroute.Target) bool { return busy.accepts }
				prober := NewProber("a", filter, NewDirectory(greengageroute.RuntimeClock{}), &fakeNotifier{}, greengageroute.RuntimeClock{}, new(expvar.Map).Init(), logr.Discard())
				if result := prober.probeTarget(target); result.alive != test.alive {
					t.Errorf("counts as alive: %t, want %t", result.alive, test.alive)
				}
				err := filter.Send(context.Background(), greengageroute.TargetOrder{Kind: greengageroute.OrderClose, Target: target}, time.Second)
				var heldBack *greengageroute.BackoffError
				if errors.As(err, &heldBack) == (test.orders > 0) {
					t.Errorf("got error %v for an order", err)
				}
				if busy.orders != test.orders || (busy.reports > 0) != (test.reports > 0) {
					t.Errorf("got %d orders and %d probes, want %d and %d", busy.orders, busy.reports, test.orders, test.reports)
				}
			})
		})
	}
}
