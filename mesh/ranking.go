package mesh

import (
	"cmp"
	"slices"
	"time"
)

// direct tells whether every entry tells every other.
func (node *Node) direct() bool { return len(node.peers) < directLimit }

// Relay tells whether this entry is one that works for the others of its data
// centre. Where all entries tell each other, each may do so.
func (node *Node) Relay() bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.direct() || node.place(node.clock.Now()) < relaysEach
}

// place returns this entry's place among those of its data centre.
func (node *Node) place(now time.Time) int {
	return slices.IndexFunc(node.ranked(node.self.DataCentre, now), func(one Message) bool { return one.From == node.self.From })
}

// ranked returns the entries of a data centre that are taken for live, the largest
// VMs first. The word of a relay that ranks before this entry goes before what
// this entry has heard itself.
func (node *Node) ranked(dataCentre string, now time.Time) []Message {
	if dataCentre != node.self.DataCentre {
		return node.heardOf(dataCentre, now)
	}
	word := node.followed(now)
	if word == nil {
		return node.heardOf(dataCentre, now)
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
func (node *Node) followed(now time.Time) *Message {
	word := node.relayWord(now)
	if word == nil || len(word.Relays) < relaysEach || compareRank(node.self, *word) < 0 || slices.ContainsFunc(word.Relays, node.isSelf) {
		return nil
	}
	return word
}

func (node *Node) isSelf(relay RelayNews) bool { return relay.Name == node.self.From }

// heardOf returns the entries of a data centre that were heard lately, or else
// those that may live, the largest VMs first.
func (node *Node) heardOf(dataCentre string, now time.Time) []Message {
	var live, hopeful []Message
	for _, other := range node.peers {
		switch {
		case other.message.DataCentre != dataCentre:
		case other.live(now) && now.Sub(other.heard) < freshFor:
			live = append(live, other.message)
		case other.hopeful(now):
			hopeful = append(hopeful, other.message)
		}
	}
	if len(live) == 0 || node.young(now) {
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
func (node *Node) young(now time.Time) bool { return now.Sub(node.learned) < liveFor }

// hopeful tells whether a peer that isn't heard may live: it has never been
// written to, or so lately that its answer may still come. Most entries hear only
// relays, and know the others from the store's list.
func (other *peer) hopeful(now time.Time) bool {
	if !other.heard.IsZero() && now.Sub(other.heard) < quietPeriod {
		return now.Sub(other.heard) < freshFor && !other.message.Leaving
	}
	courted := now.Sub(other.courted)
	return other.courted.IsZero() || courted < liveFor || courted > quietPeriod
}

// compareRank orders entries by their rank as relays: the largest VMs first.
func compareRank(a, b Message) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.From, b.From))
}

// relayWord returns the word for all entries of the relay that ranks first among
// those heard lately, or nil.
func (node *Node) relayWord(now time.Time) *Message {
	var first *Message
	for _, other := range node.peers {
		if other.digest.Total && now.Sub(other.worded) < freshFor && (first == nil || compareRank(other.digest, *first) < 0) {
			first = &other.digest
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
	readers, all := node.readers(now)
	place = slices.Index(readers, node.self.Address)
	if place < 0 {
		return readers, all
	}
	return readers[:place], place
}

// readers returns the addresses of the first readers, those first that have the
// store, and how many entries there are beside this one. An entry that follows a
// relay asks the readers that it names, also if it has read the store itself.
func (node *Node) readers(now time.Time) (addresses []string, others int) {
	ranked := node.ranked(node.self.DataCentre, now)
	word := node.followed(now)
	if word != nil && len(word.Readers) > 0 {
		return word.Readers, len(ranked) - 1
	}
	if word == nil {
		slices.SortStableFunc(ranked, func(a, b Message) int { return rankReads(a) - rankReads(b) })
	}
	for _, one := range ranked[:min(relaysEach, len(ranked))] {
		addresses = append(addresses, one.Address)
	}
	return addresses, len(ranked) - 1
}

// rankReads puts entries first that read the store.
func rankReads(message Message) int {
	if message.Reads {
		return 0
	}
	return 1
}

func isAmong(other *peer, list []Message) bool {
	return slices.ContainsFunc(list, func(one Message) bool { return one.From == other.message.From })
}

// relayElsewhere tells whether the peer is a relay of another data centre.
func (node *Node) relayElsewhere(other *peer, now time.Time) bool {
	if node.inDataCentre(other) {
		return false
	}
	ranked := node.ranked(other.message.DataCentre, now)
	return isAmong(other, ranked[:min(relaysEach, len(ranked))])
}

// firstElsewhere tells whether the peer speaks for another data centre.
func (node *Node) firstElsewhere(other *peer, now time.Time) bool {
	if node.inDataCentre(other) {
		return false
	}
	ranked := node.ranked(other.message.DataCentre, now)
	return len(ranked) > 0 && ranked[0].From == other.message.From
}

// relayHeard tells whether the first relay of the data centre has told lately.
func (node *Node) relayHeard(now time.Time) bool {
	first := node.peers[node.ranked(node.self.DataCentre, now)[0].From]
	return first != nil && now.Sub(first.heard) < standInAfter
}
