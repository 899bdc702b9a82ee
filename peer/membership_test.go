package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

type (
	// network connects memberships without sockets and can block pairs of them.
	network struct {
		mu      sync.Mutex
		members map[string]*Membership
		blocked func(from, to string) bool
		calls   int
	}

	// link is the Transport of one membership in the network.
	link struct {
		network *network
		from    string
	}

	noDelegate struct{}
)

func (noDelegate) Revisions() Revisions                             { return Revisions{} }
func (noDelegate) ReceiveRevisions(MemberInfo, Revisions)           {}
func (noDelegate) HealthyGroups() Pong                              { return Pong{} }
func (noDelegate) ReceiveHealthyGroups(MemberInfo, Pong, time.Time) {}

func (link link) Call(ctx context.Context, address string, message Message) (Message, error) {
	link.network.mu.Lock()
	link.network.calls++
	to, ok := link.network.members[address]
	blocked := link.network.blocked(link.from, address) || link.network.blocked(address, link.from)
	link.network.mu.Unlock()
	if !ok || blocked {
		<-ctx.Done()
		return Message{}, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return to.HandlePing(ctx, message), nil
}

func (network *network) setBlocked(blocked func(from, to string) bool) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.blocked = blocked
}

func allConnected(string, string) bool { return false }

// join starts count memberships in one data centre.
func join(ctx context.Context, t *testing.T, count int) (*network, []*Membership) {
	t.Helper()
	network := &network{members: map[string]*Membership{}, blocked: allConnected}
	var all []*Membership
	for i := range count {
		name := fmt.Sprintf("entry-%02d", i)
		membership := NewMembership(MemberInfo{Name: name, Address: name, DataCentre: "ne", Incarnation: 1}, []string{"entry-00", "entry-01"}, link{network, name}, noDelegate{})
		network.mu.Lock()
		network.members[name] = membership
		network.mu.Unlock()
		all = append(all, membership)
		go membership.Run(ctx)
	}
	return network, all
}

func waitFor(limit time.Duration, condition func() bool) (time.Duration, error) {
	began := time.Now()
	for time.Since(began) < limit {
		if condition() {
			return time.Since(began), nil
		}
		time.Sleep(PingInterval / 10)
	}
	return 0, errors.New("the condition did not hold within the limit")
}

func each(all []*Membership, condition func(*Membership) bool) bool {
	for _, membership := range all {
		if !condition(membership) {
			return false
		}
	}
	return true
}

// TestMembershipDetectsLossAndRecovers guards against an entry that becomes
// unreachable staying listed as live, and against it staying listed as dead once it
// is reachable again.
func TestMembershipDetectsLossAndRecovers(t *testing.T) {
	for _, count := range []int{3, 13, 33} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(context.Background())
				network, all := join(ctx, t, count)
				joined, err := waitFor(time.Minute, func() bool {
					return each(all, func(membership *Membership) bool { return len(membership.LiveInDataCentre()) == count })
				})
				if err != nil {
					t.Fatal("not every entry lists all entries as live after a minute")
				}
				last := all[count-1]
				network.setBlocked(func(from, _ string) bool { return from == last.self.Name })
				detected, err := waitFor(time.Minute, func() bool {
					return each(all[:count-1], func(membership *Membership) bool { return len(membership.LiveInDataCentre()) == count-1 })
				})
				if err != nil {
					t.Error("an unreachable entry is still listed as live after a minute")
				}
				network.setBlocked(allConnected)
				recovered, err := waitFor(2*time.Minute, func() bool {
					return each(all, func(membership *Membership) bool { return len(membership.LiveInDataCentre()) == count })
				})
				if err != nil {
					t.Error("not every entry lists all entries as live 2 minutes after the partition ended")
				}
				t.Logf("%d entries: joined in %s, loss detected by all in %s, recovered in %s", count, joined, detected, recovered)
				stop()
				time.Sleep(time.Minute) // for calls in flight to end
			})
		})
	}
}

// TestCallRateIndependentOfEntryCount guards against an entry making more calls per
// second the more entries there are.
func TestCallRateIndependentOfEntryCount(t *testing.T) {
	const seconds = 60
	rates := map[int]float64{}
	for _, count := range []int{5, 33} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.Background())
			network, _ := join(ctx, t, count)
			time.Sleep(10 * time.Second)
			network.mu.Lock()
			network.calls = 0
			network.mu.Unlock()
			time.Sleep(seconds * time.Second)
			network.mu.Lock()
			rates[count] = float64(network.calls) / seconds / float64(count)
			network.mu.Unlock()
			stop()
			time.Sleep(time.Minute) // for calls in flight to end
		})
	}
	t.Logf("calls per second by an entry: %.2f with 5 entries, %.2f with 33", rates[5], rates[33])
	if rates[33] > 1.1*rates[5] {
		t.Errorf("an entry makes %.2f calls per second with 33 entries and %.2f with 5, want no growth", rates[33], rates[5])
	}
}

// TestIndirectPingKeepsMemberAlive guards against an entry being declared dead
// because one other entry cannot reach it.
func TestIndirectPingKeepsMemberAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		network, all := join(ctx, t, 5)
		time.Sleep(10 * time.Second)
		// Two entries cannot reach each other, but the others can ping both.
		network.setBlocked(func(from, to string) bool { return from == "entry-03" && to == "entry-04" })
		time.Sleep(30 * time.Second)
		if !each(all, func(membership *Membership) bool { return len(membership.LiveInDataCentre()) == 5 }) {
			t.Error("an entry that the others can reach was declared dead")
		}
		stop()
		time.Sleep(time.Minute) // for calls in flight to end
	})
}

func FuzzDecode(f *testing.F) {
	sample, err := encode(Message{From: MemberInfo{Name: "entry"}, Ping: &Ping{Join: true}, MemberUpdates: []MemberInfo{{Name: "other"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sample)
	f.Add([]byte{0xa1, 0x01, 0xff})
	f.Fuzz(func(t *testing.T, bytes []byte) {
		message, err := Decode(bytes)
		if err != nil {
			return
		}
		if _, err := encode(message); err != nil {
			t.Errorf("a decoded message cannot be encoded: %v", err)
		}
	})
}
