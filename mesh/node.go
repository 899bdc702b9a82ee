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
	period = 250 * time.Millisecond
	// minPeriod joins changes of the load that come together. A replica reads
	// prompts in passes of about 80 ms: entries that choose one within a pass have
	// to know of each other.
	minPeriod = 12 * time.Millisecond
	// freshFor is how long a peer's load counts.
	freshFor = 800 * time.Millisecond
	// liveFor is how long a silent peer counts as live: several lost datagrams.
	liveFor = 1500 * time.Millisecond
	// reachedWithin is how recent a word shows that a data centre isn't cut off:
	// three periods.
	reachedWithin = 750 * time.Millisecond
	// quietPeriod is how often a silent peer is written to.
	quietPeriod = 3 * time.Second
	// repeatNews is how long news goes along with every message.
	repeatNews = time.Second
)

type (
	// Source gives what this entry tells the others.
	Source interface {
		// Loads returns what the entry has under way.
		Loads() []Load
		// Lease returns the planner's lease if this entry holds it.
		Lease() LeaseNews
		// Serving tells whether requests have come.
		Serving() bool
		// Reads tells whether the entry reads the store itself.
		Reads() bool
	}

	// Sink takes what other entries tell.
	Sink interface {
		TargetsLost(from string, lost []TargetLife)
		TargetsSlow(from string, slow []TargetLife)
		RequestsCrashed(from string, crashes []CrashReport)
		LeaseHeard(news LeaseNews)
	}

	// Node is this entry's place among the others.
	Node struct {
		self   Message
		conn   *net.UDPConn
		clock  greengageroute.Clock
		source Source
		sink   Sink
		failed func() // counts datagrams that could not be sent or read

		mu       sync.Mutex
		sequence uint64
		peers    map[string]*peer
		own      []Load    // as last told to the relays
		learned  time.Time // when a peer was last learned of
		lost     []timed[TargetLife]
		slow     []timed[TargetLife]
		crashes  []timed[CrashReport]
		spread   map[any]time.Time // news that this relay has passed on
		lease    LeaseNews         // the newest heard
		urgent   chan struct{}
	}

	peer struct {
		message Message // the last about itself
		digest  Message // the last for others
		address netip.AddrPort
		heard   time.Time // zero until a message has come
		worded  time.Time // when its last word for all entries came
		courted time.Time // when it was first written to without a sign of life since
		wrote   time.Time
	}

	timed[T any] struct {
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
		conn: conn, clock: clock, failed: failed, peers: map[string]*peer{},
		spread: map[any]time.Time{}, urgent: make(chan struct{}, 1),
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
	timer := time.NewTimer(period)
	defer timer.Stop()
	told := time.Now()
	for {
		timer.Reset(node.pause())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-node.urgent:
			time.Sleep(minPeriod - min(minPeriod, time.Since(told)))
		}
		told = time.Now()
		node.tell(false)
	}
}

// LoadChanged has the peers told soon.
func (node *Node) LoadChanged() {
	node.mu.Lock()
	relay := !node.direct() && node.place(node.clock.Now()) < relaysEach
	node.mu.Unlock()
	if !relay {
		node.hurry() // a relay tells often enough as it is
	}
}

// Leave tells the peers that this entry takes no more part.
func (node *Node) Leave() { node.tell(true) }

// Learn adds peers that the store lists.
func (node *Node) Learn(name, dataCentre, address string, capacity float64) {
	place, err := netip.ParseAddrPort(address)
	if err != nil || name == node.self.From {
		return
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	if known, found := node.peers[name]; found && known.address == place {
		return
	}
	node.learned = node.clock.Now()
	node.peers[name] = &peer{address: place, message: Message{From: name, DataCentre: dataCentre, Address: address, Capacity: capacity}}
}

// ReportLost tells the peers at once that targets are dead.
func (node *Node) ReportLost(lost ...TargetLife) {
	node.mu.Lock()
	for _, one := range lost {
		node.lost = append(node.lost, timed[TargetLife]{one, node.clock.Now()})
	}
	node.mu.Unlock()
	node.hurry()
}

// ReportSlow tells the peers at once that targets said that they are slow.
func (node *Node) ReportSlow(slow ...TargetLife) {
	node.mu.Lock()
	for _, one := range slow {
		node.slow = append(node.slow, timed[TargetLife]{one, node.clock.Now()})
	}
	node.mu.Unlock()
	node.hurry()
}

// ReportCrash tells the peers at once that a target died under a request.
func (node *Node) ReportCrash(report CrashReport) {
	node.mu.Lock()
	node.crashes = append(node.crashes, timed[CrashReport]{report, node.clock.Now()})
	node.mu.Unlock()
	node.hurry()
}

func (node *Node) hurry() {
	select {
	case node.urgent <- struct{}{}:
	default:
	}
}

// Live returns how many entries are live, this one included.
func (node *Node) Live() int {
	now := node.clock.Now()
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.direct() || node.place(now) < relaysEach {
		return node.liveHere(now) + node.liveElsewhere(now)
	}
	if word := node.relayWord(now); word != nil {
		return word.Live
	}
	return 1
}

// Serving tells whether requests have come to any peer.
func (node *Node) Serving() bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	for _, other := range node.peers {
		if other.message.Serving || other.digest.Serving {
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
	if !node.direct() && node.place(now) >= relaysEach {
		return node.loadsByRelay(now)
	}
	loads := map[string]greengageroute.EngineLoad{}
	if node.direct() {
		addLoads(loads, node.sum(nil, now, everyone), 1)
		return loads
	}
	here := node.sum(nil, now, node.inDataCentre)
	addLoads(loads, node.addElsewhere(here, now), 1)
	return loads
}

func addLoads(sums map[string]greengageroute.EngineLoad, loads []Load, sign int) {
	for _, load := range loads {
		sum := sums[load.Target]
		sum.Running = max(sum.Running+sign*load.Running, 0)
		sum.PrefillTokens = max(sum.PrefillTokens+sign*load.Reading, 0)
		sums[load.Target] = sum
	}
}

// Reaches tells whether entries of a data centre are heard.
func (node *Node) Reaches(dataCentre string) bool {
	now := node.clock.Now()
	node.mu.Lock()
	defer node.mu.Unlock()
	for _, other := range node.peers {
		if other.message.DataCentre == dataCentre && !other.heard.IsZero() && now.Sub(other.heard) < reachedWithin {
			return true
		}
	}
	return dataCentre == node.self.DataCentre
}

// Signs tells whether this or another entry has heard from a target lately.
func (node *Node) Signs(target string, within time.Duration) bool {
	now := node.clock.Now()
	own := node.source.Loads()
	node.mu.Lock()
	defer node.mu.Unlock()
	if heardFrom(own, target, within) {
		return true
	}
	for _, other := range node.peers {
		left := within - now.Sub(other.heard)
		if heardFrom(other.message.Loads, target, left) || heardFrom(other.digest.Loads, target, left) {
			return true
		}
	}
	return false
}

func heardFrom(loads []Load, target string, within time.Duration) bool {
	return slices.ContainsFunc(loads, func(load Load) bool {
		return load.Target == target && time.Duration(load.Silent)*time.Millisecond < within
	})
}

func (other *peer) live(now time.Time) bool {
	return !other.heard.IsZero() && now.Sub(other.heard) < liveFor && !other.message.Leaving
}

func (node *Node) tell(leaving bool) {
	now := node.clock.Now()
	message := node.self
	message.Loads, message.Lease, message.Serving, message.Leaving = node.source.Loads(), node.source.Lease(), node.source.Serving(), leaving
	message.Reads = node.source.Reads()
	node.mu.Lock()
	node.self.Reads = message.Reads
	node.sequence++
	message.Sequence = node.sequence
	node.lost, message.Lost = current(node.lost, now)
	node.slow, message.Slow = current(node.slow, now)
	node.crashes, message.Crashes = current(node.crashes, now)
	letters := node.letters(message, now)
	node.mu.Unlock()
	for _, letter := range letters {
		node.send(letter)
	}
}

func (node *Node) send(letter letter) {
	datagram, err := letter.message.Encode()
	if err != nil {
		node.failed()
		return
	}
	slices.SortFunc(letter.to, func(a, b netip.AddrPort) int { return a.Compare(b) })
	for _, receiver := range letter.to {
		if _, err := node.conn.WriteToUDPAddrPort(datagram, receiver); err != nil {
			node.failed()
		}
	}
}

// current drops what is too old to be repeated and returns the rest.
func current[T any](list []timed[T], now time.Time) ([]timed[T], []T) {
	list = slices.DeleteFunc(list, func(one timed[T]) bool { return now.Sub(one.at) > repeatNews })
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
			node.failed()
			continue
		}
		node.take(message)
	}
}

func (node *Node) take(message Message) {
	place, err := netip.ParseAddrPort(message.Address)
	if err != nil {
		node.failed()
		return
	}
	node.mu.Lock()
	known, found := node.peers[message.From]
	if !found || known.address != place {
		known = &peer{address: place}
		node.peers[message.From] = known
	}
	known.heard, known.courted = node.clock.Now(), time.Time{}
	if message.Live > 0 {
		known.digest = message
		if message.Total {
			known.worded = known.heard
		}
	}
	if message.Live == 0 || known.message.From == "" {
		known.message = message.withoutLoads(message.Live > 0)
	}
	node.passOn(message)
	node.mu.Unlock()
	if message.Lease.Holder != "" {
		node.sink.LeaseHeard(message.Lease)
	}
	if len(message.Lost) > 0 {
		node.sink.TargetsLost(message.From, message.Lost)
	}
	if len(message.Slow) > 0 {
		node.sink.TargetsSlow(message.From, message.Slow)
	}
	if len(message.Crashes) > 0 {
		node.sink.RequestsCrashed(message.From, message.Crashes)
	}
}
