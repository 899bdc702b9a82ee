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
	// network joins memberships without sockets and cuts some off.
	network struct {
		mu      sync.Mutex
		members map[string]*Membership
		blocked func(from, to string) bool
		calls   int
	}

	// link is one membership's way into the network.
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

// join starts memberships and returns when each knows all others.
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
	return 0, errors.New("never")
}

func each(all []*Membership, condition func(*Membership) bool) bool {
	for _, membership := range all {
		if !condition(membership) {
			return false
		}
	}
	return true
}

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
					t.Fatal("the entries did not all find each other")
				}
				last := all[count-1]
				network.setBlocked(func(from, _ string) bool { return from == last.self.Name })
				detected, err := waitFor(time.Minute, func() bool {
					return each(all[:count-1], func(membership *Membership) bool { return len(membership.LiveInDataCentre()) == count-1 })
				})
				if err != nil {
					t.Error("an entry that was cut off was not noticed")
				}
				network.setBlocked(allConnected)
				recovered, err := waitFor(2*time.Minute, func() bool {
					return each(all, func(membership *Membership) bool { return len(membership.LiveInDataCentre()) == count })
				})
				if err != nil {
					t.Error("the cut did not heal")
				}
				t.Logf("%d entries: joined in %s, a loss noticed by all in %s, healed in %s", count, joined, detected, recovered)
				stop()
				time.Sleep(time.Minute) // calls under way end
			})
		})
	}
}

// TestCallRateIndependentOfEntryCount counts the calls that each entry makes.
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
			time.Sleep(time.Minute) // calls under way end
		})
	}
	t.Logf("calls a second of one entry: %.2f of 5, %.2f of 33", rates[5], rates[33])
	if rates[33] > 1.1*rates[5] {
		t.Errorf("an entry makes %.2f calls a second of 33 and %.2f of 5, want no growth", rates[33], rates[5])
	}
}

func TestIndirectPingKeepsMemberAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		network, all := join(ctx, t, 5)
		time.Sleep(10 * time.Second)
		// One pair cannot reach each other; the others vouch for both.
		network.setBlocked(func(from, to string) bool { return from == "entry-03" && to == "entry-04" })
		time.Sleep(30 * time.Second)
		if !each(all, func(membership *Membership) bool { return len(membership.LiveInDataCentre()) == 5 }) {
			t.Error("a pair that others can reach was declared dead")
		}
		stop()
		time.Sleep(time.Minute) // calls under way end
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
			t.Errorf("a message that was decoded cannot be encoded: %v", err)
		}
	})
}
