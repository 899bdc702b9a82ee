package edge

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/control"
	"greengageroute.example/greengageroute/mesh"
	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/upstream"
)

const (
	// fleetDelay is the latency of a packet.
	fleetDelay = 1400 * time.Microsecond
	// fleetDialTimeout is the dial timeout of package upstream.
	fleetDialTimeout = 200 * time.Millisecond
	// fleetEventGap and fleetEvents make up a stream of fleetEvents events, unless the fleet has
	// longer ones.
	fleetEventGap = 40 * time.Millisecond
	fleetEvents   = 10
	// fleetCallTime is the time that a target needs for a call.
	fleetCallTime = 15 * time.Millisecond
	// fleetIdleTime is how long an idle connection to a target is kept.
	fleetIdleTime = 4 * time.Second
	fleetHeads    = 72
	fleetLedgers  = 4
)

// States of an entry's links to the targets of a pool.
const (
	linkWorks   linkState = iota
	linkHangs             // nothing comes through, and new connections time out
	linkResets            // connections are reset, and new ones refused
	linkRefuses           // connections live on, and new ones are refused
)

type (
	linkState int

	// fleet is a fleet of entries, their exchange of datagrams and their links to targets, in
	// virtual time. Processor time and bandwidth aren't simulated.
	fleet struct {
		ctx     context.Context
		network *datagramNetwork
		targets []greengageroute.Target
		routes  *greengageroute.RouteTable

		mu       sync.Mutex
		entries  []*fleetEntry
		tries    []firstTry
		arrivals map[string][]time.Time // of requests, by target
		// coldUntil is until when targets say in their responses that they are cold.
		coldUntil map[string]time.Time
		events    int                        // of a stream
		models    []string                   // that callers ask for in turn
		dead      greengageroute.Set[string] // ids of targets that have ended
		// sentToLost is how many requests were sent to the heads of replicas with dead members.
		sentToLost int
	}

	// fleetEntry is an entry, through restarts of its process.
	fleetEntry struct {
		fleet      *fleet
		name       string
		dataCentre string
		address    string
		capacity   float64

		mu       sync.Mutex
		links    map[string]linkState // by pool or data centre
		changed  chan struct{}        // closed when the links change
		lost     bool                 // links were lost
		process  *fleetProcess        // nil while the entry is down
		powerOff bool                 // while it is down, nothing refuses connections to it
	}

	// fleetProcess is the process of an entry. It implements mesh.Source, mesh.Sink, and Config,
	// Sender and control.Reporter for the targets.
	fleetProcess struct {
		calmDependencies
		entry     *fleetEntry
		ctx       context.Context
		stop      context.CancelFunc
		node      *mesh.Node
		prober    *control.Prober
		directory *control.Directory
		service   *Service
		counters  *expvar.Map

		mu    sync.Mutex
		used  map[string]time.Time // when a connection to a target was last used
		dials int                  // connections to targets, for requests and probes
	}

	// helperSender sends requests to other entries.
	helperSender struct{ *fleetProcess }

	// finalRecorder records the final response only.
	finalRecorder struct{ *httptest.ResponseRecorder }

	// firstTry is the outcome of a caller's first try.
	firstTry struct {
		entry  *fleetEntry
		kind   string
		at     time.Time
		status int // 0: broken off
		served bool
		took   time.Duration
	}

	// datagramNetwork delivers datagrams between the entries.
	datagramNetwork struct {
		mu    sync.Mutex
		conns map[netip.AddrPort]*datagramConn
		// severed reports whether datagrams from one address to another are lost; nil: none.
		severed  func(from, to netip.AddrPort) bool
		received map[netip.AddrPort]int64 // bytes
	}

	datagramConn struct {
		network  *datagramNetwork
		address  netip.AddrPort
		incoming chan datagram
		closed   chan struct{}
		once     sync.Once
	}

	datagram struct {
		from netip.AddrPort
		data []byte
	}
)

// sever sets which datagrams are lost.
func (network *datagramNetwork) sever(severed func(from, to netip.AddrPort) bool) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.severed = severed
}

func (network *datagramNetwork) listen(address string) *datagramConn {
	parsed := netip.MustParseAddrPort(address)
	conn := &datagramConn{network: network, address: parsed, incoming: make(chan datagram, 1024), closed: make(chan struct{})}
	network.mu.Lock()
	defer network.mu.Unlock()
	network.conns[parsed] = conn
	return conn
}

// ReadFromUDPAddrPort implements mesh.PacketConn.
func (conn *datagramConn) ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error) {
	select {
	case received := <-conn.incoming:
		return copy(buffer, received.data), received.from, nil
	case <-conn.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// WriteToUDPAddrPort implements mesh.PacketConn.
func (conn *datagramConn) WriteToUDPAddrPort(data []byte, recipient netip.AddrPort) (int, error) {
	network := conn.network
	network.mu.Lock()
	other, severed := network.conns[recipient], network.severed
	network.received[recipient] += int64(len(data))
	network.mu.Unlock()
	if other == nil || severed != nil && severed(conn.address, recipient) {
		return len(data), nil
	}
	copied := bytes.Clone(data)
	time.AfterFunc(fleetDelay, func() {
		select {
		case other.incoming <- datagram{conn.address, copied}:
		case <-other.closed:
		default: // the receiver's buffer is full
		}
	})
	return len(data), nil
}

// LocalAddr implements mesh.PacketConn.
func (conn *datagramConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(conn.address) }

// Close implements mesh.PacketConn.
func (conn *datagramConn) Close() error {
	conn.once.Do(func() { close(conn.closed) })
	conn.network.mu.Lock()
	defer conn.network.mu.Unlock()
	if conn.network.conns[conn.address] == conn {
		delete(conn.network.conns, conn.address)
	}
	return nil
}

// newFleet returns a fleet of so many entries in the given number of data centres, two of each
// on larger VMs.
func newFleet(ctx context.Context, entries, dataCentres int) *fleet {
	return newFleetOf(ctx, entries, dataCentres, fleetHeads, testRoutes)
}

// newFleetOf returns such a fleet with the given number of heads and routes.
func newFleetOf(ctx context.Context, entries, dataCentres, heads int, routes *greengageroute.RouteTable) *fleet {
	var targets []greengageroute.Target
	for i := range heads {
		targets = append(targets, greengageroute.Target{
			ID: headName(i), Pool: "llm", DataCentre: dataCentreName(i, dataCentres), State: greengageroute.TargetReady, StartUnixMilli: 7, Slots: 38,
			Membership: greengageroute.Membership{Replica: fmt.Sprint("r", i), Epoch: 1, Model: "m", State: greengageroute.MemberOpen},
		})
	}
	for i := range fleetLedgers {
		targets = append(targets, greengageroute.Target{
			ID: fmt.Sprint("ledger-", i), Pool: "ledger", DataCentre: dataCentreName(i, dataCentres), State: greengageroute.TargetReady, StartUnixMilli: 7, Slots: 6,
		})
	}
	return newFleetWith(ctx, entries, dataCentres, routes, targets)
}

func dataCentreName(index, dataCentres int) string { return string(rune('a' + index%dataCentres)) }

// newFleetWith returns a fleet with the given targets.
func newFleetWith(ctx context.Context, entries, dataCentres int, routes *greengageroute.RouteTable, targets []greengageroute.Target) *fleet {
	network := &datagramNetwork{conns: map[netip.AddrPort]*datagramConn{}, received: map[netip.AddrPort]int64{}}
	fleet := &fleet{
		ctx: ctx, network: network, targets: targets, routes: routes, events: fleetEvents, models: []string{"m"}, dead: greengageroute.Set[string]{},
		arrivals: map[string][]time.Time{}, coldUntil: map[string]time.Time{},
	}
	for i := range entries {
		capacity := 0.134
		if i < 2*dataCentres {
			capacity = 0.8
		}
		fleet.add(dataCentreName(i, dataCentres), capacity)
	}
	for _, entry := range fleet.entries {
		entry.start()
	}
	return fleet
}

// add adds an entry, which isn't started yet.
func (fleet *fleet) add(dataCentre string, capacity float64) *fleetEntry {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	index := len(fleet.entries)
	entry := &fleetEntry{
		fleet: fleet, name: fmt.Sprintf("entry-%03d", index), dataCentre: dataCentre, capacity: capacity,
		address: fmt.Sprintf("10.%d.%d.%d:7340", dataCentre[0], index/250, index%250+1), links: map[string]linkState{}, changed: make(chan struct{}),
	}
	fleet.entries = append(fleet.entries, entry)
	return entry
}

// all returns the entries.
func (fleet *fleet) all() []*fleetEntry {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return slices.Clone(fleet.entries)
}

// start starts the entry's process, which knows the others from the store's list.
func (entry *fleetEntry) start() {
	ctx, stop := context.WithCancel(entry.fleet.ctx)
	process := &fleetProcess{entry: entry, ctx: ctx, stop: stop, counters: new(expvar.Map).Init(), used: map[string]time.Time{}}
	clock := greengageroute.RuntimeClock{}
	process.node = mesh.NewNode(entry.name, entry.dataCentre, entry.capacity, entry.fleet.network.listen(entry.address), clock, func() {})
	process.directory = control.NewDirectory(clock)
	process.directory.SetRoutes(entry.fleet.routes)
	process.directory.Replace(entry.fleet.targets, time.Time{})
	process.prober = control.NewProber(entry.dataCentre, process, process.directory, process.node, clock, process.counters, logr.Discard())
	process.service = New(Dependencies{
		Entry: entry.name, DataCentre: entry.dataCentre,
		Bounds: greengageroute.Bounds{RevocationTime: 5 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 300},
		Config: process, Directory: process.directory, Peers: process.node, Prober: process.prober, Sender: process, PeerSender: helperSender{process},
		Counters: process.counters, Latencies: NewLatencyHistograms(), Log: logr.Discard(), MayTryQuarantined: func() bool { return false },
	})
	for _, other := range entry.fleet.all() {
		process.node.AddPeer(other.name, other.dataCentre, other.address, other.capacity)
	}
	go process.node.Run(ctx, process, process)
	go process.prober.RunLinkChecks(ctx)
	go func() {
		for sleep(ctx, 200*time.Millisecond) == nil {
			process.directory.Expire()
		}
	}()
	entry.mu.Lock()
	entry.process = process
	entry.mu.Unlock()
}

// kill ends the entry's process.
func (entry *fleetEntry) kill(powerOff bool) {
	entry.mu.Lock()
	process := entry.process
	entry.process, entry.powerOff = nil, powerOff
	entry.mu.Unlock()
	process.stop()
}

// setLinks sets the state of the entry's links to the targets of the given pools or data centres.
func (entry *fleetEntry) setLinks(state linkState, names ...string) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	for _, name := range names {
		entry.links[name] = state
	}
	entry.lost = entry.lost || state != linkWorks
	close(entry.changed)
	entry.changed = make(chan struct{})
}

// lostLinks reports whether the entry has ever lost links.
func (entry *fleetEntry) lostLinks() bool {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return entry.lost
}

func (entry *fleetEntry) link(target greengageroute.Target) (state linkState, changed <-chan struct{}) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return max(entry.links[target.Pool], entry.links[target.DataCentre]), entry.changed
}

func (entry *fleetEntry) running() (process *fleetProcess, powerOff bool) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return entry.process, entry.powerOff
}

// sleep waits for a time unless the context ends before.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// passLink waits until data passes an established connection to a target.
func (entry *fleetEntry) passLink(ctx context.Context, target greengageroute.Target) error {
	for {
		state, changed := entry.link(target)
		switch state {
		case linkWorks, linkRefuses:
			return sleep(ctx, fleetDelay)
		case linkResets:
			return errors.New("connection reset")
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// connect opens a connection to a target.
func (process *fleetProcess) connect(ctx context.Context, target greengageroute.Target, timeout time.Duration) error {
	process.mu.Lock()
	process.dials++
	process.mu.Unlock()
	state, _ := process.entry.link(target)
	switch state {
	case linkHangs:
		if err := sleep(ctx, timeout); err != nil {
			return err
		}
		return errors.New("connection timed out")
	case linkResets, linkRefuses:
		return errors.New("connection refused")
	}
	return sleep(ctx, 2*fleetDelay)
}

// Routes implements Config.
func (process *fleetProcess) Routes() *greengageroute.RouteTable { return process.entry.fleet.routes }

// hasLost reports whether a target has ended, or its replica has lost a member: then its head
// accepts requests and sends nothing.
func (fleet *fleet) hasLost(target greengageroute.Target, members bool) bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.dead.Has(target.ID) || members && slices.ContainsFunc(fleet.targets, func(other greengageroute.Target) bool {
		return fleet.dead.Has(other.ID) && other.Membership.Replica != "" && other.Membership.Replica == target.Membership.Replica
	})
}

// kill ends a target.
func (fleet *fleet) kill(target string) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.dead.Add(target)
}

// Do implements Sender.
func (process *fleetProcess) Do(ctx context.Context, request greengageroute.Request, attempt greengageroute.Attempt) (*upstream.Answer, error) {
	target, entry := attempt.Target, process.entry
	if !process.HasIdleConnection(target, attempt.AtMostOnce) {
		if err := process.connect(ctx, target, fleetDialTimeout); err != nil {
			return nil, &upstream.NotSentError{Target: target.ID, Cause: err}
		}
	}
	if err := entry.passLink(ctx, target); err != nil {
		return nil, &upstream.AnswerLostError{Target: target.ID, Cause: err}
	}
	cold := entry.fleet.arrive(target)
	if entry.fleet.hasLost(target, true) {
		entry.fleet.mu.Lock()
		entry.fleet.sentToLost++
		entry.fleet.mu.Unlock()
		<-ctx.Done()
	}
	if err := sleep(ctx, fleetCallTime); err != nil {
		return nil, &upstream.AnswerLostError{Target: target.ID, Cause: err}
	}
	process.recordUse(target)
	header := http.Header{platform.HeaderAttemptID: {request.ID}, "X-Greengageroute-Server-Signature": {target.ID}}
	answer := &upstream.Answer{AnswerHead: greengageroute.AnswerHead{ID: request.ID, Status: http.StatusOK, Signed: true, ColdRemaining: cold, Header: header}, Body: strings.NewReader("done")}
	if target.Pool == "llm" {
		answer.Body = &fleetStream{ctx: ctx, process: process, target: target, next: 1}
	}
	return answer, nil
}

// arrive records a request at a target and returns for how long the target says it is cold.
func (fleet *fleet) arrive(target greengageroute.Target) time.Duration {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.arrivals[target.ID] = append(fleet.arrivals[target.ID], time.Now())
	return max(time.Until(fleet.coldUntil[target.ID]), 0)
}

// HasIdleConnection implements Sender.
func (process *fleetProcess) HasIdleConnection(target greengageroute.Target, atMostOnce bool) bool {
	process.mu.Lock()
	defer process.mu.Unlock()
	limit := fleetIdleTime
	if atMostOnce {
		limit = 700 * time.Millisecond
	}
	used, known := process.used[target.ID]
	return known && time.Since(used) < limit
}

func (process *fleetProcess) recordUse(target greengageroute.Target) {
	process.mu.Lock()
	defer process.mu.Unlock()
	process.used[target.ID] = time.Now()
}

// fleetStream is the body of a stream, which depends on the entry's link.
type fleetStream struct {
	ctx     context.Context
	process *fleetProcess
	target  greengageroute.Target
	next    int
	pending io.Reader
}

func (stream *fleetStream) Read(buffer []byte) (int, error) {
	for {
		if stream.pending != nil {
			if read, err := stream.pending.Read(buffer); err == nil {
				return read, nil
			}
			stream.pending = nil
		}
		if stream.next > stream.process.entry.fleet.events {
			stream.process.recordUse(stream.target)
			return 0, io.EOF
		}
		if err := sleep(stream.ctx, fleetEventGap); err != nil {
			return 0, err
		}
		if stream.process.entry.fleet.hasLost(stream.target, true) {
			<-stream.ctx.Done()
			return 0, stream.ctx.Err()
		}
		if err := stream.process.entry.passLink(stream.ctx, stream.target); err != nil {
			return 0, err
		}
		stream.pending = strings.NewReader(events(stream.next, stream.next))
		stream.next++
	}
}

// Report implements control.Reporter.
func (process *fleetProcess) Report(ctx context.Context, target greengageroute.Target, timeout time.Duration) (greengageroute.TargetReport, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := process.connect(ctx, target, timeout); err != nil {
		return greengageroute.TargetReport{}, err
	}
	if process.entry.fleet.hasLost(target, false) {
		<-ctx.Done()
		return greengageroute.TargetReport{}, ctx.Err()
	}
	return greengageroute.TargetReport{StartUnixMilli: target.StartUnixMilli, Membership: target.Membership}, process.entry.passLink(ctx, target)
}

// WriteHeader implements http.ResponseWriter.
func (recorder *finalRecorder) WriteHeader(status int) {
	if status >= http.StatusOK {
		recorder.ResponseRecorder.WriteHeader(status)
	}
}

// Do implements Sender.
func (sender helperSender) Do(ctx context.Context, request greengageroute.Request, attempt greengageroute.Attempt) (*upstream.Answer, error) {
	entries := sender.entry.fleet.all()
	index := slices.IndexFunc(entries, func(other *fleetEntry) bool { return other.address == attempt.Target.Address })
	helper, powerOff := entries[index].running()
	switch {
	case helper == nil && powerOff:
		_ = sleep(ctx, fleetDialTimeout) // the dial has failed either way
		return nil, &upstream.NotSentError{Target: attempt.Target.ID, Cause: errors.New("connection timed out")}
	case helper == nil:
		return nil, &upstream.NotSentError{Target: attempt.Target.ID, Cause: errors.New("connection refused")}
	}
	if err := sleep(ctx, 3*fleetDelay); err != nil {
		return nil, &upstream.NotSentError{Target: attempt.Target.ID, Cause: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(helper.ctx, cancel)()
	forwarded := httptest.NewRequestWithContext(ctx, request.Method, request.URI, bytes.NewReader(request.Body.Bytes()))
	forwarded.Host, forwarded.RequestURI, forwarded.Header = request.Host, request.URI, platform.EncodeAttempt(request, attempt)
	recorder := &finalRecorder{ResponseRecorder: httptest.NewRecorder()}
	served := false
	if isAborted(func() { served = helper.service.ServeForwarded(recorder, forwarded) }) || !served {
		return nil, &upstream.AnswerLostError{Target: attempt.Target.ID, Cause: io.ErrUnexpectedEOF, AttemptsAtEntry: platform.DecodeAttempts(recorder.Header())}
	}
	if err := sleep(ctx, fleetDelay); err != nil {
		return nil, &upstream.AnswerLostError{Target: attempt.Target.ID, Cause: err}
	}
	response := recorder.Result()
	response.TransferEncoding = []string{"chunked"}
	return &upstream.Answer{AnswerHead: platform.DecodeAnswer(response), Body: response.Body}, nil
}

// HasIdleConnection implements Sender.
func (helperSender) HasIdleConnection(greengageroute.Target, bool) bool { return false }

// The methods of mesh.Source and mesh.Sink follow.

func (process *fleetProcess) Loads() []mesh.Load               { return process.service.Tracker().Loads() }
func (process *fleetProcess) Limits() []mesh.TargetLimit       { return nil }
func (process *fleetProcess) Lease() (update mesh.LeaseUpdate) { return update }
func (process *fleetProcess) HasTraffic() bool                 { return true }
func (process *fleetProcess) ReadsStore() bool                 { return false }
func (process *fleetProcess) ConfigVersion() uint64            { return 7 }
func (process *fleetProcess) Isolated() bool                   { return process.prober.Isolated() }

func (process *fleetProcess) LostPools() []string                             { return process.prober.LostPools() }
func (process *fleetProcess) Quarantined() []greengageroute.QuarantineVerdict { return nil }

func (process *fleetProcess) TargetsUnreachable(_ string, unreachable []mesh.TargetInstance) {
	process.directory.RenewUnreachable(unreachable...)
	view := process.directory.View()
	inactive := slices.DeleteFunc(slices.Clone(unreachable), func(instance mesh.TargetInstance) bool {
		target, listed := view.Target(instance.ID)
		return !listed || process.service.HasRecentActivity(target) || process.directory.RespondedLately(instance)
	})
	process.directory.MarkUnreachable(inactive...)
	process.prober.AwaitReported(inactive)
}

func (process *fleetProcess) TargetsResponding(_ string, responding []mesh.TargetInstance) {
	process.prober.RecordResponding(responding)
}
func (process *fleetProcess) TargetsSlow(string, []mesh.TargetInstance) {}
func (process *fleetProcess) TargetsCold(_ string, cold []mesh.ColdReport) {
	process.service.AdoptCold(cold)
}

func (process *fleetProcess) ReplicasSuspected(_ string, heads []mesh.TargetInstance) {
	process.service.RecordSuspected(heads)
}
func (process *fleetProcess) TargetsLeaving(string, []mesh.TargetInstance)                 {}
func (process *fleetProcess) CrashesReported(string, []greengageroute.CrashReport)         {}
func (process *fleetProcess) CausesFoundSound(string, []greengageroute.CrashCause)         {}
func (process *fleetProcess) CausesQuarantined(string, []greengageroute.QuarantineVerdict) {}
func (process *fleetProcess) LeaseUpdated(mesh.LeaseUpdate)                                {}

// callerKinds are the kinds of callers' requests, by path, and how many of ten are of each.
var callerKinds = []struct {
	path    string
	tenths  int
	timeout time.Duration
}{
	{"/chat/x", 7, 6 * time.Second},
	{"/post/x", 2, 800 * time.Millisecond},
	{"/get/x", 1, 600 * time.Millisecond},
}

// startCallers sends each entry so many requests a second until the context ends, and
// records their outcomes.
func (fleet *fleet) startCallers(ctx context.Context, perSecond float64) *sync.WaitGroup {
	var callers sync.WaitGroup
	for _, entry := range fleet.all() {
		callers.Go(func() { entry.call(ctx, perSecond, &callers) })
	}
	return &callers
}

// call sends requests to the entry, without waiting for the answers.
func (entry *fleetEntry) call(ctx context.Context, perSecond float64, pending *sync.WaitGroup) {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(entry.name)) // never fails
	random := rand.New(rand.NewPCG(42, seed.Sum64()))
	interval := time.Duration(float64(time.Second) / perSecond)
	_ = sleep(ctx, time.Duration(random.Float64()*float64(interval))) // the loop checks the context
	for number := 0; ctx.Err() == nil; number++ {
		draw := random.IntN(10)
		for _, kind := range callerKinds {
			if draw -= kind.tenths; draw >= 0 {
				continue
			}
			id := fmt.Sprintf("%s-%d", entry.name, number)
			pending.Go(func() { entry.try(kind.path, id, kind.timeout) })
			break
		}
		_ = sleep(ctx, interval/2+time.Duration(random.Float64()*float64(interval)))
	}
}

// try sends a request to the entry and records the outcome. A down entry refuses it.
func (entry *fleetEntry) try(path, id string, timeout time.Duration) {
	process, _ := entry.running()
	outcome := firstTry{entry: entry, kind: path, at: time.Now()}
	if process != nil {
		outcome.status, outcome.served = process.serveCaller(path, id, timeout)
		outcome.took = time.Since(outcome.at)
	}
	entry.fleet.mu.Lock()
	defer entry.fleet.mu.Unlock()
	entry.fleet.tries = append(entry.fleet.tries, outcome)
}

func (process *fleetProcess) serveCaller(path, id string, timeout time.Duration) (status int, served bool) {
	ctx, cancel := context.WithTimeout(process.ctx, timeout)
	defer cancel()
	request := newRequest("POST", path).WithContext(ctx)
	request.Header.Set(platform.HeaderAttemptID, id)
	request.Header.Set("X-Greengageroute-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	models := process.entry.fleet.models
	request.Header.Set("X-Greengageroute-Model", models[int(id[len(id)-1])%len(models)])
	recorder := httptest.NewRecorder()
	aborted := isAborted(func() { process.service.ServeHTTP(recorder, request) })
	want := "done"
	if path == "/chat/x" {
		want = events(1, process.entry.fleet.events)
	}
	if aborted {
		return 0, false
	}
	return recorder.Code, recorder.Code == http.StatusOK && recorder.Body.String() == want
}

// served returns how many first tries came to the given entries in a period, and the part of
// them that was served; outcomes counts them by kind and status.
func (fleet *fleet) served(entries greengageroute.Set[string], from, to time.Time) (count int, share float64, outcomes string) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	served, counts := 0, map[string]int{}
	for _, try := range fleet.tries {
		if !entries.Has(try.entry.name) || try.at.Before(from) || try.at.After(to) {
			continue
		}
		count++
		if try.served {
			served++
		}
		counts[fmt.Sprintf("%s %d", try.kind, try.status)]++
	}
	text := strings.Builder{}
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&text, "%s: %d; ", key, counts[key])
	}
	return count, float64(served) / float64(max(count, 1)), text.String()
}

// counts returns the sums of the entries' counters of forwarded requests.
func (fleet *fleet) counts() string {
	text := strings.Builder{}
	for _, name := range []string{CountForwarded, CountHelpersRefused, CountHelpersUnreached, CountNoHelper} {
		fmt.Fprintf(&text, "%s: %d; ", name, fleet.count(name))
	}
	return text.String()
}

// count returns the sum of a counter of all running entries.
func (fleet *fleet) count(name string) (sum int64) {
	for _, entry := range fleet.all() {
		if process, _ := entry.running(); process != nil {
			if counter, counted := process.counters.Get(name).(*expvar.Int); counted {
				sum += counter.Value()
			}
		}
	}
	return sum
}

// dials returns how many connections to targets all running entries made.
func (fleet *fleet) dials() (sum int) {
	for _, entry := range fleet.all() {
		if process, _ := entry.running(); process != nil {
			process.mu.Lock()
			sum += process.dials
			process.mu.Unlock()
		}
	}
	return sum
}
