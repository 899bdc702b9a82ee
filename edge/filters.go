package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/intake"
)

const (
	// revocationMargin is how long before the revocation time a key is no longer
	// accepted: the request with the key may have been sent a moment earlier.
	revocationMargin = 600 * time.Millisecond
	// notReadyRetryAfter is sent by an entry that has just started.
	notReadyRetryAfter = 500 * time.Millisecond
	// unconfirmedRetryAfter is sent while no entry can confirm its config: outages
	// of the store last seconds, and another entry can't help. A caller with a
	// shorter timeout retries sooner.
	unconfirmedRetryAfter = 2 * time.Second
	// defaultCallerTimeout applies to requests that state no timeout.
	defaultCallerTimeout = 30 * time.Second
)

// matchRoute finds the route of the request and sets its deadline.
func matchRoute(_ context.Context, exchange *exchange) error {
	if exchange.routes == nil && exchange.forwarded {
		return errCannotHelp
	}
	if exchange.routes == nil {
		return unavailable("the config has not been loaded yet", notReadyRetryAfter)
	}
	if exchange.ID == "" {
		return refuse(http.StatusBadRequest, "the request has no attempt id", "send the attempt id header")
	}
	found := false
	exchange.route, found = exchange.routes.Match(exchange.Host, exchange.Path)
	if !found {
		if !exchange.service.ConfigFresh() {
			return unavailable("no route matches and the config may be out of date", exchange.service.unconfirmedConfigRetryAfter())
		}
		return refuse(http.StatusNotFound, "no route matches this host and path", "check the URL")
	}
	exchange.pickPool()
	exchange.priority, exchange.allowed = exchange.route.Priority, exchange.route.AllowedRegions
	timeout := exchange.CallerTimeout
	if timeout <= 0 {
		timeout = defaultCallerTimeout
	}
	if exchange.route.Timeout > 0 {
		timeout = min(timeout, exchange.route.Timeout)
	}
	exchange.deadline = exchange.arrived.Add(timeout)
	return nil
}

// unconfirmedConfigRetryAfter returns the Retry-After time for a request that
// needs a confirmed config. It is short if this entry has no live peers: then only
// this entry is cut off, and the caller finds another one at once.
func (service *Service) unconfirmedConfigRetryAfter() time.Duration {
	if service.Peers.LiveEntries() > 1 {
		return unconfirmedRetryAfter
	}
	return notReadyRetryAfter
}

// authenticate finds the workspace that owns the caller's key.
func authenticate(_ context.Context, exchange *exchange) error {
	if !exchange.routes.RequiresKey() || exchange.route.Public {
		return nil
	}
	if !exchange.service.ConfigFresh() {
		return unavailable("the config may be out of date, and keys may have been revoked", exchange.service.unconfirmedConfigRetryAfter())
	}
	owner, found := exchange.routes.KeyOwner(exchange.Key)
	if !found {
		return refuse(http.StatusUnauthorized, "the key is not known", "use a valid key")
	}
	exchange.Workspace, exchange.allowed = owner.Name, exchange.allowed.And(owner.AllowedRegions)
	if owner.HasPriority {
		exchange.priority = owner.Priority
	}
	return nil
}

// chargeHeader charges a long header to the budget.
func chargeHeader(_ context.Context, exchange *exchange) error {
	err := exchange.holding.ReserveHeader(exchange.httpRequest.Header)
	var refused *intake.Refusal
	if !errors.As(err, &refused) {
		return err
	}
	exchange.holding.Abandon()
	return exchange.refuseToHold(refused)
}

// refuseToHold returns the error of a request that isn't read to its end.
func (exchange *exchange) refuseToHold(refused *intake.Refusal) error {
	exchange.bodyRefused = true
	return &Refusal{Status: refused.Status, Reason: refused.Reason, Remedy: refused.Remedy, RetryAfter: refused.RetryAfter}
}

// readBody buffers the whole body, so that it can be sent more than once.
func readBody(_ context.Context, exchange *exchange) error {
	if exchange.httpRequest.ContentLength == 0 {
		return nil
	}
	undo := exchange.interruptReading()
	defer undo()
	body, err := exchange.holding.ReadBody(exchange.httpRequest.Body, exchange.httpRequest.ContentLength, exchange.routes.Limits.BodyBytes)
	var refused *intake.Refusal
	switch {
	case errors.As(err, &refused):
		return exchange.refuseToHold(refused)
	case err != nil && exchange.service.running.Err() != nil:
		return unavailable(stoppingReason, stopRetryAfter)
	case isDisconnect(err):
		return errCallerDisconnected
	case err != nil:
		return refuse(http.StatusBadRequest, "the request body can't be read: "+err.Error(), "send a Content-Length or a valid chunked body")
	}
	exchange.Body = body
	return nil
}

// isDisconnect reports whether the connection ended within the body, as opposed to
// a body that violates the protocol.
func isDisconnect(err error) bool {
	var network net.Error
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// forward sends the request to a target of the route's kind, or to another entry if no
// target responds to this one.
func forward(ctx context.Context, exchange *exchange) error {
	ctx, cancel := context.WithDeadline(ctx, exchange.deadline)
	defer cancel()
	ctx, release := exchange.service.endWithEntry(ctx)
	defer release()
	if exchange.route.Kind == greengageroute.Streaming {
		return exchange.stream(ctx)
	}
	return exchange.call(ctx)
}
