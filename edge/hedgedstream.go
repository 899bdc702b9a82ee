package edge

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/control"
	"greengageroute.example/greengageroute/upstream"
)

const (
	// silenceRecheck is the time until a silent attempt is checked again. Its replica's
	// members are probed meanwhile.
	silenceRecheck = 60 * time.Millisecond
	// replicaSearchInterval is how often a replica for another attempt is looked for while
	// the directory doesn't change: loads, limits and budgets do.
	replicaSearchInterval = 250 * time.Millisecond
)

var (
	// errAttemptsUsed is returned when the route allows no further attempt.
	errAttemptsUsed = errors.New("all attempts that the route allows were made")
	// errNoReplica is returned when no replica or target takes another attempt now.
	errNoReplica = errors.New("no replica takes another attempt")
	// errUnconfirmed is returned while it is checked whether a replica serves.
	errUnconfirmed = errors.New("the replica hasn't responded yet")
	// errTargetFailed is returned for an error answer that isn't delivered.
	errTargetFailed = errors.New("the target returned an error")
	// errRepeatedEvent ends an attempt that doesn't go on after the last event.
	errRepeatedEvent = errors.New("the target repeated an event")
)

type (
	// hedgedStream is a stream that is forwarded from one attempt at a time. An attempt is
	// suspected while it is silent and its replica may have lost a member. Then a second one
	// starts beside it after the last event; the first of them that brings the next event
	// goes on, and the other is cancelled. All methods run in the request's goroutine.
	hedgedStream struct {
		exchange     *exchange
		attempts     []*streamAttempt // that haven't ended, cancelled ones included
		messages     chan streamMessage
		silence      chan struct{}
		silenceTimer recheckTimer
		tried        greengageroute.Set[string] // keys of the sources that may have run the request
		unreachable  map[string]sourceBackoff   // by key of those that it couldn't be sent to
		confirmed    string                     // key of the replica that a hedge may be sent to
		checking     bool
		checked      chan checkedReplica
		starts       int // attempts at targets since the last pause
		helpers      helperSearch
		helpersLater sourceBackoff // after all of them were tried
		helpersAsked time.Duration // the longest time that they asked for
		searchedView *control.View
		searchedAt   time.Time
		waitingSince time.Time // nothing runs and the stream has begun; zero otherwise
		lastEvent    time.Time
		failure      *streamMessage // an error answer, while another attempt ran
		reason       string         // why the last attempt failed
		retryAfter   time.Duration
	}

	// checkedReplica tells whether a replica serves.
	checkedReplica struct {
		key    string
		serves bool
	}

	// streamMessage tells what an attempt received: the head of its answer, a notice, an event or
	// the end.
	streamMessage struct {
		attempt *streamAttempt
		event   streamEvent // valid until the next message is received
		// attemptsAtEntry is how many attempts another entry has made; 0 in messages that are no
		// notice of that.
		attemptsAtEntry int
		ended           bool
		rest            []byte // after the last event
		err             error  // why the attempt ended; nil for a regular end
	}
)

func newHedgedStream(exchange *exchange) *hedgedStream {
	return &hedgedStream{
		exchange: exchange, messages: make(chan streamMessage), silence: make(chan struct{}, 1), checked: make(chan checkedReplica, 1),
		tried: greengageroute.Set[string]{}, unreachable: map[string]sourceBackoff{},
		reason: "no replica of the model is available", retryAfter: noReplicaRetryAfter, lastEvent: time.Now(),
	}
}

// run forwards the stream until its end.
func (stream *hedgedStream) run(ctx context.Context) error {
	stream.silenceTimer.start(silenceRecheck, func() {
		select {
		case stream.silence <- struct{}{}:
		default:
		}
	})
	defer stream.silenceTimer.stop()
	defer stream.stop()
	for {
		if err := stream.startNext(ctx); errors.Is(err, errNoReplica) || errors.Is(err, errAttemptsUsed) {
			return stream.end(ctx, stream.fail())
		} else if err != nil {
			return stream.end(ctx, err)
		}
		select {
		case message := <-stream.messages:
			if complete, err := stream.receive(ctx, message); complete || err != nil {
				return stream.end(ctx, err)
			}
		case checked := <-stream.checked:
			stream.recordCheck(checked)
		case <-stream.silence:
			stream.checkSilence()
		case <-ctx.Done():
			stream.stop()
			return stream.end(ctx, stream.exchange.timeoutError())
		}
	}
}

// end logs why a stream that has begun is broken off.
func (stream *hedgedStream) end(ctx context.Context, err error) error {
	exchange := stream.exchange
	if err == nil || !exchange.headerSent || errors.Is(err, errCallerDisconnected) {
		return err
	}
	exchange.service.Log.Info("stream broken off", "id", exchange.ID, "reason", stream.reason, "deadline-passed", ctx.Err() != nil,
		"sent", exchange.attemptsSent, "attempts", exchange.route.Attempts, "targets", exchange.triedTargets, "after-event", exchange.LastEventID,
		"silent-ms", time.Since(stream.lastEvent).Milliseconds(), "waited-ms", stream.waited().Milliseconds())
	return err
}

// waited returns how long the stream has been waiting for a replica.
func (stream *hedgedStream) waited() time.Duration {
	if stream.waitingSince.IsZero() {
		return 0
	}
	return time.Since(stream.waitingSince)
}

// stop cancels all attempts and waits for their ends.
func (stream *hedgedStream) stop() {
	for _, attempt := range stream.attempts {
		attempt.abandon(nil)
	}
	for len(stream.attempts) > 0 {
		switch message := <-stream.messages; {
		case message.ended:
			stream.recordEnd(message)
			message.attempt.close(false)
		case message.attemptsAtEntry > 0:
			stream.recordNotice(message)
		case message.event.text == nil:
			stream.recordAnswer(message.attempt)
		}
	}
}

// active returns the attempts that weren't cancelled.
func (stream *hedgedStream) active() (active []*streamAttempt) {
	for _, attempt := range stream.attempts {
		if !attempt.cancelled {
			active = append(active, attempt)
		}
	}
	return active
}

// receive handles what an attempt received. It reports whether the stream is complete.
func (stream *hedgedStream) receive(ctx context.Context, message streamMessage) (complete bool, err error) {
	switch {
	case message.ended:
		return stream.receiveEnd(ctx, message)
	case message.attemptsAtEntry > 0:
		stream.recordNotice(message)
		return false, nil
	case message.event.text == nil:
		stream.recordAnswer(message.attempt)
		return false, nil
	case message.attempt.cancelled:
		message.event.release(&message.attempt.events)
		return false, nil
	default:
		err = stream.forwardEvent(message.attempt, message.event.text)
		message.event.release(&message.attempt.events)
		return false, err
	}
}

// recordAnswer records the head of an attempt's answer.
func (stream *hedgedStream) recordAnswer(attempt *streamAttempt) {
	exchange, answer := stream.exchange, attempt.answer
	attempt.recorded = true
	exchange.attemptsPending--
	if attempt.fromEntry {
		exchange.triedTargets += attempt.head().ID + " "
		if answer.ForwardedFrom.ID != "" {
			exchange.service.recordLeaving(answer.ForwardedFrom)
		}
		if !attempt.isRefusedByEntry() {
			attempt.attemptsAtEntry = attemptsAtEntry(answer, nil)
			exchange.attemptsSent += attempt.attemptsAtEntry
			exchange.mayHaveRun = true
		}
		return
	}
	exchange.recordSent(attempt.head())
	exchange.mayHaveRun = exchange.mayHaveRun || !answer.NotRun
	exchange.recordNotices(attempt.head(), answer.AnswerHead, attempt.sentAt)
}

// recordNotice records the attempts that another entry has made since its answer began.
func (stream *hedgedStream) recordNotice(message streamMessage) {
	attempt := message.attempt
	if further := message.attemptsAtEntry - attempt.attemptsAtEntry; further > 0 {
		stream.exchange.attemptsSent += further
		attempt.attemptsAtEntry = message.attemptsAtEntry
	}
}

// recordEnd removes an attempt that has ended, and records whether it reached its target.
func (stream *hedgedStream) recordEnd(message streamMessage) {
	attempt, exchange := message.attempt, stream.exchange
	stream.attempts = slices.DeleteFunc(stream.attempts, func(other *streamAttempt) bool { return other == attempt })
	if attempt.recorded {
		return
	}
	attempt.recorded = true
	exchange.attemptsPending--
	var notSent *upstream.NotSentError
	if errors.As(message.err, &notSent) {
		if attempt.charged {
			exchange.returnAttempt()
		}
		if !attempt.fromEntry {
			key := attempt.source.key()
			stream.unreachable[key] = stream.unreachable[key].WithFailure(time.Now(), 0)
		}
		return
	}
	if attempt.fromEntry {
		exchange.attemptsSent += attemptsAtEntry(nil, message.err)
		exchange.triedTargets += attempt.head().ID + " "
	} else {
		exchange.recordSent(attempt.head())
	}
	exchange.mayHaveRun = true
}

// receiveEnd handles the end of an attempt. It reports whether the stream is complete.
func (stream *hedgedStream) receiveEnd(ctx context.Context, message streamMessage) (complete bool, err error) {
	attempt, exchange := message.attempt, stream.exchange
	stream.recordEnd(message)
	defer func() { attempt.close(complete) }()
	if attempt.cancelled {
		return false, nil
	}
	cause := message.err
	switch {
	case cause != nil:
	case attempt.answer.Status != http.StatusOK:
		complete, cause = stream.forwardFailure(ctx, message)
	default:
		complete, cause = stream.finish(ctx, message)
	}
	if complete {
		return true, nil
	}
	if exchange.endedError(ctx, cause) != nil {
		stream.stop()
		return false, exchange.endedError(ctx, cause)
	}
	stream.recordFailure(ctx, attempt, cause)
	var refusal *Refusal
	if errors.As(cause, &refusal) {
		stream.recordHelperRefusal(refusal.RetryAfter)
	}
	if len(stream.active()) == 0 && !exchange.headerSent && errors.As(cause, &refusal) {
		return false, exchange.noAnswerError(http.StatusBadGateway, refusal.Reason, refusal.RetryAfter)
	}
	return false, nil
}

// recordHelperRefusal keeps the other entries from being asked again sooner than one of them
// asked for.
func (stream *hedgedStream) recordHelperRefusal(retryAfter time.Duration) {
	stream.helpersAsked = max(stream.helpersAsked, retryAfter)
	if until := time.Now().Add(retryAfter); until.After(stream.helpersLater.until) {
		stream.helpersLater.until = until
	}
}

// recordFailure records why an attempt failed, and has its target checked.
func (stream *hedgedStream) recordFailure(ctx context.Context, attempt *streamAttempt, cause error) {
	exchange := stream.exchange
	if attempt.fromEntry {
		exchange.recordHelperFailure(&stream.helpers, attempt.head().Address, cause)
	}
	var notSent *upstream.NotSentError
	switch {
	case isOverBudget(cause):
		exchange.service.Counters.Add(CountEventsEnded, 1)
		stream.reason = cause.Error()
		return
	case errors.As(cause, &notSent):
		stream.reason = "the replica is unreachable"
	case errors.Is(cause, errNotRun):
		stream.reason, stream.retryAfter = "the replicas are at capacity", minOverloadRetryAfter
		return
	default:
		stream.reason = cause.Error()
	}
	if attempt.fromEntry {
		return
	}
	exchange.recordFault(attempt.head(), cause)
	switch {
	case notSent != nil:
		exchange.service.probeHead(attempt.head())
		exchange.checkLinks(ctx, len(stream.active()))
	case attempt.answer == nil:
		exchange.checkLinks(ctx, len(stream.active()))
		exchange.checkCrash(ctx, attempt.head(), attempt.sentAt, attempt.progress, cause)
	case attempt.answer.Status == http.StatusOK:
		exchange.checkCrash(ctx, attempt.head(), attempt.sentAt, attempt.progress, &upstream.AnswerLostError{Target: attempt.head().ID, Cause: cause})
	}
}

// forwardFailure delivers a target's error answer, unless the request may be retried at
// another target. While another attempt runs, the answer is kept.
func (stream *hedgedStream) forwardFailure(ctx context.Context, message streamMessage) (complete bool, err error) {
	attempt, exchange := message.attempt, stream.exchange
	retryable := exchange.route.Resumable && exchange.attemptsMade() < exchange.route.Attempts
	switch {
	case exchange.headerSent && attempt.fromEntry:
		return false, errors.New("the other entry could not resume the stream")
	case exchange.headerSent, !attempt.fromEntry && attempt.answer.Status >= http.StatusInternalServerError && retryable:
		return false, errTargetFailed
	case len(stream.active()) > 0:
		if !attempt.answer.EndsWithConnection {
			stream.failure = &message
		}
		return false, errTargetFailed
	}
	if err := stream.confirmEnd(ctx, attempt); err != nil {
		return false, err
	}
	return true, exchange.deliver(attempt.answer, message.rest)
}

// finish handles the regular end of a stream.
func (stream *hedgedStream) finish(ctx context.Context, message streamMessage) (complete bool, err error) {
	attempt := message.attempt
	if len(message.rest) > 0 && attempt.isEventStream() {
		return false, errEndedWithinEvent
	}
	if len(message.rest) > 0 {
		if err := stream.forwardEvent(attempt, message.rest); err != nil {
			return false, err
		}
	}
	if err := stream.confirmEnd(ctx, attempt); err != nil {
		return false, err
	}
	stream.exchange.sendHeader(attempt.answer)
	stream.recordLengths(attempt)
	if !attempt.progress.IsSound() {
		stream.exchange.recordSound()
	}
	if !attempt.fromEntry {
		stream.exchange.service.tracker.RecordSound(attempt.head().ID, attempt.sentAt)
	}
	return true, nil
}

// recordLengths records the lengths of a request that its target answered completely.
func (stream *hedgedStream) recordLengths(attempt *streamAttempt) {
	exchange, engine := stream.exchange, attempt.source.engine
	if engine != nil && exchange.isRanked() && attempt.answer.Status == http.StatusOK && !exchange.resumed {
		exchange.service.overload.recordLengths(exchange.overloadKey(), engine, exchange.PromptTokens, exchange.timing.events*max(engine.StepsPerIteration, 1))
	}
}

// confirmEnd returns an error for an answer that may be cut off.
func (stream *hedgedStream) confirmEnd(ctx context.Context, attempt *streamAttempt) error {
	if !attempt.fromEntry {
		return stream.exchange.confirmEnd(ctx, attempt.head(), attempt.answer)
	}
	if attempt.answer.EndsWithConnection {
		return errEndedByEntry
	}
	return nil
}

// forwardEvent sends an attempt's event to the caller, and cancels the other attempts.
func (stream *hedgedStream) forwardEvent(attempt *streamAttempt, event []byte) error {
	exchange, now := stream.exchange, time.Now()
	id, numbered := eventID(event)
	if numbered && attempt.resumes && !isAfter(id, exchange.LastEventID) {
		attempt.abandon(errRepeatedEvent)
		stream.reason = errRepeatedEvent.Error()
		return nil
	}
	attempt.recordProgress(now)
	stream.settle(attempt, now)
	stream.lastEvent, stream.waitingSince = now, time.Time{}
	exchange.timing.recordEvent(now.Sub(exchange.arrived))
	exchange.sendHeader(attempt.answer)
	if _, err := exchange.writer.Write(event); err != nil {
		return errCallerDisconnected
	}
	if err := http.NewResponseController(exchange.writer).Flush(); err != nil {
		return errCallerDisconnected
	}
	if numbered {
		exchange.LastEventID = id
	}
	return nil
}

// isAfter reports whether an event's id is greater than the last one, if there is one.
func isAfter(id, last string) bool {
	lastNumber, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true
	}
	number, err := strconv.ParseUint(id, 10, 64)
	return err != nil || number > lastNumber
}
