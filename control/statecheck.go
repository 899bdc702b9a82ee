package control

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
)

// acceptedOrderTTL is how long an accepted order tells a target's state. Until then reports may be from
// before it.
const acceptedOrderTTL = time.Second

type (
	// StateCheck sends orders, and orders to join only to targets in the state that the planner
	// knows: a target's row may be behind it, as its write is late or lost.
	StateCheck struct {
		orders   OrderSender
		reporter Reporter
		clock    greengageroute.Clock

		mu       sync.Mutex
		accepted map[mesh.TargetInstance]acceptedOrder // the last one
	}

	// acceptedOrder is an order that a target accepted.
	acceptedOrder struct {
		kind    greengageroute.OrderKind
		replica greengageroute.ReplicaKey
		at      time.Time
	}

	// OutdatedTargetError reports that an order wasn't sent or executed, since the target isn't in
	// the state that the planner knows.
	OutdatedTargetError struct {
		Target string
		Reason string
	}
)

// NewStateCheck returns a check in front of the given sender.
func NewStateCheck(orders OrderSender, reporter Reporter, clock greengageroute.Clock) *StateCheck {
	return &StateCheck{orders: orders, reporter: reporter, clock: clock, accepted: map[mesh.TargetInstance]acceptedOrder{}}
}

func (err *OutdatedTargetError) Error() string {
	return fmt.Sprintf("target %q isn't in the state that the list shows: %s; wait for its row", err.Target, err.Reason)
}

// Send sends an order. An order to join takes effect only if the target is in the state that the planner
// knows. Otherwise the error is an *OutdatedTargetError. One that is listed without any trace of an order
// has to have accepted none; others, and those for which that isn't so, are asked for their reports
// first, and so is the former head. The timeout holds for all requests together.
func (check *StateCheck) Send(ctx context.Context, order greengageroute.TargetOrder, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if order.Kind != greengageroute.OrderJoin {
		return check.send(ctx, order, timeout)
	}
	if check.isUntouched(order.Target) {
		untouched := order
		untouched.Expected = new(uint64)
		if err := check.send(ctx, untouched, timeout); !isConflict(err) {
			return err
		}
	}
	if err := check.confirmLeft(ctx, order, timeout); err != nil {
		return err
	}
	var err error
	if order.Expected, err = check.confirmTarget(ctx, order.Target, timeout); err != nil {
		return err
	}
	err = check.send(ctx, order, timeout)
	if order.Expected != nil && isConflict(err) {
		return &OutdatedTargetError{order.Target.ID, "it has accepted another order"}
	}
	return err
}

// send sends an order and records that it was accepted.
func (check *StateCheck) send(ctx context.Context, order greengageroute.TargetOrder, timeout time.Duration) error {
	err := check.orders.Send(ctx, order, timeout)
	if err == nil {
		check.recordAccepted(order)
	}
	return err
}

// isConflict reports whether a target refused an order since its state, or the number of orders that it
// has accepted, is another one.
func isConflict(err error) bool {
	var refused *greengageroute.OrderRefusedError
	return errors.As(err, &refused) && refused.Status == http.StatusConflict
}

// isUntouched reports whether nothing is known of any order that a target has accepted since its start.
func (check *StateCheck) isUntouched(target greengageroute.Target) bool {
	_, accepted := check.lastAccepted(target)
	return !accepted && target.Membership.Replica == "" && len(target.Staged) == 0 && target.Staging == ""
}

// confirmTarget returns an error unless the target is in the state that the planner knows. It returns
// the number of orders that the target has accepted, if known.
func (check *StateCheck) confirmTarget(ctx context.Context, target greengageroute.Target, timeout time.Duration) (*uint64, error) {
	last, accepted := check.lastAccepted(target)
	if accepted && last.tellsReplica() {
		return nil, nil
	}
	report, err := check.reporter.Report(ctx, target, timeout)
	if err != nil {
		return nil, err
	}
	if reason := differenceFrom(target, report); reason != "" {
		return nil, &OutdatedTargetError{target.ID, reason}
	}
	if accepted {
		return nil, nil // the report may not count that order
	}
	return report.AcceptedOrders, nil
}

// confirmLeft returns an error unless the head of the replica that the target leaves by the order is
// broken, or isn't a member there.
func (check *StateCheck) confirmLeft(ctx context.Context, order greengageroute.TargetOrder, timeout time.Duration) error {
	head, former := order.FormerHead, replicaIDOf(&order.Target).ReplicaKey
	if head == nil {
		return nil
	}
	last, accepted := check.lastAccepted(*head)
	isMember := last.replica == former && last.kind != greengageroute.OrderLeave
	if !accepted || !last.tellsReplica() {
		report, err := check.reporter.Report(ctx, *head, timeout)
		if err != nil {
			return &OutdatedTargetError{head.ID, "its state isn't known (" + err.Error() + ")"}
		}
		member := report.Membership
		isMember = member.BelongsTo(former.Name, former.Epoch) && member.State != greengageroute.MemberBroken
	}
	if isMember {
		return &OutdatedTargetError{head.ID, fmt.Sprintf("it is a member of replica %q at %d", former.Name, former.Epoch)}
	}
	return nil
}

// differenceFrom returns how a target differs from its report, or "".
func differenceFrom(target greengageroute.Target, report greengageroute.TargetReport) string {
	known, reported := target.Membership, report.Membership
	serves := func(member greengageroute.Membership) bool {
		return member.Rank == 0 && (member.State == greengageroute.MemberOpen || member.State == greengageroute.MemberClosing)
	}
	switch {
	case report.StartUnixMilli != 0 && report.StartUnixMilli != target.StartUnixMilli:
		return "it has restarted"
	case replicaIDOf(&greengageroute.Target{Membership: reported}) != replicaIDOf(&greengageroute.Target{Membership: known}):
		return fmt.Sprintf("it is in replica %q at %d instead of %q at %d", reported.Replica, reported.Epoch, known.Replica, known.Epoch)
	case serves(reported) && !serves(known):
		return "it serves"
	}
	return ""
}

// lastAccepted returns the order that a target has accepted so lately that its report may be from
// before it, if there is one.
func (check *StateCheck) lastAccepted(target greengageroute.Target) (acceptedOrder, bool) {
	check.mu.Lock()
	defer check.mu.Unlock()
	last, accepted := check.accepted[target.Instance()]
	return last, accepted && check.clock.Now().Sub(last.at) < acceptedOrderTTL
}

// tellsReplica reports whether a target that accepted the order is known to be in its replica, and not
// to serve there, or to have left it.
func (order acceptedOrder) tellsReplica() bool {
	switch order.kind {
	case greengageroute.OrderJoin, greengageroute.OrderClose, greengageroute.OrderLeave:
		return true
	default:
		return false
	}
}

func (check *StateCheck) recordAccepted(order greengageroute.TargetOrder) {
	check.mu.Lock()
	defer check.mu.Unlock()
	now := check.clock.Now()
	maps.DeleteFunc(check.accepted, func(_ mesh.TargetInstance, last acceptedOrder) bool { return now.Sub(last.at) >= acceptedOrderTTL })
	check.accepted[order.Target.Instance()] = acceptedOrder{order.Kind, order.Key(), now}
}
