package edge

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/upstream"
)

const (
	// busyRetryAfter is sent when all targets are at capacity: a few times the
	// usual duration of a call.
	busyRetryAfter = 120 * time.Millisecond
	// maxTargetsTried bounds the targets tried per request, unreachable ones included.
	maxTargetsTried = 4
	// maxAnswerBytes bounds how much of an answer is buffered before it is delivered.
	maxAnswerBytes = 8 << 20
)

// canRetryElsewhere reports whether the request may be retried at another target.
func (exchange *exchange) canRetryElsewhere(tried greengageroute.Set[string]) bool {
	if !exchange.route.Retryable() || exchange.attemptsSent >= exchange.route.Attempts {
		return false
	}
	_, found := exchange.pickTarget(tried)
	return found
}

// readAnswer reads the body of an answer that is delivered as a whole.
func readAnswer(answer *upstream.Answer) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = &upstream.TooLongError{What: "the answer", Bytes: len(body), Limit: maxAnswerBytes}
	}
	return body, err
}

// timeoutError returns the error of a request that passed its deadline.
func (exchange *exchange) timeoutError() error {
	if exchange.httpRequest.Context().Err() != nil {
		return errCallerDisconnected
	}
	return exchange.noAnswerError(http.StatusGatewayTimeout, "the request timed out", 0)
}

// promisesNotRun reports whether callers take a status for a promise that their request has
// not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// deliver sends a target's answer to the caller unchanged, unless its status promises what
// the target doesn't state.
func (exchange *exchange) deliver(answer *upstream.Answer, body []byte) error {
	if promisesNotRun(answer.Status) && !answer.NotRun && !exchange.route.Retryable() && !exchange.route.Resumable {
		return exchange.noAnswerError(http.StatusBadGateway, "the target failed with status "+strconv.Itoa(answer.Status), 0)
	}
	header := exchange.writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	exchange.nameAttempts()
	exchange.writer.WriteHeader(answer.Status)
	if _, err := exchange.writer.Write(body); err != nil {
		return errCallerDisconnected
	}
	return nil
}

// pickTarget chooses the target for the next attempt. After a rejection as full, no target is
// chosen that has just rejected another request.
func (exchange *exchange) pickTarget(tried greengageroute.Set[string]) (greengageroute.Target, bool) {
	service := exchange.service
	var candidates []greengageroute.TargetCandidate
	var waits []time.Duration
	loads, limits := service.Peers.Loads(), service.Peers.Limits()
	view := service.Directory.View()
	filter := exchange.targetFilter(view)
	for _, target := range view.Pool(exchange.pool.Name) {
		if !filter.Permits(target.DataCentre) || target.State != greengageroute.TargetReady || tried.Has(target.ID) {
			continue
		}
		stats := service.tracker.Stats(target.ID)
		wait := max(service.limitWait(target.ID, limits), exchange.coldWait(target, stats), stats.backoff.Remaining(target.StartUnixMilli, time.Now()))
		if wait > 0 {
			waits = append(waits, wait)
		}
		candidates = append(candidates, greengageroute.TargetCandidate{
			Target: target, Running: stats.Running + loads[target.ID].Running, Own: stats.Running, Latency: stats.Latency,
			Failures: stats.Failures, Full: stats.fullness.Remaining(time.Now()), Local: target.DataCentre == service.DataCentre,
			HasIdleConnection: service.Sender.HasIdleConnection(target, exchange.route.Kind == greengageroute.NonIdempotent),
			Limited:           wait > 0,
			Faulty:            stats.isFaulty(target),
		})
	}
	exchange.recordLimitWaits(len(candidates), waits)
	index := greengageroute.ChooseTarget(candidates, rand.IntN)
	if index < 0 || exchange.rejectedAsFull && candidates[index].Full > 0 {
		return greengageroute.Target{}, false
	}
	return candidates[index].Target, true
}
