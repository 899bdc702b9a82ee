// Package serve assembles and runs an entry on the users' platform: its listeners,
// the service for callers, the followers of the store, the planner and the exchange
// of messages with other entries.
package serve

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/control"
	"greengageroute.example/greengageroute/edge"
	"greengageroute.example/greengageroute/intake"
	"greengageroute.example/greengageroute/mesh"
	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/relay"
	"greengageroute.example/greengageroute/upstream"
)

const (
	// entryTable is the table of the entries, keyed by their names.
	entryTable = "entries"
	// registerRetryInterval is the minimum interval between attempts to register the
	// entry; it is at most twice as long.
	registerRetryInterval = 700 * time.Millisecond
	// registerTimeout is how long the reading of the config and the target list waits
	// for the entry's registration, which takes one or two calls of the store.
	registerTimeout = 400 * time.Millisecond
	// registerSpread is the time over which the entries write their rows when all start
	// together, and fleetStartTime when those of a large fleet have written them.
	registerSpread = 450 * time.Millisecond
	fleetStartTime = 1600 * time.Millisecond
	// registerWriteTime is the time of the store for the write of one row, as it takes 200 a
	// second in one part.
	registerWriteTime = 5 * time.Millisecond
	// registerCheckInterval is how often an entry checks whether the store was restored.
	registerCheckInterval = time.Second
	// peerRereadDelay is the minimum delay before the entries are read a second time.
	// Entries that started at the same time have registered by then.
	peerRereadDelay = 2 * time.Second
	// listenerCloseDelay is how long new connections are accepted after SIGTERM: the
	// load balancer removes an entry after two failed health checks, a second apart.
	listenerCloseDelay = 2500 * time.Millisecond
	// maxExitMargin is how long before SIGKILL running requests are ended, and half of it
	// how long before the process ends at the latest. With short grace periods it is the
	// given part of them.
	maxExitMargin  = 300 * time.Millisecond
	exitMarginPart = 8
	// headerTimeout and idleTimeout exceed the operator's limits for callers, so that
	// no caller within these limits is disconnected.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 16 << 10
	sweepInterval  = time.Second
	// maxControlConns bounds the connections for health checks, and those for metrics.
	maxControlConns = 16
)

// Counters of an entry; docs/OPERATIONS.md lists them.
const (
	// CountStoreReads counts reads of the store by this entry itself, not through
	// another entry.
	CountStoreReads       = "store-reads"
	CountSettingsReloaded = "settings-reloaded"
	CountSettingsRefused  = "settings-refused"
	// CountBindsDelayed counts addresses that were held, or not available, when the entry
	// first tried to listen there.
	CountBindsDelayed = "binds-delayed"
)

type (
	// Entry is an entry on the users' platform.
	Entry struct {
		deployment greengageroute.Deployment
		log        logr.Logger
		counters   *expvar.Map
		latencies  *edge.LatencyHistograms
		logSink    *logSink

		store     *platform.Store
		source    *relay.Source
		directory *control.Directory
		follower  *control.Follower
		lease     *control.Lease
		planner   *control.Planner
		prober    *control.Prober
		node      *mesh.Node
		upstream  *upstream.Client
		// peerUpstream sends requests to other entries.
		peerUpstream *upstream.Client
		service      *edge.Service
		stopping     atomic.Bool
		// registered is closed when the entry has written its row and read the others.
		registered chan struct{}
		startedAt  time.Time
		// plannerKnown is set once another entry was heard of that holds the planner's lease.
		plannerKnown atomic.Bool

		settingsDigest atomic.Value // string: of the settings in force
		settingsSince  atomic.Int64 // when they came into force, in Unix seconds of the time of day
		grace          atomic.Int64 // time.Duration between SIGTERM and SIGKILL

		budget *intake.Budget

		callerListener, peerListener, readyListener *intake.Listener
		metricsAddress                              string
	}
)

// New opens the entry's sockets; Run serves them. It waits for addresses that another process
// still holds. The metrics are served at metricsAddress, unless it is empty.
func New(ctx context.Context, deployment greengageroute.Deployment, metricsAddress string, logOutput io.Writer) (*Entry, error) {
	deployment.Limits.LimitMemory()
	clock := greengageroute.BootClock{}
	sink := &logSink{output: logOutput}
	entry := &Entry{
		deployment: deployment, startedAt: time.Now(), counters: new(expvar.Map).Init(), registered: make(chan struct{}), latencies: edge.NewLatencyHistograms(), logSink: sink,
		log: newLogger(sink), store: platform.NewStore(deployment.StoreAddress), directory: control.NewDirectory(clock), metricsAddress: metricsAddress,
	}
	entry.budget = intake.NewBudget(greengageroute.NewBodyBudget(deployment.Limits), entry.counters)
	entry.adoptSettings(deployment)
	count := func(name string) func() { return func() { entry.counters.Add(name, 1) } }
	entry.upstream = upstream.NewClient(count("target-connections"))
	entry.peerUpstream = upstream.NewClient(count("entry-connections"))
	entry.lease = control.NewLease(entry.store, deployment.Name, deployment.FirstStart, clock, entry.log)
	var err error
	peerAddress := fmt.Sprintf("%s:%d", deployment.IP, deployment.PeerPort)
	entry.node, err = bind(ctx, entry, peerAddress, func() (*mesh.Node, error) {
		return mesh.Listen(deployment.Name, deployment.DataCentre, peerAddress, deployment.Limits.CPUShare, clock, count("peer-datagrams-failed"))
	})
	if err != nil {
		return nil, err
	}
	entry.source = relay.NewSource(entry.store, entry.node, relay.NewCache(clock), clock, count(CountStoreReads))
	entry.follower = control.NewFollower(entry.source, entry.directory, entry.needsListAtOnce, entry.node.NewestConfig, clock, entry.counters, entry.log)
	targetClient := platform.NewTargetClient(entry)
	backoffFilter := control.NewBackoffFilter(control.NewStateCheck(targetClient, targetClient, clock), targetClient, entry, clock)
	entry.prober = control.NewProber(deployment.DataCentre, backoffFilter, entry.directory, entry.node, clock, entry.counters, entry.log)
	entry.planner = control.NewPlanner(control.PlannerOptions{
		Lease: entry.lease, OrderSender: backoffFilter, Activity: entry.node, Directory: entry.directory, ListRevision: entry.follower.ListRevision, Routes: entry.follower.Routes,
		HasTraffic: entry.systemHasTraffic, Confirm: entry.prober.Confirm, Isolated: entry.prober.Isolated, Eligible: entry.mayPlan, FormationDelay: deployment.Bounds.HeartbeatInterval,
		StallTimeout: deployment.Bounds.StallTimeout, Demand: control.NewDemand(entry, entry.directory, clock).Observe,
		Clock: clock, Counters: entry.counters, Log: entry.log,
	})
	entry.service = edge.New(edge.Dependencies{
		Entry: deployment.Name, DataCentre: deployment.DataCentre, Regions: deployment.Regions, Bounds: deployment.Bounds, Config: entry.follower, Directory: entry.directory,
		Peers: entry.node, Prober: entry.prober, Sender: entry.upstream, PeerSender: entry.peerUpstream, Budget: entry.budget, Counters: entry.counters, Latencies: entry.latencies, Log: entry.log, MayTryQuarantined: entry.holdsLease,
	})
	connections := greengageroute.NewConnectionBounds(deployment.Limits)
	if entry.callerListener, err = entry.listen(ctx, deployment.CallerAddress, connections.Callers); err != nil {
		return nil, trace.Wrap(err, "listening for callers on %s", deployment.CallerAddress)
	}
	if entry.peerListener, err = entry.listen(ctx, entry.node.Address(), connections.Entries); err != nil {
		return nil, trace.Wrap(err, "listening for other entries on %s", entry.node.Address())
	}
	entry.readyListener, err = entry.listen(ctx, deployment.ReadyAddress, maxControlConns)
	return entry, trace.Wrap(err, "listening for the health check on %s", deployment.ReadyAddress)
}

func (entry *Entry) listen(ctx context.Context, address string, maxConns int) (*intake.Listener, error) {
	return bind(ctx, entry, address, func() (*intake.Listener, error) {
		return intake.Listen("tcp4", address, maxConns, entry.counters)
	})
}

// systemHasTraffic reports whether any entry has received requests. Unless this is
// the first start of the whole system, requests may have come before this entry was
// started, and it always returns true.
func (entry *Entry) systemHasTraffic() bool {
	return !entry.deployment.FirstStart || entry.service.HasTraffic() || entry.node.HasTraffic()
}

// mayPlan reports whether this entry may hold the planner's lease: it is a relay among
// the entries that the store lists.
func (entry *Entry) mayPlan() bool {
	select {
	case <-entry.registered:
		return entry.node.IsRelay()
	default:
		return false
	}
}

// holdsLease reports whether this entry holds the planner's lease.
func (entry *Entry) holdsLease() bool { return entry.lease.PeerUpdate().Holder != "" }

// needsListAtOnce reports whether this entry plans the replicas, or may have to: in a
// large fleet the relays of the planner's data centre.
func (entry *Entry) needsListAtOnce() bool {
	if entry.node.IsFullMesh() || entry.holdsLease() {
		return true
	}
	return entry.node.IsRelay() && entry.node.PlannerInDataCentre()
}

// Run serves until the context ends, then shuts down gracefully: it fails the health
// check, releases the planner's lease, accepts connections until the load balancer has noticed
// and finishes the requests that were received.
func (entry *Entry) Run(ctx context.Context) error {
	stopLogging := make(chan struct{})
	var logWriter sync.WaitGroup
	logWriter.Go(func() { entry.logSink.run(stopLogging) })
	defer logWriter.Wait()
	defer close(stopLogging)
	entry.log.Info("entry starts", "name", entry.deployment.Name, "data-centre", entry.deployment.DataCentre,
		"callers", entry.deployment.CallerAddress, "first-start", entry.deployment.FirstStart, "settings", entry.deployment.Digest)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var loops sync.WaitGroup
	planning, stopPlanning := context.WithCancel(background)
	defer stopPlanning()
	loops.Go(func() { entry.planner.Run(planning) })
	for _, loop := range []func(context.Context){
		entry.afterRegistration(entry.follower.RunConfig), entry.afterRegistration(entry.follower.RunList), entry.register, entry.keepVerdicts, entry.sweep, entry.serveMetrics, entry.prober.RunLinkChecks,
		func(ctx context.Context) { entry.node.Run(ctx, entry, entry) },
		func(ctx context.Context) { entry.followStart(ctx, entry.startPhases()) },
		func(ctx context.Context) {
			intake.RunChecks(ctx, entry.budget, entry.log, entry.callerListener, entry.peerListener, entry.readyListener)
		},
	} {
		loops.Go(func() { loop(background) })
	}
	callerServer := newServer(entry.callerListener, entry.service)
	readyServer := newServer(entry.readyListener, intake.WithoutBody(http.HandlerFunc(entry.handleReady)))
	peerServer := newServer(entry.peerListener, entry.peerHandler())
	serveErrors := make(chan error, 3)
	go func() { serveErrors <- callerServer.Serve(entry.callerListener) }()
	go func() { serveErrors <- readyServer.Serve(entry.readyListener) }()
	go func() { serveErrors <- peerServer.Serve(entry.peerListener) }()
	select {
	case err := <-serveErrors:
		return trace.Wrap(err, "serving HTTP")
	case <-ctx.Done():
	}
	stopPlanning()
	entry.shutDown()
	callerServer.Close()
	peerServer.Close()
	stop()
	loops.Wait()
	entry.log.Info("entry stopped", "name", entry.deployment.Name)
	return nil
}

// adoptSettings records which settings are in force.
func (entry *Entry) adoptSettings(deployment greengageroute.Deployment) {
	entry.settingsDigest.Store(deployment.Digest)
	entry.settingsSince.Store(time.Now().Unix())
	entry.grace.Store(int64(deployment.Bounds.TerminationGrace))
}

// Reload applies changed settings: the bounds, the regions and the memory limit. Addresses stay
// as they were at the start of the process. If the settings are invalid, it logs the
// error and changes nothing.
func (entry *Entry) Reload(deployment greengageroute.Deployment, err error) {
	if err != nil {
		entry.counters.Add(CountSettingsRefused, 1)
		entry.log.Error(err, "settings not reloaded; the old ones stay in force", "settings", entry.settingsDigest.Load(), "refused", deployment.Digest)
		return
	}
	entry.counters.Add(CountSettingsReloaded, 1)
	entry.service.SetBounds(deployment.Bounds)
	entry.planner.SetBounds(deployment.Bounds)
	entry.service.SetRegions(deployment.Regions)
	deployment.Limits.LimitMemory()
	entry.budget.SetLimits(greengageroute.NewBodyBudget(deployment.Limits))
	connections := greengageroute.NewConnectionBounds(deployment.Limits)
	entry.callerListener.SetMaxConns(connections.Callers)
	entry.peerListener.SetMaxConns(connections.Entries)
	entry.adoptSettings(deployment)
	entry.log.Info("settings reloaded", "settings", deployment.Digest, "name", deployment.Name, "memory-mb", deployment.Limits.MemoryMB,
		"revoke-ms", deployment.Bounds.RevocationTime.Milliseconds(), "moved", deployment.CallerAddress != entry.deployment.CallerAddress)
}

func newServer(listener *intake.Listener, handler http.Handler) *http.Server {
	return listener.Configure(&http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	})
}

// peerHandler serves other entries: the rows that this entry reads for them, and requests
// that they forward.
func (entry *Entry) peerHandler() http.Handler {
	rows := intake.WithoutBody(entry.source.Handler())
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if !entry.service.ServeForwarded(writer, request) {
			rows.ServeHTTP(writer, request)
		}
	})
}

// shutDown returns when no request runs any more, or shortly before the end of the grace
// period.
func (entry *Entry) shutDown() {
	grace := time.Duration(entry.grace.Load())
	exitMargin := min(maxExitMargin, grace/exitMarginPart)
	start := time.Now()
	acceptUntil, end := start.Add(min(listenerCloseDelay, grace/3)), start.Add(grace-exitMargin)
	entry.log.Info("entry stops", "name", entry.deployment.Name)
	entry.stopping.Store(true)
	entry.service.Stop(acceptUntil, end)
	entry.node.Leave()
	time.Sleep(time.Until(acceptUntil))
	timeout := time.After(time.Until(end.Add(exitMargin / 2)))
	callersDone, peersDone := entry.callerListener.Stop(), entry.peerListener.Stop()
	for _, done := range []<-chan struct{}{callersDone, peersDone} {
		select {
		case <-done:
		case <-timeout:
			entry.log.Info("connections still open at the end of the termination grace period")
			return
		}
	}
}

// handleReady handles the load balancer's health check.
func (entry *Entry) handleReady(writer http.ResponseWriter, _ *http.Request) {
	if !entry.isReady() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

func (entry *Entry) isReady() bool {
	return !entry.stopping.Load() && entry.service.ConfigFresh() && entry.directory.View().Listed
}

// sweep periodically closes idle connections and drops expired directory entries.
func (entry *Entry) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			entry.upstream.CloseExpired()
			entry.peerUpstream.CloseExpired()
			entry.directory.Expire()
		}
	}
}

// serveMetrics serves the counters and the latency histograms as text.
func (entry *Entry) serveMetrics(ctx context.Context) {
	if entry.metricsAddress == "" {
		return
	}
	listener, err := entry.listen(ctx, entry.metricsAddress, maxControlConns)
	if err != nil {
		entry.log.Error(err, "metrics not served: can't listen", "address", entry.metricsAddress)
		return
	}
	server := newServer(listener, intake.WithoutBody(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { entry.writeMetrics(writer) })))
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		entry.log.Error(err, "metrics no longer served: server failed")
	}
}

func (entry *Entry) writeMetrics(writer io.Writer) {
	entry.counters.Do(func(counter expvar.KeyValue) { fmt.Fprintf(writer, "%s %s\n", counter.Key, counter.Value) })
	fmt.Fprintf(writer, "settings-digest %s\nsettings-in-force-since %d\n", entry.settingsDigest.Load(), entry.settingsSince.Load())
	fmt.Fprintf(writer, "log-lines-dropped %d\n", entry.logSink.dropped.Load())
	entry.latencies.Write(writer)
}
