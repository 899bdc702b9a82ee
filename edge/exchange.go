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
		LiveEntries() int
		Loads() map[string]greengageroute.EngineLoad
		// LoadChanged has them told of a request that was sent.
		LoadChanged()
		ReportCrash(report mesh.CrashReport)
		// Active reports whether any entry has received data from a target lately.
		Active(target string, within time.Duration) bool
	}

	// Suspects looks into a replica that has fallen silent.
	Suspects interface {
		// Silent has the members of the replica asked whether they live.
		Silent(replica greengageroute.Replica)
		// Answers tells whether a target accepts connections.
		Answers(target greengageroute.Target) bool
	}

	// Sender sends attempts to targets.
	Sender interface {
		Do(ctx context.Context, request greengageroute.Request, attempt greengageroute.Attempt) (*upstream.Answer, error)
		// Kept tells whether there is an idle connection to the target for a request
		// that may, or must not, run twice.
		Kept(target greengageroute.Target, once bool) bool
	}

	// Parts are what a Service is made of.
	Parts struct {
		DataCentre string
		Bounds     greengageroute.Bounds
		Config     Config
		Directory  *control.Directory
		Peers      Peers
		Suspects   Suspects
		Sender     Sender
		Counters   *expvar.Map
		Latencies  *Latencies
		Log        logr.Logger
	}

	// Service answers callers.
	Service struct {
		Parts
		tracker  *Tracker
		suspects *greengageroute.Quarantine
		bounds   atomic.Pointer[greengageroute.Bounds]
		stopping atomic.Bool
		served   atomic.Bool

		mu      sync.Mutex
		budgets map[string]*greengageroute.RetryBudget // by pool
	}

	// exchange is one request on its way through the chain.
	exchange struct {
		greengageroute.Request
		service  *Service
		writer   http.ResponseWriter
		caller   *http.Request
		routes   *greengageroute.RouteTable
		route    greengageroute.Route
		pool     greengageroute.Pool
		priority int
		arrived  time.Time
		deadline time.Time
		sent     int    // attempts that reached a target
		tried    string // targets, for the log
		ran      bool   // a target may have run it
		digest   string // of what was asked and by whom
		started  bool   // the answer's head has gone out
		timing   timing
	}

	// timing is when a stream's events came, counted from the request's arrival.
	timing struct {
		events int
		first  time.Duration
		last   time.Duration
		gap    time.Duration // longest between two events
	}

	// filter is one step of the chain. An error ends it.
	filter func(ctx context.Context, exchange *exchange) error
)

// hearsWithin is how recent a sign shows that a replica has all its members: it
// stands still at once without one of them, and passes take 50 to 300 ms.
const hearsWithin = 150 * time.Millisecond

// Counters of the chain; docs/OPERATIONS.md lists them.
const (
	CountRequests = "requests"
	CountAnswered = "answered"
	CountRefused  = "refused-" // followed by the status
	CountGone     = "callers-gone"
	CountBroken   = "answers-broken-off"
	CountRepeats  = "repeats"
	CountNoBudget = "repeats-over-budget"
	CountResumed  = "streams-resumed"
	// CountQuarantined counts requests refused because targets died under them.
	CountQuarantined = "requests-quarantined"
)

// New returns the service made of its parts.
func New(parts Parts) *Service {
	service := &Service{Parts: parts, tracker: NewTracker(), suspects: greengageroute.NewQuarantine(deathsUntilRefused), budgets: map[string]*greengageroute.RetryBudget{}}
	service.SetBounds(parts.Bounds)
	return service
}

// SetBounds puts other bounds into force. Retry budgets keep theirs.
func (service *Service) SetBounds(bounds greengageroute.Bounds) { service.bounds.Store(&bounds) }

// Tracker returns what the service has under way.
func (service *Service) Tracker() *Tracker { return service.tracker }

// Served tells whether requests have come.
func (service *Service) Served() bool { return service.served.Load() }

// Hears tells whether a target's replica has sent something to this entry within
// the time that a pass takes.
func (service *Service) Hears(target greengageroute.Target) bool {
	for _, replicas := range service.Directory.View().Replicas[target.Pool] {
		for _, replica := range replicas {
			if target.Membership.BelongsTo(replica.Name, replica.Epoch) {
				seen := service.tracker.Seen(replica.Head().ID)
				return seen.Running > 0 && time.Since(seen.LastSign) < hearsWithin
			}
		}
	}
	return false
}

// Stop has answers tell callers to close their connections.
func (service *Service) Stop() { service.stopping.Store(true) }

// Fresh tells whether keys can be trusted: the config was known to be the newest
// recently enough that a key taken away since still works by the rules.
func (service *Service) Fresh() bool {
	return service.Config.Routes() != nil && service.Config.Age() < service.bounds.Load().RevocationTime-freshMargin
}

// ServeHTTP implements http.Handler.
func (service *Service) ServeHTTP(writer http.ResponseWriter, caller *http.Request) {
	exchange := &exchange{
		Request: platform.DecodeRequest(caller), service: service, writer: writer, caller: caller, arrived: time.Now(),
		routes: service.Config.Routes(),
	}
	service.Counters.Add(CountRequests, 1)
	service.served.Store(true)
	if service.stopping.Load() || !service.Fresh() {
		writer.Header().Set("Connection", "close")
	}
	ctx := caller.Context()
	for _, step := range []filter{route, authenticate, readBody, quarantine, serve} {
		if err := step(ctx, exchange); err != nil {
			exchange.end(err)
			return
		}
	}
	service.Counters.Add(CountAnswered, 1)
	service.Latencies.Observe(exchange.route.Name, time.Since(exchange.arrived))
	service.Log.V(1).Info("request answered", exchange.facts()...)
}

func (exchange *exchange) facts() []any {
	return []any{
		"id", exchange.ID, "route", exchange.route.Name, "workspace", exchange.Workspace, "model", exchange.Model,
		"took-ms", time.Since(exchange.arrived).Milliseconds(), "sent", exchange.sent, "targets", exchange.tried,
		"config-age-ms", exchange.service.Config.Age().Milliseconds(),
		"events", exchange.timing.events, "first-ms", exchange.timing.first.Milliseconds(), "gap-ms", exchange.timing.gap.Milliseconds(),
	}
}

func (timing *timing) event(at time.Duration) {
	if timing.events == 0 {
		timing.first = at
	} else {
		timing.gap = max(timing.gap, at-timing.last)
	}
	timing.events++
	timing.last = at
}

// budget returns the retry budget of the exchange's pool.
func (exchange *exchange) budget() *greengageroute.RetryBudget {
	service := exchange.service
	service.mu.Lock()
	defer service.mu.Unlock()
	window, known := service.budgets[exchange.pool.Name]
	if !known {
		window = greengageroute.NewRetryBudget(*service.bounds.Load())
		service.budgets[exchange.pool.Name] = window
	}
	return window
}

// mayRepeat tells whether one more target may get the request.
func (exchange *exchange) mayRepeat() bool {
	if exchange.sent == 0 {
		return true
	}
	if exchange.sent >= exchange.route.Attempts {
		return false
	}
	if !exchange.budget().AllowRetry(time.Now(), exchange.service.Peers.LiveEntries()) {
		exchange.service.Counters.Add(CountNoBudget, 1)
		return false
	}
	exchange.service.Counters.Add(CountRepeats, 1)
	return true
}

func (exchange *exchange) noteSent(target greengageroute.Target) {
	if exchange.sent == 0 {
		exchange.budget().RecordRequest(time.Now())
	}
	exchange.sent++
	exchange.tried += target.ID + " "
}

func (exchange *exchange) attempt(target greengageroute.Target) greengageroute.Attempt {
	return greengageroute.Attempt{
		Target: target, Remaining: time.Until(exchange.deadline), LastEventID: exchange.LastEventID,
		AtMostOnce: exchange.route.Kind == greengageroute.NonIdempotent,
	}
}

// pickPool draws the pool of the request by the weights of its route.
func (exchange *exchange) pickPool() {
	exchange.pool = exchange.routes.Pools[exchange.route.PickPool(rand.Float64())]
}
