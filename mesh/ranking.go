package mesh

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// rankingTTL is how long a ranking of the entries is used: a relay needs it for each
// message that it sends or receives.
const rankingTTL = 40 * time.Millisecond

// ranking is the ranked entries of one data centre as of a time.
type ranking struct {
	entries []Message
	at      time.Time
}

// isFullMesh reports whether every entry sends to every other, without relays.
func (node *Node) isFullMesh() bool { return len(node.peers) < fullMeshLimit }

// IsRelay reports whether this entry does work for the others of its data centre. In
// a full mesh every entry may do so.
func (node *Node) IsRelay() bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.isFullMesh() || node.rank(node.clock.Now()) < relaysPerDataCentre
}

// IsFullMesh reports whether the fleet is so small that every entry sends to every
// other.
func (node *Node) IsFullMesh() bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.isFullMesh()
}

// EntriesSharingLinks returns about how many live entries are in this data centre, this one
// included. In a large fleet most entries know the others of their data centre from the store's
// list alone, which may name some that have ended.
func (node *Node) EntriesSharingLinks() int {
	live := node.LiveEntries()
	node.mu.Lock()
	defer node.mu.Unlock()
	listed := 1
	for _, other := range node.peers {
		if node.inDataCentre(other) {
			listed++
		}
	}
	return min(listed, live)
}

// PlannerInDataCentre reports whether another entry of this data centre holds the
// planner's lease, by the newest message about it.
func (node *Node) PlannerInDataCentre() bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	name, _, _ := strings.Cut(node.newestLease.Holder, HolderSeparator)
	holder, known := node.peers[name]
	return known && node.inDataCentre(holder)
}

// rank returns this entry's rank in its data centre: 0 for the first relay.
func (node *Node) rank(now time.Time) int {
	return slices.IndexFunc(node.rankedEntries(node.self.DataCentre, now), func(entry Message) bool { return entry.From == node.self.From })
}

// rankedEntries returns the entries of a data centre that are presumed live, those on
// the largest VMs first. Callers must not change the result.
func (node *Node) rankedEntries(dataCentre string, now time.Time) []Message {
	if cached, known := node.rankings[dataCentre]; known && now.Sub(cached.at) < rankingTTL {
		return cached.entries
	}
	entries := node.rankEntries(dataCentre, now)
	node.rankings[dataCentre] = ranking{entries, now}
	return entries
}

// rankEntries ranks the entries of a data centre. If this entry follows a relay's
// announcement, only the announced relays are known: they precede this entry, whatever
// messages this entry has received itself.
func (node *Node) rankEntries(dataCentre string, now time.Time) []Message {
	if dataCentre != node.self.DataCentre {
		return node.rankedByOwnView(dataCentre, now)
	}
	announcement := node.followedAnnouncement(now)
	if announcement == nil {
		return node.rankedByOwnView(dataCentre, now)
	}
	ranked := make([]Message, 0, len(announcement.Relays)+1)
	for _, relay := range announcement.Relays {
		ranked = append(ranked, Message{From: relay.Name, Address: relay.Address, DataCentre: dataCentre})
	}
	return append(ranked, node.self)
}

// followedAnnouncement returns the announcement from which this entry takes the relays
// of its data centre. Its sender ranks before this entry and doesn't list this entry
// among the relays. It is nil if there is none.
func (node *Node) followedAnnouncement(now time.Time) *Message {
	announcement := node.relayAnnouncement(now)
	if announcement == nil || len(announcement.Relays) < relaysPerDataCentre || compareRank(node.self, *announcement) < 0 || slices.ContainsFunc(announcement.Relays, node.isSelf) {
		return nil
	}
	return announcement
}

func (node *Node) isSelf(relay RelayInfo) bool { return relay.Name == node.self.From }

// rankedByOwnView returns the entries of a data centre from which messages came
// recently, those on the largest VMs first. If there are none, or this entry has just
// learned of its peers, the peers that may be live are included.
func (node *Node) rankedByOwnView(dataCentre string, now time.Time) []Message {
	var live, possible []Message
	for _, other := range node.peers {
		switch {
		case other.own.DataCentre != dataCentre:
		case other.isLive(now) && now.Sub(other.receivedAt) < freshness:
			live = append(live, other.own)
		case other.mayBeLive(now):
			possible = append(possible, other.own)
		}
	}
	if len(live) == 0 || node.discoveringPeers(now) {
		live = append(live, possible...)
	}
	if dataCentre == node.self.DataCentre {
		live = append(live, node.self)
	}
	slices.SortFunc(live, compareRank)
	return live
}

// discoveringPeers reports whether this entry has learned of peers so recently that
// messages of the live ones may not have come yet.
func (node *Node) discoveringPeers(now time.Time) bool {
	return now.Sub(node.peerAddedAt) < liveTimeout
}

// mayBeLive reports whether a peer may be live although no message of it came recently:
// nothing was ever sent to it, its response to the current attempt may still come, or
// the next attempt is due. Most entries receive messages only from relays and know
// the other entries from the store's list alone.
func (other *peer) mayBeLive(now time.Time) bool {
	if !other.receivedAt.IsZero() && now.Sub(other.receivedAt) < unresponsiveSendInterval {
		return now.Sub(other.receivedAt) < freshness && !other.own.Leaving
	}
	unanswered := now.Sub(other.unansweredSince)
	return other.unansweredSince.IsZero() || unanswered < liveTimeout || unanswered > unresponsiveSendInterval
}

// compareRank orders entries by their rank as relays: those on the largest VMs first,
// then by name.
func compareRank(a, b Message) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.From, b.From))
}

// relayAnnouncement returns the recent announcement of the relay that ranks first, or
// nil if there is none.
func (node *Node) relayAnnouncement(now time.Time) *Message {
	var first *Message
	for _, other := range node.peers {
		if other.summary.AllEntries && now.Sub(other.announcedAt) < freshness && (first == nil || compareRank(other.summary, *first) < 0) {
			first = &other.summary
		}
	}
	return first
}

// Readers returns the addresses of the entries of the data centre that this entry may
// ask for the store's rows, in the order in which to ask them, and this entry's own
// rank among the readers. The entry of rank 0 reads the store itself.
func (node *Node) Readers() (addresses []string, rank int) {
	now := node.clock.Now()
	node.mu.Lock()
	defer node.mu.Unlock()
	readers, others := node.storeReaders(now)
	rank = slices.Index(readers, node.self.Address)
	if rank < 0 {
		return readers, others
	}
	return readers[:rank], rank
}

// storeReaders returns the addresses of the first readers, and the number of other
// entries. Entries that read the store already precede those that don't. An entry that
// follows a relay's announcement asks the readers listed there, even if it has read
// the store itself.
func (node *Node) storeReaders(now time.Time) (addresses []string, others int) {
	ranked := node.rankedEntries(node.self.DataCentre, now)
	announcement := node.followedAnnouncement(now)
	if announcement != nil && len(announcement.Readers) > 0 {
		return announcement.Readers, len(ranked) - 1
	}
	if announcement == nil {
		ranked = slices.Clone(ranked)
		slices.SortStableFunc(ranked, func(a, b Message) int { return storeReaderOrder(a) - storeReaderOrder(b) })
	}
	for _, reader := range ranked[:min(relaysPerDataCentre, len(ranked))] {
		addresses = append(addresses, reader.Address)
	}
	return addresses, len(ranked) - 1
}

// storeReaderOrder returns the sort key by which entries that read the store come
// first.
func storeReaderOrder(message Message) int {
	if message.ReadsStore {
		return 0
	}
	return 1
}

func containsPeer(other *peer, entries []Message) bool {
	return slices.ContainsFunc(entries, func(entry Message) bool { return entry.From == other.own.From })
}

// isRemoteRelay reports whether the peer is a relay of another data centre.
func (node *Node) isRemoteRelay(other *peer, now time.Time) bool {
	if node.inDataCentre(other) {
		return false
	}
	ranked := node.rankedEntries(other.own.DataCentre, now)
	return containsPeer(other, ranked[:min(relaysPerDataCentre, len(ranked))])
}

// isFirstRemoteRelay reports whether the peer is the first relay of another data
// centre, whose summaries count for that data centre.
func (node *Node) isFirstRemoteRelay(other *peer, now time.Time) bool {
	if node.inDataCentre(other) {
		return false
	}
	ranked := node.rankedEntries(other.own.DataCentre, now)
	return len(ranked) > 0 && ranked[0].From == other.own.From
}

// firstRelayActive reports whether a message from the first relay of this entry's data
// centre came within relayTakeoverTimeout.
func (node *Node) firstRelayActive(now time.Time) bool {
	first := node.peers[node.rankedEntries(node.self.DataCentre, now)[0].From]
	return first != nil && now.Sub(first.receivedAt) < relayTakeoverTimeout
}
