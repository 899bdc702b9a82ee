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

// letter is one message and who gets it.
type letter struct {
	message Message
	to      []netip.AddrPort
}

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
	node.mu.Lock()
	defer node.mu.Unlock()
	ranked := node.ranked(node.self.DataCentre, node.clock.Now())
	for i, one := range ranked {
		if one.From == node.self.From {
			return addresses, i
		}
		if i < relaysEach {
			addresses = append(addresses, one.Address)
		}
	}
	return addresses, len(ranked)
}

// place returns this entry's place among those of its data centre.
func (node *Node) place(now time.Time) int {
	return slices.IndexFunc(node.ranked(node.self.DataCentre, now), func(one Message) bool { return one.From == node.self.From })
}

// ranked returns the live entries of a data centre, the largest VMs first.
func (node *Node) ranked(dataCentre string, now time.Time) []Message {
	var live []Message
	if dataCentre == node.self.DataCentre {
		live = append(live, node.self)
	}
	for _, other := range node.peers {
		if other.message.DataCentre == dataCentre && other.hopeful(now) {
			live = append(live, other.message)
		}
	}
	slices.SortFunc(live, func(a, b Message) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.From, b.From))
	})
	return live
}

// hopeful tells whether the peer is live, or has only just been learned of: an
// entry hears only of relays, so that it can't know of the others.
func (other *peer) hopeful(now time.Time) bool {
	if other.heard.IsZero() {
		return now.Sub(other.learned) < liveFor
	}
	return other.live(now)
}

// letters returns whom to tell what. The caller holds the lock.
func (node *Node) letters(message Message, now time.Time) []letter {
	if node.direct() {
		return []letter{{message, node.receivers(now, everyone)}}
	}
	place := node.place(now)
	ranked := node.ranked(node.self.DataCentre, now)
	relays := ranked[:min(relaysEach, len(ranked))]
	letters := []letter{{message, node.receivers(now, func(other *peer) bool { return isAmong(other, relays) })}}
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
	letters = append(letters, letter{digest, node.receivers(now, func(other *peer) bool { return node.relayElsewhere(other, now) })})
	if place > 0 && node.relayHeard(now) {
		return letters
	}
	digest.Loads = node.addElsewhere(digest.Loads, now)
	digest.Live, digest.Total = digest.Live+node.liveElsewhere(now), true
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

// receivers returns the addresses of the peers to be told.
func (node *Node) receivers(now time.Time, wanted func(*peer) bool) []netip.AddrPort {
	var receivers []netip.AddrPort
	for _, other := range node.peers {
		if wanted(other) && (other.hopeful(now) || now.Sub(other.wrote) > quietPeriod) {
			other.wrote = now
			receivers = append(receivers, other.address)
		}
	}
	return receivers
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

// relayWord returns the newest word of a relay for all entries, or nil.
func (node *Node) relayWord(now time.Time) *Message {
	var newest *peer
	for _, other := range node.peers {
		if other.digest.Total && now.Sub(other.heard) < freshFor && (newest == nil || other.heard.After(newest.heard)) {
			newest = other
		}
	}
	if newest == nil {
		return nil
	}
	return &newest.digest
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
			node.lost = append(node.lost, timed[LostTarget]{lost, now})
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
