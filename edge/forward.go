package edge

import (
	"context"
	"errors"
	"net/http"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/upstream"
)

const (
	// maxHelpersTried is how many other entries a request is forwarded to at most.
	maxHelpersTried = 3
	// noHelperRetryAfter is sent when neither a target nor another entry can be reached.
	noHelperRetryAfter = 500 * time.Millisecond
	// silentCallCheck is how long a call waits, and this entry receives nothing from any
	// target, before the links are checked.
	silentCallCheck = 250 * time.Millisecond
)

var (
	// errIsolatedHelper is returned when an entry can't help because it is isolated too.
	errIsolatedHelper = errors.New("the other entry reaches no target either")
	// errCannotForward is returned when an entry of an older build can't help.
	errCannotForward = errors.New("the other entry doesn't take forwarded requests")
)

// isolated reports whether the request has to be forwarded because no target responds to
// this entry. A forwarded request is not forwarded again.
func (exchange *exchange) isolated() bool {
	return !exchange.forwarded && exchange.service.Prober.Isolated()
}

// checkLinks checks this entry's links after a target didn't respond.
func (exchange *exchange) checkLinks(ctx context.Context) {
	if ctx.Err() == nil {
		exchange.service.Prober.LinksWork()
	}
}

// checkSilence checks this entry's links if no target has sent anything for a while.
func (service *Service) checkSilence() {
	if service.tracker.Silent(silentCallCheck) {
		service.Prober.LinksWork()
	}
}

// ServeForwarded serves a request that another entry forwards. It reports false for any
// other request.
func (service *Service) ServeForwarded(writer http.ResponseWriter, httpRequest *http.Request) bool {
	request, attemptsSent, forwarded := platform.DecodeForwarded(httpRequest)
	if !forwarded {
		return false
	}
	exchange := &exchange{Request: request, service: service, writer: writer, httpRequest: httpRequest, forwarded: true, attemptsSent: attemptsSent}
	service.Counters.Add(CountHelped, 1)
	if service.Prober.Isolated() {
		exchange.fail(refuse(http.StatusMisdirectedRequest, errIsolatedHelper.Error(), "send the request to another entry"))
		return true
	}
	service.serve(exchange)
	return true
}

// forwardToEntries sends a call to other entries, one after the other, until one has
// answered it, or may have had it run.
func (exchange *exchange) forwardToEntries(ctx context.Context) error {
	service := exchange.service
	reason := "neither a target nor an entry that reaches one responds"
	for index, address := range service.Peers.Helpers() {
		if index == maxHelpersTried || exchange.mayHaveRun && !exchange.route.Retryable() {
			break
		}
		service.Counters.Add(CountForwarded, 1)
		complete, err := exchange.forwardToEntry(ctx, address)
		if complete {
			return nil
		}
		if ended := exchange.endedError(ctx, err); ended != nil {
			return ended
		}
		var notSent *upstream.NotSentError
		var refusal *Refusal
		switch {
		case errors.As(err, &refusal):
			return exchange.noAnswerError(http.StatusBadGateway, refusal.Reason, refusal.RetryAfter)
		case errors.As(err, &notSent), errors.Is(err, errIsolatedHelper), errors.Is(err, errCannotForward):
		default:
			reason = err.Error()
		}
	}
	return exchange.noAnswerError(http.StatusBadGateway, reason, noHelperRetryAfter)
}

// forwardToEntry sends the request to another entry. It returns whether the complete answer
// was delivered, and a *Refusal if the entry refused the request.
func (exchange *exchange) forwardToEntry(ctx context.Context, address string) (complete bool, err error) {
	service, helper := exchange.service, greengageroute.Target{ID: address, Address: address}
	attempt := exchange.newAttempt(helper)
	// An idle connection may have been dropped without notice.
	attempt.ToEntry, attempt.AtMostOnce, attempt.AttemptsSent = true, true, exchange.attemptsSent
	service.Log.V(1).Info("request forwarded", "id", exchange.ID, "entry", address, "sent", exchange.attemptsSent, "after-event", exchange.LastEventID)
	answer, err := service.PeerSender.Do(ctx, exchange.Request, attempt)
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		return false, err
	}
	exchange.triedTargets += address + " "
	if err == nil && answer.ForwardedFrom.ID != "" {
		service.recordLeaving(answer.ForwardedFrom)
	}
	if err == nil && !answer.Signed && (answer.NotRun || answer.ID == "") {
		answer.Close(false)
		return false, helperRefusal(answer)
	}
	exchange.attemptsSent++
	exchange.mayHaveRun = true
	if err != nil {
		return false, err
	}
	defer func() { answer.Close(complete) }()
	body, err := readAnswer(answer)
	if err == nil && answer.EndsWithConnection {
		err = errEndedByEntry
	}
	if err != nil {
		return false, err
	}
	return true, exchange.deliver(answer, body)
}

// helperRefusal returns the error for a request that another entry refused without having
// it run. What it says of keys and routes is by its config, which may be another one.
func helperRefusal(answer *upstream.Answer) error {
	switch {
	case answer.ID == "":
		return errCannotForward
	case answer.Status == http.StatusMisdirectedRequest:
		return errIsolatedHelper
	}
	return unavailable("the entry that the request was forwarded to refused it", max(answer.RetryAfter, minOverloadRetryAfter))
}
