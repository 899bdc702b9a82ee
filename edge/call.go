package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/upstream"
)

const (
	// busyRetry is when a caller comes back whose request found every target full:
	// a few times the usual time of a call.
	busyRetry = 120 * time.Millisecond
	// maxTries bounds how many targets are tried, those included that could not be
	// reached.
	maxTries = 4
	// maxAnswerBytes bounds what is held of an answer before it is delivered.
	maxAnswerBytes = 8 << 20
)

// call sends a request to a plain service. The whole answer is read before any
// of it is delivered, so that a broken one can be replaced.
func (exchange *exchange) call(ctx context.Context) error {
	passed := greengageroute.Set[string]{}
	reason := "no target of the service is ready"
	for range maxTries {
		target, found := exchange.pickTarget(passed)
		if !found || !exchange.mayRepeat() {
			break
		}
		passed.Add(target.ID)
		answer, body, err := exchange.try(ctx, target)
		var notSent *upstream.NotSentError
		switch {
		case ctx.Err() != nil:
			return exchange.expired()
		case errors.As(err, &notSent):
			reason = "the targets can't be reached"
			continue
		case err != nil:
			reason = "the target did not answer"
		case answer.NotRun:
			reason = "the targets are full"
		case answer.Status >= http.StatusInternalServerError && exchange.again(passed):
			reason = "the target failed"
		default:
			return exchange.deliver(answer, body)
		}
		if exchange.ran && !exchange.route.Retryable() {
			break
		}
	}
	return exchange.unanswered(http.StatusBadGateway, reason, busyRetry)
}

// again tells whether a request whose target failed goes to another one.
func (exchange *exchange) again(passed greengageroute.Set[string]) bool {
	if !exchange.route.Retryable() || exchange.sent >= exchange.route.Attempts {
		return false
	}
	_, found := exchange.pickTarget(passed)
	return found
}

// try makes one attempt and reads its whole answer.
func (exchange *exchange) try(ctx context.Context, target greengageroute.Target) (answer *upstream.Answer, body []byte, err error) {
	service := exchange.service
	if exchange.route.Retryable() && exchange.sent+1 < exchange.route.Attempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(exchange.deadline)/2)
		defer cancel()
	}
	began := time.Now()
	done := service.tracker.Begin(target.ID, 0)
	defer func() {
		done()
		service.tracker.Answered(target.ID, time.Since(began), err != nil || answer.NotRun || answer.Status >= http.StatusInternalServerError)
	}()
	answer, err = service.Sender.Do(ctx, exchange.Request, exchange.attempt(target))
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		return nil, nil, err
	}
	exchange.noteSent(target)
	exchange.ran = exchange.ran || err != nil || !answer.NotRun
	if err != nil {
		exchange.suspectDeath(ctx, target, err)
		return nil, nil, err
	}
	body, err = io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	answer.Close(err == nil)
	return answer, body, err
}

// expired ends a request whose time is up.
func (exchange *exchange) expired() error {
	if exchange.caller.Context().Err() != nil {
		return errCallerGone
	}
	return exchange.unanswered(http.StatusGatewayTimeout, "the request was not answered in time", 0)
}

// deliver passes a target's answer on unchanged.
func (exchange *exchange) deliver(answer *upstream.Answer, body []byte) error {
	header := exchange.writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	exchange.writer.WriteHeader(answer.Status)
	if _, err := exchange.writer.Write(body); err != nil {
		return errCallerGone
	}
	return nil
}

func (exchange *exchange) pickTarget(passed greengageroute.Set[string]) (greengageroute.Target, bool) {
	service := exchange.service
	var choices []greengageroute.TargetCandidate
	loads := service.Peers.Loads()
	for _, target := range service.Directory.View().Pools[exchange.pool.Name] {
		if target.State != greengageroute.TargetReady || passed.Has(target.ID) {
			continue
		}
		seen := service.tracker.Seen(target.ID)
		choices = append(choices, greengageroute.TargetCandidate{
			Target: target, Running: seen.Running + loads[target.ID].Running, Latency: seen.Latency,
			Failures: seen.Failures, Local: target.DataCentre == service.DataCentre,
			HasIdleConnection: service.Sender.Kept(target, exchange.route.Kind == greengageroute.NonIdempotent),
		})
	}
	place := greengageroute.ChooseTarget(choices)
	if place < 0 {
		return greengageroute.Target{}, false
	}
	return choices[place].Target, true
}
