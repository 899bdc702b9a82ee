package control

import (
	"context"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

type (
	// Backoffs knows which targets have asked this entry for a backoff.
	Backoffs interface {
		Backoff(target greengageroute.Target) greengageroute.TargetBackoff
	}

	// BackoffFilter holds orders and probes back from targets that have asked for a backoff.
	// A probe then only finds out whether the target accepts a connection, over which no
	// request is sent.
	BackoffFilter struct {
		orders   OrderSender
		reporter Reporter
		backoffs Backoffs
		accepts  func(greengageroute.Target) bool
		clock    greengageroute.Clock
	}
)

// NewBackoffFilter returns a filter in front of the given senders.
func NewBackoffFilter(orders OrderSender, reporter Reporter, backoffs Backoffs, clock greengageroute.Clock) *BackoffFilter {
	return &BackoffFilter{orders: orders, reporter: reporter, backoffs: backoffs, accepts: acceptsConnections, clock: clock}
}

// Send sends an order, or returns a *greengageroute.BackoffError.
func (filter *BackoffFilter) Send(ctx context.Context, order greengageroute.TargetOrder, timeout time.Duration) error {
	remaining := filter.backoffs.Backoff(order.Target).RemainingForOrders(order.Target.StartUnixMilli, filter.clock.Now())
	if remaining > 0 {
		return &greengageroute.BackoffError{Target: order.Target.ID, After: remaining}
	}
	return filter.orders.Send(ctx, order, timeout)
}

// Report requests a target's state report. During a backoff it is empty if the target accepts
// a connection.
func (filter *BackoffFilter) Report(ctx context.Context, target greengageroute.Target, timeout time.Duration) (greengageroute.TargetReport, error) {
	remaining := filter.backoffs.Backoff(target).Remaining(target.StartUnixMilli, filter.clock.Now())
	switch {
	case remaining == 0:
		return filter.reporter.Report(ctx, target, timeout)
	case filter.accepts(target):
		return greengageroute.TargetReport{}, nil
	default:
		return greengageroute.TargetReport{}, &greengageroute.BackoffError{Target: target.ID, After: remaining}
	}
}
