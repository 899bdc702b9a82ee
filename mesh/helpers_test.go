package mesh

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

// newHelperNode returns an entry of data centre a in a fleet of forty, which knows the others,
// 0 to 38, from the store's list; the even ones are in data centre a.
func newHelperNode() *Node {
	node := &Node{
		self: Message{From: "entry", DataCentre: "a", Address: helperAddress(99).String()}, clock: greengageroute.RuntimeClock{}, rankings: map[string]ranking{},
		peers: map[string]*peer{}, named: map[helperKey]time.Time{}, avoided: map[helperKey]time.Time{}, forwarded: map[any]time.Time{},
	}
	for i := range 39 {
		// They are on larger VMs, so that the first ones are the relays.
		node.AddPeer(fmt.Sprintf("entry-%02d", i), string(rune('a'+i%2)), helperAddress(i).String(), 0.5)
	}
	return node
}

func helperAddress(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index)}), 7340)
}

// announce has a relay name entries that reach a pool.
func (node *Node) announce(relay int, pool string, helpers ...int) {
	message := Message{
		From: fmt.Sprintf("entry-%02d", relay), DataCentre: string(rune('a' + relay%2)), Address: helperAddress(relay).String(), Capacity: 0.5, LiveEntries: 40, AllEntries: true,
		Helpers: []PoolHelpers{{Pool: pool}},
	}
	for _, index := range helpers {
		message.Helpers[0].Addresses = append(message.Helpers[0].Addresses, helperAddress(index))
	}
	node.handleMessage(message)
}

// rankOf returns the place of an entry among the helpers for the pool llm, or -1.
func (node *Node) rankOf(index int) int {
	return slices.Index(node.Helpers("llm"), helperAddress(index).String())
}

// TestNamedHelpersComeFirst guards against requests that are forwarded to entries that are
// isolated too, while relays know others that aren't.
func TestNamedHelpersComeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newHelperNode()
		node.announce(0, "llm", 7, 9)
		for range 50 {
			// The relay itself says that it reaches all pools.
			first := node.Helpers("llm")[:3]
			for _, index := range []int{0, 7, 9} {
				if !slices.Contains(first, helperAddress(index).String()) {
					t.Fatalf("entry %d isn't among the first, %v", index, first)
				}
			}
		}
		if count := len(node.Helpers("llm")); count != 39 {
			t.Errorf("%d entries may help, want all 39", count)
		}
		node.announce(0, "ledger", 20)
		if rank := node.rankOf(20); rank < 3 {
			t.Errorf("an entry that reaches another pool has rank %d", rank)
		}
		node.announce(0, "llm", 77) // no entry
		if count := len(node.Helpers("llm")); count != 39 {
			t.Errorf("%d entries may help after a relay named a stranger, want 39", count)
		}
	})
}

// TestEntriesThatCannotHelpAreAvoided guards against an isolated entry that is asked by each
// request, and against one that isn't asked when it can help again.
func TestEntriesThatCannotHelpAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newHelperNode()
		node.announce(0, "llm", 7)
		node.AvoidHelper(helperAddress(7).String(), "llm")
		if rank := node.rankOf(7); rank != -1 {
			t.Errorf("the entry that refused has rank %d", rank)
		}
		if !slices.Contains(node.Helpers("ledger"), helperAddress(7).String()) {
			t.Error("the entry isn't asked for a pool that it may reach")
		}
		time.Sleep(avoidGrace / 2)
		node.announce(0, "llm", 7)
		if rank := node.rankOf(7); rank != -1 {
			t.Errorf("the entry that refused has rank %d as a relay names it just afterwards", rank)
		}
		time.Sleep(avoidGrace)
		node.announce(0, "llm", 7)
		if rank := node.rankOf(7); rank == -1 {
			t.Error("the entry isn't asked although a relay names it again")
		}
		node.AvoidHelper(helperAddress(20).String(), AnyPool)
		if rank := node.rankOf(20); rank != -1 {
			t.Errorf("the entry that wasn't reached has rank %d", rank)
		}
		time.Sleep(avoidTime)
		if rank := node.rankOf(20); rank == -1 {
			t.Error("the entry that wasn't reached is never asked again")
		}
	})
}

// TestNobodyTakesOthersOut guards against a hostile peer that has requests of isolated entries
// refused by what it says of other entries.
func TestNobodyTakesOthersOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newHelperNode()
		hostile := Message{From: "entry-04", DataCentre: "a", Address: helperAddress(4).String(), Capacity: 0.5, LiveEntries: 40, AllEntries: true, Lost: []string{AnyPool}, Wanted: []string{AnyPool, "llm"}}
		for range maxLostPools + 4 {
			hostile.Helpers = append(hostile.Helpers, PoolHelpers{Pool: "llm", Addresses: slices.Repeat([]netip.AddrPort{helperAddress(4)}, 200)})
		}
		node.handleMessage(hostile)
		if count := len(node.Helpers("llm")); count != 38 {
			t.Errorf("%d entries may help, want all 38 but the one that says of itself that it can't", count)
		}
	})
}

// TestEntryDataCentres guards against bodies that are forwarded to an entry in another data centre
// than the one it counts for.
func TestEntryDataCentres(t *testing.T) {
	node := newHelperNode()
	dataCentres := node.EntryDataCentres()
	for _, index := range []int{0, 7, 38} {
		if got, want := dataCentres[helperAddress(index).String()], string(rune('a'+index%2)); got != want {
			t.Errorf("entry %d counts for data centre %q, want %q", index, got, want)
		}
	}
	for _, address := range node.Helpers("llm") {
		if dataCentres[address] == "" {
			t.Errorf("the data centre of helper %s isn't known", address)
		}
	}
}

// TestRelaysNameHelpers guards against helpers that aren't named to those who want them: as
// they are too many for one message, or in another data centre.
func TestRelaysNameHelpers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newHelperNode()
		self := node.self
		self.Lost = []string{"llm"}
		now := time.Now()
		for i := range 39 {
			other := node.peers[fmt.Sprintf("entry-%02d", i)]
			other.receivedAt = now
			if i == 3 {
				other.summary = Message{LiveEntries: 19, Wanted: []string{"llm"}}
			}
		}
		for i := 1; i < 39; i += 2 { // named by the relays of the other data centre
			node.named[helperKey{"llm", helperAddress(i)}] = now
		}
		named := map[bool]greengageroute.Set[string]{true: {}, false: {}}
		for range 10 {
			for _, announcement := range []bool{true, false} {
				message := node.withHelpers(Message{Address: self.Address, Lost: self.Lost, AllEntries: announcement}, time.Now())
				if len(message.Wanted) != 1 || message.Wanted[0] != "llm" {
					t.Fatalf("helpers are wanted for %v, want llm", message.Wanted)
				}
				for _, helpers := range message.Helpers {
					if len(helpers.Addresses) > maxHelpers {
						t.Fatalf("%d helpers are named at once", len(helpers.Addresses))
					}
					for _, address := range helpers.Addresses {
						named[announcement].Add(address.String())
					}
				}
			}
			time.Sleep(helpersInterval / 2)
		}
		if all, own := len(named[true]), len(named[false]); all != 39 || own != 20 {
			t.Errorf("%d entries are named to the own data centre and %d to the others, want 39 and 20", all, own)
		}
	})
}
