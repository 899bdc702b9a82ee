package edge

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/upstream"
)

// errNoTarget is returned when no further attempt can be made.
var errNoTarget = errors.New("no target takes another attempt")

type (
	// hedgedCall is a request to a plain service. The whole answer is buffered before
	// delivery, so that an idempotent call can be retried if it is cut off. One whose target
	// is silent for half of the time left gets a second attempt beside the first; the first
	// whole answer is delivered. All methods run in the request's goroutine.
	hedgedCall struct {
		exchange   *exchange
		attempts   []*callAttempt // that haven't ended, cancelled ones included
		results    chan callResult
		hedgeTimer *time.Timer
		hedgeDue   bool
		tried      greengageroute.Set[string] // ids of targets
		starts     int
		helpers    helperSearch
		failure    *callResult // an error answer, while another attempt ran
		reason     string      // why the last attempt failed
		retryAfter time.Duration
	}
)

// call sends a request to a plain service.
func (exchange *exchange) call(ctx context.Context) error {
	call := &hedgedCall{
		exchange: exchange, results: make(chan callResult), hedgeTimer: time.NewTimer(time.Hour), tried: greengageroute.Set[string]{},
		reason: "no target of the service is ready", retryAfter: busyRetryAfter,
	}
	return call.run(ctx)
}

// run makes attempts until an answer is delivered or the call has failed.
func (call *hedgedCall) run(ctx context.Context) error {
	defer call.hedgeTimer.Stop()
	defer call.stop()
	for {
		if err := call.startNext(ctx); errors.Is(err, errNoTarget) {
			return call.fail()
		} else if err != nil {
			return err
		}
		select {
		case result := <-call.results:
			if done, err := call.receive(ctx, result); done || err != nil {
				return err
			}
		case <-call.hedgeTimer.C:
			call.hedgeDue = true
		case <-ctx.Done():
			call.stop()
			return call.exchange.timeoutError()
		}
	}
}

// stop cancels all attempts and waits for their ends.
func (call *hedgedCall) stop() {
	for _, attempt := range call.attempts {
		attempt.abandon()
	}
	for len(call.attempts) > 0 {
		call.recordEnd(<-call.results)
	}
}

// startNext starts an attempt if none runs, or beside an idempotent call's that has been
// silent for long. The error ends the request.
func (call *hedgedCall) startNext(ctx context.Context) error {
	exchange := call.exchange
	hedges := len(call.attempts) > 0
	switch {
	case hedges && (!call.hedgeDue || !exchange.route.Retryable()):
		return nil
	case hedges && exchange.forwarded && exchange.sender.NoticeToken == "":
		return nil // entries of builds that take no notices may hedge by themselves
	case !hedges && exchange.mayHaveRun && !exchange.route.Retryable():
		return errNoTarget
	}
	call.hedgeDue = false
	err := call.startAttempt(ctx, hedges)
	if !hedges {
		return err
	}
	if err == nil {
		exchange.service.Counters.Add(CountCallHedges, 1)
		exchange.service.Log.V(1).Info("call's target is silent; a second attempt was started", "id", exchange.ID, "silent-ms", time.Since(call.attempts[0].sentAt).Milliseconds())
	}
	return nil // the attempt that runs may be answered
}

// fail ends a call that no further attempt is made for: an error answer that came while
// another attempt ran is delivered.
func (call *hedgedCall) fail() error {
	if call.failure != nil {
		return call.exchange.deliver(call.failure.answer, call.failure.body)
	}
	return call.exchange.noAnswerError(http.StatusBadGateway, call.reason, call.retryAfter)
}

// startAttempt starts an attempt at a target or, for an isolated entry, through another one.
func (call *hedgedCall) startAttempt(ctx context.Context, hedges bool) error {
	exchange := call.exchange
	isolated := exchange.isolated()
	if made := exchange.attemptsMade(); made > 0 && made >= exchange.route.Attempts && (hedges || isolated) {
		return errNoTarget
	}
	if isolated {
		if err := call.startAtEntry(ctx); !errors.Is(err, errNoTarget) || hedges || !exchange.mayTryTarget(call.tried) {
			return err
		}
	}
	if err := checkHelp(ctx, exchange); err != nil {
		return err
	}
	if call.starts >= maxTargetsTried {
		return errNoTarget
	}
	if len(call.tried) > 0 {
		// Another target may have crashed since.
		if err := exchange.quarantineError(); err != nil {
			return err
		}
	}
	target, found := exchange.claimTarget(call.tried)
	if !found && !hedges {
		if err := exchange.placementError(); err != nil {
			return err
		}
	}
	switch {
	case !found && exchange.limitWait > 0 && !hedges:
		return exchange.limitError()
	case !found, !exchange.allowAttempt():
		return errNoTarget
	}
	call.tried.Add(target.ID)
	attempt := newCallAttempt(call, target)
	attempt.charged = exchange.attemptsMade() > 0
	call.start(ctx, attempt)
	return nil
}

// startAtEntry starts an attempt that another entry forwards.
func (call *hedgedCall) startAtEntry(ctx context.Context) error {
	address, found := call.exchange.nextHelper(&call.helpers)
	if !found {
		call.reason, call.retryAfter = call.exchange.noHelperReason(), noHelperRetryAfter
		return errNoTarget
	}
	call.start(ctx, newForwardedCallAttempt(call, address))
	return nil
}

func (call *hedgedCall) start(ctx context.Context, attempt *callAttempt) {
	exchange := call.exchange
	if !attempt.fromEntry {
		call.starts++
	}
	for _, silent := range call.attempts {
		silent.hedged = true
	}
	call.attempts = append(call.attempts, attempt)
	attempt.reserved = 1
	if attempt.fromEntry {
		// The other entry retries and hedges by itself.
		attempt.reserved = max(exchange.route.Attempts-exchange.attemptsMade(), 1)
	}
	exchange.attemptsPending += attempt.reserved
	exchange.reportAttempts()
	attempt.start(ctx)
	if exchange.attemptsMade() < exchange.route.Attempts {
		call.hedgeTimer.Reset(time.Until(exchange.deadline) / 2)
	}
}

// recordEnd removes an attempt that has ended, and records whether it reached its target.
func (call *hedgedCall) recordEnd(result callResult) {
	attempt, exchange := result.attempt, call.exchange
	call.attempts = slices.DeleteFunc(call.attempts, func(other *callAttempt) bool { return other == attempt })
	attempt.cancel()
	exchange.attemptsPending -= attempt.reserved
	result.recordLatency()
	var notSent *upstream.NotSentError
	if errors.As(result.err, &notSent) {
		if attempt.charged {
			exchange.returnAttempt()
		}
		return
	}
	if !attempt.fromEntry {
		exchange.recordFault(attempt.target, result.err)
		exchange.recordSent(attempt.target)
		exchange.rejectedAsFull = result.isRejection()
		exchange.mayHaveRun = exchange.mayHaveRun || result.answer == nil || !result.answer.NotRun
		if result.answer != nil {
			exchange.recordNotices(attempt.target, result.answer.AnswerHead, attempt.sentAt)
		}
		return
	}
	exchange.triedTargets += attempt.target.ID + " "
	if result.answer != nil && result.answer.ForwardedFrom.ID != "" {
		exchange.service.recordLeaving(result.answer.ForwardedFrom)
	}
	if result.answer == nil || !result.isRefusedByEntry() {
		exchange.attemptsSent += attemptsAtEntry(result.answer, result.err)
		exchange.mayHaveRun = true
	}
}

// receive handles the end of an attempt. It reports whether an answer was delivered.
func (call *hedgedCall) receive(ctx context.Context, result callResult) (delivered bool, err error) {
	call.recordEnd(result)
	exchange := call.exchange
	switch {
	case ctx.Err() != nil:
		call.stop()
		return false, exchange.timeoutError()
	case isOverBudget(result.err):
		call.stop()
		return false, exchange.noAnswerError(http.StatusBadGateway, "the answer doesn't fit beside what is held for other callers", 0)
	case result.attempt.fromEntry:
		return call.receiveFromEntry(result)
	}
	err = call.checkEnd(ctx, result)
	var notSent *upstream.NotSentError
	switch {
	case ctx.Err() != nil:
		call.stop()
		return false, exchange.timeoutError()
	case errors.As(err, &notSent):
		call.reason = "the targets are unreachable"
	case err != nil:
		call.reason = "the target sent no complete answer"
	case result.answer.NotRun:
		call.reason = "the targets are at capacity"
	case result.answer.Status >= http.StatusInternalServerError && call.mayBeAnsweredElsewhere():
		call.reason = "the target returned an error"
		if len(call.attempts) > 0 {
			call.failure = &result
		}
	default:
		return true, call.deliver(result)
	}
	return false, nil
}

// deliver sends an answer to the caller. The other attempts are cancelled before.
func (call *hedgedCall) deliver(result callResult) error {
	for _, attempt := range call.attempts {
		attempt.abandon()
	}
	return call.exchange.deliver(result.answer, result.body)
}

// checkEnd returns an error for an answer that isn't whole, and has its target checked.
func (call *hedgedCall) checkEnd(ctx context.Context, result callResult) error {
	exchange, attempt := call.exchange, result.attempt
	var notSent *upstream.NotSentError
	if result.answer == nil {
		exchange.checkLinks(ctx, len(call.attempts))
		if !errors.As(result.err, &notSent) {
			exchange.checkCrash(ctx, attempt.target, attempt.sentAt, greengageroute.AnswerProgress{}, result.err)
		}
		return result.err
	}
	if result.answer.NotRun {
		return result.err
	}
	err := result.err
	if err == nil {
		err = exchange.confirmEnd(ctx, attempt.target, result.answer)
	}
	if err != nil {
		exchange.checkCrash(ctx, attempt.target, attempt.sentAt, greengageroute.AnswerProgress{}, &upstream.AnswerLostError{Target: attempt.target.ID, Cause: err})
		return err
	}
	exchange.recordSound()
	exchange.service.tracker.RecordSound(attempt.target.ID, attempt.sentAt)
	return nil
}

// mayBeAnsweredElsewhere reports whether another attempt runs, or may be made at another
// target.
func (call *hedgedCall) mayBeAnsweredElsewhere() bool {
	return len(call.attempts) > 0 || call.exchange.canRetryElsewhere(call.tried)
}

// receiveFromEntry handles what another entry answered.
func (call *hedgedCall) receiveFromEntry(result callResult) (delivered bool, err error) {
	exchange, helper := call.exchange, result.attempt.target.Address
	var notSent *upstream.NotSentError
	var refusal *Refusal
	switch {
	case errors.As(result.err, &notSent):
		exchange.recordHelperFailure(&call.helpers, helper, result.err)
		return false, nil
	case result.answer != nil && result.isRefusedByEntry():
		cause := helperRefusal(result.answer)
		exchange.recordHelperFailure(&call.helpers, helper, cause)
		if errors.As(cause, &refusal) && len(call.attempts) == 0 {
			return false, exchange.noAnswerError(http.StatusBadGateway, refusal.Reason, refusal.RetryAfter)
		}
		return false, nil
	case result.err != nil:
		call.reason = result.err.Error()
	case result.answer.EndsWithConnection:
		call.reason = errEndedByEntry.Error()
	default:
		return true, call.deliver(result)
	}
	return false, nil
}
