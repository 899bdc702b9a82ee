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
	// sendInterval is how often an entry sends its load when nothing changes.
	sendInterval = 250 * time.Millisecond
	// minSendInterval merges load changes that follow each other closely. An engine
	// prefills prompts in iterations of about 80 ms: entries that choose the same
	// replica within one iteration have to know of each other.
	minSendInterval = 12 * time.Millisecond
	// freshness is how long the loads of a peer's last message count.
	freshness = 800 * time.Millisecond
	// liveTimeout is how long a peer counts as live after its last message. It allows
	// for several lost datagrams.
	liveTimeout = 1500 * time.Millisecond
	// reachableTimeout is how long a data centre counts as reachable after the last
	// message of one of its entries: three send intervals.
	reachableTimeout = 750 * time.Millisecond
	// unresponsiveSendInterval is how often an entry sends to a peer that doesn't
	// respond.
	unresponsiveSendInterval = 3 * time.Second
	// updateRepeatTime is how long an update is included in every message.
	updateRepeatTime = time.Second
	// maxUpdates is how many updates of a kind a message carries, so that a fabric
	// domain that goes dark at once leaves room for the loads.
	maxUpdates = 16
	// maxCrashUpdates is the same for reports of crashes and for causes that are refused,
	// which are longer. Of the latter, those of the latest crashes are sent.
	maxCrashUpdates = 8
	// minCapacity is assumed for entries whose VM's cores are not known.
	minCapacity = 0.05
	// verdictInterval is how often the entry sends the causes that it refuses.
	verdictInterval = time.Second
)

type (
	// Source provides the state that this entry sends to its peers.
	Source interface {
		// Loads returns the entry's own load at each target.
		Loads() []Load
		// Limits returns the limits of targets that the entry knows, with its own requests.
		Limits() []TargetLimit
		// Lease returns the planner's lease if this entry holds it or has released it, else
		// a zero update.
		Lease() LeaseUpdate
		// HasTraffic reports whether this entry has received requests.
		HasTraffic() bool
		// ReadsStore reports whether the entry reads the store itself.
		ReadsStore() bool
		// ConfigVersion returns the version of the config that this entry follows, or 0.
		ConfigVersion() uint64
		// Isolated reports whether most targets don't respond to this entry.
		Isolated() bool
		// LostPools returns the pools whose targets don't respond to this entry, sorted.
		LostPools() []string
		// Quarantined returns the causes of crashes that this entry refuses.
		Quarantined() []greengageroute.QuarantineVerdict
	}

	// Sink handles the updates that come from other entries.
	Sink interface {
		TargetsUnreachable(from string, unreachable []TargetInstance)
		// TargetsResponding receives targets that respond again.
		TargetsResponding(from string, responding []TargetInstance)
		// ReplicasSuspected receives heads of replicas that may have lost a member.
		ReplicasSuspected(from string, heads []TargetInstance)
		TargetsSlow(from string, slow []TargetInstance)
		TargetsLeaving(from string, leaving []TargetInstance)
		// TargetsCold receives targets that said in a response that they are cold.
		TargetsCold(from string, cold []ColdReport)
		CrashesReported(from string, crashes []greengageroute.CrashReport)
		CausesFoundSound(from string, causes []greengageroute.CrashCause)
		CausesQuarantined(from string, verdicts []greengageroute.QuarantineVerdict)
		LeaseUpdated(update LeaseUpdate)
	}

	// PacketConn sends and receives datagrams; *net.UDPConn implements it.
	PacketConn interface {
		ReadFromUDPAddrPort(buffer []byte) (size int, sender netip.AddrPort, err error)
		WriteToUDPAddrPort(datagram []byte, recipient netip.AddrPort) (int, error)
		LocalAddr() net.Addr
		Close() error
	}

	// Node exchanges messages between this entry and its peers, the other entries.
	Node struct {
		self         Message
		conn         PacketConn
		clock        greengageroute.Clock
		source       Source
		sink         Sink
		countFailure func() // of sending or decoding a datagram

		mu            sync.Mutex
		sequence      uint64
		leaving       bool // this entry is stopping
		peers         map[string]*peer
		reportedLoads []Load // as last sent to the relays
		// reportedLimits are the limits as last sent to the relays.
		reportedLimits   []TargetLimit
		limitsReportedAt time.Time
		peerAddedAt      time.Time // when a peer from the store's list was last added
		unreachable      []timestamped[TargetInstance]
		responding       []timestamped[TargetInstance]
		suspected        []timestamped[TargetInstance]
		slow             []timestamped[TargetInstance]
		targetsLeaving   []timestamped[TargetInstance]
		cold             []timestamped[ColdReport]
		seat             greengageroute.Seat // as of the peers known so far
		crashes          []timestamped[greengageroute.CrashReport]
		sound            []timestamped[greengageroute.CrashCause]
		verdictsAt       time.Time          // when the refused causes were last sent
		forwarded        map[any]time.Time  // updates that this relay has forwarded
		newestLease      LeaseUpdate        // newest lease among the received messages
		rankings         map[string]ranking // by data centre
		sendRequested    chan struct{}
		// named is when a relay last named an entry as a helper, and avoided when an entry last
		// couldn't help.
		named, avoided map[helperKey]time.Time
		helpersNamedAt [messageKinds]time.Time
		helpersTurn    [messageKinds]int
		// nextLoads is the target from which the next message of a kind continues the
		// loads.
		nextLoads [messageKinds]string
	}

	peer struct {
		own             Message // last message that is about the peer alone
		summary         Message // last message that covers other entries too
		address         netip.AddrPort
		receivedAt      time.Time // zero until the first message
		announcedAt     time.Time // when the last announcement of the peer came
		unansweredSince time.Time // start of the current attempt to contact it; zero once it responds
		sentAt          time.Time
	}

	timestamped[T any] struct {
		value T
		at    time.Time
	}
)

// Listen opens the UDP socket that Run serves. It calls countFailure for each
// datagram that can't be sent or decoded.
func Listen(name, dataCentre, address string, capacity float64, clock greengageroute.Clock, countFailure func()) (*Node, error) {
	listenAddress, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, trace.Wrap(err, "resolving the address for peers %q", address)
	}
	conn, err := net.ListenUDP("udp4", listenAddress)
	if err != nil {
		return nil, trace.Wrap(err, "listening for peers on UDP %s", address)
	}
	return NewNode(name, dataCentre, capacity, conn, clock, countFailure), nil
}

// NewNode returns a node that sends and receives on a connection. It calls countFailure as
// that of Listen does.
func NewNode(name, dataCentre string, capacity float64, conn PacketConn, clock greengageroute.Clock, countFailure func()) *Node {
	return &Node{
		self: Message{From: name, Address: conn.LocalAddr().String(), DataCentre: dataCentre, Capacity: capacity},
		conn: conn, clock: clock, countFailure: countFailure, peers: map[string]*peer{},
		forwarded: map[any]time.Time{}, rankings: map[string]ranking{}, sendRequested: make(chan struct{}, 1),
		named: map[helperKey]time.Time{}, avoided: map[helperKey]time.Time{},
	}
}

// Address returns the IP:port that other entries send to.
func (node *Node) Address() string { return node.self.Address }

// Run exchanges messages until the context ends.
func (node *Node) Run(ctx context.Context, source Source, sink Sink) {
	node.mu.Lock()
	node.source, node.sink = source, sink
	node.mu.Unlock()
	defer node.conn.Close()
	go node.receive()
	timer := time.NewTimer(sendInterval)
	defer timer.Stop()
	sentAt := time.Now()
	for {
		timer.Reset(node.nextSendInterval())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-node.sendRequested:
			time.Sleep(minSendInterval - min(minSendInterval, time.Since(sentAt)))
		}
		sentAt = time.Now()
		node.sendMessages()
	}
}

// LoadChanged has the load sent to the peers soon.
func (node *Node) LoadChanged() {
	node.mu.Lock()
	isRelay := !node.isFullMesh() && node.rank(node.clock.Now()) < relaysPerDataCentre
	node.mu.Unlock()
	if !isRelay { // a relay sends often enough anyway
		node.requestSend()
	}
}

// Leave notifies the peers, now and with all later messages, that this entry is stopping.
func (node *Node) Leave() {
	node.mu.Lock()
	node.leaving = true
	node.mu.Unlock()
	node.sendMessages()
}

// AddPeer adds an entry that the store lists.
func (node *Node) AddPeer(name, dataCentre, address string, capacity float64) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || name == node.self.From {
		return
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	if known, found := node.peers[name]; found && known.address == parsed {
		return
	}
	node.peerAddedAt = node.clock.Now()
	clear(node.rankings)
	node.peers[name] = &peer{address: parsed, own: Message{From: name, DataCentre: dataCentre, Address: address, Capacity: capacity}}
}

// ReportUnreachable notifies the peers at once of targets that were found unreachable.
func (node *Node) ReportUnreachable(unreachable ...TargetInstance) {
	node.mu.Lock()
	withdraw(&node.responding, unreachable)
	node.mu.Unlock()
	report(node, &node.unreachable, unreachable)
}

// ReportResponding notifies the peers at once of targets that were found unreachable and
// respond again.
func (node *Node) ReportResponding(responding ...TargetInstance) {
	node.mu.Lock()
	withdraw(&node.unreachable, responding)
	node.mu.Unlock()
	report(node, &node.responding, responding)
}

// withdraw removes targets from the updates, as a newer one says the opposite.
func withdraw(updates *[]timestamped[TargetInstance], instances []TargetInstance) {
	*updates = slices.DeleteFunc(*updates, func(update timestamped[TargetInstance]) bool { return slices.Contains(instances, update.value) })
}

// ReportSlow notifies the peers at once of targets that reported themselves as slow.
func (node *Node) ReportSlow(slow ...TargetInstance) { report(node, &node.slow, slow) }

// ReportSuspected notifies the peers at once of heads of replicas that may have lost a member.
func (node *Node) ReportSuspected(heads ...TargetInstance) { report(node, &node.suspected, heads) }

// ReportLeaving notifies the peers at once of targets that say that they are leaving.
func (node *Node) ReportLeaving(leaving ...TargetInstance) {
	report(node, &node.targetsLeaving, leaving)
}

// ReportCrash notifies the peers at once that a target crashed during a request.
func (node *Node) ReportCrash(crash greengageroute.CrashReport) {
	report(node, &node.crashes, []greengageroute.CrashReport{crash})
}

// ReportSound notifies the peers at once of causes that crash no targets.
func (node *Node) ReportSound(causes ...greengageroute.CrashCause) {
	report(node, &node.sound, causes)
}

// report adds to the updates of a kind, which the node's lock guards, and has them sent at
// once.
func report[T any](node *Node, updates *[]timestamped[T], added []T) {
	node.mu.Lock()
	for _, value := range added {
		*updates = append(*updates, timestamped[T]{value, node.clock.Now()})
	}
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
	if announcement := node.relayAnnouncement(now); announcement != nil {
		return announcement.LiveEntries
	}
	return 1
}

// HasTraffic reports whether any peer has received requests.
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

// NewestConfig returns the highest version of the config that a live peer follows, or 0.
// It isn't known while this entry has peers and hasn't had the time to hear from one.
func (node *Node) NewestConfig() (version uint64, known bool) {
	now := node.clock.Now()
	node.mu.Lock()
	defer node.mu.Unlock()
	known = len(node.peers) == 0 || !node.discoveringPeers(now)
	for _, other := range node.peers {
		if other.isLive(now) {
			version, known = max(version, other.own.ConfigVersion, other.summary.ConfigVersion), true
		}
	}
	return version, known
}

// Loads returns the load of all peers together, by target.
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
	local := node.sumLoads(nil, now, node.inDataCentre)
	addLoads(loads, node.addRemoteLoads(local, now), 1)
	return loads
}

// TotalLoads returns the load of all entries together, by target.
func (node *Node) TotalLoads() map[string]greengageroute.EngineLoad {
	loads := node.Loads()
	addLoads(loads, node.source.Loads(), 1)
	return loads
}

// addLoads adds loads to sums if sign is 1, and subtracts them if it is -1.
func addLoads(sums map[string]greengageroute.EngineLoad, loads []Load, sign int) {
	for _, load := range loads {
		sum := sums[load.Target]
		sum.Running = max(sum.Running+sign*load.Running, 0)
		sum.PrefillTokens = max(sum.PrefillTokens+sign*load.PrefillTokens, 0)
		sums[load.Target] = sum
	}
}

// Reaches reports whether messages come from entries of a data centre. It is true
// of this entry's own data centre.
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

// Active reports whether a target has sent data to this or another entry within
// the given time.
func (node *Node) Active(target string, within time.Duration) bool {
	now := node.clock.Now()
	own := node.source.Loads()
	node.mu.Lock()
	defer node.mu.Unlock()
	if activeWithin(own, target, within) {
		return true
	}
	for _, other := range node.peers {
		remaining := within - now.Sub(other.receivedAt)
		if activeWithin(other.own.Loads, target, remaining) || activeWithin(other.summary.Loads, target, remaining) {
			return true
		}
	}
	return false
}

// Busy returns the targets at which this or another entry has requests in progress.
func (node *Node) Busy() greengageroute.Set[string] {
	now := node.clock.Now()
	busy := greengageroute.Set[string]{}
	for _, load := range node.source.Loads() {
		busy.Add(load.Target)
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	for _, other := range node.peers {
		if now.Sub(other.receivedAt) < freshness {
			for _, load := range slices.Concat(other.own.Loads, other.summary.Loads) {
				busy.Add(load.Target)
			}
		}
	}
	return busy
}

func activeWithin(loads []Load, target string, within time.Duration) bool {
	return slices.ContainsFunc(loads, func(load Load) bool {
		return load.Target == target && time.Duration(load.IdleMillis)*time.Millisecond < within
	})
}

func (other *peer) isLive(now time.Time) bool {
	return other.responds(now) && !other.own.Leaving
}

// responds reports whether a message of the peer, which may be stopping, came recently.
func (other *peer) responds(now time.Time) bool {
	return !other.receivedAt.IsZero() && now.Sub(other.receivedAt) < liveTimeout
}

func (node *Node) sendMessages() {
	now := node.clock.Now()
	node.mu.Lock()
	message, source := node.self, node.source
	message.Leaving = node.leaving
	node.mu.Unlock()
	message.Loads, message.Lease, message.HasTraffic = source.Loads(), source.Lease(), source.HasTraffic()
	message.ReadsStore = source.ReadsStore()
	message.Limits, message.ConfigVersion, message.Isolated = source.Limits(), source.ConfigVersion(), source.Isolated()
	message.Lost = limitedPools(source.LostPools())
	verdicts := source.Quarantined()
	node.mu.Lock()
	node.self.ReadsStore = message.ReadsStore
	node.sequence++
	message.Sequence = node.sequence
	node.unreachable, message.Unreachable = currentUpdates(node.unreachable, now, node.sequence, maxUpdates)
	node.responding, message.Responding = currentUpdates(node.responding, now, node.sequence, maxUpdates)
	node.suspected, message.Suspected = currentUpdates(node.suspected, now, node.sequence, maxUpdates)
	node.slow, message.Slow = currentUpdates(node.slow, now, node.sequence, maxUpdates)
	node.targetsLeaving, message.TargetsLeaving = currentUpdates(node.targetsLeaving, now, node.sequence, maxUpdates)
	node.cold, message.Cold = currentColdReports(node.cold, now, node.sequence)
	node.crashes, message.Crashes = currentUpdates(node.crashes, now, node.sequence, maxCrashUpdates)
	node.sound, message.Sound = currentUpdates(node.sound, now, node.sequence, maxUpdates)
	if now.Sub(node.verdictsAt) >= verdictInterval {
		message.Quarantined = verdicts[:min(len(verdicts), maxCrashUpdates)]
		node.verdictsAt = now
	}
	messages := node.outgoingMessages(message, now)
	node.mu.Unlock()
	for _, toSend := range messages {
		node.send(toSend)
	}
}

func (node *Node) send(toSend outgoing) {
	node.mu.Lock()
	from := node.nextLoads[toSend.kind]
	node.mu.Unlock()
	datagram, next, err := toSend.message.Encode(from)
	if err != nil {
		node.countFailure()
		return
	}
	node.mu.Lock()
	node.nextLoads[toSend.kind] = next
	node.mu.Unlock()
	slices.SortFunc(toSend.recipients, func(a, b netip.AddrPort) int { return a.Compare(b) })
	for _, recipient := range toSend.recipients {
		if _, err := node.conn.WriteToUDPAddrPort(datagram, recipient); err != nil {
			node.countFailure()
		}
	}
}

// currentUpdates returns the updates that are still to be repeated, and those for the
// next message. If there are more than the limit, successive turns send all of them.
func currentUpdates[T any](updates []timestamped[T], now time.Time, turn, limit uint64) (current []timestamped[T], next []T) {
	current = slices.DeleteFunc(updates, func(update timestamped[T]) bool { return now.Sub(update.at) > updateRepeatTime })
	batches := (uint64(len(current)) + limit - 1) / limit
	for i, update := range current {
		if uint64(i)%batches == turn%batches {
			next = append(next, update.value)
		}
	}
	return current, next
}

func (node *Node) receive() {
	datagram := make([]byte, 2*maxDatagram)
	for {
		size, _, err := node.conn.ReadFromUDPAddrPort(datagram)
		if err != nil {
			return // Run has closed the socket
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
	address, err := netip.ParseAddrPort(message.Address)
	if err != nil {
		node.countFailure()
		return
	}
	node.mu.Lock()
	sender, found := node.peers[message.From]
	if !found || sender.address != address {
		sender = &peer{address: address}
		node.peers[message.From] = sender
	}
	now := node.clock.Now()
	if !sender.isLive(now) || message.Leaving != sender.own.Leaving {
		clear(node.rankings)
	}
	age := now.Sub(sender.receivedAt)
	sender.receivedAt, sender.unansweredSince = now, time.Time{}
	if message.LiveEntries > 0 {
		if message.AllEntries {
			if now.Sub(sender.announcedAt) >= freshness || !slices.Equal(message.Relays, sender.summary.Relays) {
				clear(node.rankings)
			}
			sender.announcedAt = now
		}
		sender.summary = message.withOtherRanges(sender.summary, age)
	}
	if message.LiveEntries == 0 || sender.own.From == "" {
		sender.own = message.senderState(message.LiveEntries > 0).withOtherRanges(sender.own, age)
	}
	// Of a relay, most entries receive summaries alone.
	sender.own.Leaving, sender.own.Isolated, sender.own.Lost = message.Leaving, message.Isolated, message.Lost
	node.recordNamed(message, now)
	node.forwardUpdates(message)
	node.mu.Unlock()
	if message.Lease.Fence > 0 {
		node.sink.LeaseUpdated(message.Lease)
	}
	if len(message.Unreachable) > 0 {
		node.sink.TargetsUnreachable(message.From, message.Unreachable)
	}
	if len(message.Responding) > 0 {
		node.sink.TargetsResponding(message.From, message.Responding)
	}
	if len(message.Suspected) > 0 {
		node.sink.ReplicasSuspected(message.From, message.Suspected)
	}
	if len(message.Slow) > 0 {
		node.sink.TargetsSlow(message.From, message.Slow)
	}
	if len(message.TargetsLeaving) > 0 {
		node.sink.TargetsLeaving(message.From, message.TargetsLeaving)
	}
	if len(message.Cold) > 0 {
		node.sink.TargetsCold(message.From, message.Cold)
	}
	if len(message.Crashes) > 0 {
		node.sink.CrashesReported(message.From, message.Crashes)
	}
	if len(message.Sound) > 0 {
		node.sink.CausesFoundSound(message.From, message.Sound)
	}
	if len(message.Quarantined) > 0 {
		node.sink.CausesQuarantined(message.From, message.Quarantined)
	}
}
