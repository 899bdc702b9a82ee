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

// pause returns how long the node waits before it tells again.
func (node *Node) pause() time.Duration {
	node.mu.Lock()
	defer node.mu.Unlock()
	if !node.direct() && node.place(node.clock.Now()) < relaysEach {
		return relayPeriod
	}
	return period
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

func (node *Node) inDataCentre(other *peer) bool {
	return other.message.DataCentre == node.self.DataCentre
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
