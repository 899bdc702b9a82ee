package control

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
)

var viewRoutes = greengageroute.NewRouteTable(1, nil, map[string]greengageroute.Pool{
	"llm": {Name: "llm", Engine: &greengageroute.Engine{Models: []greengageroute.EngineModel{{Name: "large", Size: 4}, {Name: "small", Size: 2}}}},
}, nil, greengageroute.CallerLimits{}, false)

// replicasFromScratch assembles the open replicas of all targets of a view.
func replicasFromScratch(view *View, model string, size int) []greengageroute.Replica {
	complete, _ := greengageroute.AssembleReplicas(view.Pool("llm"))
	return slices.DeleteFunc(complete, func(replica greengageroute.Replica) bool {
		return replica.Model != model || !replica.IsOpen(size)
	})
}

func describe(replicas []greengageroute.Replica) string {
	var text strings.Builder
	for _, replica := range replicas {
		fmt.Fprint(&text, replica.Name, "@", replica.Epoch, ":")
		for _, member := range replica.Members {
			fmt.Fprint(&text, member.ID, "/", member.Revision, "/", member.State, "/", member.Unlisted, " ")
		}
	}
	return text.String()
}

// TestViewAfterRandomChanges compares the replicas of views that are built from their
// predecessors with those of the same targets assembled at once.
func TestViewAfterRandomChanges(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			directory := NewDirectory(greengageroute.RuntimeClock{})
			directory.SetRoutes(viewRoutes)
			for step := range 400 {
				index := random.IntN(24)
				id := fmt.Sprint("i-", index)
				size, model := 4, "large"
				if index >= 12 {
					size, model = 2, "small"
				}
				state := greengageroute.MemberReady
				if index%size == 0 && random.IntN(8) > 0 {
					state = greengageroute.MemberOpen
				}
				target := greengageroute.Target{ID: id, Pool: "llm", State: greengageroute.TargetReady, StartUnixMilli: 1, Revision: greengageroute.StoreRevision{Version: uint64(step)}, Membership: greengageroute.Membership{
					Replica: fmt.Sprint("r", index/size), Epoch: uint64(1 + random.IntN(8)/7), Model: model, Rank: index % size, State: state,
				}}
				old := directory.View()
				before := describe(old.Replicas("llm", model))
				switch chance := random.IntN(20); {
				case chance == 0:
					directory.Apply(nil, []string{id}, time.Time{})
				case chance == 1:
					directory.MarkUnreachable(mesh.TargetInstance{ID: id, StartUnixMilli: 1})
				case chance == 2:
					time.Sleep(time.Duration(random.IntN(8)) * time.Second)
					directory.Expire()
				case chance == 3:
					directory.Replace([]greengageroute.Target{target}, time.Now().Add(time.Second))
				default:
					directory.Apply([]greengageroute.Target{target}, nil, time.Time{})
				}
				if after := describe(old.Replicas("llm", model)); after != before {
					t.Fatalf("seed %d, step %d: an earlier view changed from %s to %s", seed, step, before, after)
				}
				for _, model := range viewRoutes.Pools["llm"].Engine.Models {
					got, want := directory.View().Replicas("llm", model.Name), replicasFromScratch(directory.View(), model.Name, model.Size)
					if describe(got) != describe(want) {
						t.Fatalf("seed %d, step %d: the replicas are %s, want %s", seed, step, describe(got), describe(want))
					}
				}
			}
		})
	}
}

// BenchmarkViewOfLargeFleet changes five of 875 targets, as a reading of the list
// does while replicas are repaired.
func BenchmarkViewOfLargeFleet(b *testing.B) {
	directory := NewDirectory(greengageroute.RuntimeClock{})
	directory.SetRoutes(viewRoutes)
	var targets []greengageroute.Target
	for index := range 875 {
		state := cmp.Or(map[bool]greengageroute.MemberState{true: greengageroute.MemberOpen}[index%4 == 0], greengageroute.MemberReady)
		targets = append(targets, greengageroute.Target{
			ID: fmt.Sprintf("i-%08x", index), Pool: "llm", State: greengageroute.TargetReady,
			Membership: greengageroute.Membership{Replica: fmt.Sprint("r", index/4), Epoch: 5, Model: "large", Rank: index % 4, State: state},
		})
	}
	directory.Replace(targets, time.Time{})
	b.ReportAllocs()
	for b.Loop() {
		directory.Apply(targets[:5], nil, time.Time{})
	}
}
