package mesh

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

const (
	// AnyPool stands for all pools in what entries say of their links.
	AnyPool = ""

	// helpersInterval is how often a relay names helpers, and maxHelpers how many in one
	// message, for all pools: with one pool all of 160 entries within helperTTL.
	helpersInterval = 200 * time.Millisecond
	maxHelpers      = 24
	// helperTTL is how long an entry that a relay named counts as a helper.
	helperTTL = liveTimeout
	// avoidTime is how long an entry isn't asked again that couldn't help, unless a relay
	// names it later than avoidGrace after that: the relay may not have known before.
	avoidTime  = 2 * time.Second
	avoidGrace = 500 * time.Millisecond
	// maxLostPools is how many lost pools a message names. Of an entry that has lost more, it
	// says that it has lost all.
	maxLostPools = 16
)

type (
	// PoolHelpers names entries that reach the targets of a pool.
	PoolHelpers struct {
		_         struct{} `cbor:",toarray"`
		Pool      string
		Addresses []netip.AddrPort
	}

	// helperKey is an entry as a helper for a pool.
	helperKey struct {
		pool    string
		address netip.AddrPort
	}

	// helper is an entry that requests can be forwarded to; the lowest draw is first.
	helper struct {
		address string
		draw    float64
	}

	// helperState is what is known of an entry as a helper.
	helperState int
)

const (
	cannotHelp helperState = iota
	mayHelp                // known from the store's list alone
	canHelp                // by its own word, or a relay's
)

// Helpers returns the addresses of other entries to which requests for a pool can be
// forwarded, in the order in which to try them: those that are known to reach the pool before
// those of which nothing is known, at random, and those on larger VMs more often first. Entries
// of this data centre and of others alternate if at least half of this one's can help. An entry
// is left out only by its own word, or if this one found that it can't help.
func (node *Node) Helpers(pool string) (addresses []string) {
	now := node.clock.Now()
	node.mu.Lock()
	defer node.mu.Unlock()
	var local, remote, unknown []helper
	entries := 1
	for _, other := range node.peers {
		if node.inDataCentre(other) {
			entries++
		}
		state := node.helperState(other, pool, now)
		switch {
		case state == cannotHelp:
		case state == mayHelp:
			unknown = append(unknown, newHelper(other))
		case node.inDataCentre(other):
			local = append(local, newHelper(other))
		default:
			remote = append(remote, newHelper(other))
		}
	}
	sortHelpers(local)
	sortHelpers(remote)
	sortHelpers(unknown)
	ordered := alternate(local, remote)
	if 2*len(local) < entries {
		sortHelpers(ordered)
	}
	for _, found := range append(ordered, unknown...) {
		addresses = append(addresses, found.address)
	}
	return addresses
}

// EntryDataCentres returns the data centres of the other entries by address.
func (node *Node) EntryDataCentres() map[string]string {
	node.mu.Lock()
	defer node.mu.Unlock()
	dataCentres := make(map[string]string, len(node.peers))
	for _, other := range node.peers {
		dataCentres[other.own.Address] = other.own.DataCentre
	}
	return dataCentres
}

// newHelper draws the place of an entry in the order of helpers.
func newHelper(other *peer) helper {
	return helper{other.own.Address, rand.ExpFloat64() / max(other.own.Capacity, minCapacity)}
}

func sortHelpers(helpers []helper) {
	slices.SortFunc(helpers, func(a, b helper) int { return cmp.Compare(a.draw, b.draw) })
}

// alternate returns the values of two lists in turn, beginning with the first list.
func alternate(first, second []helper) (merged []helper) {
	for i := range max(len(first), len(second)) {
		if i < len(first) {
			merged = append(merged, first[i])
		}
		if i < len(second) {
			merged = append(merged, second[i])
		}
	}
	return merged
}

// helperState returns what is known of an entry as a helper for a pool. In a full mesh all
// entries hear from each other; in a larger fleet most are known from the store's list and from
// what relays say.
func (node *Node) helperState(other *peer, pool string, now time.Time) helperState {
	if node.avoids(helperKey{pool, other.address}, now) || node.avoids(helperKey{AnyPool, other.address}, now) {
		return cannotHelp
	}
	if other.responds(now) {
		if other.own.Leaving || !other.own.reaches(pool) {
			return cannotHelp
		}
		return canHelp
	}
	switch {
	case node.isFullMesh():
		return cannotHelp
	case node.isNamed(helperKey{pool, other.address}, now) || node.isNamed(helperKey{AnyPool, other.address}, now):
		return canHelp
	case other.mayBeLive(now):
		return mayHelp
	}
	return cannotHelp
}

// reaches reports whether the sender reaches the targets of a pool.
func (message Message) reaches(pool string) bool {
	lost := message.lostPools()
	if pool == AnyPool {
		return len(lost) == 0
	}
	return !slices.Contains(lost, pool) && !slices.Contains(lost, AnyPool)
}

// lostPools returns the pools that the sender has lost. An isolated entry of an older build names
// none.
func (message Message) lostPools() []string {
	if message.Isolated && len(message.Lost) == 0 {
		return []string{AnyPool}
	}
	return message.Lost
}

func (node *Node) isNamed(key helperKey, now time.Time) bool {
	at, named := node.named[key]
	return named && now.Sub(at) < helperTTL
}

func (node *Node) avoids(key helperKey, now time.Time) bool {
	since, avoided := node.avoided[key]
	return avoided && now.Sub(since) < avoidTime && !node.named[key].After(since.Add(avoidGrace))
}

// AvoidHelper records that an entry couldn't help with requests for a pool, so that it isn't
// asked again for a while. With AnyPool the entry couldn't be reached.
func (node *Node) AvoidHelper(address, pool string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return // no entry's address
	}
	now := node.clock.Now()
	node.mu.Lock()
	defer node.mu.Unlock()
	for key, since := range node.avoided {
		if now.Sub(since) >= avoidTime {
			delete(node.avoided, key)
		}
	}
	node.avoided[helperKey{pool, parsed}] = now
}

// addLost adds the pools that the sender of a message has lost.
func addLost(pools greengageroute.Set[string], message Message) {
	for _, pool := range message.lostPools() {
		pools.Add(pool)
	}
}

// limitedPools returns the pools as a message names them.
func limitedPools(pools []string) []string {
	if len(pools) > maxLostPools {
		return []string{AnyPool}
	}
	return pools
}

// withHelpers adds to a relay's summary for which pools entries of its data centre want
// helpers, and names entries that reach the pools: in an announcement those of all data
// centres, and otherwise those of its own for which the others want helpers.
func (node *Node) withHelpers(summary Message, now time.Time) Message {
	wanted := greengageroute.Set[string]{}
	addLost(wanted, summary)
	for _, other := range node.peers {
		if node.inDataCentre(other) && other.isLive(now) {
			addLost(wanted, other.own)
		}
	}
	summary.Wanted = limitedPools(wanted.Sorted())
	kind, pools := summaryMessage, node.wantedElsewhere(now)
	if summary.AllEntries {
		kind, pools = announcementMessage, summary.Wanted
	}
	if len(pools) == 0 || now.Sub(node.helpersNamedAt[kind]) < helpersInterval {
		return summary
	}
	node.helpersNamedAt[kind] = now
	node.helpersTurn[kind]++
	for _, pool := range pools {
		addresses := node.reachingHere(summary, pool, now)
		if summary.AllEntries {
			addresses = append(addresses, node.namedElsewhere(pool, now)...)
		}
		summary.Helpers = append(summary.Helpers, PoolHelpers{Pool: pool, Addresses: helpersOfTurn(addresses, node.helpersTurn[kind], max(maxHelpers/len(pools), 1))})
	}
	return summary
}

// wantedElsewhere returns the pools for which entries of other data centres want helpers.
func (node *Node) wantedElsewhere(now time.Time) []string {
	wanted := greengageroute.Set[string]{}
	for _, other := range node.peers {
		if !node.inDataCentre(other) && other.responds(now) {
			for _, pool := range other.summary.Wanted {
				wanted.Add(pool)
			}
		}
	}
	return limitedPools(wanted.Sorted())
}

// reachingHere returns the entries of this data centre that say that they reach a pool.
func (node *Node) reachingHere(self Message, pool string, now time.Time) (addresses []netip.AddrPort) {
	for _, other := range node.peers {
		if node.inDataCentre(other) && other.isLive(now) && other.own.reaches(pool) {
			addresses = append(addresses, other.address)
		}
	}
	if own, err := netip.ParseAddrPort(self.Address); err == nil && !self.Leaving && self.reaches(pool) {
		addresses = append(addresses, own)
	}
	return addresses
}

// namedElsewhere returns the entries of other data centres that their relays named for a pool.
func (node *Node) namedElsewhere(pool string, now time.Time) (addresses []netip.AddrPort) {
	for _, other := range node.peers {
		if !node.inDataCentre(other) && node.isNamed(helperKey{pool, other.address}, now) {
			addresses = append(addresses, other.address)
		}
	}
	return addresses
}

// helpersOfTurn returns the helpers to name in a turn, up to a limit. Successive turns name all.
func helpersOfTurn(addresses []netip.AddrPort, turn, limit int) []netip.AddrPort {
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	turns := (len(addresses) + limit - 1) / limit
	if turns <= 1 {
		return addresses
	}
	from := turn % turns * limit
	return addresses[from:min(from+limit, len(addresses))]
}

// recordNamed records the helpers that a relay names. A relay repeats only what the relays of
// other data centres say of their own entries, so that what has ended isn't passed on for ever.
func (node *Node) recordNamed(message Message, now time.Time) {
	if len(message.Helpers) == 0 || message.AllEntries && node.rank(now) < relaysPerDataCentre {
		return
	}
	for key, at := range node.named {
		if now.Sub(at) >= helperTTL {
			delete(node.named, key)
		}
	}
	for _, helpers := range message.Helpers[:min(len(message.Helpers), maxLostPools)] {
		for _, address := range helpers.Addresses[:min(len(helpers.Addresses), maxHelpers)] {
			node.named[helperKey{helpers.Pool, address}] = now
		}
	}
}
