// Package edge serves the callers of the users' platform. A request passes
// through a chain of filters: route, authenticate, read, quarantine, then pick,
// send and deliver.
package edge

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/control"
	"greengageroute.example/greengageroute/mesh"
	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/upstream"
)

type (
	// Config is what the chain needs of the operator's config.
	Config interface {
		Routes() *greengageroute.RouteTable
		// Age is how long ago the config was known to be the newest.
		Age() time.Duration
	}

	// Peers is what the chain needs of the other entries.
	Peers interface {
		Live() int
		Loads() map[string]greengageroute.EngineLoad
		// LoadChanged has them told of a request that was sent.
		LoadChanged()
		ReportCrash(report mesh.CrashReport)
		// Signs tells whether any entry has heard from a target lately.
		Signs(target string, within time.Duration) bool
	}

	// Prober looks into a replica that has fallen silent.
	Prober interface {
		// Silent has the members of the replica asked whether they live.
		Silent(replica greengageroute.Replica)
		// Answers tells whether a target accepts connections.
		Answers(target greengageroute.Target) bool
	}

	// Sender sends attempts to targets.
	Sender interface {
		Do(ctx context.Context, request greengageroute.Request, attempt greengageroute.Attempt) (*upstream.Answer, error)
		// HasIdleConnection reports whether there is an idle connection to the target for a request
		// that may, or must not, run twice.
		HasIdleConnection(target greengageroute.Target, atMostOnce bool) bool
	}

	// Dependencies are what a Service is made of.
	Dependencies struct {
		DataCentre string
		Bounds     greengageroute.Bounds
		Config     Config
		Directory  *control.Directory
		Peers      Peers
		Prober     Prober
		Sender     Sender
		Counters   *expvar.Map
		Latencies  *LatencyHistograms
		Log        logr.Logger
	}

	// Service answers callers.
	Service struct {
		Dependencies
		tracker            *Tracker
		quarantine         *greengageroute.Quarantine
		bounds             atomic.Pointer[greengageroute.Bounds]
		keepAlivesDisabled atomic.Bool
		hasTraffic         atomic.Bool

		mu      sync.Mutex
		budgets map[string]*greengageroute.RetryBudget // by pool
	}

	// exchange is one request on its way through the chain.
	exchange struct {
		greengageroute.Request
		service      *Service
		writer       http.ResponseWriter
		httpRequest  *http.Request
		routes       *greengageroute.RouteTable
		route        greengageroute.Route
		pool         greengageroute.Pool
		priority     int
		arrived      time.Time
		deadline     time.Time
		attemptsSent int    // attempts that reached a target
		triedTargets string // targets, for the log
		mayHaveRun   bool   // a target may have run it
		digest       string // of what was asked and by whom
		headerSent   bool   // the answer's head has gone out
		timing       timing
	}

	// timing is when a stream's events came, counted from the request's arrival.
	timing struct {
		events     int
		first      time.Duration
		last       time.Duration
		longestGap time.Duration // longest between two events
	}

	// filter is one step of the chain. An error ends it.
	filter func(ctx context.Context, exchange *exchange) error
)

// hearsWithin is how recent a sign shows that a replica has all its members: it
// stands still at once without one of them, and passes take 50 to 300 ms.
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
	// CountQuarantined counts requests refused because targets died under them.
	CountQuarantined = "requests-quarantined"
)

// New returns the service made of its parts.
func New(dependencies Dependencies) *Service {
	service := &Service{Dependencies: dependencies, tracker: NewTracker(), quarantine: greengageroute.NewQuarantine(crashLimit), budgets: map[string]*greengageroute.RetryBudget{}}
	service.SetBounds(dependencies.Bounds)
	return service
}

// SetBounds puts other bounds into force. Retry budgets keep theirs.
func (service *Service) SetBounds(bounds greengageroute.Bounds) { service.bounds.Store(&bounds) }

// Tracker returns what the service has under way.
func (service *Service) Tracker() *Tracker { return service.tracker }

// HasTraffic reports whether requests have come.
func (service *Service) HasTraffic() bool { return service.hasTraffic.Load() }

// HasRecentActivity reports whether a target's replica has sent something to this entry within
// the time that a pass takes.
func (service *Service) HasRecentActivity(target greengageroute.Target) bool {
	for _, replicas := range service.Directory.View().Replicas[target.Pool] {
		for _, replica := range replicas {
			if target.Membership.BelongsTo(replica.Name, replica.Epoch) {
				stats := service.tracker.Stats(replica.Head().ID)
				return stats.Running > 0 && time.Since(stats.LastActivity) < activityWindow
			}
		}
	}
	return false
}

// DisableKeepAlives has answers tell callers to close their connections.
func (service *Service) DisableKeepAlives() { service.keepAlivesDisabled.Store(true) }

// ConfigFresh reports whether keys can be trusted: the config was known to be the newest
// recently enough that a key taken away since still works by the rules.
func (service *Service) ConfigFresh() bool {
	return service.Config.Routes() != nil && service.Config.Age() < service.bounds.Load().RevocationTime-revocationMargin
}

// ServeHTTP implements http.Handler.
func (service *Service) ServeHTTP(writer http.ResponseWriter, httpRequest *http.Request) {
	exchange := &exchange{
		Request: platform.DecodeRequest(httpRequest), service: service, writer: writer, httpRequest: httpRequest, arrived: time.Now(),
		routes: service.Config.Routes(),
	}
	service.Counters.Add(CountRequests, 1)
	service.hasTraffic.Store(true)
	if service.keepAlivesDisabled.Load() || !service.ConfigFresh() {
		writer.Header().Set("Connection", "close")
	}
	ctx := httpRequest.Context()
	for _, step := range []filter{matchRoute, authenticate, readBody, checkQuarantine, forward} {
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

// budget returns the retry budget of the exchange's pool.
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

// mayRepeat tells whether one more target may get the request.
func (exchange *exchange) allowAttempt() bool {
	if exchange.attemptsSent == 0 {
		return true
	}
	if exchange.attemptsSent >= exchange.route.Attempts {
		return false
	}
	if !exchange.retryBudget().AllowRetry(time.Now(), exchange.service.Peers.Live()) {
		exchange.service.Counters.Add(CountRetriesOverBudget, 1)
		return false
	}
	exchange.service.Counters.Add(CountRetries, 1)
	return true
}

func (exchange *exchange) recordSent(target greengageroute.Target) {
	if exchange.attemptsSent == 0 {
		exchange.retryBudget().RecordRequest(time.Now())
	}
	exchange.attemptsSent++
	exchange.triedTargets += target.ID + " "
}

func (exchange *exchange) newAttempt(target greengageroute.Target) greengageroute.Attempt {
	return greengageroute.Attempt{
		Target: target, Remaining: time.Until(exchange.deadline), LastEventID: exchange.LastEventID,
		AtMostOnce: exchange.route.Kind == greengageroute.NonIdempotent,
	}
}

// pickPool draws the pool of the request by the weights of its route.
func (exchange *exchange) pickPool() {
	exchange.pool = exchange.routes.Pools[exchange.route.PickPool(rand.Float64())]
}
