// Package entry assembles the process of an entry: the interfaces for callers and
// operators, the documents that all entries share, probes of groups, the
// membership, and the planner, which runs on one entry at a time under a lease.
package entry

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/caller"
	"greengageroute.example/greengageroute/http1"
	"greengageroute.example/greengageroute/intake"
	"greengageroute.example/greengageroute/peer"
	"greengageroute.example/greengageroute/table"
	"greengageroute.example/greengageroute/target"
)

const (
	callSlots = 512 // service calls that run at once
	// tick is half the interval of the sync loop.
	tick            = 500 * time.Millisecond
	platformTimeout = 2 * time.Second
	// peerTimeout bounds a call to another entry, and leaving the membership.
	peerTimeout = 2 * time.Second
)

type (
	// Entry is the process that runs on one entry VM.
	Entry struct {
		settings greengageroute.Settings
		log      logr.Logger
		counters *expvar.Map

		table   table.Table
		vmList  table.VMList
		configs *table.Configs
		fleets  *table.Fleets
		// contracts, supplier and lastTakeAt are used by the planner only.
		contracts  *table.Contracts
		supplier   table.Supplier
		lastTakeAt time.Time // when VMs were last taken from the supplier
		lease      *table.Lease

		node          *peer.Node
		members       *peer.Membership
		targets       *target.Client
		probeResults  *greengageroute.ProbeResults
		healthGossip  *healthGossip
		quarantine    *greengageroute.Quarantine
		router        *greengageroute.Router
		inFlight      *caller.InFlightRequests
		chatAdmission *greengageroute.Admission
		callAdmission *greengageroute.Admission
		eventKey      caller.EventKey
		callerService *caller.Service
		documents     *documents
		leaving       *leavingVMs
		health        *healthTable

		listener       *intake.Listener
		budget         *intake.Budget
		server         *http.Server
		stopping       atomic.Bool
		faultLogged    atomic.Int64 // Unix second of the last log line on an answer that was too long or malformed
		forwards       runningForwards
		ready          atomic.Bool
		lifetime       context.Context // ends when Run does
		cancelLifetime context.CancelFunc
	}
)

// New opens the entry's sockets. Run serves requests on them.
func New(settings greengageroute.Settings, log logr.Logger) (*Entry, error) {
	keys, err := peer.LoadKeys(settings.Keys)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	eventKey, err := caller.ReadEventKey(settings.Keys.EventKey)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	client := table.NewClient(settings.Platform)
	entry := &Entry{
		settings: settings, log: log, counters: new(expvar.Map).Init(),
		table: client, vmList: client, configs: table.NewConfigs(client), fleets: table.NewFleets(client),
		contracts: table.NewContracts(client), supplier: client,
		lease:  table.NewLease(client, "plan/"+settings.DataCentre, settings.Name, settings.LeaseTerm, target.OrderTimeout),
		router: greengageroute.NewRouter(), inFlight: caller.NewInFlightRequests(),
		eventKey: eventKey, leaving: newLeavingVMs(), health: newHealthTable(),
	}
	limits := settings.Limits()
	entry.budget = intake.NewBudget(greengageroute.NewBodyBudget(limits), entry.counters)
	entry.targets = target.NewClient(entry.budget, entry.recordFault)
	entry.quarantine = greengageroute.NewQuarantine(entry.logQuarantine)
	entry.probeResults = greengageroute.NewProbeResults(entry.handleUnhealthyGroup)
	entry.chatAdmission = greengageroute.NewAdmission(0, entry.countRefused)
	entry.callAdmission = greengageroute.NewAdmission(callSlots, entry.countRefused)
	entry.documents = newDocuments(settings.DataCentre)
	entry.healthGossip = &healthGossip{probeResults: entry.probeResults, fleet: entry.Fleet}
	entry.lifetime, entry.cancelLifetime = context.WithCancel(context.Background())
	entry.callerService = entry.newCallerService(entry.lifetime)
	if entry.node, err = peer.Listen(settings.PeerListen, keys, entry, func() { entry.counters.Add(CountPeerDropped, 1) }); err != nil {
		return nil, trace.Wrap(err)
	}
	if settings.PeerAddress == settings.PeerListen {
		settings.PeerAddress = entry.node.Address()
	}
	self := peer.MemberInfo{
		Name: settings.Name, Address: settings.PeerAddress, DataCentre: settings.DataCentre,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	entry.members = peer.NewMembership(self, settings.Seeds, entry.node, entry)
	if entry.listener, err = intake.Listen("tcp", settings.Listen, greengageroute.NewConnectionBounds(limits).Callers, entry.counters); err != nil {
		return nil, trace.Wrap(err, "listening at %s", settings.Listen)
	}
	return entry, nil
}

// recordFault counts an answer that was too long or malformed, and logs one a second.
func (entry *Entry) recordFault(address string, err error) {
	count, message := CountTooLong, "answer too long"
	var malformed *http1.MalformedError
	if errors.As(err, &malformed) {
		count, message = CountMalformed, "answer malformed"
	}
	entry.counters.Add(count, 1)
	if second := time.Now().Unix(); entry.faultLogged.Swap(second) == second {
		return
	}
	entry.log.Info(message, "target", address, "error", err.Error())
}

func (entry *Entry) countRefused(class string) { entry.counters.Add(CountRefused+class, 1) }

// PeerAddress returns the address at which other entries reach this entry.
func (entry *Entry) PeerAddress() string { return entry.members.Self().Address }

// Traffic returns the bytes of control traffic sent and received: with other
// entries, and for probes. Headers of UDP, TCP and IP are not counted.
func (entry *Entry) Traffic() (peers, probes uint64) {
	sent, received := entry.node.Traffic()
	return sent + received, uint64(entry.targets.ProbeTraffic())
}

// Run serves until the context ends, then stops gracefully: it fails the load
// balancer's health check, takes no more requests from other entries, accepts no new
// connections after the grace period, finishes running requests, leaves the membership and releases the lease.
func (entry *Entry) Run(ctx context.Context) error {
	background, stop := entry.lifetime, entry.cancelLifetime
	defer stop()
	var loops sync.WaitGroup
	entry.server = entry.listener.Configure(newServer(entry.handler()))
	for _, loop := range []func(context.Context){entry.node.Run, entry.members.Run, entry.syncLoop, entry.probeLoop, entry.planLoop, entry.checkCallers} {
		loops.Go(func() { loop(background) })
	}
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- entry.server.Serve(entry.listener) }()
	entry.log.Info("entry started", "name", entry.settings.Name, "listen", entry.settings.Listen)
	select {
	case err := <-serveErrors:
		return trace.Wrap(err, "serving at %s", entry.settings.Listen)
	case <-ctx.Done():
	}
	err := entry.shutDown(background)
	stop()
	loops.Wait()
	return err
}

// checkCallers ends callers that make no progress.
func (entry *Entry) checkCallers(ctx context.Context) {
	intake.RunChecks(ctx, entry.budget, entry.log, entry.listener)
}

func (entry *Entry) shutDown(ctx context.Context) error {
	entry.log.Info("entry stopping", "name", entry.settings.Name)
	entry.stopping.Store(true)
	forwardsFinished := entry.forwards.stop()
	time.Sleep(entry.settings.StopGrace)
	ctx, cancel := context.WithTimeout(ctx, entry.settings.StopTimeout)
	defer cancel()
	err := entry.server.Shutdown(ctx)
	select {
	case <-forwardsFinished:
	case <-ctx.Done():
		err = ctx.Err()
	}
	leaveCtx, cancelLeave := context.WithTimeout(context.WithoutCancel(ctx), peerTimeout)
	defer cancelLeave()
	entry.members.Leave(leaveCtx)
	return trace.Wrap(err, "requests were still running at the stop timeout of %s", entry.settings.StopTimeout)
}
