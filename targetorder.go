package greengageroute

import (
	"fmt"
	"net/http"
	"strings"
)

// Kinds of target orders.
const (
	OrderJoin OrderKind = iota + 1
	OrderOpen
	OrderClose
	OrderLeave
	OrderStage
)

type (
	// OrderKind is the action that an order asks of a target.
	OrderKind int

	// TargetOrder tells a target to join a replica, to open or close the replica
	// that it heads, to leave its replica, or to stage a model's weights on its host.
	TargetOrder struct {
		Kind      OrderKind
		Target    Target
		Replica   string
		Epoch     uint64
		Model     string
		Members   []string
		Immediate bool // close at once instead of waiting for running requests
		// Expected is how many orders the target has to have accepted before this one; nil: any
		// number. It refuses with status 409 otherwise.
		Expected *uint64
		// FormerHead is the head of the replica that the target leaves by joining another one, which
		// it may do only once the head isn't a member there; nil if there is none to ask.
		FormerHead *Target
	}

	// OrderRefusedError reports that a target refused an order.
	OrderRefusedError struct {
		Target string
		Status int
	}

	// OrderUnansweredError reports that a target accepted the connection over which an order
	// was sent, and neither responded nor closed it in time: its process exists and stands
	// still. It may carry the order out once it goes on.
	OrderUnansweredError struct{ Target string }
)

// Key returns the replica that the order names.
func (order TargetOrder) Key() ReplicaKey { return ReplicaKey{order.Replica, order.Epoch} }

// TellsState reports whether the status says that the target can't carry out the order in
// its state, or isn't the one expected. That says nothing about a replica that the order
// doesn't name. Other refusals, as by a busy target, leave open what
// the state is.
func (err *OrderRefusedError) TellsState() bool {
	switch err.Status {
	case http.StatusConflict, http.StatusPreconditionFailed, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// String returns the kind's name.
func (kind OrderKind) String() string {
	return [...]string{"none", "join", "open", "close", "leave", "stage"}[kind]
}

// String describes the order on one line.
func (order TargetOrder) String() string {
	return fmt.Sprintf("%s %s at %d of %s on %s %s", order.Kind, order.Replica, order.Epoch, order.Model, order.Target.ID, strings.Join(order.Members, ","))
}

func (err *OrderUnansweredError) Error() string {
	return fmt.Sprintf("target %q accepted the connection and didn't respond; it may still execute the order", err.Target)
}

func (err *OrderRefusedError) Error() string {
	return fmt.Sprintf("target %q refused the order with HTTP status %d; its state must be read again", err.Target, err.Status)
}
