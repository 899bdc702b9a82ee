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
	// gossipEntry is an entry without sockets that probes groups and exchanges
	// healthy results. Its groups are always healthy.
	gossipEntry struct {
		*healthGossip
		name    string
		members *peer.Membership
	}

	// gossipNetwork connects the entries. Each message takes gossipLatency.
	gossipNetwork struct {
		mu      sync.Mutex
		entries map[string]*gossipEntry
	}
)

const gossipLatency = 2 * time.Millisecond

func (entry *gossipEntry) Revisions() peer.Revisions                        { return peer.Revisions{Fleet: 1} }
func (entry *gossipEntry) ReceiveRevisions(peer.MemberInfo, peer.Revisions) {}
func (entry *gossipEntry) HealthyGroups() peer.Pong                         { return entry.collect(time.Now()) }

func (entry *gossipEntry) ReceiveHealthyGroups(_ peer.MemberInfo, pong peer.Pong, sentAt time.Time) {
	entry.receive(pong, sentAt)
}

func (network *gossipNetwork) Call(ctx context.Context, address string, message peer.Message) (peer.Message, error) {
	time.Sleep(gossipLatency)
	network.mu.Lock()
	target := network.entries[address]
	network.mu.Unlock()
	reply := target.members.HandlePing(ctx, message)
	time.Sleep(gossipLatency)
	return reply, nil
}

// probe records healthy results for the groups for which the entry is a prober.
func (entry *gossipEntry) probe(ctx context.Context) {
	for ctx.Err() == nil {
		for _, group := range entry.fleet().Groups {
			if slices.Contains(greengageroute.Rendezvous(group.Name, entry.members.LiveInDataCentre(), probersPerGroup), entry.name) {
				entry.probeResults.Record(greengageroute.ProbeResult{Group: group.Name, Generation: group.Generation, At: time.Now(), Healthy: true})
			}
		}
		time.Sleep(probeInterval)
	}
}

// TestHealthyResultsReachEveryEntryBeforeExpiry simulates a data centre of the
// design size for ten minutes. It guards against healthy results that are forwarded
// too slowly: they would expire at some entry, which would then not use the group.
func TestHealthyResultsReachEveryEntryBeforeExpiry(t *testing.T) {
	const entries, groups, duration = 33, 48, 10 * time.Minute
	synctest.Test(t, func(t *testing.T) {
		fleet := greengageroute.Fleet{Revision: 1}
		for i := range groups {
			fleet.Groups = append(fleet.Groups, greengageroute.Group{Name: fmt.Sprintf("g-%d", i), Generation: 1, Members: []greengageroute.Member{{VM: fmt.Sprint(i), Boot: "b"}}})
		}
		network := &gossipNetwork{entries: map[string]*gossipEntry{}}
		ctx, stop := context.WithCancel(context.Background())
		for i := range entries {
			name := fmt.Sprintf("entry-%02d", i)
			entry := &gossipEntry{name: name, healthGossip: &healthGossip{
				probeResults: greengageroute.NewProbeResults(func(greengageroute.ProbeResult) {}),
				fleet:        func() greengageroute.Fleet { return fleet },
			}}
			entry.members = peer.NewMembership(peer.MemberInfo{Name: name, Address: name, DataCentre: "ne"}, []string{"entry-00"}, network, entry)
			network.mu.Lock()
			network.entries[name] = entry
			network.mu.Unlock()
			time.Sleep(31 * time.Millisecond) // so that the entries do not act at the same moments
			go entry.members.Run(ctx)
			go entry.probe(ctx)
		}
		time.Sleep(time.Minute)
		unavailable, oldest := 0, time.Duration(0)
		for startedAt := time.Now(); time.Since(startedAt) < duration; time.Sleep(97 * time.Millisecond) {
			for _, entry := range network.entries {
				for _, group := range fleet.Groups {
					result, reason := entry.probeResults.Available(group, time.Now())
					oldest = max(oldest, time.Since(result.At))
					if reason != "" {
						unavailable++
					}
				}
			}
		}
		t.Logf("oldest result in use %s, TTL %s", oldest.Round(time.Millisecond), greengageroute.ProbeResultTTL)
		if unavailable > 0 {
			t.Errorf("healthy groups were unavailable %d times", unavailable)
		}
		stop()
		time.Sleep(time.Minute)
	})
}
