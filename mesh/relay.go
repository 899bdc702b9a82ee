package mesh

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

const (
	// fullMeshLimit is the number of entries up to which each sends to every other:
	// with 24 entries each sends about 250 datagrams a second. In a larger fleet a few
	// relays of each data centre add up the loads of its entries.
	fullMeshLimit = 24
	// relaysPerDataCentre is how many entries of a data centre are relays: one active,
	// one standby.
	relaysPerDataCentre = 2
	// relaySendInterval is how often a relay sends: about once per iteration of an
	// engine.
	relaySendInterval = 60 * time.Millisecond
	// relayTakeoverTimeout is how long the second relay waits without a message from
	// the first before it takes over.
	relayTakeoverTimeout = 250 * time.Millisecond
	// forwardedTTL is how long after its last repetition a relay remembers an update that it
	// has forwarded, so as not to forward it again: less than until it is renewed.
	forwardedTTL = 2500 * time.Millisecond
)

// Kinds of outgoing messages.
const (
	ownMessage = iota
	summaryMessage
	announcementMessage
	messageKinds
)

type (
	// outgoing is a message and its recipients.
	outgoing struct {
		kind       int
		message    Message
		recipients []netip.AddrPort
	}

	// slowUpdate is the key of a slow target among the forwarded updates. Its own
	// type keeps it apart from the key of the same target as an unreachable one.
	slowUpdate TargetInstance

	// respondingUpdate is the key of a target that responds again.
	respondingUpdate TargetInstance

	// suspectedUpdate is the key of the head of a suspected replica.
	suspectedUpdate TargetInstance

	// leavingUpdate is the key of a leaving target among the forwarded updates.
	leavingUpdate TargetInstance

	// coldUpdate is the key of a report of a cold target among the forwarded updates.
	coldUpdate struct {
		target             string
		startUnixMilli, id int64
	}

	// crashUpdate is the key of a report among the forwarded updates.
	crashUpdate struct {
		crashID        string
		request, first greengageroute.CrashCause // first of the report's parts
	}
)

func newCrashUpdate(report greengageroute.CrashReport) crashUpdate {
	key := crashUpdate{crashID: report.CrashID, request: report.Request}
	if len(report.Parts) > 0 {
		key.first = report.Parts[0]
	}
	return key
}

// nextSendInterval returns how long the node waits before it sends again.
func (node *Node) nextSendInterval() time.Duration {
	node.mu.Lock()
	defer node.mu.Unlock()
	if !node.isFullMesh() && node.rank(node.clock.Now()) < relaysPerDataCentre {
		return relaySendInterval
	}
	return sendInterval
}

// outgoingMessages returns the messages to send, each with its recipients. In a full
// mesh the entry sends only its own message, to all peers. Otherwise it sends its own
// message to the relays of its data centre. A relay also sends a summary of its data
// centre to the relays of the others; the active relay, and the standby if the active
// one has stopped sending, sends an announcement to its own data centre. The caller
// holds the lock.
func (node *Node) outgoingMessages(message Message, now time.Time) []outgoing {
	if node.isFullMesh() {
		return []outgoing{{ownMessage, message, node.reachableAddresses(now, anyPeer)}}
	}
	rank := node.rank(now)
	ranked := node.rankedEntries(node.self.DataCentre, now)
	relays := ranked[:min(relaysPerDataCentre, len(ranked))]
	unheard := node.unheardDataCentres(now)
	messages := []outgoing{{ownMessage, message, node.markContacted(now, func(other *peer) bool {
		return containsPeer(other, relays) || node.inDataCentre(other) && unheard.Has(other.own.DataCentre) && other.retryDue(now)
	})}}
	node.reportedLoads = message.Loads
	node.reportedLimits, node.limitsReportedAt = message.Limits, now
	if rank >= relaysPerDataCentre {
		return messages
	}
	summary := message
	if node.newestLease.isNewer(summary.Lease) {
		summary.Lease = node.newestLease
	}
	summary.HasTraffic = summary.HasTraffic || node.anyPeerHasTraffic()
	summary.Limits = node.sumLimits(slices.Clone(message.Limits), now, node.inDataCentre)
	summary.Loads, summary.LiveEntries = node.sumLoads(message.Loads, now, node.inDataCentre), node.countLiveLocal(now)
	messages = append(messages, outgoing{summaryMessage, node.withHelpers(summary, now), node.markContacted(now, func(other *peer) bool {
		return node.isRemoteRelay(other, now) || !node.inDataCentre(other) && unheard.Has(other.own.DataCentre) && other.retryDue(now)
	})})
	if rank > 0 && node.firstRelayActive(now) {
		return messages
	}
	// With the other data centres added, the summary becomes the announcement.
	summary.Loads, summary.Limits = node.addRemoteLoads(summary.Loads, now), node.addRemoteLimits(slices.Clone(summary.Limits), now)
	summary.LiveEntries, summary.AllEntries = summary.LiveEntries+node.countLiveRemote(now), true
	readersAreRelays := true
	readers, _ := node.storeReaders(now)
	for i, relay := range relays {
		summary.Relays = append(summary.Relays, RelayInfo{Name: relay.From, Address: relay.Address})
		readersAreRelays = readersAreRelays && i < len(readers) && readers[i] == relay.Address
	}
	if !readersAreRelays {
		summary.Readers = readers
	}
	return append(messages, outgoing{announcementMessage, node.withHelpers(summary, now), node.reachableAddresses(now, node.inDataCentre)})
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

// reachableAddresses returns the addresses of the wanted peers as markContacted does.
// It includes stopping peers, which serve on. It leaves out peers that don't respond, except
// that it retries each of them every unresponsiveSendInterval.
func (node *Node) reachableAddresses(now time.Time, wanted func(*peer) bool) []netip.AddrPort {
	return node.markContacted(now, func(other *peer) bool {
		serves := other.mayBeLive(now) || other.own.Leaving && other.responds(now)
		return wanted(other) && (serves || other.retryDue(now))
	})
}

// retryDue reports whether nothing was sent to a peer for unresponsiveSendInterval.
func (other *peer) retryDue(now time.Time) bool {
	return now.Sub(other.sentAt) > unresponsiveSendInterval
}

// unheardDataCentres returns the data centres of peers of which none responds, once the relays
// had the time to. The store may list many entries that have ended, and those that would be the
// relays among them: this entry then sends to all of the data centre in turn.
func (node *Node) unheardDataCentres(now time.Time) greengageroute.Set[string] {
	unheard := greengageroute.Set[string]{}
	if node.discoveringPeers(now) {
		return unheard
	}
	for _, other := range node.peers {
		unheard.Add(other.own.DataCentre)
	}
	for _, other := range node.peers {
		if other.responds(now) {
			delete(unheard, other.own.DataCentre)
		}
	}
	return unheard
}

// markContacted returns the addresses of the wanted peers and records that a message
// is sent to them.
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

// sumLoads adds the wanted peers' own loads to the given ones.
func (node *Node) sumLoads(loads []Load, now time.Time, wanted func(*peer) bool) []Load {
	lists := [][]Load{loads}
	for _, other := range node.peers {
		if wanted(other) && now.Sub(other.receivedAt) < freshness {
			lists = append(lists, other.own.Loads)
		}
	}
	return mergeLoads(lists)
}

// addRemoteLoads adds the loads of the other data centres, from the summaries of
// their first relays.
func (node *Node) addRemoteLoads(loads []Load, now time.Time) []Load {
	lists := [][]Load{loads}
	for _, other := range node.peers {
		if now.Sub(other.receivedAt) < freshness && !other.summary.AllEntries && node.isFirstRemoteRelay(other, now) {
			lists = append(lists, other.summary.Loads)
		}
	}
	return mergeLoads(lists)
}

// mergeLoads adds up loads by target. The idle time is the shortest of a target's
// loads.
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

// loadsFromRelay returns the load of the other entries from a relay's announcement.
// The announcement includes the load that this entry last sent to the relays, which
// is subtracted.
func (node *Node) loadsFromRelay(now time.Time) map[string]greengageroute.EngineLoad {
	loads := map[string]greengageroute.EngineLoad{}
	if announcement := node.relayAnnouncement(now); announcement != nil {
		addLoads(loads, announcement.Loads, 1)
		addLoads(loads, node.reportedLoads, -1)
	}
	return loads
}

// countLiveLocal counts the live entries of this data centre, or in a full mesh of
// all data centres.
func (node *Node) countLiveLocal(now time.Time) int {
	live := 1
	for _, other := range node.peers {
		if (node.isFullMesh() || node.inDataCentre(other)) && other.isLive(now) {
			live++
		}
	}
	return live
}

// countLiveRemote counts the live entries of other data centres from the summaries
// of their first relays.
func (node *Node) countLiveRemote(now time.Time) int {
	live := 0
	for _, other := range node.peers {
		if !node.isFullMesh() && other.isLive(now) && node.isFirstRemoteRelay(other, now) {
			live += other.summary.LiveEntries
		}
	}
	return live
}

// forwardUpdates keeps the newest lease of the received messages. On a relay it also
// adds new updates of targets and crashes to the relay's own messages.
func (node *Node) forwardUpdates(message Message) {
	if message.Lease.isNewer(node.newestLease) {
		node.newestLease = message.Lease
	}
	now := node.clock.Now()
	if node.isFullMesh() || node.rank(now) >= relaysPerDataCentre {
		return
	}
	forwardNew(node, &node.unreachable, message.Unreachable, func(target TargetInstance) any { return target }, now)
	forwardNew(node, &node.responding, message.Responding, func(target TargetInstance) any { return respondingUpdate(target) }, now)
	for _, target := range message.Responding {
		withdraw(&node.unreachable, []TargetInstance{target})
		node.forgetSoon(target, now)
	}
	for _, target := range message.Unreachable {
		node.forgetSoon(respondingUpdate(target), now)
	}
	forwardNew(node, &node.suspected, message.Suspected, func(head TargetInstance) any { return suspectedUpdate(head) }, now)
	forwardNew(node, &node.slow, message.Slow, func(target TargetInstance) any { return slowUpdate(target) }, now)
	forwardNew(node, &node.targetsLeaving, message.TargetsLeaving, func(target TargetInstance) any { return leavingUpdate(target) }, now)
	forwardNew(node, &node.cold, message.Cold, func(report ColdReport) any { return coldUpdate{report.Target, report.StartUnixMilli, report.ID} }, now)
	forwardNew(node, &node.crashes, message.Crashes, func(crash greengageroute.CrashReport) any { return newCrashUpdate(crash) }, now)
	forwardNew(node, &node.sound, message.Sound, func(cause greengageroute.CrashCause) any { return cause }, now)
}

// forgetSoon has an update forwarded again once its repetitions have ended, as one that says
// the opposite came after it.
func (node *Node) forgetSoon(update any, now time.Time) {
	if at, known := node.forwarded[update]; known && now.Sub(at) < forwardedTTL-updateRepeatTime {
		node.forwarded[update] = now.Add(updateRepeatTime - forwardedTTL)
	}
}

// forwardNew adds the new ones of received updates to the relay's own. The key tells an update
// from those of all kinds.
func forwardNew[T any](node *Node, updates *[]timestamped[T], received []T, key func(T) any, now time.Time) {
	for _, value := range received {
		if node.isNew(key(value), now) {
			*updates = append(*updates, timestamped[T]{value, now})
		}
	}
}

// isNew reports whether the relay has not forwarded an update within forwardedTTL,
// and records it as forwarded.
func (node *Node) isNew(update any, now time.Time) bool {
	maps.DeleteFunc(node.forwarded, func(_ any, at time.Time) bool { return now.Sub(at) > forwardedTTL })
	_, known := node.forwarded[update]
	node.forwarded[update] = now
	return !known
}
