package greengageroute

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestNewReplicasHaveWarmHeads guards against new replicas whose heads take few requests at
// first, though a member is warm.
func TestNewReplicasHaveWarmHeads(t *testing.T) {
	tests := []struct {
		name      string
		cold      []string
		perSecond float64
		want      string // head
	}{
		{"all warm", nil, 17, "i-0"},
		{"the first cold", []string{"i-0"}, 17, "i-1"},
		{"one warm", []string{"i-0", "i-1", "i-2"}, 17, "i-3"},
		{"all cold", []string{"i-0", "i-1", "i-2", "i-3"}, 17, "i-0"},
		{"cold targets without a limit", []string{"i-0"}, 0, "i-0"},
	}
	for _, test := range tests {
		now := time.Unix(1000, 0)
		engine := &Engine{Models: []EngineModel{{Name: "m", Size: 4, Share: 1, TimeFactor: 1}}}
		view := PoolView{Pool: "llm", Engine: engine, Targets: map[string]Target{}, Now: now, ColdPerSecond: test.perSecond}
		for i := range 4 {
			target := Target{ID: fmt.Sprint("i-", i), Pool: "llm", Domain: "d", State: TargetReady, StartUnixMilli: 1, Staged: []string{"m"}}
			if slices.Contains(test.cold, target.ID) {
				target.ListedColdUntil = now.Add(time.Second)
			}
			view.Targets[target.ID] = target
		}
		formation := NewFormation(view, 0)
		formation.Update(view)
		if len(formation.Assignments) != 1 || formation.Assignments[0].Members[0] != test.want || len(NewSet(formation.Assignments[0].Members...)) != 4 {
			t.Errorf("%s: the assignments are %+v, want one with the head %s", test.name, formation.Assignments, test.want)
		}
	}
}

// TestMemberThatHasTheModelLoadedIsKept guards against two spares that take turns in a replica, which is
// closed meanwhile: both have the model loaded, and their hosts another one staged.
func TestMemberThatHasTheModelLoadedIsKept(t *testing.T) {
	for _, test := range []struct {
		name   string
		loaded string // by the member before it joined
		kept   bool
	}{{"it has the model loaded", "m", true}, {"it has another one loaded", "n", false}} {
		now := time.Unix(1000, 0)
		engine := &Engine{LoadsPerSecond: 10, Models: []EngineModel{{Name: "m", Size: 2, Share: 1, TimeFactor: 1}, {Name: "n", Size: 9, Share: 0.01, TimeFactor: 1}}}
		view := PoolView{Pool: "llm", Engine: engine, Targets: map[string]Target{}, Now: now, HasTraffic: true}
		add := func(id string, member Membership, staged, loaded string) {
			view.Targets[id] = Target{ID: id, Pool: "llm", Domain: "d", State: TargetReady, StartUnixMilli: 1, Staged: []string{staged}, Membership: member, Loaded: loaded}
		}
		add("i-0", Membership{Replica: "r1", Epoch: 5, Model: "m", State: MemberReady}, "m", "")
		add("i-1", Membership{Replica: "r1", Epoch: 5, Model: "m", Rank: 1, State: MemberReady}, "m", "")
		add("i-2", Membership{Replica: "spare-1", Epoch: 2, Model: "m", State: MemberReady}, "n", "")
		formation := NewFormation(view, 4) // the replica is this planner's
		add("i-1", Membership{Replica: "r1", Epoch: 5, Model: "m", Rank: 1, State: MemberJoining}, "n", test.loaded)
		formation.Update(view)
		if kept := slices.Equal(formation.Assignments[0].Members, []string{"i-0", "i-1"}); kept != test.kept {
			t.Errorf("%s: the assignments are %+v, want it to be kept: %t", test.name, formation.Assignments, test.kept)
		}
	}
}
