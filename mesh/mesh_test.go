package mesh

import (
	"context"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

// testEntry is an entry whose loads and lease are set by the test. It records the
// updates that it receives.
type testEntry struct {
	*Node
	mu                   sync.Mutex
	loads                []Load
	limits               []TargetLimit
	unreachable          []TargetInstance
	lease                LeaseUpdate
	slow                 []TargetInstance
	leaving              []TargetInstance
	responding           []TargetInstance
	suspected            []TargetInstance
	leaseUpdates         []LeaseUpdate
	readsStore, isolated atomic.Bool
	refused              []greengageroute.QuarantineVerdict
	sound                []greengageroute.CrashCause
	crashes              []greengageroute.CrashReport
	cold                 []ColdReport
}

func (entry *testEntry) Loads() []Load {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return entry.loads
}

func (entry *testEntry) Limits() []TargetLimit {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return entry.limits
}
func (entry *testEntry) Lease() LeaseUpdate    { return entry.lease }
func (entry *testEntry) HasTraffic() bool      { return true }
func (entry *testEntry) ConfigVersion() uint64 { return 0 }
func (entry *testEntry) Isolated() bool        { return entry.isolated.Load() }

// LostPools names none, as entries of older builds do.
func (entry *testEntry) LostPools() []string { return nil }
func (entry *testEntry) ReadsStore() bool    { return entry.readsStore.Load() }
func (entry *testEntry) TargetsUnreachable(_ string, unreachable []TargetInstance) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	entry.unreachable = append(entry.unreachable, unreachable...)
}

func (entry *testEntry) TargetsResponding(_ string, responding []TargetInstance) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	entry.responding = append(entry.responding, responding...)
}

func (entry *testEntry) ReplicasSuspected(_ string, heads []TargetInstance) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	entry.suspected = append(entry.suspected, heads...)
}

func (entry *testEntry) TargetsSlow(_ string, slow []TargetInstance) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	entry.slow = append(entry.slow, slow...)
}

func (entry *testEntry) TargetsLeaving(_ string, leaving []TargetInstance) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	entry.leaving = append(entry.leaving, leaving...)
}

func (entry *testEntry) CrashesReported(_ string, crashes []greengageroute.CrashReport) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	entry.crashes = append(entry.crashes, crashes...)
}

func (entry *testEntry) CausesFoundSound(_ string, causes []greengageroute.CrashCause) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	entry.sound = append(entry.sound, causes...)
}

// CausesQuarantined adopts the causes.
func (entry *testEntry) TargetsCold(_ string, cold []ColdReport) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	entry.cold = append(entry.cold, cold...)
}

func (entry *testEntry) CausesQuarantined(_ string, verdicts []greengageroute.QuarantineVerdict) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	entry.refused = verdicts
}

func (entry *testEntry) Quarantined() []greengageroute.QuarantineVerdict {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return entry.refused
}

func (entry *testEntry) LeaseUpdated(update LeaseUpdate) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	entry.leaseUpdates = append(entry.leaseUpdates, update)
}

// waitUntil polls a condition that datagrams bring about, for up to ten seconds.
func waitUntil(t *testing.T, condition string, done func() bool) {
	t.Helper()
	for range 1000 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting until %s", condition)
}

func TestEntriesDiscoverEachOther(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	entries := make([]*testEntry, 3)
	for i := range entries {
		node, err := Listen(fmt.Sprint("entry-", i), "a", "127.0.0.1:0", 0.3, greengageroute.RuntimeClock{}, func() {})
		if err != nil {
			t.Fatal(err)
		}
		entries[i] = &testEntry{Node: node, loads: []Load{{Target: "i-1", Running: i + 1, PrefillTokens: 100}}}
	}
	entries[1].lease = LeaseUpdate{Holder: "entry-1", Fence: 3, Renewals: 9}
	// Only the newest entry reads the list of the others.
	for _, other := range entries[:2] {
		entries[2].AddPeer(other.self.From, "a", other.Address(), 0.3)
	}
	entries[1].AddPeer("entry-0", "a", entries[0].Address(), 0.3)
	for _, entry := range entries {
		go entry.Run(ctx, entry, entry)
	}
	waitUntil(t, "all entries count each other as live", func() bool {
		return entries[0].LiveEntries() == 3 && entries[1].LiveEntries() == 3 && entries[2].LiveEntries() == 3
	})
	waitUntil(t, "loads are summed", func() bool { return entries[0].Node.Loads()["i-1"].Running == 5 })
	if load := entries[0].Node.Loads()["i-1"]; load.PrefillTokens != 200 {
		t.Errorf("the others have %d prefill tokens, want 200", load.PrefillTokens)
	}
	entries[0].ReportUnreachable(TargetInstance{ID: "i-9", StartUnixMilli: 4})
	waitUntil(t, "the unreachable target and the lease are known", func() bool {
		entries[2].mu.Lock()
		defer entries[2].mu.Unlock()
		return len(entries[2].unreachable) > 0 && len(entries[2].leaseUpdates) > 0
	})
	if update := entries[2].leaseUpdates[0]; update != entries[1].lease {
		t.Errorf("the lease update is %v, want the lease of its holder", update)
	}
	if !entries[0].Active("i-1", time.Second) || entries[0].Active("i-2", time.Second) {
		t.Error("Active must be true of a target with load, and false of an unknown one")
	}
	entries[2].Leave()
	waitUntil(t, "the entry that left no longer counts", func() bool { return entries[0].LiveEntries() == 2 })
}

// TestLeavingEntryStaysGone guards against requests that are forwarded to an entry that is
// stopping: its messages after the first one said that it wasn't leaving.
func TestLeavingEntryStaysGone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	entries := make([]*testEntry, 2)
	for i := range entries {
		node, err := Listen(fmt.Sprint("entry-", i), "a", "127.0.0.1:0", 0.3, greengageroute.RuntimeClock{}, func() {})
		if err != nil {
			t.Fatal(err)
		}
		entries[i] = &testEntry{Node: node, loads: []Load{{Target: "i-1", Running: 1}}}
	}
	entries[0].AddPeer("entry-1", "a", entries[1].Address(), 0.3)
	for _, entry := range entries {
		go entry.Run(ctx, entry, entry)
	}
	waitUntil(t, "the other entry is live", func() bool { return entries[0].LiveEntries() == 2 })
	entries[1].Leave()
	waitUntil(t, "the entry that left no longer counts", func() bool { return entries[0].LiveEntries() == 1 })
	for range 10 {
		entries[1].LoadChanged() // has messages sent while its requests end
		time.Sleep(2 * minSendInterval)
		if live, helpers := entries[0].LiveEntries(), entries[0].Helpers("llm"); live != 1 || len(helpers) > 0 {
			t.Fatalf("%d entries are live and %v help while one of two is leaving, want 1 and none", live, helpers)
		}
	}
	if load := entries[0].Node.Loads()["i-1"]; load.Running != 1 {
		t.Errorf("the load of the entry that leaves is %d, want 1", load.Running)
	}
}

// TestHelpersReachTargets guards against requests that are forwarded to entries that can't
// help, and against a data centre whose last entries get all requests of the others.
func TestHelpersReachTargets(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	entries := make([]*testEntry, 6)
	for i := range entries {
		node, err := Listen(fmt.Sprint("entry-", i), string(rune('a'+i/3)), "127.0.0.1:0", 0.3, greengageroute.RuntimeClock{}, func() {})
		if err != nil {
			t.Fatal(err)
		}
		entries[i] = &testEntry{Node: node}
	}
	for i, entry := range entries {
		for j, other := range entries {
			if i != j {
				entry.AddPeer(other.self.From, other.self.DataCentre, other.Address(), 0.3)
			}
		}
		go entry.Run(ctx, entry, entry)
	}
	helpers := func() (all string, localFirst bool) {
		var names []string
		for _, address := range entries[0].Helpers("llm") {
			index := slices.IndexFunc(entries, func(other *testEntry) bool { return other.Address() == address })
			names = append(names, fmt.Sprint(index))
		}
		localFirst = len(names) > 0 && names[0] < "3"
		slices.Sort(names)
		return strings.Join(names, " "), localFirst
	}
	helpersAre := func(want string) func() bool {
		return func() bool { all, _ := helpers(); return all == want }
	}
	// localAlwaysFirst reports whether one of this data centre comes first in many draws.
	localAlwaysFirst := func() bool {
		for range 100 {
			if _, localFirst := helpers(); !localFirst {
				return false
			}
		}
		return true
	}
	waitUntil(t, "all others help", helpersAre("1 2 3 4 5"))
	if !localAlwaysFirst() {
		t.Error("an entry of the other data centre is asked first, want one of this one")
	}
	entries[1].isolated.Store(true)
	waitUntil(t, "the isolated entry doesn't help", helpersAre("2 3 4 5"))
	if localAlwaysFirst() {
		t.Error("the last entry of the data centre is always asked first")
	}
	entries[4].Leave()
	waitUntil(t, "an entry that leaves doesn't help", helpersAre("2 3 5"))
	entries[1].isolated.Store(false)
	waitUntil(t, "the entry helps again", helpersAre("1 2 3 5"))
	if !localAlwaysFirst() {
		t.Error("an entry of the other data centre is asked first, want one of this one")
	}
}

// TestLeavingEntryIsToldAsLeaving guards against requests that are forwarded to an entry during
// its stop, and against a stopping entry that takes itself for the only one and uses the retry
// budget of all.
func TestLeavingEntryIsToldAsLeaving(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	entries := make([]*testEntry, 3)
	for i := range entries {
		node, err := Listen(fmt.Sprint("entry-", i), "a", "127.0.0.1:0", 0.3, greengageroute.RuntimeClock{}, func() {})
		if err != nil {
			t.Fatal(err)
		}
		entries[i] = &testEntry{Node: node}
	}
	for i, entry := range entries {
		for j, other := range entries {
			if i != j {
				entry.AddPeer(other.self.From, "a", other.Address(), 0.3)
			}
		}
		go entry.Run(ctx, entry, entry)
	}
	waitUntil(t, "all entries know each other", func() bool {
		return entries[0].LiveEntries() == 3 && entries[1].LiveEntries() == 3 && entries[2].LiveEntries() == 3
	})
	entries[2].Leave()
	waitUntil(t, "the entry no longer helps", func() bool { return !slices.Contains(entries[0].Helpers("llm"), entries[2].Address()) })
	entries[0].mu.Lock()
	entries[0].loads = []Load{{Target: "i-1", Running: 7}}
	entries[0].mu.Unlock()
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if slices.Contains(entries[0].Helpers("llm"), entries[2].Address()) {
			t.Fatal("the leaving entry counts as a helper again")
		}
	}
	if live := entries[2].LiveEntries(); live != 3 {
		t.Errorf("the leaving entry counts %d live entries, want 3", live)
	}
	if running := entries[2].Node.Loads()["i-1"].Running; running != 7 {
		t.Errorf("the leaving entry knows of %d requests of the others, want 7", running)
	}
}

// TestLoadsBeyondOneDatagram guards against entries of a large fleet that choose
// replicas without knowing their load: 45 heads fitted into a relay's announcement, and
// the others were left out.
func TestLoadsBeyondOneDatagram(t *testing.T) {
	tests := []struct {
		name        string
		heads       int
		unreachable int
	}{
		{"one datagram", 20, 0},
		{"295 entries before 130 heads", 130, 0},
		{"400 entries before 575 heads", 575, 0},
		{"a fabric domain goes dark", 130, maxUpdates},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			message := Message{From: "frontend-pidurutalagala-1", Address: "10.200.100.100:7340", LiveEntries: 295, AllEntries: true}
			for i := range test.heads {
				message.Loads = append(message.Loads, Load{Target: fmt.Sprintf("i-%08x", i), Running: 10, PrefillTokens: 5000, IdleMillis: 100})
			}
			for i := range test.unreachable {
				message.Unreachable = append(message.Unreachable, TargetInstance{ID: fmt.Sprintf("i-%08x", i), StartUnixMilli: 1_764_850_000_000})
			}
			var received Message
			turns, next := 0, ""
			receive := func() {
				datagram, from, err := message.Encode(next)
				next = from
				if err != nil || len(datagram) > maxDatagram {
					t.Fatalf("the datagram has %d bytes, too many for a packet, or encoding failed: %v", len(datagram), err)
				}
				decoded, err := Decode(datagram)
				if err != nil {
					t.Fatal(err)
				}
				received = decoded.withOtherRanges(received, 60*time.Millisecond)
				turns++
			}
			for receive(); len(received.Loads) < test.heads; receive() {
				if turns > test.heads/40+1 {
					t.Fatalf("%d of %d loads known after %d messages", len(received.Loads), test.heads, turns)
				}
			}
			t.Logf("all loads known after %d messages", turns)
			message.Loads = message.Loads[1:] // the first head has become idle
			for range turns {
				receive()
			}
			if len(received.Loads) != test.heads-1 {
				t.Errorf("%d loads are known, want %d", len(received.Loads), test.heads-1)
			}
			for _, load := range received.Loads {
				if age := time.Duration(load.IdleMillis-100) * time.Millisecond; age < 0 || age > time.Duration(turns)*60*time.Millisecond {
					t.Errorf("the load %v has aged by %s", load, age)
				}
			}
		})
	}
}

// TestUpdatesAreSentInTurns guards against a message that has no room for loads while
// many targets are found unreachable at once.
func TestUpdatesAreSentInTurns(t *testing.T) {
	now := time.Now()
	var updates []timestamped[TargetInstance]
	for i := range int64(35) {
		updates = append(updates, timestamped[TargetInstance]{TargetInstance{StartUnixMilli: i}, now})
	}
	sent := map[int64]int{}
	for turn := range uint64(6) {
		_, next := currentUpdates(updates, now, turn, maxUpdates)
		if len(next) > maxUpdates {
			t.Errorf("turn %d sends %d updates, want at most %d", turn, len(next), maxUpdates)
		}
		for _, update := range next {
			sent[update.StartUnixMilli]++
		}
	}
	if len(sent) != len(updates) || sent[0] != 2 {
		t.Errorf("6 turns sent %d of %d updates, want each twice", len(sent), len(updates))
	}
	if current, _ := currentUpdates(updates, now.Add(2*updateRepeatTime), 0, maxUpdates); len(current) > 0 {
		t.Errorf("%d updates are still repeated", len(current))
	}
}

func FuzzDecode(f *testing.F) {
	message := Message{From: "entry", Address: "10.0.0.1:7340", Loads: []Load{{Target: "i-1", Running: 3}}, Lease: LeaseUpdate{Holder: "x", Fence: 1}}
	datagram, _, err := message.Encode("")
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
		again, _, err := decoded.Encode(decoded.Range.From)
		if err != nil {
			t.Fatal(err)
		}
		if second, err := Decode(again); err == nil && len(second.Loads) == len(decoded.Loads) && !reflect.DeepEqual(second.From, decoded.From) {
			t.Errorf("%v became %v after encoding and decoding", decoded, second)
		}
	})
}

// newFleet returns forty entries in two data centres that know each other from the
// store's list; the first two of each data centre are on large VMs.
func newFleet(t *testing.T) []*testEntry {
	t.Helper()
	entries := make([]*testEntry, 40)
	for i := range entries {
		capacity := 0.1
		if i < 4 {
			capacity = 0.8
		}
		node, err := Listen(fmt.Sprintf("entry-%02d", i), string(rune('a'+i%2)), "127.0.0.1:0", capacity, greengageroute.RuntimeClock{}, func() {})
		if err != nil {
			t.Fatal(err)
		}
		entries[i] = &testEntry{Node: node, loads: []Load{{Target: "i-1", Running: 1, PrefillTokens: 10}}}
	}
	for _, entry := range entries {
		for _, other := range entries {
			entry.AddPeer(other.self.From, other.self.DataCentre, other.Address(), other.self.Capacity)
		}
	}
	return entries
}

// With forty entries, more than the full mesh allows, relays add up the loads of two
// data centres.
func TestRelaysAggregateLoadsOfTheirDataCentres(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	entries := newFleet(t)
	entries[0].lease = LeaseUpdate{Holder: "entry-00", Fence: 3, Renewals: 9}
	for _, entry := range entries {
		go entry.Run(ctx, entry, entry)
	}
	for _, index := range []int{0, 2, 39} { // the active relay, the standby, and an entry that is no relay
		waitUntil(t, fmt.Sprintf("entry %d knows the load of all others", index), func() bool {
			return entries[index].Node.Loads()["i-1"].Running == 39 && entries[index].LiveEntries() == 40
		})
	}
	entries[39].ReportUnreachable(TargetInstance{ID: "i-9", StartUnixMilli: 4})
	entries[39].ReportSlow(TargetInstance{ID: "i-9", StartUnixMilli: 4})
	entries[39].ReportLeaving(TargetInstance{ID: "i-9", StartUnixMilli: 4}) // the same target as the slow one
	entries[39].ReportCold(ColdReport{Target: "i-9", StartUnixMilli: 4, ID: 1, RemainingMillis: 60_000})
	entries[39].ReportSuspected(TargetInstance{ID: "i-9", StartUnixMilli: 4})
	waitUntil(t, "the unreachable target, the slow target, the leaving target, the cold target, the suspected head and the lease are known to all", func() bool {
		for _, entry := range entries[:39] {
			entry.mu.Lock()
			known := len(entry.unreachable) > 0 && len(entry.slow) > 0 && len(entry.leaving) > 0 && len(entry.cold) > 0 && len(entry.suspected) > 0 && (entry == entries[0] || len(entry.leaseUpdates) > 0)
			entry.mu.Unlock()
			if !known {
				return false
			}
		}
		return true
	})
	entries[0].mu.Lock()
	cold := entries[0].cold[len(entries[0].cold)-1]
	entries[0].mu.Unlock()
	if cold.RemainingMillis > 60_000 || cold.RemainingMillis < 50_000 {
		t.Errorf("a target that is cold for 60 s is reported as cold for %d ms", cold.RemainingMillis)
	}
	for _, index := range []int{0, 17, 39} {
		if got, want := entries[index].Seat(), (greengageroute.Seat{Index: index, Entries: 40}); got != want {
			t.Errorf("entry %d has the seat %+v, want %+v", index, got, want)
		}
	}
	entries[39].ReportResponding(TargetInstance{ID: "i-9", StartUnixMilli: 4})
	waitUntil(t, "the target that responds again is known to all", func() bool {
		return !slices.ContainsFunc(entries[:39], func(entry *testEntry) bool {
			entry.mu.Lock()
			defer entry.mu.Unlock()
			return len(entry.responding) == 0
		})
	})
	want := []string{entries[1].Address(), entries[3].Address()}
	if readers, rank := entries[39].Readers(); !reflect.DeepEqual(readers, want) || rank < 2 {
		t.Errorf("entry 39 has rank %d and asks %v, want rank 2 or more and %v", rank, readers, want)
	}
	if readers, rank := entries[1].Readers(); len(readers) > 0 || rank != 0 {
		t.Errorf("the first reader has rank %d and asks %v, want rank 0 and none", rank, readers)
	}
}

// TestCrashCausesReachAllEntries guards against entries that go on sending what crashes
// targets: those that a relay doesn't tell, and those that start after the reports.
func TestCrashCausesReachAllEntries(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	entries := newFleet(t)
	started := entries[:39]
	for _, entry := range started {
		go entry.Run(ctx, entry, entry)
	}
	waitUntil(t, "the entries know each other", func() bool { return entries[38].LiveEntries() == 39 })
	parts := []greengageroute.CrashCause{71, 72}
	entries[38].ReportCrash(greengageroute.CrashReport{CrashID: "i-1/5", Request: 7, Parts: parts[:1]})
	entries[38].ReportCrash(greengageroute.CrashReport{CrashID: "i-1/5", Request: 7, Parts: parts[1:]})
	entries[38].ReportSound(71)
	entries[38].CausesQuarantined("", []greengageroute.QuarantineVerdict{{Cause: 72, SinceCrashMillis: 10}})
	knows := func(entry *testEntry) bool {
		entry.mu.Lock()
		defer entry.mu.Unlock()
		reported := greengageroute.Set[greengageroute.CrashCause]{}
		for _, crash := range entry.crashes {
			for _, part := range crash.Parts {
				reported.Add(part)
			}
		}
		return len(reported) == 2 && slices.Contains(entry.sound, 71)
	}
	waitUntil(t, "the reports and what is sound are known to all", func() bool {
		return !slices.ContainsFunc(started[:38], func(entry *testEntry) bool { return !knows(entry) })
	})
	time.Sleep(2 * updateRepeatTime) // the reports are no longer repeated
	go entries[39].Run(ctx, entries[39], entries[39])
	waitUntil(t, "an entry that starts later refuses the cause", func() bool { return len(entries[39].Quarantined()) == 1 })
}

// TestLimitsReachAllEntries guards against entries that go on sending to a target whose
// limit they haven't read themselves, and against counts that leave out entries.
func TestLimitsReachAllEntries(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	entries := newFleet(t)
	for i, entry := range entries {
		entry.limits = []TargetLimit{{Target: "i-1", MilliPerSecond: 7000, AgeMillis: 900, CentiSent: 100}}
		if i == 38 {
			entry.limits = []TargetLimit{{Target: "i-1", MilliPerSecond: 7400, AgeMillis: 10, CentiSent: 100}}
		}
		go entry.Run(ctx, entry, entry)
	}
	for _, index := range []int{0, 2, 39} { // the active relay, the standby, and an entry that is no relay
		waitUntil(t, fmt.Sprintf("entry %d knows the newest limit and the requests of the others", index), func() bool {
			limit := entries[index].Node.Limits()["i-1"]
			// The messages on the way take up to 0.3 s, in which a count falls by a quarter.
			return limit.PerSecond == 7.4 && limit.Sent > 27 && limit.Sent < 39
		})
	}
}

// TestSilentPeersCountAgainstLimits guards against entries that, cut off from each other,
// each use the whole limit of a target.
func TestSilentPeersCountAgainstLimits(t *testing.T) {
	tests := []struct {
		name      string
		silentFor time.Duration
		leaving   bool
		low, high float64
	}{
		{"heard of just now", 0, false, 2.9, 3},
		{"silent for a moment", 2 * time.Second, false, 2.9, 3},
		{"silent for long", 15 * time.Second, false, 0, 0},
		{"stopped", 2 * time.Second, true, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node := &Node{self: Message{From: "a"}, clock: greengageroute.RuntimeClock{}, rankings: map[string]ranking{}}
				limits := []TargetLimit{{Target: "i-1", MilliPerSecond: 7000, CentiSent: 300}}
				node.peers = map[string]*peer{"b": {own: Message{From: "b", Limits: limits, Leaving: test.leaving}, receivedAt: time.Now()}}
				time.Sleep(test.silentFor)
				if sent := node.Limits()["i-1"].Sent; sent < test.low || sent > test.high {
					t.Errorf("the peers count as having sent %.2f requests, want %.1f to %.1f", sent, test.low, test.high)
				}
			})
		})
	}
}

// An entry receives messages from only one relay of its data centre. If it doesn't know
// the other relay, it counts itself as the second: it then knows no other entry's load,
// counts too few live entries, and reads the store itself.
func TestEntriesKeepFollowingTheirRelays(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	entries := newFleet(t)
	for _, entry := range entries {
		entry.readsStore.Store(true) // as all do when they start together
		go entry.Run(ctx, entry, entry)
	}
	time.Sleep(liveTimeout * 2)
	for index, entry := range entries[4:] {
		want := []string{entries[index%2].Address(), entries[2+index%2].Address()}
		if readers, rank := entry.Readers(); !reflect.DeepEqual(readers, want) || rank < relaysPerDataCentre || entry.IsRelay() {
			t.Fatalf("%s has rank %d and asks %v, want no relay and %v", entry.self.From, rank, readers, want)
		}
		waitUntil(t, entry.self.From+" knows the load of all others", func() bool {
			return entry.Node.Loads()["i-1"].Running == 39 && entry.LiveEntries() == 40
		})
	}
}

// Both relays of a data centre stop at once: the entries that rank next take over, and
// no others.
func TestNextEntriesReplaceLostRelays(t *testing.T) {
	entries := newFleet(t)
	for i, entry := range entries {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		if i == 0 || i == 2 {
			time.AfterFunc(2*time.Second, cancel)
		}
		go entry.Run(ctx, entry, entry)
	}
	time.Sleep(2 * time.Second)
	lostAt := time.Now()
	for index, entry := range entries[4:] {
		relay := index == 0 || index == 2 // the next by name in the first data centre
		waitUntil(t, fmt.Sprintf("IsRelay of %s is %t", entry.self.From, relay), func() bool { return entry.IsRelay() == relay })
		waitUntil(t, entry.self.From+" knows the load of all remaining entries", func() bool {
			return entry.Node.Loads()["i-1"].Running == 37 && entry.LiveEntries() == 38
		})
	}
	if took := time.Since(lostAt); took > 2*liveTimeout {
		t.Errorf("the next relays took over after %s, too late", took)
	}
}

// TestRelaysAreFoundAmongStaleRows guards against entries that, when all start again, send for
// ever to those that would be the relays and have ended, so that none hears of another.
func TestRelaysAreFoundAmongStaleRows(t *testing.T) {
	for _, test := range []struct {
		name        string
		lost        int // first entries of a data centre by rank
		dataCentres int // that have lost them
	}{
		{"relays of one", 2, 1}, {"four of one", 4, 1}, {"half of one", 10, 1}, {"most of one", 18, 1}, {"half of both", 10, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var running []*testEntry
			for i, entry := range newFleet(t) {
				if i%2 < test.dataCentres && i/2 < test.lost {
					_ = entry.conn.Close()
					continue
				}
				running = append(running, entry)
				go entry.Run(ctx, entry, entry)
			}
			for _, dataCentre := range []string{"a", "b"} {
				waitUntil(t, "data centre "+dataCentre+" has its relays", func() bool {
					return len(slices.DeleteFunc(slices.Clone(running), func(entry *testEntry) bool {
						return entry.self.DataCentre != dataCentre || !entry.IsRelay()
					})) == relaysPerDataCentre
				})
			}
			for _, entry := range running {
				waitUntil(t, entry.self.From+" knows the load of all others", func() bool {
					return entry.Node.Loads()["i-1"].Running == len(running)-1 && entry.LiveEntries() == len(running)
				})
			}
		})
	}
}

// Both relays of a data centre can't reach the store but another of its entries can:
// all entries ask that entry.
func TestEntriesAskStoreReaders(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	entries := newFleet(t)
	entries[21].readsStore.Store(true)
	for _, entry := range entries {
		go entry.Run(ctx, entry, entry)
	}
	for _, asking := range []int{1, 3, 5, 39} {
		waitUntil(t, "the entry that reads the store is asked first", func() bool {
			readers, rank := entries[asking].Readers()
			return len(readers) > 0 && readers[0] == entries[21].Address() && rank > 0
		})
	}
	waitUntil(t, "the entry that reads the store asks no other", func() bool {
		readers, rank := entries[21].Readers()
		return len(readers) == 0 && rank == 0
	})
	entries[1].readsStore.Store(true)
	waitUntil(t, "a relay that reads the store precedes another entry that does", func() bool {
		readers, _ := entries[21].Readers()
		return len(readers) == 1 && readers[0] == entries[1].Address()
	})
}

// TestRelayForwardsRenewedReports guards against entries behind relays that aren't told that a
// target is still unreachable, and against reports that relays send each other forever.
func TestRelayForwardsRenewedReports(t *testing.T) {
	node, now := &Node{forwarded: map[any]time.Time{}}, time.Now()
	target := TargetInstance{ID: "i-9", StartUnixMilli: 4}
	if !node.isNew(target, now) {
		t.Error("the first report isn't forwarded")
	}
	for elapsed := time.Duration(0); elapsed < 3*updateRepeatTime/2; elapsed += relaySendInterval {
		if node.isNew(target, now.Add(elapsed)) {
			t.Fatalf("a repetition is forwarded after %s", elapsed)
		}
	}
	if !node.isNew(target, now.Add(4250*time.Millisecond)) {
		t.Error("the renewed report isn't forwarded")
	}
}
