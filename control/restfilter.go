package control

import (
	"context"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

type (
	// Rests knows which targets have asked this entry for rest.
	Rests interface {
		Rest(target greengageroute.Target) greengageroute.TargetRest
	}

	// RestFilter holds orders and probes back from targets that have asked for rest. A probe
	// then only finds out whether the target accepts a connection, over which no request is
	// sent.
	RestFilter struct {
		orders   OrderSender
		reporter Reporter
		rests    Rests
		accepts  func(greengageroute.Target) bool
		clock    greengageroute.Clock
	}
)

// NewRestFilter returns a filter in front of the given senders.
func NewRestFilter(orders OrderSender, reporter Reporter, rests Rests, clock greengageroute.Clock) *RestFilter {
	return &RestFilter{orders: orders, reporter: reporter, rests: rests, accepts: acceptsConnections, clock: clock}
}

// Send sends an order, or returns a *greengageroute.TargetRestsError.
func (filter *RestFilter) Send(ctx context.Context, order greengageroute.TargetOrder, timeout time.Duration) error {
	remaining := filter.rests.Rest(order.Target).RemainingForOrders(order.Target.StartUnixMilli, filter.clock.Now())
	if remaining > 0 {
		return &greengageroute.TargetRestsError{Target: order.Target.ID, After: remaining}
	}
	return filter.orders.Send(ctx, order, timeout)
}

// Report requests a target's state report. That of a target at rest that accepts a
// connection is empty.
func (filter *RestFilter) Report(ctx context.Context, target greengageroute.Target, timeout time.Duration) (greengageroute.TargetReport, error) {
	remaining := filter.rests.Rest(target).Remaining(target.StartUnixMilli, filter.clock.Now())
	switch {
	case remaining == 0:
		return filter.reporter.Report(ctx, target, timeout)
	case filter.accepts(target):
		return greengageroute.TargetReport{}, nil
	default:
		return greengageroute.TargetReport{}, &greengageroute.TargetRestsError{Target: target.ID, After: remaining}
	}
}
