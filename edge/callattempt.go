package edge

import (
	"context"
	"net/http"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/upstream"
)

type (
	// callAttempt makes one attempt of a call in a goroutine of its own, and hands the whole
	// answer to the call.
	callAttempt struct {
		call      *hedgedCall
		target    greengageroute.Target
		sender    Sender
		attempt   greengageroute.Attempt
		cancel    context.CancelFunc
		sentAt    time.Time
		fromEntry bool // another entry forwards the call
		cancelled bool // by this entry; its answer doesn't count
		charged   bool // to the retry budget
		reserved  int  // how many targets it may reach
		hedged    bool // another attempt was started since it was silent
	}

	// callResult is how an attempt of a call ended. The error is a *upstream.NotSentError if
	// nothing was sent.
	callResult struct {
		attempt *callAttempt
		answer  *upstream.Answer // nil without the head of an answer
		body    []byte
		err     error
	}
)

func newCallAttempt(call *hedgedCall, target greengageroute.Target) *callAttempt {
	return &callAttempt{call: call, target: target, sender: call.exchange.service.Sender, attempt: call.exchange.newAttempt(target), sentAt: time.Now()}
}

// newForwardedCallAttempt returns an attempt through another entry.
func newForwardedCallAttempt(call *hedgedCall, address string) *callAttempt {
	exchange, helper := call.exchange, greengageroute.Target{ID: address, Address: address}
	attempt := exchange.newForwardedAttempt(helper)
	return &callAttempt{call: call, target: helper, sender: exchange.service.PeerSender, attempt: attempt, sentAt: time.Now(), fromEntry: true}
}

// start sends the call and receives the answer until it ends or the context does.
func (attempt *callAttempt) start(ctx context.Context) {
	ctx, attempt.cancel = context.WithCancel(ctx)
	service := attempt.call.exchange.service
	if attempt.fromEntry {
		go func() { attempt.call.results <- attempt.run(ctx) }()
		return
	}
	done := service.tracker.Begin(attempt.target.ID, 0)
	silenceTimer := time.AfterFunc(silentCallCheck, func() { service.checkSilence(attempt.target.Pool) })
	go func() {
		result := attempt.run(ctx)
		silenceTimer.Stop()
		done()
		attempt.call.results <- result
	}()
}

// run makes the attempt.
func (attempt *callAttempt) run(ctx context.Context) callResult {
	result := callResult{attempt: attempt}
	result.answer, result.err = attempt.sender.Do(ctx, attempt.call.exchange.Request, attempt.attempt)
	if result.answer != nil && !attempt.fromEntry {
		attempt.call.exchange.service.tracker.RecordActivity(attempt.target.Pool, time.Now())
	}
	if result.err == nil {
		result.body, result.err = attempt.call.exchange.readAnswer(result.answer)
		result.answer.Close(result.err == nil)
	}
	return result
}

// abandon cancels the attempt, so that its target stops the work.
func (attempt *callAttempt) abandon() {
	attempt.cancelled = true
	attempt.cancel()
}

// recordLatency records how the target answered. An attempt that was cancelled says
// something about its target only if it was silent for too long.
func (result callResult) recordLatency() {
	attempt := result.attempt
	if attempt.fromEntry || attempt.cancelled && !attempt.hedged || isOverBudget(result.err) {
		return
	}
	service := attempt.call.exchange.service
	if result.isRejection() {
		service.Counters.Add(CountTargetsFull, 1)
		service.tracker.RecordRejection(attempt.target.ID)
		return
	}
	failed := result.err != nil || result.answer.NotRun || result.answer.Status >= http.StatusInternalServerError
	service.tracker.RecordAnswer(attempt.target.ID, time.Since(attempt.sentAt), failed)
}

// isRejection reports whether the target rejected the call because it was full.
func (result callResult) isRejection() bool {
	return !result.attempt.fromEntry && result.answer != nil && result.answer.NotRun && result.answer.Status == http.StatusServiceUnavailable
}

// isRefusedByEntry reports whether another entry refused the call without having it run.
func (result callResult) isRefusedByEntry() bool {
	return result.attempt.fromEntry && isRefusedByEntry(result.answer)
}
