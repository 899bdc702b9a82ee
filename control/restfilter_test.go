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

// restingTarget counts what reaches a target that has asked for rest.
type restingTarget struct {
	rest            greengageroute.TargetRest
	orders, reports int
	accepts         bool
}

func (resting *restingTarget) Rest(greengageroute.Target) greengageroute.TargetRest {
	return resting.rest
}

func (resting *restingTarget) Send(context.Context, greengageroute.TargetOrder, time.Duration) error {
	resting.orders++
	return nil
}

func (resting *restingTarget) Report(context.Context, greengageroute.Target, time.Duration) (greengageroute.TargetReport, error) {
	resting.reports++
	return greengageroute.TargetReport{StartUnixMilli: 7}, nil
}

// TestTargetsAtRestGetNoOrdersAndProbes guards against a target that asks for rest and is
// asked for its state meanwhile, and against one that is lost because nobody asks.
func TestTargetsAtRestGetNoOrdersAndProbes(t *testing.T) {
	tests := []struct {
		name            string
		asked           time.Duration
		after           time.Duration // since it asked
		restarted       bool
		accepts         bool
		alive           bool
		orders, reports int
	}{
		{"no rest", 0, 0, false, true, true, 1, 1},
		{"at rest", 3 * time.Second, time.Second, false, true, true, 0, 0},
		{"at rest and crashed", 3 * time.Second, time.Second, false, false, false, 0, 0},
		{"after its rest", 3 * time.Second, 3 * time.Second, false, true, true, 1, 1},
		{"a later process", 3 * time.Second, time.Second, true, true, true, 1, 1},
		{"a long rest holds shorter for orders", time.Minute, 10 * time.Second, false, true, true, 1, 0},
		{"a year", 365 * 24 * time.Hour, time.Minute, false, true, true, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := greengageroute.Target{ID: "i-1", StartUnixMilli: 7}
				resting := &restingTarget{accepts: test.accepts}
				if test.asked > 0 {
					start := target.StartUnixMilli
					if test.restarted {
						start--
					}
					resting.rest = resting.rest.WithRest(test.asked, start, time.Now())
				}
				time.Sleep(test.after)
				filter := NewRestFilter(resting, resting, resting, greengageroute.RuntimeClock{})
				filter.accepts = func(greengageroute.Target) bool { return resting.accepts }
				prober := NewProber("a", filter, NewDirectory(greengageroute.RuntimeClock{}), &fakeNotifier{}, greengageroute.RuntimeClock{}, new(expvar.Map).Init(), logr.Discard())
				if _, alive := prober.probeTarget(target); alive != test.alive {
					t.Errorf("counts as alive: %t, want %t", alive, test.alive)
				}
				err := filter.Send(context.Background(), greengageroute.TargetOrder{Kind: greengageroute.OrderClose, Target: target}, time.Second)
				var rests *greengageroute.TargetRestsError
				if errors.As(err, &rests) == (test.orders > 0) {
					t.Errorf("got error %v for an order", err)
				}
				if resting.orders != test.orders || (resting.reports > 0) != (test.reports > 0) {
					t.Errorf("got %d orders and %d probes, want %d and %d", resting.orders, resting.reports, test.orders, test.reports)
				}
			})
		})
	}
}
