package mesh

import (
	"context"
	"fmt"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

// member is one entry of a test.
type testEntry struct {
	*Node
	mu           sync.Mutex
	loads        []Load
	lost         []TargetInstance
	lease        LeaseUpdate
	slow         []TargetInstance
	leaseUpdates []LeaseUpdate
	readsStore   atomic.Bool
}

func (member *testEntry) Loads() []Load {
	member.mu.Lock()
	defer member.mu.Unlock()
	return member.loads
}
func (member *testEntry) Lease() LeaseUpdate { return member.lease }
func (member *testEntry) HasTraffic() bool   { return true }
func (member *testEntry) ReadsStore() bool   { return member.readsStore.Load() }
func (member *testEntry) TargetsLost(_ string, lost []TargetInstance) {
	member.mu.Lock()
	defer member.mu.Unlock()
	member.lost = append(member.lost, lost...)
}

func (member *testEntry) TargetsSlow(_ string, slow []TargetInstance) {
	member.mu.Lock()
	defer member.mu.Unlock()
	member.slow = append(member.slow, slow...)
}
func (member *testEntry) CrashesReported(string, []CrashReport) {}
func (member *testEntry) LeaseUpdated(news LeaseUpdate) {
	member.mu.Lock()
	defer member.mu.Unlock()
	member.leaseUpdates = append(member.leaseUpdates, news)
}

// until waits for something that datagrams bring about.
func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 1000 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("waited in vain until %s", what)
}

func TestEntriesDiscoverEachOther(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	members := make([]*testEntry, 3)
	for i := range members {
		node, err := Listen(fmt.Sprint("entry-", i), "a", "127.0.0.1:0", 0.3, greengageroute.RuntimeClock{}, func() {})
		if err != nil {
			t.Fatal(err)
		}
		members[i] = &testEntry{Node: node, loads: []Load{{Target: "i-1", Running: i + 1, PrefillTokens: 100}}}
	}
	members[1].lease = LeaseUpdate{Holder: "entry-1", Fence: 3, Renewals: 9}
	// Only the newest entry reads the list of the others.
	for _, other := range members[:2] {
		members[2].AddPeer(other.self.From, "a", other.Address(), 0.3)
	}
	members[1].AddPeer("entry-0", "a", members[0].Address(), 0.3)
	for _, one := range members {
		go one.Run(ctx, one, one)
	}
	waitUntil(t, "all are live", func() bool {
		return members[0].LiveEntries() == 3 && members[1].LiveEntries() == 3 && members[2].LiveEntries() == 3
	})
	waitUntil(t, "loads are summed", func() bool { return members[0].Node.Loads()["i-1"].Running == 5 })
	if load := members[0].Node.Loads()["i-1"]; load.PrefillTokens != 200 {
		t.Errorf("the others read %d tokens, want 200", load.PrefillTokens)
	}
	members[0].ReportLost(TargetInstance{ID: "i-9", StartUnixMilli: 4})
	waitUntil(t, "the loss is known", func() bool {
		members[2].mu.Lock()
		defer members[2].mu.Unlock()
		return len(members[2].lost) > 0 && len(members[2].leaseUpdates) > 0
	})
	if news := members[2].leaseUpdates[0]; news != members[1].lease {
		t.Errorf("the lease is heard as %v", news)
	}
	if !members[0].Active("i-1", time.Second) || members[0].Active("i-2", time.Second) {
		t.Error("signs of targets are told wrongly")
	}
	members[2].Leave()
	waitUntil(t, "one has left", func() bool { return members[0].LiveEntries() == 2 })
}

func TestMessagesFitIntoAPacket(t *testing.T) {
	message := Message{From: "entry", Address: "10.0.0.1:7340"}
	for i := range 200 {
		message.Loads = append(message.Loads, Load{Target: fmt.Sprintf("i-%08x", i), Running: 10, PrefillTokens: 5000})
	}
	datagram, err := message.Encode()
	if err != nil || len(datagram) > maxDatagram {
		t.Fatalf("%d bytes, %v", len(datagram), err)
	}
}

func FuzzDecode(f *testing.F) {
	message := Message{From: "entry", Address: "10.0.0.1:7340", Loads: []Load{{Target: "i-1", Running: 3}}, Lease: LeaseUpdate{Holder: "x", Fence: 1}}
	datagram, err := message.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(datagram)
	f.Add([]byte{0xa1, 0x01})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		decoded, err := Decode(datagram)
		if err != nil {
			return
		}
		again, err := decoded.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if second, err := Decode(again); err == nil && len(second.Loads) == len(decoded.Loads) && !reflect.DeepEqual(second.From, decoded.From) {
			t.Errorf("%v became %v", decoded, second)
		}
	})
}

// fleet returns forty entries in two data centres that know each other from the
// store's list; the first two of each data centre are on large VMs.
func newFleet(t *testing.T) []*testEntry {
	t.Helper()
	members := make([]*testEntry, 40)
	for i := range members {
		capacity := 0.1
		if i < 4 {
			capacity = 0.8
		}
		node, err := Listen(fmt.Sprintf("entry-%02d", i), string(rune('a'+i%2)), "127.0.0.1:0", capacity, greengageroute.RuntimeClock{}, func() {})
		if err != nil {
			t.Fatal(err)
		}
		members[i] = &testEntry{Node: node, loads: []Load{{Target: "i-1", Running: 1, PrefillTokens: 10}}}
	}
	for _, one := range members {
		for _, other := range members {
			one.AddPeer(other.self.From, other.self.DataCentre, other.Address(), other.self.Capacity)
		}
	}
	return members
}

// Forty entries in two data centres: beyond the direct limit, relays add up.
func TestRelaysAggregateLoadsOfTheirDataCentres(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	members := newFleet(t)
	members[0].lease = LeaseUpdate{Holder: "entry-00", Fence: 3, Renewals: 9}
	for _, one := range members {
		go one.Run(ctx, one, one)
	}
	for _, place := range []int{0, 2, 39} { // a relay, the one that stands by, and another entry
		waitUntil(t, fmt.Sprintf("entry %d knows what all others have under way", place), func() bool {
			return members[place].Node.Loads()["i-1"].Running == 39 && members[place].LiveEntries() == 40
		})
	}
	members[39].ReportLost(TargetInstance{ID: "i-9", StartUnixMilli: 4})
	members[39].ReportSlow(TargetInstance{ID: "i-9", StartUnixMilli: 4})
	waitUntil(t, "the loss is known everywhere, and a slow target, and the lease", func() bool {
		for _, one := range members[:39] {
			one.mu.Lock()
			known := len(one.lost) > 0 && len(one.slow) > 0 && (one == members[0] || len(one.leaseUpdates) > 0)
			one.mu.Unlock()
			if !known {
				return false
			}
		}
		return true
	})
	want := []string{members[1].Address(), members[3].Address()}
	if readers, place := members[39].Readers(); !reflect.DeepEqual(readers, want) || place < 2 {
		t.Errorf("entry 39, at place %d, asks %v, want %v", place, readers, want)
	}
	if readers, place := members[1].Readers(); len(readers) > 0 || place != 0 {
		t.Errorf("the first reader, at place %d, asks %v", place, readers)
	}
}

// An entry hears only one relay of its data centre. It has to go on knowing that
// there is another, or it takes itself for the second: it then knows nobody's load,
// counts few live entries, and reads the store.
func TestEntriesKeepFollowingTheirRelays(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	members := newFleet(t)
	for _, one := range members {
		one.readsStore.Store(true) // as all do when they start together
		go one.Run(ctx, one, one)
	}
	time.Sleep(liveTimeout * 2)
	for place, one := range members[4:] {
		want := []string{members[place%2].Address(), members[2+place%2].Address()}
		if readers, rank := one.Readers(); !reflect.DeepEqual(readers, want) || rank < relaysPerDataCentre || one.IsRelay() {
			t.Fatalf("%s, at place %d, asks %v, want %v", one.self.From, rank, readers, want)
		}
		waitUntil(t, one.self.From+" knows the load of all", func() bool {
			return one.Node.Loads()["i-1"].Running == 39 && one.LiveEntries() == 40
		})
	}
}

// Both relays of a data centre end at once: its next largest entries take over,
// and only these.
func TestNextEntriesReplaceLostRelays(t *testing.T) {
	members := newFleet(t)
	for i, one := range members {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		if i == 0 || i == 2 {
			time.AfterFunc(2*time.Second, cancel)
		}
		go one.Run(ctx, one, one)
	}
	time.Sleep(2 * time.Second)
	lost := time.Now()
	for place, one := range members[4:] {
		relay := place == 0 || place == 2 // the next by name in the first data centre
		waitUntil(t, fmt.Sprintf("%s takes itself for a relay: %t", one.self.From, relay), func() bool { return one.IsRelay() == relay })
		waitUntil(t, one.self.From+" knows the load of all that are left", func() bool {
			return one.Node.Loads()["i-1"].Running == 37 && one.LiveEntries() == 38
		})
	}
	if took := time.Since(lost); took > 2*liveTimeout {
		t.Errorf("the next relays were settled after %s", took)
	}
}

// Both relays of a data centre have lost the store and another entry has it: all
// ask that one.
func TestEntriesAskStoreReaders(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	members := newFleet(t)
	members[21].readsStore.Store(true)
	for _, one := range members {
		go one.Run(ctx, one, one)
	}
	for _, asking := range []int{1, 3, 5, 39} {
		waitUntil(t, "the entry that has the store is asked first", func() bool {
			readers, place := members[asking].Readers()
			return len(readers) > 0 && readers[0] == members[21].Address() && place > 0
		})
	}
	waitUntil(t, "the one that has it asks nobody", func() bool {
		readers, place := members[21].Readers()
		return len(readers) == 0 && place == 0
	})
	members[1].readsStore.Store(true)
	waitUntil(t, "a relay that has the store goes first", func() bool {
		readers, _ := members[21].Readers()
		return len(readers) == 1 && readers[0] == members[1].Address()
	})
}
