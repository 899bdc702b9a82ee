package edge

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"greengageroute.example/greengageroute/control"
)

// startNext starts an attempt if none runs, or if all that run are suspected and the stream
// may be resumed. The error ends the request.
func (stream *hedgedStream) startNext(ctx context.Context) error {
	active := stream.active()
	if slices.ContainsFunc(active, func(attempt *streamAttempt) bool { return attempt.suspicion == "" }) {
		return nil
	}
	exchange := stream.exchange
	hedges := len(active) > 0
	switch {
	case hedges && !exchange.route.Resumable:
		return nil
	case exchange.mayHaveRun && !exchange.route.Resumable:
		return errAttemptsUsed
	}
	if (hedges || !stream.waitingSince.IsZero()) && !stream.searchDue() {
		return nil
	}
	searched := exchange.service.Directory.View() // it may change meanwhile
	err := stream.startAttempt(ctx, hedges)
	switch {
	case err == nil:
		stream.recordStart(active)
		return nil
	case errors.Is(err, errUnconfirmed):
		return nil
	case hedges:
		stream.pause(searched)
		return nil
	case stream.mayWait(err):
		stream.recordWait(err)
		stream.pause(searched)
		return nil
	default:
		return err
	}
}

// fail ends a stream that no further attempt is made for. An error answer that came while
// another attempt ran is delivered.
func (stream *hedgedStream) fail() error {
	exchange := stream.exchange
	if stream.failure != nil && !exchange.headerSent {
		return exchange.deliver(stream.failure.attempt.answer, stream.failure.rest)
	}
	return exchange.noAnswerError(http.StatusBadGateway, stream.reason, stream.retryAfter)
}

// searchDue reports whether a replica should be looked for again after a search without
// success.
func (stream *hedgedStream) searchDue() bool {
	view := stream.exchange.service.Directory.View()
	return view != stream.searchedView || time.Since(stream.searchedAt) >= replicaSearchInterval
}

// pause records that no replica was found in a view, and lets targets that were unreachable be tried
// again once their backoffs have ended.
func (stream *hedgedStream) pause(searched *control.View) {
	now := time.Now()
	stream.searchedView, stream.searchedAt = searched, now
	for key, backoff := range stream.unreachable {
		if !backoff.Holds(now) {
			delete(stream.tried, key)
		}
	}
	if !stream.helpersLater.Holds(now) {
		stream.helpers = helperSearch{}
	}
	stream.starts = 0
	stream.silenceTimer.reset(silenceRecheck)
}

// mayWait reports whether a stream for which nothing runs waits for a replica. One that
// hasn't begun is refused at once, and one whose pool is excluded by evacuations or regions is
// ended.
func (stream *hedgedStream) mayWait(err error) bool {
	exchange := stream.exchange
	return exchange.headerSent && exchange.route.Resumable && !errors.Is(err, errAttemptsUsed) && exchange.quarantineError() == nil && !exchange.poolIsExcluded(exchange.service.Directory.View())
}

func (stream *hedgedStream) recordWait(err error) {
	if !stream.waitingSince.IsZero() {
		return
	}
	exchange := stream.exchange
	stream.waitingSince = time.Now()
	exchange.service.Counters.Add(CountStreamsAwaiting, 1)
	exchange.service.Log.Info("stream waits for a replica", "id", exchange.ID, "reason", stream.reason, "obstacle", err.Error(), "after-event", exchange.LastEventID,
		"silent-ms", time.Since(stream.lastEvent).Milliseconds(), "sent", exchange.attemptsSent)
}

// recordStart records an attempt that was started beside suspected ones, or after the last
// one ended.
func (stream *hedgedStream) recordStart(suspected []*streamAttempt) {
	exchange := stream.exchange
	if len(suspected) > 0 {
		exchange.service.Counters.Add(CountHedgesSent, 1)
	} else if exchange.headerSent {
		exchange.service.Counters.Add(CountStreamsResumed, 1)
	}
}

// startAttempt starts an attempt at a replica, a single target or, for an isolated entry,
// another entry. A hedge isn't sent to a replica that is silent itself.
func (stream *hedgedStream) startAttempt(ctx context.Context, hedges bool) error {
	exchange := stream.exchange
	if made := exchange.attemptsMade(); made > 0 && made >= exchange.route.Attempts {
		return errAttemptsUsed
	}
	if exchange.isolated() {
		if err := stream.startAtEntry(ctx); !errors.Is(err, errNoReplica) || hedges || !exchange.mayTryTarget(stream.tried) {
			return err
		}
	}
	if err := checkHelp(ctx, exchange); err != nil {
		return err
	}
	if stream.starts >= maxTargetsTried {
		return errNoReplica
	}
	source, found := exchange.claimSource(stream.tried)
	if !found && !hedges {
		if err := exchange.placementError(); err != nil {
			return err
		}
	}
	switch {
	case !found && exchange.limitWait > 0 && !exchange.headerSent && !hedges:
		return exchange.limitError()
	case !found, hedges && (source.engine == nil || source.unresponsive):
		return errNoReplica
	}
	source, refusal := exchange.admit(source)
	if refusal != nil {
		stream.reason, stream.retryAfter = refusal.Reason, refusal.RetryAfter
		return errNoReplica
	}
	if len(stream.tried) > 0 {
		// Another target may have crashed since.
		if err := exchange.quarantineError(); err != nil {
			return err
		}
	}
	if hedges && !stream.confirm(source) {
		return errUnconfirmed
	}
	if !exchange.allowAttempt() {
		return errNoReplica
	}
	stream.tried.Add(source.key())
	attempt := newStreamAttempt(stream, source)
	attempt.charged = exchange.attemptsMade() > 0
	stream.start(ctx, attempt)
	return nil
}

// confirm reports whether a replica is known to serve. If not, it has that checked: a hedge at
// one that is silent too would use up an attempt.
func (stream *hedgedStream) confirm(source source) bool {
	service, head, key := stream.exchange.service, source.replica.Head(), source.key()
	if stream.confirmed == key || service.Peers.Active(head.ID, activityWindow) {
		stream.confirmed = ""
		return true
	}
	if !stream.checking {
		stream.checking = true
		go func() { stream.checked <- checkedReplica{key, service.checks.check(head)} }()
	}
	return false
}

// recordCheck records whether a replica serves, and has one looked for again.
func (stream *hedgedStream) recordCheck(checked checkedReplica) {
	stream.checking, stream.searchedView = false, nil
	if checked.serves {
		stream.confirmed = checked.key
		return
	}
	stream.tried.Add(checked.key)
	// A check costs little, since all streams share it.
	stream.unreachable[checked.key] = sourceBackoff{}.WithFailure(time.Now(), 0)
}

// startAtEntry starts an attempt that another entry forwards.
func (stream *hedgedStream) startAtEntry(ctx context.Context) error {
	address, found := stream.exchange.nextHelper(&stream.helpers)
	if !found {
		stream.reason, stream.retryAfter = stream.exchange.noHelperReason(), noHelperRetryAfter
		return errNoReplica
	}
	if _, more := stream.exchange.helper(&stream.helpers); !more {
		stream.helpersLater, stream.helpersAsked = stream.helpersLater.WithFailure(time.Now(), stream.helpersAsked), 0
	}
	stream.start(ctx, newForwardedStreamAttempt(stream, address))
	return nil
}

func (stream *hedgedStream) start(ctx context.Context, attempt *streamAttempt) {
	if !attempt.fromEntry {
		stream.starts++
	}
	stream.attempts = append(stream.attempts, attempt)
	stream.exchange.attemptsPending++
	stream.exchange.reportAttempts()
	attempt.start(ctx)
	stream.silenceTimer.reset(min(attempt.unresponsiveAfter, silenceRecheck))
}
