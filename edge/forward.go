package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/upstream"
)

const (
	// maxHelpersUnreached is how many other entries that can't be reached a request is sent to
	// at most: each may take a dial timeout. One that refuses does so at once, and isn't asked
	// again for a while.
	maxHelpersUnreached = 3
	// helperBatch is how many entries a request takes from the list of those that can help,
	// before it asks for the list again.
	helperBatch = 8
	// noHelperRetryAfter is sent when neither a target nor another entry can be reached.
	noHelperRetryAfter = 500 * time.Millisecond
	// silentCallCheck is how long a call waits, and this entry receives nothing from any
	// target of the pool, before the links are checked.
	silentCallCheck = 250 * time.Millisecond
)

var (
	// errCannotHelp refuses a request of another entry.
	errCannotHelp = refuse(http.StatusMisdirectedRequest, "this entry reaches no target either", "send the request to another entry")
	// errIsolatedHelper is returned when an entry can't help because it is isolated too.
	errIsolatedHelper = errors.New("the other entry reaches no target either")
	// errCannotForward is returned when an entry of an older build can't help.
	errCannotForward = errors.New("the other entry doesn't take forwarded requests")
)

// helperSearch is a request's search for another entry that reaches its pool.
type helperSearch struct {
	next      []string                   // addresses to try
	tried     greengageroute.Set[string] // addresses
	unreached int                        // how many of them couldn't be reached
}

// isolated reports whether the request has to be forwarded because the targets of its pool
// don't respond to this entry. A forwarded request is not forwarded again.
func (exchange *exchange) isolated() bool {
	return !exchange.forwarded && exchange.service.Prober.LostPool(exchange.pool.Name)
}

// checkLinks checks this entry's links after a target didn't respond. It doesn't wait for the
// result if other attempts run, whose answers would have to wait.
func (exchange *exchange) checkLinks(ctx context.Context, otherAttempts int) {
	if otherAttempts > 0 {
		go exchange.checkLinks(ctx, 0)
		return
	}
	if ctx.Err() == nil {
		exchange.service.Prober.LinksWork(exchange.pool.Name)
	}
}

// checkSilence checks this entry's links if no target of a pool has sent anything for a while.
func (service *Service) checkSilence(pool string) {
	if service.tracker.Silent(pool, silentCallCheck) {
		service.Prober.LinksWork(pool)
	}
}

// ServeForwarded serves a request that another entry forwards. It reports false for any
// other request.
func (service *Service) ServeForwarded(writer http.ResponseWriter, httpRequest *http.Request) bool {
	request, sender, forwarded := platform.DecodeForwarded(httpRequest)
	if !forwarded {
		return false
	}
	exchange := &exchange{
		Request: request, service: service, writer: writer, httpRequest: httpRequest,
		forwarded: true, sender: sender, attemptsSent: sender.AttemptsSent,
	}
	service.Counters.Add(CountHelped, 1)
	service.serve(exchange)
	return true
}

// checkHelp refuses a request of another entry if this one reaches its pool no better.
func checkHelp(_ context.Context, exchange *exchange) error {
	if exchange.forwarded && !exchange.mayHaveRun && exchange.service.Prober.LostPool(exchange.pool.Name) {
		return errCannotHelp
	}
	return nil
}

// mayTryTarget reports whether a target of a lost pool accepts connections, which tells one
// that is only silent from lost links. Such targets are tried if no other entry can help.
func (exchange *exchange) mayTryTarget(tried greengageroute.Set[string]) bool {
	if exchange.forwarded {
		return false
	}
	if exchange.pool.Engine != nil {
		source, found := exchange.pickSource(tried)
		return found && exchange.service.Prober.AcceptsConnections(source.replica.Head())
	}
	target, found := exchange.pickTarget(tried)
	return found && exchange.service.Prober.AcceptsConnections(target)
}

// helper returns the next entry to forward the request to, if there is one.
func (exchange *exchange) helper(search *helperSearch) (address string, found bool) {
	if search.unreached >= maxHelpersUnreached {
		return "", false
	}
	if len(search.next) == 0 {
		untried := slices.DeleteFunc(exchange.service.Peers.Helpers(exchange.pool.Name), search.tried.Has)
		if permitted := exchange.mayForwardTo(); permitted != nil {
			untried = slices.DeleteFunc(untried, func(address string) bool { return !permitted(address) })
		}
		search.next = untried[:min(len(untried), helperBatch)]
	}
	if len(search.next) == 0 {
		return "", false
	}
	return search.next[0], true
}

// nextHelper returns the next entry to forward the request to, which counts as tried.
func (exchange *exchange) nextHelper(search *helperSearch) (address string, found bool) {
	service := exchange.service
	address, found = exchange.helper(search)
	if !found {
		service.Counters.Add(CountNoHelper, 1)
		return "", false
	}
	if search.tried == nil {
		search.tried = greengageroute.Set[string]{}
	}
	search.next = search.next[1:]
	search.tried.Add(address)
	service.Counters.Add(CountForwarded, 1)
	service.Log.V(1).Info("request forwarded", "id", exchange.ID, "pool", exchange.pool.Name, "entry", address, "tried-before", len(search.tried)-1,
		"sent", exchange.attemptsSent, "after-event", exchange.LastEventID)
	return address, true
}

// recordHelperFailure records that another entry couldn't be reached, or couldn't help.
func (exchange *exchange) recordHelperFailure(search *helperSearch, address string, cause error) {
	service := exchange.service
	var notSent *upstream.NotSentError
	switch {
	case errors.As(cause, &notSent):
		search.unreached++
		service.Counters.Add(CountHelpersUnreached, 1)
		service.Peers.AvoidHelper(address, mesh.AnyPool)
	case errors.Is(cause, errCannotForward):
		service.Counters.Add(CountHelpersRefused, 1)
		service.Peers.AvoidHelper(address, mesh.AnyPool)
	case errors.Is(cause, errIsolatedHelper):
		service.Counters.Add(CountHelpersRefused, 1)
		service.Peers.AvoidHelper(address, exchange.pool.Name)
	}
}

// newForwardedAttempt returns an attempt through another entry.
func (exchange *exchange) newForwardedAttempt(helper greengageroute.Target) greengageroute.Attempt {
	attempt := exchange.newAttempt(helper)
	// An idle connection may have been dropped without notice.
	attempt.ToEntry, attempt.AtMostOnce, attempt.AttemptsSent = true, true, exchange.attemptsMade()
	attempt.NoticeToken = strconv.FormatUint(rand.Uint64(), 36)
	return attempt
}

// attemptsAtEntry returns how many attempts another entry made, as far as it said so before it
// answered or the connection to it ended.
func attemptsAtEntry(answer *upstream.Answer, err error) int {
	var lost *upstream.AnswerLostError
	switch {
	case answer != nil:
		return max(answer.AttemptsAtEntry, 1)
	case errors.As(err, &lost):
		return max(lost.AttemptsAtEntry, 1)
	default:
		return 1
	}
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
