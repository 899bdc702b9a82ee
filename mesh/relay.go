package mesh

import (
	"cmp"
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
	directLimit = 24
	// relaysEach is how many entries of a data centre are relays: one works, one
	// stands by.
	relaysEach = 2
	// relayPeriod is how often a relay tells: about a pass of an engine.
	relayPeriod = 60 * time.Millisecond
	// standInAfter is the silence after which the second relay takes over.
	standInAfter = 250 * time.Millisecond
	// spreadFor is how long a relay remembers the news that it has passed on.
	spreadFor = 5 * time.Second
)

type (
	// letter is one message and who gets it.
	letter struct {
		message Message
		to      []netip.AddrPort
	}

	// slowNews tells news of a slow target from that of its loss.
	slowNews TargetLife
)

// direct tells whether every entry tells every other.
func (node *Node) direct() bool { return len(node.peers) < directLimit }

// pause returns how long the node waits before it tells again.
func (node *Node) pause() time.Duration {
	node.mu.Lock()
	defer node.mu.Unlock()
	if !node.direct() && node.place(node.clock.Now()) < relaysEach {
		return relayPeriod
	}
	return period
}

// Relay tells whether this entry is one that works for the others of its data
// centre. Where all entries tell each other, each may do so.
func (node *Node) Relay() bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.direct() || node.place(node.clock.Now()) < relaysEach
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
// store, and how many entries there are beside this one.
func (node *Node) readers(now time.Time) (addresses []string, others int) {
	ranked := node.ranked(node.self.DataCentre, now)
	if word := node.relayWord(now); word != nil && len(word.Readers) > 0 && !slices.ContainsFunc(word.Relays, node.isSelf) {
		return word.Readers, max(len(ranked)-1, relaysEach)
	}
	slices.SortStableFunc(ranked, func(a, b Message) int {
		switch {
		case a.Reads == b.Reads:
			return 0
		case a.Reads:
			return -1
		default:
			return 1
		}
	})
	for _, one := range ranked[:min(relaysEach, len(ranked))] {
		addresses = append(addresses, one.Address)
	}
	return addresses, len(ranked) - 1
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
	word := node.relayWord(now)
	if word == nil || len(word.Relays) < relaysEach || compareRank(node.self, *word) < 0 || slices.ContainsFunc(word.Relays, node.isSelf) {
		return node.heardOf(dataCentre, now)
	}
	ranked := make([]Message, 0, len(word.Relays)+1)
	for _, relay := range word.Relays {
		ranked = append(ranked, Message{From: relay.Name, Address: relay.Address, DataCentre: dataCentre})
	}
	return append(ranked, node.self)
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

// letters returns whom to tell what. The caller holds the lock.
func (node *Node) letters(message Message, now time.Time) []letter {
	if node.direct() {
		return []letter{{message, node.receivers(now, everyone)}}
	}
	place := node.place(now)
	ranked := node.ranked(node.self.DataCentre, now)
	relays := ranked[:min(relaysEach, len(ranked))]
	letters := []letter{{message, node.addresses(now, func(other *peer) bool { return isAmong(other, relays) })}}
	node.own = message.Loads
	if place >= relaysEach {
		return letters
	}
	digest := message
	if digest.Lease.Holder == "" {
		digest.Lease = node.lease
	}
	digest.Serving = digest.Serving || node.anyServing()
	digest.Loads, digest.Live = node.sum(message.Loads, now, node.inDataCentre), node.liveHere(now)
	letters = append(letters, letter{digest, node.addresses(now, func(other *peer) bool { return node.relayElsewhere(other, now) })})
	if place > 0 && node.relayHeard(now) {
		return letters
	}
	digest.Loads = node.addElsewhere(digest.Loads, now)
	digest.Live, digest.Total = digest.Live+node.liveElsewhere(now), true
	same := true
	readers, _ := node.readers(now)
	for i, relay := range relays {
		digest.Relays = append(digest.Relays, RelayNews{Name: relay.From, Address: relay.Address})
		same = same && i < len(readers) && readers[i] == relay.Address
	}
	if !same {
		digest.Readers = readers
	}
	return append(letters, letter{digest, node.receivers(now, node.inDataCentre)})
}

func everyone(*peer) bool { return true }

func (node *Node) anyServing() bool {
	for _, other := range node.peers {
		if other.message.Serving || other.digest.Serving {
			return true
		}
	}
	return false
}

func isAmong(other *peer, list []Message) bool {
	return slices.ContainsFunc(list, func(one Message) bool { return one.From == other.message.From })
}

func (node *Node) inDataCentre(other *peer) bool {
	return other.message.DataCentre == node.self.DataCentre
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

// receivers returns the addresses of the peers to be told, less those that seem to
// be dead.
func (node *Node) receivers(now time.Time, wanted func(*peer) bool) []netip.AddrPort {
	return node.addresses(now, func(other *peer) bool {
		return wanted(other) && (other.hopeful(now) || now.Sub(other.wrote) > quietPeriod)
	})
}

// addresses returns the addresses of the wanted peers and notes that they are
// written to.
func (node *Node) addresses(now time.Time, wanted func(*peer) bool) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, other := range node.peers {
		if !wanted(other) {
			continue
		}
		if !other.live(now) && (other.courted.IsZero() || now.Sub(other.courted) > quietPeriod) {
			other.courted = now
		}
		other.wrote = now
		addresses = append(addresses, other.address)
	}
	return addresses
}

// sum adds the loads that some peers have themselves to the given ones.
func (node *Node) sum(loads []Load, now time.Time, wanted func(*peer) bool) []Load {
	lists := [][]Load{loads}
	for _, other := range node.peers {
		if wanted(other) && now.Sub(other.heard) < freshFor {
			lists = append(lists, other.message.Loads)
		}
	}
	return merge(lists)
}

// addElsewhere adds what the relays of other data centres say of these.
func (node *Node) addElsewhere(loads []Load, now time.Time) []Load {
	lists := [][]Load{loads}
	for _, other := range node.peers {
		if now.Sub(other.heard) < freshFor && !other.digest.Total && node.firstElsewhere(other, now) {
			lists = append(lists, other.digest.Loads)
		}
	}
	return merge(lists)
}

// merge adds up loads by target.
func merge(lists [][]Load) []Load {
	sums := map[string]Load{}
	for _, load := range slices.Concat(lists...) {
		sum, known := sums[load.Target]
		sum.Target, sum.Running, sum.Reading = load.Target, sum.Running+load.Running, sum.Reading+load.Reading
		if !known || load.Silent < sum.Silent {
			sum.Silent = load.Silent
		}
		sums[load.Target] = sum
	}
	return slices.Collect(maps.Values(sums))
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

// compareRank orders entries by their rank as relays: the largest VMs first.
func compareRank(a, b Message) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.From, b.From))
}

// loadsByRelay returns what the others have under way by a relay's word, which
// counts what this entry told the relays last.
func (node *Node) loadsByRelay(now time.Time) map[string]greengageroute.EngineLoad {
	loads := map[string]greengageroute.EngineLoad{}
	if word := node.relayWord(now); word != nil {
		addLoads(loads, word.Loads, 1)
		addLoads(loads, node.own, -1)
	}
	return loads
}

// liveHere counts the live entries of this data centre, or of all where all tell
// each other.
func (node *Node) liveHere(now time.Time) int {
	live := 1
	for _, other := range node.peers {
		if (node.direct() || node.inDataCentre(other)) && other.live(now) {
			live++
		}
	}
	return live
}

// liveElsewhere counts the live entries of other data centres by their relays.
func (node *Node) liveElsewhere(now time.Time) int {
	live := 0
	for _, other := range node.peers {
		if !node.direct() && other.live(now) && node.firstElsewhere(other, now) {
			live += other.digest.Live
		}
	}
	return live
}

// passOn has a relay repeat news that it hears for the first time.
func (node *Node) passOn(message Message) {
	if lease := message.Lease; lease.Fence > node.lease.Fence || lease.Fence == node.lease.Fence && lease.Renewals > node.lease.Renewals {
		node.lease = lease
	}
	now := node.clock.Now()
	if node.direct() || node.place(now) >= relaysEach {
		return
	}
	for _, lost := range message.Lost {
		if node.isNews(lost, now) {
			node.lost = append(node.lost, timed[TargetLife]{lost, now})
		}
	}
	for _, slow := range message.Slow {
		if node.isNews(slowNews(slow), now) {
			node.slow = append(node.slow, timed[TargetLife]{slow, now})
		}
	}
	for _, crash := range message.Crashes {
		if node.isNews(crash, now) {
			node.crashes = append(node.crashes, timed[CrashReport]{crash, now})
		}
	}
}

func (node *Node) isNews(news any, now time.Time) bool {
	maps.DeleteFunc(node.spread, func(_ any, at time.Time) bool { return now.Sub(at) > spreadFor })
	_, known := node.spread[news]
	node.spread[news] = now
	return !known
}
