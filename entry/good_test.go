package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/peer"
)

type (
	// newsEntry is an entry that probes and passes good news on, without
	// sockets: its groups are always whole.
	newsEntry struct {
		*goodNews
		name    string
		members *peer.Membership
	}

	// newsNetwork joins them; a message takes up to latency.
	newsNetwork struct {
		mu      sync.Mutex
		entries map[string]*newsEntry
	}
)

const newsLatency = 2 * time.Millisecond

func (entry *newsEntry) Revisions() peer.Revisions                        { return peer.Revisions{Fleet: 1} }
func (entry *newsEntry) ReceiveRevisions(peer.MemberInfo, peer.Revisions) {}
func (entry *newsEntry) HealthyGroups() peer.Pong                         { return entry.tell(time.Now()) }

func (entry *newsEntry) ReceiveHealthyGroups(_ peer.MemberInfo, p peer.Pong, a time.Time) {
	entry.hear(p, a)
}

func (network *newsNetwork) Call(ctx context.Context, address string, message peer.Message) (peer.Message, error) {
	time.Sleep(newsLatency)
	network.mu.Lock()
	to := network.entries[address]
	network.mu.Unlock()
	reply := to.members.HandlePing(ctx, message)
	time.Sleep(newsLatency)
	return reply, nil
}

// probe finds the groups that the entry is responsible for whole.
func (entry *newsEntry) probe(ctx context.Context) {
	for ctx.Err() == nil {
		for _, group := range entry.fleet().Groups {
			if slices.Contains(greengageroute.Rendezvous(group.Name, entry.members.LiveInDataCentre(), probers), entry.name) {
				entry.verdicts.Record(greengageroute.ProbeResult{Group: group.Name, Generation: group.Generation, At: time.Now(), Healthy: true})
			}
		}
		time.Sleep(probePeriod)
	}
}

// TestGoodNewsReachesEveryEntryInTime runs a data centre of the target size for
// ten minutes: no entry ever leaves a whole group alone.
func TestGoodNewsReachesEveryEntryInTime(t *testing.T) {
	const entries, groups, length = 33, 48, 10 * time.Minute
	synctest.Test(t, func(t *testing.T) {
		fleet := greengageroute.Fleet{Revision: 1}
		for i := range groups {
			fleet.Groups = append(fleet.Groups, greengageroute.Group{Name: fmt.Sprintf("g-%d", i), Generation: 1, Members: []greengageroute.Member{{VM: fmt.Sprint(i), Boot: "b"}}})
		}
		network := &newsNetwork{entries: map[string]*newsEntry{}}
		ctx, stop := context.WithCancel(context.Background())
		for i := range entries {
			name := fmt.Sprintf("entry-%02d", i)
			made := &newsEntry{name: name, goodNews: &goodNews{
				verdicts: greengageroute.NewProbeResults(func(greengageroute.ProbeResult) {}),
				fleet:    func() greengageroute.Fleet { return fleet },
			}}
			made.members = peer.NewMembership(peer.MemberInfo{Name: name, Address: name, DataCentre: "ne"}, []string{"entry-00"}, network, made)
			network.mu.Lock()
			network.entries[name] = made
			network.mu.Unlock()
			time.Sleep(31 * time.Millisecond) // entries do not act in step
			go made.members.Run(ctx)
			go made.probe(ctx)
		}
		time.Sleep(time.Minute)
		unserved, oldest := 0, time.Duration(0)
		for began := time.Now(); time.Since(began) < length; time.Sleep(97 * time.Millisecond) {
			for _, entry := range network.entries {
				for _, group := range fleet.Groups {
					verdict, reason := entry.verdicts.Available(group, time.Now())
					oldest = max(oldest, time.Since(verdict.At))
					if reason != "" {
						unserved++
					}
				}
			}
		}
		t.Logf("oldest news in use %s, term %s", oldest.Round(time.Millisecond), greengageroute.ProbeResultTTL)
		if unserved > 0 {
			t.Errorf("whole groups were left alone %d times", unserved)
		}
		stop()
		time.Sleep(time.Minute)
	})
}
