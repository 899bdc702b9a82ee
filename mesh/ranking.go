package mesh

import (
	"cmp"
	"slices"
	"time"
)

// direct tells whether every entry tells every other.
func (node *Node) isFullMesh() bool { return len(node.peers) < fullMeshLimit }

// IsRelay reports whether this entry is one that works for the others of its data
// centre. Where all entries tell each other, each may do so.
func (node *Node) IsRelay() bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.isFullMesh() || node.rank(node.clock.Now()) < relaysPerDataCentre
}

// place returns this entry's place among those of its data centre.
func (node *Node) rank(now time.Time) int {
	return slices.IndexFunc(node.rankedEntries(node.self.DataCentre, now), func(one Message) bool { return one.From == node.self.From })
}

// ranked returns the entries of a data centre that are taken for live, the largest
// VMs first. The word of a relay that ranks before this entry goes before what
// this entry has heard itself.
func (node *Node) rankedEntries(dataCentre string, now time.Time) []Message {
	if dataCentre != node.self.DataCentre {
		return node.rankedByOwnView(dataCentre, now)
	}
	word := node.followedAnnouncement(now)
	if word == nil {
		return node.rankedByOwnView(dataCentre, now)
	}
	ranked := make([]Message, 0, len(word.Relays)+1)
	for _, relay := range word.Relays {
		ranked = append(ranked, Message{From: relay.Name, Address: relay.Address, DataCentre: dataCentre})
	}
	return append(ranked, node.self)
}

// followed returns the word that tells this entry who the relays are: that of a
// relay which ranks before it and doesn't name it among them. It is nil if there is
// none.
func (node *Node) followedAnnouncement(now time.Time) *Message {
	word := node.relayAnnouncement(now)
	if word == nil || len(word.Relays) < relaysPerDataCentre || compareRank(node.self, *word) < 0 || slices.ContainsFunc(word.Relays, node.isSelf) {
		return nil
	}
	return word
}

func (node *Node) isSelf(relay RelayInfo) bool { return relay.Name == node.self.From }

// heardOf returns the entries of a data centre that were heard lately, or else
// those that may live, the largest VMs first.
func (node *Node) rankedByOwnView(dataCentre string, now time.Time) []Message {
	var live, hopeful []Message
	for _, other := range node.peers {
		switch {
		case other.own.DataCentre != dataCentre:
		case other.isLive(now) && now.Sub(other.receivedAt) < freshness:
			live = append(live, other.own)
		case other.mayBeLive(now):
			hopeful = append(hopeful, other.own)
		}
	}
	if len(live) == 0 || node.discoveringPeers(now) {
		live = append(live, hopeful...)
	}
	if dataCentre == node.self.DataCentre {
		live = append(live, node.self)
	}
	slices.SortFunc(live, compareRank)
	return live
}

// young tells whether this entry has just learned of others, and may not have
// heard those that live.
func (node *Node) discoveringPeers(now time.Time) bool {
	return now.Sub(node.peerAddedAt) < liveTimeout
}

// hopeful tells whether a peer that isn't heard may live: it has never been
// written to, or so lately that its answer may still come. Most entries hear only
// relays, and know the others from the store's list.
func (other *peer) mayBeLive(now time.Time) bool {
	if !other.receivedAt.IsZero() && now.Sub(other.receivedAt) < unresponsiveSendInterval {
		return now.Sub(other.receivedAt) < freshness && !other.own.Leaving
	}
	courted := now.Sub(other.unansweredSince)
	return other.unansweredSince.IsZero() || courted < liveTimeout || courted > unresponsiveSendInterval
}

// compareRank orders entries by their rank as relays: the largest VMs first.
func compareRank(a, b Message) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.From, b.From))
}

// relayWord returns the word for all entries of the relay that ranks first among
// those heard lately, or nil.
func (node *Node) relayAnnouncement(now time.Time) *Message {
	var first *Message
	for _, other := range node.peers {
		if other.summary.AllEntries && now.Sub(other.announcedAt) < freshness && (first == nil || compareRank(other.summary, *first) < 0) {
			first = &other.summary
		}
	}
	return first
}

// Readers returns the addresses of the entries of the data centre that this one
// may ask for what the store holds, the first to be asked first, and this entry's
// own place among all: the first reads the store itself.
func (node *Node) Readers() (addresses []string, place int) {
	now := node.clock.Now()
	node.mu.Lock()
	defer node.mu.Unlock()
	readers, all := node.storeReaders(now)
	place = slices.Index(readers, node.self.Address)
	if place < 0 {
		return readers, all
	}
	return readers[:place], place
}

// readers returns the addresses of the first readers, those first that have the
// store, and how many entries there are beside this one. An entry that follows a
// relay asks the readers that it names, also if it has read the store itself.
func (node *Node) storeReaders(now time.Time) (addresses []string, others int) {
	ranked := node.rankedEntries(node.self.DataCentre, now)
	word := node.followedAnnouncement(now)
	if word != nil && len(word.Readers) > 0 {
		return word.Readers, len(ranked) - 1
	}
	if word == nil {
		slices.SortStableFunc(ranked, func(a, b Message) int { return storeReaderOrder(a) - storeReaderOrder(b) })
	}
	for _, one := range ranked[:min(relaysPerDataCentre, len(ranked))] {
		addresses = append(addresses, one.Address)
	}
	return addresses, len(ranked) - 1
}

// rankReads puts entries first that read the store.
func storeReaderOrder(message Message) int {
	if message.ReadsStore {
		return 0
	}
	return 1
}

func containsPeer(other *peer, list []Message) bool {
	return slices.ContainsFunc(list, func(one Message) bool { return one.From == other.own.From })
}

// relayElsewhere tells whether the peer is a relay of another data centre.
func (node *Node) isRemoteRelay(other *peer, now time.Time) bool {
	if node.inDataCentre(other) {
		return false
	}
	ranked := node.rankedEntries(other.own.DataCentre, now)
	return containsPeer(other, ranked[:min(relaysPerDataCentre, len(ranked))])
}

// firstElsewhere tells whether the peer speaks for another data centre.
func (node *Node) isFirstRemoteRelay(other *peer, now time.Time) bool {
	if node.inDataCentre(other) {
		return false
	}
	ranked := node.rankedEntries(other.own.DataCentre, now)
	return len(ranked) > 0 && ranked[0].From == other.own.From
}

// relayHeard tells whether the first relay of the data centre has told lately.
func (node *Node) firstRelayActive(now time.Time) bool {
	first := node.peers[node.rankedEntries(node.self.DataCentre, now)[0].From]
	return first != nil && now.Sub(first.receivedAt) < relayTakeoverTimeout
}
