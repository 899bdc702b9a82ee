package mesh

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

const (
	// directLimit is the number of entries up to which each tells every other: at
	// 24 an entry sends about 250 datagrams a second. Beyond, a few relays of each
	// data centre add up what its entries tell.
	fullMeshLimit = 24
	// relaysEach is how many entries of a data centre are relays: one works, one
	// stands by.
	relaysPerDataCentre = 2
	// relayPeriod is how often a relay tells: about a pass of an engine.
	relaySendInterval = 60 * time.Millisecond
	// standInAfter is the silence after which the second relay takes over.
	relayTakeoverTimeout = 250 * time.Millisecond
	// spreadFor is how long a relay remembers the news that it has passed on.
	forwardedTTL = 5 * time.Second
)

type (
	// letter is one message and who gets it.
	outgoing struct {
		message    Message
		recipients []netip.AddrPort
	}

	// slowNews tells news of a slow target from that of its loss.
	slowUpdate TargetInstance
)

// pause returns how long the node waits before it tells again.
func (node *Node) nextSendInterval() time.Duration {
	node.mu.Lock()
	defer node.mu.Unlock()
	if !node.isFullMesh() && node.rank(node.clock.Now()) < relaysPerDataCentre {
		return relaySendInterval
	}
	return sendInterval
}

// letters returns whom to tell what. The caller holds the lock.
func (node *Node) outgoingMessages(message Message, now time.Time) []outgoing {
	if node.isFullMesh() {
		return []outgoing{{message, node.reachableAddresses(now, anyPeer)}}
	}
	place := node.rank(now)
	ranked := node.rankedEntries(node.self.DataCentre, now)
	relays := ranked[:min(relaysPerDataCentre, len(ranked))]
	letters := []outgoing{{message, node.markContacted(now, func(other *peer) bool { return containsPeer(other, relays) })}}
	node.reportedLoads = message.Loads
	if place >= relaysPerDataCentre {
		return letters
	}
	digest := message
	if digest.Lease.Holder == "" {
		digest.Lease = node.newestLease
	}
	digest.HasTraffic = digest.HasTraffic || node.anyPeerHasTraffic()
	digest.Loads, digest.LiveEntries = node.sumLoads(message.Loads, now, node.inDataCentre), node.countLiveLocal(now)
	letters = append(letters, outgoing{digest, node.markContacted(now, func(other *peer) bool { return node.isRemoteRelay(other, now) })})
	if place > 0 && node.firstRelayActive(now) {
		return letters
	}
	digest.Loads = node.addRemoteLoads(digest.Loads, now)
	digest.LiveEntries, digest.AllEntries = digest.LiveEntries+node.countLiveRemote(now), true
	same := true
	readers, _ := node.storeReaders(now)
	for i, relay := range relays {
		digest.Relays = append(digest.Relays, RelayInfo{Name: relay.From, Address: relay.Address})
		same = same && i < len(readers) && readers[i] == relay.Address
	}
	if !same {
		digest.Readers = readers
	}
	return append(letters, outgoing{digest, node.reachableAddresses(now, node.inDataCentre)})
}

func anyPeer(*peer) bool { return true }

func (node *Node) anyPeerHasTraffic() bool {
	for _, other := range node.peers {
		if other.own.HasTraffic || other.summary.HasTraffic {
			return true
		}
	}
	return false
}

func (node *Node) inDataCentre(other *peer) bool {
	return other.own.DataCentre == node.self.DataCentre
}

// receivers returns the addresses of the peers to be told, less those that seem to
// be dead.
func (node *Node) reachableAddresses(now time.Time, wanted func(*peer) bool) []netip.AddrPort {
	return node.markContacted(now, func(other *peer) bool {
		return wanted(other) && (other.mayBeLive(now) || now.Sub(other.sentAt) > unresponsiveSendInterval)
	})
}

// addresses returns the addresses of the wanted peers and notes that they are
// written to.
func (node *Node) markContacted(now time.Time, wanted func(*peer) bool) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, other := range node.peers {
		if !wanted(other) {
			continue
		}
		if !other.isLive(now) && (other.unansweredSince.IsZero() || now.Sub(other.unansweredSince) > unresponsiveSendInterval) {
			other.unansweredSince = now
		}
		other.sentAt = now
		addresses = append(addresses, other.address)
	}
	return addresses
}

// sum adds the loads that some peers have themselves to the given ones.
func (node *Node) sumLoads(loads []Load, now time.Time, wanted func(*peer) bool) []Load {
	lists := [][]Load{loads}
	for _, other := range node.peers {
		if wanted(other) && now.Sub(other.receivedAt) < freshness {
			lists = append(lists, other.own.Loads)
		}
	}
	return mergeLoads(lists)
}

// addElsewhere adds what the relays of other data centres say of these.
func (node *Node) addRemoteLoads(loads []Load, now time.Time) []Load {
	lists := [][]Load{loads}
	for _, other := range node.peers {
		if now.Sub(other.receivedAt) < freshness && !other.summary.AllEntries && node.isFirstRemoteRelay(other, now) {
			lists = append(lists, other.summary.Loads)
		}
	}
	return mergeLoads(lists)
}

// merge adds up loads by target.
func mergeLoads(lists [][]Load) []Load {
	sums := map[string]Load{}
	for _, load := range slices.Concat(lists...) {
		sum, known := sums[load.Target]
		sum.Target, sum.Running, sum.PrefillTokens = load.Target, sum.Running+load.Running, sum.PrefillTokens+load.PrefillTokens
		if !known || load.IdleMillis < sum.IdleMillis {
			sum.IdleMillis = load.IdleMillis
		}
		sums[load.Target] = sum
	}
	return slices.Collect(maps.Values(sums))
}

// loadsByRelay returns what the others have under way by a relay's word, which
// counts what this entry told the relays last.
func (node *Node) loadsFromRelay(now time.Time) map[string]greengageroute.EngineLoad {
	loads := map[string]greengageroute.EngineLoad{}
	if word := node.relayAnnouncement(now); word != nil {
		addLoads(loads, word.Loads, 1)
		addLoads(loads, node.reportedLoads, -1)
	}
	return loads
}

// liveHere counts the live entries of this data centre, or of all where all tell
// each other.
func (node *Node) countLiveLocal(now time.Time) int {
	live := 1
	for _, other := range node.peers {
		if (node.isFullMesh() || node.inDataCentre(other)) && other.isLive(now) {
			live++
		}
	}
	return live
}

// liveElsewhere counts the live entries of other data centres by their relays.
func (node *Node) countLiveRemote(now time.Time) int {
	live := 0
	for _, other := range node.peers {
		if !node.isFullMesh() && other.isLive(now) && node.isFirstRemoteRelay(other, now) {
			live += other.summary.LiveEntries
		}
	}
	return live
}

// passOn has a relay repeat news that it hears for the first time.
func (node *Node) forwardUpdates(message Message) {
	if lease := message.Lease; lease.Fence > node.newestLease.Fence || lease.Fence == node.newestLease.Fence && lease.Renewals > node.newestLease.Renewals {
		node.newestLease = lease
	}
	now := node.clock.Now()
	if node.isFullMesh() || node.rank(now) >= relaysPerDataCentre {
		return
	}
	for _, lost := range message.Lost {
		if node.isNew(lost, now) {
			node.lost = append(node.lost, timestamped[TargetInstance]{lost, now})
		}
	}
	for _, slow := range message.Slow {
		if node.isNew(slowUpdate(slow), now) {
			node.slow = append(node.slow, timestamped[TargetInstance]{slow, now})
		}
	}
	for _, crash := range message.Crashes {
		if node.isNew(crash, now) {
			node.crashes = append(node.crashes, timestamped[CrashReport]{crash, now})
		}
	}
}

func (node *Node) isNew(news any, now time.Time) bool {
	maps.DeleteFunc(node.forwarded, func(_ any, at time.Time) bool { return now.Sub(at) > forwardedTTL })
	_, known := node.forwarded[news]
	node.forwarded[news] = now
	return !known
}
