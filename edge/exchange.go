// Package edge serves the callers of the users' platform. A request passes
// through a chain of filters, which match its route, authenticate the caller,
// read the body, check the quarantine and forward the request to a target.
package edge

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/control"
	"greengageroute.example/greengageroute/intake"
	"greengageroute.example/greengageroute/mesh"
	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/upstream"
)

type (
	// Config provides the routes of the operator's config.
	Config interface {
		Routes() *greengageroute.RouteTable
		// Age returns how long ago the config was confirmed as current with the store.
		Age() time.Duration
	}

	// Peers exchanges loads and crash reports with the other entries.
	Peers interface {
		// LiveEntries returns the number of live entries, this one included.
		LiveEntries() int
		Loads() map[string]greengageroute.EngineLoad
		// Limits returns what the other entries know of the limits of targets.
		Limits() map[string]greengageroute.PeerLimit
		// IsFullMesh reports whether the entries tell each other directly, not through
		// relays.
		IsFullMesh() bool
		// LoadChanged notifies the peers that a request was sent.
		LoadChanged()
		ReportCrash(report greengageroute.CrashReport)
		// ReportLeaving notifies the peers of targets that say that they are leaving.
		ReportLeaving(leaving ...greengageroute.TargetInstance)
		// ReportCold notifies the peers of targets that said in a response that they are cold.
		ReportCold(cold ...mesh.ColdReport)
		// Seat returns this entry's place among all that may send.
		Seat() greengageroute.Seat
		// ReportSound notifies the peers of causes that crash no targets.
		ReportSound(causes ...greengageroute.CrashCause)
		// ReportSuspected notifies the peers of heads of replicas that may have lost a member.
		ReportSuspected(heads ...greengageroute.TargetInstance)
		// Active reports whether any entry has received something from the target
		// within the given time.
		Active(target string, within time.Duration) bool
		// Helpers returns the addresses of other entries to which requests for a pool can
		// be forwarded, in the order in which to try them.
		Helpers(pool string) []string
		// AvoidHelper records that an entry couldn't help with requests for a pool, or,
		// with mesh.AnyPool, couldn't be reached.
		AvoidHelper(address, pool string)
		// EntryDataCentres returns the data centres of the other entries by address.
		EntryDataCentres() map[string]string
	}

	// Prober checks targets that may have failed.
	Prober interface {
		// ProbeReplica requests a health check of all members of an unresponsive replica.
		ProbeReplica(replica greengageroute.Replica)
		// AcceptsConnections reports whether a target accepts connections.
		AcceptsConnections(target greengageroute.Target) bool
		// StillServes reports whether the head of a replica is still the listed process and
		// serves its replica.
		StillServes(head greengageroute.Target) bool
		// LinksWork reports whether the targets of a pool respond to this entry, as far as
		// that says anything about its links. It may probe some.
		LinksWork(pool string) bool
		// LinksWorkSince does the same by a check that began after something failed, so long ago.
		LinksWorkSince(pool string, ago time.Duration) bool
		// LostPool reports whether most targets of a pool were found not to respond to this
		// entry.
		LostPool(pool string) bool
	}

	// Sender sends attempts to targets.
	Sender interface {
		Do(ctx context.Context, request greengageroute.Request, attempt greengageroute.Attempt) (*upstream.Answer, error)
		// HasIdleConnection reports whether the pool has an idle connection to the
		// target that a request may use. With atMostOnce, only a recently used one
		// counts.
		HasIdleConnection(target greengageroute.Target, atMostOnce bool) bool
		// CheckKeptConnection returns the head of a target's answer to a health check on a
		// connection that was opened before the given time.
		CheckKeptConnection(ctx context.Context, target greengageroute.Target, healthPath string, openedBefore time.Time) (greengageroute.AnswerHead, error)
	}

	// Dependencies holds the parts that a Service needs.
	Dependencies struct {
		Entry      string // name of this entry
		DataCentre string
		Regions    greengageroute.DataCentreRegions
		Bounds     greengageroute.Bounds
		Config     Config
		Directory  *control.Directory
		Peers      Peers
		Prober     Prober
		Sender     Sender
		PeerSender Sender         // sends requests to other entries
		Budget     *intake.Budget // nil: no bound
		Counters   *expvar.Map
		Latencies  *LatencyHistograms
		Log        logr.Logger
		// MayTryQuarantined reports whether this entry tries requests whose quarantine
		// ends. At most one entry does so at a time.
		MayTryQuarantined func() bool
	}

	// Service is the HTTP handler for the callers' requests.
	Service struct {
		Dependencies
		tracker    *Tracker
		overload   *overloadRecords
		quarantine *greengageroute.Quarantine
		checks     *replicaChecks
		suspicions *replicaSuspicions
		bounds     atomic.Pointer[greengageroute.Bounds]
		regions    atomic.Pointer[greengageroute.DataCentreRegions]
		hasTraffic atomic.Bool
		stop       atomic.Pointer[stopSchedule] // nil until the entry stops
		running    context.Context              // ends when running requests are ended
		endRunning context.CancelFunc

		mu      sync.Mutex
		budgets map[string]*greengageroute.RetryBudget // by pool
	}

	// exchange is the state of one request in the chain.
	exchange struct {
		greengageroute.Request
		service      *Service
		writer       http.ResponseWriter
		httpRequest  *http.Request
		routes       *greengageroute.RouteTable
		route        greengageroute.Route
		pool         greengageroute.Pool
		priority     int
		allowed      greengageroute.AllowedRegions
		overUsual    bool // the workspace sends more than usual; known from the first decision on
		decided      bool // on admission, at least once
		arrived      time.Time
		deadline     time.Time
		attemptsSent int // attempts that reached a target
		// attemptsPending are those that may still turn out not to have reached one.
		attemptsPending int
		triedTargets    string                      // IDs of the targets tried, for the log
		limitWait       time.Duration               // until a target takes a request, if none took one at the last choice, by limits and backoffs
		coldTargets     bool                        // the last choice left out a cold target
		rejectedAsFull  bool                        // the last target that was tried rejected the request as full
		mayHaveRun      bool                        // a target may have run the request
		forwarded       bool                        // another entry, which reaches no target, sent the request
		sender          platform.Forwarded          // what that entry says of it
		resumed         bool                        // the request names the event after which its stream goes on
		cause           greengageroute.CrashCause   // stands for the request in the quarantine
		partCauses      []greengageroute.CrashCause // stand for the parts of its prompt, but the last
		headerSent      bool                        // status and header were sent to the caller
		bodyRefused     bool                        // the reading of the body was ended by this entry
		holding         intake.Holding              // bytes held for the caller
		timing          timing
	}

	// timing holds when a stream's events arrived, relative to the request's arrival.
	timing struct {
		events     int
		first      time.Duration
		last       time.Duration
		longestGap time.Duration
	}

	// filter is one step of the chain. An error ends the chain.
	filter func(ctx context.Context, exchange *exchange) error
)

// activityWindow is how recent an event must be to show that a replica has all
// its members. A replica that loses a member stops at once, and an iteration
// takes 50 to 300 ms.
const activityWindow = 150 * time.Millisecond

// Counters of the chain; docs/OPERATIONS.md lists them.
const (
	CountRequests            = "requests"
	CountAnswered            = "answered"
	CountRefused             = "refused-" // followed by the status
	CountCallersDisconnected = "callers-gone"
	CountResponsesAborted    = "answers-broken-off"
	CountRetries             = "repeats"
	CountRetriesOverBudget   = "repeats-over-budget"
	CountStreamsResumed      = "streams-resumed"
	// CountStreamsSuspected counts attempts that were silent while their replica may have
	// lost a member, CountReplicasLost those whose replica was found to have lost one.
	CountStreamsSuspected = "streams-suspected"
	CountReplicasLost     = "streams-lost-replica"
	// CountReplicasSuspected counts silent replicas of which this entry told the others, and
	// CountSuspicionsReceived those of which others told it.
	CountReplicasSuspected  = "replicas-suspected"
	CountSuspicionsReceived = "replica-suspicions-received"
	// CountHedgesSent counts attempts that were started beside suspected ones,
	// CountHedgesWon those that brought the next event, and CountStreamsRecovered the
	// suspected ones that did.
	CountHedgesSent       = "stream-hedges-sent"
	CountHedgesWon        = "stream-hedges-won"
	CountStreamsRecovered = "streams-recovered"
	// CountCallHedges counts attempts of calls that were started beside silent ones.
	CountCallHedges = "call-hedges-sent"
	// CountStreamsAwaiting counts streams that had begun and found no replica to go on at.
	CountStreamsAwaiting = "streams-awaiting-replica"
	// CountQuarantined counts requests refused because targets crashed while running
	// them.
	CountQuarantined = "requests-quarantined"
	// CountUnframedAnswers counts answers with neither a length nor chunks,
	// CountEndsUnconfirmed those whose target didn't confirm that they are complete.
	CountUnframedAnswers = "answers-without-length"
	CountEndsUnconfirmed = "answer-ends-unconfirmed"
	// CountEventsEnded counts attempts of streams that were ended by the budget for what is held
	// for callers.
	CountEventsEnded = "stream-attempts-over-budget"
	// CountAnswersTooLong counts answers with a part that is longer than the protocol allows.
	CountAnswersTooLong = "answers-too-long"
	// CountAnswersMalformed counts answers whose head is no head of an HTTP/1.1 response.
	CountAnswersMalformed = "answers-malformed"
	// CountForwarded counts requests sent to other entries because no target responds to
	// this one, and CountHelped those of other entries.
	CountForwarded = "requests-forwarded-to-entries"
	CountHelped    = "requests-of-other-entries"
	// CountHelpersRefused counts forwarded requests that the other entry couldn't help with,
	// CountHelpersUnreached those that couldn't be sent, and CountNoHelper requests for which
	// no entry was left to try.
	CountHelpersRefused   = "forwards-refused"
	CountHelpersUnreached = "forwards-unreached"
	CountNoHelper         = "requests-without-helper"
	// CountLimitsNamed counts the limits that targets began to name.
	CountLimitsNamed = "target-limits-named"
	// CountTargetsLeaving counts the targets that said in an answer that they are leaving,
	// before the list or another entry did.
	CountTargetsLeaving = "targets-leaving-by-answer"
	// CountBackoffs counts the backoffs that targets asked for.
	CountBackoffs = "target-backoffs"
	// CountTargetsFull counts calls that a target rejected as full.
	CountTargetsFull = "calls-rejected-by-targets"
	// CountLimited counts requests refused because of the limits and backoffs of all targets.
	CountLimited = "requests-over-limits"
	// CountColdByRow, CountColdByResponse and CountColdByEntry count the targets that became
	// cold, by the source from which this entry learned of it.
	CountColdByRow      = "targets-cold-by-row"
	CountColdByResponse = "targets-cold-by-response"
	CountColdByEntry    = "targets-cold-by-entry"
	// CountColdPassedOver counts how often a cold target was left out of a choice,
	// CountColdRefused requests that were refused with one left out.
	CountColdPassedOver = "cold-targets-passed-over"
	CountColdRefused    = "requests-refused-for-cold"
	// CountCausesQuarantined counts the requests and prompt parts that were found to
	// crash targets, CountCausesReleased those that are no longer refused.
	CountCausesQuarantined = "crash-causes-quarantined"
	CountCausesReleased    = "crash-causes-released"
	// CountRefusedInStop counts requests refused because the entry would end before them.
	CountRefusedInStop = "requests-refused-in-stop"
	// CountCrashReports counts requests of this entry during which a target crashed.
	CountCrashReports = "target-crashes-reported"
	// CountRefusedEvacuated and CountRefusedRegions count requests refused because all data
	// centres in permitted regions are evacuated, or none is in a permitted region.
	CountRefusedEvacuated = "requests-refused-evacuated"
	CountRefusedRegions   = "requests-refused-regions"
)

// New returns a service that uses the given dependencies.
func New(dependencies Dependencies) *Service {
	service := &Service{
		Dependencies: dependencies, tracker: NewTracker(), overload: newOverloadRecords(), suspicions: newReplicaSuspicions(),
		budgets: map[string]*greengageroute.RetryBudget{},
	}
	service.running, service.endRunning = context.WithCancel(context.Background())
	service.quarantine = greengageroute.NewQuarantine(service.logQuarantine)
	service.checks = newReplicaChecks(func(head greengageroute.Target) bool { return service.Prober.StillServes(head) })
	service.SetBounds(dependencies.Bounds)
	service.SetRegions(dependencies.Regions)
	return service
}

// SetBounds replaces the bounds. Existing retry budgets keep the old ones.
func (service *Service) SetBounds(bounds greengageroute.Bounds) { service.bounds.Store(&bounds) }

// SetRegions replaces the regions of the data centres.
func (service *Service) SetRegions(regions greengageroute.DataCentreRegions) {
	service.regions.Store(&regions)
}

// Tracker returns the tracker of the service's running requests.
func (service *Service) Tracker() *Tracker { return service.tracker }

// HasTraffic reports whether the service has received any requests.
func (service *Service) HasTraffic() bool { return service.hasTraffic.Load() }

// HasRecentActivity reports whether this entry has running requests at the
// target's replica and received something from it within activityWindow.
func (service *Service) HasRecentActivity(target greengageroute.Target) bool {
	replica, found := service.Directory.View().ReplicaOf(target)
	if !found {
		return false
	}
	stats := service.tracker.Stats(replica.Head().ID)
	return stats.Running > 0 && time.Since(stats.LastReceived) < activityWindow
}

// ConfigFresh reports whether keys may be checked against the config: it was
// confirmed so recently that a key revoked since is still within its revocation
// time.
func (service *Service) ConfigFresh() bool {
	return service.Config.Routes() != nil && service.Config.Age() < service.bounds.Load().RevocationTime-revocationMargin
}

// ServeHTTP implements http.Handler.
func (service *Service) ServeHTTP(writer http.ResponseWriter, httpRequest *http.Request) {
	service.serve(&exchange{Request: platform.DecodeRequest(httpRequest), writer: writer, httpRequest: httpRequest})
}

func (service *Service) serve(exchange *exchange) {
	writer, httpRequest := exchange.writer, exchange.httpRequest
	exchange.service, exchange.arrived, exchange.routes = service, time.Now(), service.Config.Routes()
	exchange.resumed = exchange.LastEventID != ""
	service.Counters.Add(CountRequests, 1)
	service.hasTraffic.Store(true)
	exchange.holding.Begin(httpRequest.Context(), service.Budget, writer)
	defer exchange.holding.Release()
	if service.stop.Load() != nil || !service.ConfigFresh() {
		writer.Header().Set("Connection", "close")
	}
	ctx := httpRequest.Context()
	for _, step := range []filter{chargeHeader, matchRoute, checkHelp, authenticate, checkPlacement, readBody, checkQuarantine, checkStop, forward} {
		if err := step(ctx, exchange); err != nil {
			exchange.fail(err)
			return
		}
	}
	service.Counters.Add(CountAnswered, 1)
	service.Latencies.Observe(exchange.route.Name, time.Since(exchange.arrived))
	service.Log.V(1).Info("request answered", exchange.logValues()...)
}

func (exchange *exchange) logValues() []any {
	return []any{
		"id", exchange.ID, "route", exchange.route.Name, "workspace", exchange.Workspace, "model", exchange.Model,
		"took-ms", time.Since(exchange.arrived).Milliseconds(), "sent", exchange.attemptsSent, "targets", exchange.triedTargets,
		"config-age-ms", exchange.service.Config.Age().Milliseconds(),
		"events", exchange.timing.events, "first-ms", exchange.timing.first.Milliseconds(), "gap-ms", exchange.timing.longestGap.Milliseconds(),
		"prompt-parts", strings.Join(exchange.PromptParts, " "),
	}
}

func (timing *timing) recordEvent(at time.Duration) {
	if timing.events == 0 {
		timing.first = at
	} else {
		timing.longestGap = max(timing.longestGap, at-timing.last)
	}
	timing.events++
	timing.last = at
}

// recordLimit records the limit that a target names in its answer.
func (service *Service) recordLimit(target greengageroute.Target, answer greengageroute.AnswerHead, sentAt time.Time) {
	if !service.tracker.RecordLimit(target.ID, answer.LimitPerSecond, sentAt) {
		return
	}
	if answer.LimitPerSecond > 0 {
		service.Counters.Add(CountLimitsNamed, 1)
		service.Log.Info("target names a limit", "target", target.ID, "requests-per-second", answer.LimitPerSecond)
	} else {
		service.Log.Info("target names no limit any more", "target", target.ID)
	}
}

// recordNotices records what a target says about itself in an answer.
func (exchange *exchange) recordNotices(target greengageroute.Target, answer greengageroute.AnswerHead, sentAt time.Time) {
	if answer.IsFrom(target) {
		exchange.service.recordLimit(target, answer, sentAt)
	}
	exchange.recordAvailability(target, answer)
}

// recordAvailability records what a target says of its availability, and names a leaving one
// to the entry that forwarded the request.
func (exchange *exchange) recordAvailability(target greengageroute.Target, answer greengageroute.AnswerHead) {
	exchange.service.RecordAvailability(target, answer)
	if _, leaving := answer.Availability(target); leaving && exchange.forwarded {
		platform.NameTarget(exchange.writer.Header(), target.Instance())
	}
}

// RecordAvailability records what a target says of its availability in the response to a
// request, an order or a probe.
func (service *Service) RecordAvailability(target greengageroute.Target, answer greengageroute.AnswerHead) {
	backoff, leaving := answer.Availability(target)
	service.recordBackoff(target, backoff)
	service.recordCold(target, answer)
	if leaving {
		service.recordLeaving(target.Instance())
	}
}

// recordLeaving records that a target says that it is leaving, and notifies the peers. It
// gets no more requests.
func (service *Service) recordLeaving(instance greengageroute.TargetInstance) {
	if len(service.Directory.MarkLeaving(instance)) == 0 {
		return
	}
	service.Counters.Add(CountTargetsLeaving, 1)
	service.Log.Info("target says that it is leaving", "target", instance.ID, "born", instance.StartUnixMilli)
	service.Peers.ReportLeaving(instance)
}

// recordBackoff records that a target wants nothing from this entry for a time, unless that
// is 0.
func (service *Service) recordBackoff(target greengageroute.Target, asked time.Duration) {
	if asked > 0 && service.tracker.RecordBackoff(target, asked) {
		service.Counters.Add(CountBackoffs, 1)
		service.Log.Info("target asks for a backoff", "target", target.ID, "born", target.StartUnixMilli, "retry-after", asked.String())
	}
}

// Backoff returns the backoff that a target has asked this entry for.
func (service *Service) Backoff(target greengageroute.Target) greengageroute.TargetBackoff {
	return service.tracker.Backoff(target.ID)
}

// limitWait returns how long a target takes no further request by the limit that it
// names. It adopts what the peers know of the limit.
func (service *Service) limitWait(target string, limits map[string]greengageroute.PeerLimit) time.Duration {
	known, named := limits[target]
	if named {
		service.tracker.AdoptLimit(target, known)
	}
	wait, limited := service.tracker.LimitWait(target, known.Sent)
	if wait > 0 || !limited || service.Peers.IsFullMesh() {
		return wait
	}
	return service.tracker.TurnWait(service.Entry, target, service.Peers.LiveEntries())
}

// recordLimitWaits records the shortest wait if no target takes a request now.
func (exchange *exchange) recordLimitWaits(candidates int, waits []time.Duration) {
	exchange.limitWait = 0
	if len(waits) > 0 && len(waits) == candidates {
		exchange.limitWait = slices.Min(waits)
	}
}

// limitError returns the refusal of a request whose targets are all at their limits or at
// backoff.
func (exchange *exchange) limitError() error {
	exchange.service.Counters.Add(CountLimited, 1)
	if exchange.coldTargets {
		exchange.service.Counters.Add(CountColdRefused, 1)
	}
	return exchange.noAnswerError(http.StatusBadGateway, "the targets are at the limits that they name, cold, or asked for a backoff", max(exchange.limitWait, minOverloadRetryAfter))
}

// retryBudget returns the retry budget of the request's pool.
func (exchange *exchange) retryBudget() *greengageroute.RetryBudget {
	service := exchange.service
	service.mu.Lock()
	defer service.mu.Unlock()
	budget, known := service.budgets[exchange.pool.Name]
	if !known {
		budget = greengageroute.NewRetryBudget(*service.bounds.Load())
		service.budgets[exchange.pool.Name] = budget
	}
	return budget
}

// allowAttempt reports whether the request may be sent to another target. It
// charges a retry to the pool's budget.
func (exchange *exchange) allowAttempt() bool {
	if exchange.attemptsMade() == 0 {
		return true
	}
	if exchange.attemptsMade() >= exchange.route.Attempts {
		return false
	}
	if !exchange.retryBudget().AllowRetry(time.Now(), exchange.service.Peers.LiveEntries()) {
		exchange.service.Counters.Add(CountRetriesOverBudget, 1)
		return false
	}
	return true
}

// attemptsMade returns how many attempts reached a target, or still may.
func (exchange *exchange) attemptsMade() int {
	return exchange.attemptsSent + exchange.attemptsPending
}

// reportAttempts tells the entry that forwarded the request how many attempts were made at
// targets, if that is more than it counts without a notice. The connection may end before the
// answer's header says so.
func (exchange *exchange) reportAttempts() {
	made := exchange.attemptsMade() - exchange.sender.AttemptsSent
	if exchange.sender.NoticeToken == "" || made < 2 {
		return
	}
	if exchange.headerSent {
		_, _ = exchange.writer.Write(platform.AttemptsComment(exchange.sender.NoticeToken, made)) // the next event fails too
		_ = http.NewResponseController(exchange.writer).Flush()
		return
	}
	exchange.nameAttempts()
	exchange.writer.WriteHeader(http.StatusProcessing)
}

// nameAttempts names the attempts made in the header of the response to another entry.
func (exchange *exchange) nameAttempts() {
	if exchange.sender.NoticeToken != "" {
		platform.SetAttempts(exchange.writer.Header(), exchange.attemptsMade()-exchange.sender.AttemptsSent)
	}
}

// returnAttempt takes back what allowAttempt charged for an attempt that reached no target.
func (exchange *exchange) returnAttempt() {
	exchange.retryBudget().ReturnRetry(time.Now())
}

func (exchange *exchange) recordSent(target greengageroute.Target) {
	if exchange.attemptsSent == 0 {
		exchange.retryBudget().RecordRequest(time.Now())
	} else {
		exchange.service.Counters.Add(CountRetries, 1)
	}
	exchange.attemptsSent++
	exchange.triedTargets += target.ID + " "
}

func (exchange *exchange) newAttempt(target greengageroute.Target) greengageroute.Attempt {
	return greengageroute.Attempt{
		Target: target, Remaining: time.Until(exchange.deadline), LastEventID: exchange.LastEventID,
		AtMostOnce: exchange.route.Kind == greengageroute.NonIdempotent, NeedsSpare: exchange.pool.Engine == nil,
	}
}

// pickPool chooses a pool at random by the weights of the route.
func (exchange *exchange) pickPool() {
	exchange.pool = exchange.routes.Pools[exchange.route.PickPool(rand.Float64())]
}
