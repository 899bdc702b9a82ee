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

// checkLinks checks this entry's links after a target didn't respond. It doesn't wait for the
// result if other attempts run, whose answers would have to wait.
func (exchange *exchange) checkLinks(ctx context.Context, otherAttempts int) {
	if otherAttempts > 0 {
		go exchange.checkLinks(ctx, 0)
		return
	}
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

// helper returns the address of an entry to forward the request to, if there is one after so
// many.
func (exchange *exchange) helper(tried int) (address string, found bool) {
	helpers := exchange.service.Peers.Helpers()
	if tried >= min(len(helpers), maxHelpersTried) {
		return "", false
	}
	return helpers[tried], true
}

// nextHelper returns the address of the next entry to forward the request to, if there is one.
func (exchange *exchange) nextHelper(tried int) (address string, found bool) {
	address, found = exchange.helper(tried)
	if found {
		service := exchange.service
		service.Counters.Add(CountForwarded, 1)
		service.Log.V(1).Info("request forwarded", "id", exchange.ID, "entry", address, "sent", exchange.attemptsSent, "after-event", exchange.LastEventID)
	}
	return address, found
}

// newForwardedAttempt returns an attempt through another entry.
func (exchange *exchange) newForwardedAttempt(helper greengageroute.Target) greengageroute.Attempt {
	attempt := exchange.newAttempt(helper)
	// An idle connection may have been dropped without notice.
	attempt.ToEntry, attempt.AtMostOnce, attempt.AttemptsSent = true, true, exchange.attemptsMade()
	return attempt
}

// isRefusedByEntry reports whether another entry refused the request without having it run.
func isRefusedByEntry(answer *upstream.Answer) bool {
	return !answer.Signed && (answer.NotRun || answer.ID == "")
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
