package mesh

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
)

const (
	// period is how often an entry tells its load when nothing changes.
	sendInterval = 250 * time.Millisecond
	// minPeriod joins changes of the load that come together. A replica reads
	// prompts in passes of about 80 ms: entries that choose one within a pass have
	// to know of each other.
	minSendInterval = 12 * time.Millisecond
	// freshFor is how long a peer's load counts.
	freshness = 800 * time.Millisecond
	// liveFor is how long a silent peer counts as live: several lost datagrams.
	liveTimeout = 1500 * time.Millisecond
	// reachedWithin is how recent a word shows that a data centre isn't cut off:
	// three periods.
	reachableTimeout = 750 * time.Millisecond
	// quietPeriod is how often a silent peer is written to.
	unresponsiveSendInterval = 3 * time.Second
	// repeatNews is how long news goes along with every message.
	updateRepeatTime = time.Second
)

type (
	// Source gives what this entry tells the others.
	Source interface {
		// Loads returns what the entry has under way.
		Loads() []Load
		// Lease returns the planner's lease if this entry holds it.
		Lease() LeaseUpdate
		// HasTraffic reports whether requests have come.
		HasTraffic() bool
		// ReadsStore reports whether the entry reads the store itself.
		ReadsStore() bool
	}

	// Sink takes what other entries tell.
	Sink interface {
		TargetsLost(from string, lost []TargetInstance)
		TargetsSlow(from string, slow []TargetInstance)
		CrashesReported(from string, crashes []CrashReport)
		LeaseUpdated(news LeaseUpdate)
	}

	// Node is this entry's place among the others.
	Node struct {
		self         Message
		conn         *net.UDPConn
		clock        greengageroute.Clock
		source       Source
		sink         Sink
		countFailure func() // counts datagrams that could not be sent or read

		mu            sync.Mutex
		sequence      uint64
		peers         map[string]*peer
		reportedLoads []Load    // as last told to the relays
		peerAddedAt   time.Time // when a peer was last learned of
		lost          []timestamped[TargetInstance]
		slow          []timestamped[TargetInstance]
		crashes       []timestamped[CrashReport]
		forwarded     map[any]time.Time // news that this relay has passed on
		newestLease   LeaseUpdate       // the newest heard
		sendRequested chan struct{}
	}

	peer struct {
		own             Message // the last about itself
		summary         Message // the last for others
		address         netip.AddrPort
		receivedAt      time.Time // zero until a message has come
		announcedAt     time.Time // when its last word for all entries came
		unansweredSince time.Time // when it was first written to without a sign of life since
		sentAt          time.Time
	}

	timestamped[T any] struct {
		value T
		at    time.Time
	}
)

// Listen opens the socket. Run serves it.
func Listen(name, dataCentre, address string, capacity float64, clock greengageroute.Clock, failed func()) (*Node, error) {
	place, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, trace.Wrap(err, "the peer address %q", address)
	}
	conn, err := net.ListenUDP("udp4", place)
	if err != nil {
		return nil, trace.Wrap(err, "listening for peers at %s", address)
	}
	return &Node{
		self: Message{From: name, Address: conn.LocalAddr().String(), DataCentre: dataCentre, Capacity: capacity},
		conn: conn, clock: clock, countFailure: failed, peers: map[string]*peer{},
		forwarded: map[any]time.Time{}, sendRequested: make(chan struct{}, 1),
	}, nil
}

// Address returns the address that other entries write to.
func (node *Node) Address() string { return node.self.Address }

// Run exchanges messages until the context ends.
func (node *Node) Run(ctx context.Context, source Source, sink Sink) {
	node.source, node.sink = source, sink
	stop := context.AfterFunc(ctx, func() { node.conn.Close() })
	defer stop()
	go node.receive()
	timer := time.NewTimer(sendInterval)
	defer timer.Stop()
	told := time.Now()
	for {
		timer.Reset(node.nextSendInterval())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-node.sendRequested:
			time.Sleep(minSendInterval - min(minSendInterval, time.Since(told)))
		}
		told = time.Now()
		node.sendMessages(false)
	}
}

// LoadChanged has the peers told soon.
func (node *Node) LoadChanged() {
	node.mu.Lock()
	relay := !node.isFullMesh() && node.rank(node.clock.Now()) < relaysPerDataCentre
	node.mu.Unlock()
	if !relay {
		node.requestSend() // a relay tells often enough as it is
	}
}

// Leave tells the peers that this entry takes no more part.
func (node *Node) Leave() { node.sendMessages(true) }

// AddPeer adds peers that the store lists.
func (node *Node) AddPeer(name, dataCentre, address string, capacity float64) {
	place, err := netip.ParseAddrPort(address)
	if err != nil || name == node.self.From {
		return
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	if known, found := node.peers[name]; found && known.address == place {
		return
	}
	node.peerAddedAt = node.clock.Now()
	node.peers[name] = &peer{address: place, own: Message{From: name, DataCentre: dataCentre, Address: address, Capacity: capacity}}
}

// ReportLost tells the peers at once that targets are dead.
func (node *Node) ReportLost(lost ...TargetInstance) {
	node.mu.Lock()
	for _, one := range lost {
		node.lost = append(node.lost, timestamped[TargetInstance]{one, node.clock.Now()})
	}
	node.mu.Unlock()
	node.requestSend()
}

// ReportSlow tells the peers at once that targets said that they are slow.
func (node *Node) ReportSlow(slow ...TargetInstance) {
	node.mu.Lock()
	for _, one := range slow {
		node.slow = append(node.slow, timestamped[TargetInstance]{one, node.clock.Now()})
	}
	node.mu.Unlock()
	node.requestSend()
}

// ReportCrash tells the peers at once that a target died under a request.
func (node *Node) ReportCrash(report CrashReport) {
	node.mu.Lock()
	node.crashes = append(node.crashes, timestamped[CrashReport]{report, node.clock.Now()})
	node.mu.Unlock()
	node.requestSend()
}

func (node *Node) requestSend() {
	select {
	case node.sendRequested <- struct{}{}:
	default:
	}
}

// LiveEntries returns how many entries are live, this one included.
func (node *Node) LiveEntries() int {
	now := node.clock.Now()
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.isFullMesh() || node.rank(now) < relaysPerDataCentre {
		return node.countLiveLocal(now) + node.countLiveRemote(now)
	}
	if word := node.relayAnnouncement(now); word != nil {
		return word.LiveEntries
	}
	return 1
}

// HasTraffic reports whether requests have come to any peer.
func (node *Node) HasTraffic() bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	for _, other := range node.peers {
		if other.own.HasTraffic || other.summary.HasTraffic {
			return true
		}
	}
	return false
}

// Loads returns what the peers together have under way, by target.
func (node *Node) Loads() map[string]greengageroute.EngineLoad {
	now := node.clock.Now()
	node.mu.Lock()
	defer node.mu.Unlock()
	if !node.isFullMesh() && node.rank(now) >= relaysPerDataCentre {
		return node.loadsFromRelay(now)
	}
	loads := map[string]greengageroute.EngineLoad{}
	if node.isFullMesh() {
		addLoads(loads, node.sumLoads(nil, now, anyPeer), 1)
		return loads
	}
	here := node.sumLoads(nil, now, node.inDataCentre)
	addLoads(loads, node.addRemoteLoads(here, now), 1)
	return loads
}

func addLoads(sums map[string]greengageroute.EngineLoad, loads []Load, sign int) {
	for _, load := range loads {
		sum := sums[load.Target]
		sum.Running = max(sum.Running+sign*load.Running, 0)
		sum.PrefillTokens = max(sum.PrefillTokens+sign*load.PrefillTokens, 0)
		sums[load.Target] = sum
	}
}

// Reaches tells whether entries of a data centre are heard.
func (node *Node) Reaches(dataCentre string) bool {
	now := node.clock.Now()
	node.mu.Lock()
	defer node.mu.Unlock()
	for _, other := range node.peers {
		if other.own.DataCentre == dataCentre && !other.receivedAt.IsZero() && now.Sub(other.receivedAt) < reachableTimeout {
			return true
		}
	}
	return dataCentre == node.self.DataCentre
}

// Active reports whether this or another entry has heard from a target lately.
func (node *Node) Active(target string, within time.Duration) bool {
	now := node.clock.Now()
	own := node.source.Loads()
	node.mu.Lock()
	defer node.mu.Unlock()
	if activeWithin(own, target, within) {
		return true
	}
	for _, other := range node.peers {
		left := within - now.Sub(other.receivedAt)
		if activeWithin(other.own.Loads, target, left) || activeWithin(other.summary.Loads, target, left) {
			return true
		}
	}
	return false
}

func activeWithin(loads []Load, target string, within time.Duration) bool {
	return slices.ContainsFunc(loads, func(load Load) bool {
		return load.Target == target && time.Duration(load.IdleMillis)*time.Millisecond < within
	})
}

func (other *peer) isLive(now time.Time) bool {
	return !other.receivedAt.IsZero() && now.Sub(other.receivedAt) < liveTimeout && !other.own.Leaving
}

func (node *Node) sendMessages(leaving bool) {
	now := node.clock.Now()
	message := node.self
	message.Loads, message.Lease, message.HasTraffic, message.Leaving = node.source.Loads(), node.source.Lease(), node.source.HasTraffic(), leaving
	message.ReadsStore = node.source.ReadsStore()
	node.mu.Lock()
	node.self.ReadsStore = message.ReadsStore
	node.sequence++
	message.Sequence = node.sequence
	node.lost, message.Lost = dropExpired(node.lost, now)
	node.slow, message.Slow = dropExpired(node.slow, now)
	node.crashes, message.Crashes = dropExpired(node.crashes, now)
	letters := node.outgoingMessages(message, now)
	node.mu.Unlock()
	for _, letter := range letters {
		node.send(letter)
	}
}

func (node *Node) send(letter outgoing) {
	datagram, err := letter.message.Encode()
	if err != nil {
		node.countFailure()
		return
	}
	slices.SortFunc(letter.recipients, func(a, b netip.AddrPort) int { return a.Compare(b) })
	for _, receiver := range letter.recipients {
		if _, err := node.conn.WriteToUDPAddrPort(datagram, receiver); err != nil {
			node.countFailure()
		}
	}
}

// current drops what is too old to be repeated and returns the rest.
func dropExpired[T any](list []timestamped[T], now time.Time) ([]timestamped[T], []T) {
	list = slices.DeleteFunc(list, func(one timestamped[T]) bool { return now.Sub(one.at) > updateRepeatTime })
	values := make([]T, 0, len(list))
	for _, one := range list {
		values = append(values, one.value)
	}
	return list, values
}

func (node *Node) receive() {
	datagram := make([]byte, 2*maxDatagram)
	for {
		size, _, err := node.conn.ReadFromUDPAddrPort(datagram)
		if err != nil {
			return // the socket was closed: Run ends
		}
		message, err := Decode(datagram[:size])
		if err != nil || message.From == node.self.From {
			node.countFailure()
			continue
		}
		node.handleMessage(message)
	}
}

func (node *Node) handleMessage(message Message) {
	place, err := netip.ParseAddrPort(message.Address)
	if err != nil {
		node.countFailure()
		return
	}
	node.mu.Lock()
	known, found := node.peers[message.From]
	if !found || known.address != place {
		known = &peer{address: place}
		node.peers[message.From] = known
	}
	known.receivedAt, known.unansweredSince = node.clock.Now(), time.Time{}
	if message.LiveEntries > 0 {
		known.summary = message
		if message.AllEntries {
			known.announcedAt = known.receivedAt
		}
	}
	if message.LiveEntries == 0 || known.own.From == "" {
		known.own = message.senderState(message.LiveEntries > 0)
	}
	node.forwardUpdates(message)
	node.mu.Unlock()
	if message.Lease.Holder != "" {
		node.sink.LeaseUpdated(message.Lease)
	}
	if len(message.Lost) > 0 {
		node.sink.TargetsLost(message.From, message.Lost)
	}
	if len(message.Slow) > 0 {
		node.sink.TargetsSlow(message.From, message.Slow)
	}
	if len(message.Crashes) > 0 {
		node.sink.CrashesReported(message.From, message.Crashes)
	}
}
