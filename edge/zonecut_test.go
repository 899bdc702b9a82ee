package edge

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/control"
)

const (
	zoneCutEntries     = 142
	zoneCutDataCentres = 3
	zoneCutTime        = 6 * time.Second
	// maxZoneCutProbes bounds the probes of all entries in a cut; it was 11,600 to 12,000 when
	// each entry probed what it had found until that responded.
	maxZoneCutProbes = 7500
)

// zoneCutEngine serves models of replicas of 16 and of 4 targets.
var zoneCutEngine = &greengageroute.Engine{
	Slots: 30, StepsPerIteration: 7, StepTime: 5950 * time.Microsecond, StepTimePerSequence: 100 * time.Microsecond, PrefillRate: 50_000, PrefillChunk: 2048, MeanPromptTokens: 1000, MeanAnswerTokens: 100,
	Models: []greengageroute.EngineModel{{Name: "large", Size: 16, Share: 1, TimeFactor: 1}, {Name: "m", Size: 4, Share: 5, TimeFactor: 1}},
}

// zoneCutRoutes are the test routes with replicas of several members.
var zoneCutRoutes = greengageroute.NewRouteTable(7, []greengageroute.Route{
	{
		Name: "chat", Host: "h", Prefix: "/chat/", Kind: greengageroute.Streaming, Timeout: 8 * time.Second, Attempts: 2, Resumable: true,
		LatencyObjective: 250 * time.Millisecond, GapObjective: 200 * time.Millisecond, Pools: toPool("llm"),
	},
	{Name: "post", Host: "h", Prefix: "/post/", Kind: greengageroute.NonIdempotent, Timeout: time.Second, Attempts: 1, Pools: toPool("ledger")},
	{Name: "get", Host: "h", Prefix: "/get/", Kind: greengageroute.Idempotent, Timeout: time.Second, Attempts: 2, Pools: toPool("ledger")},
}, map[string]greengageroute.Pool{"ledger": {Name: "ledger", HealthPath: "/health"}, "llm": {Name: "llm", Engine: zoneCutEngine}},
	map[string]greengageroute.KeyOwner{"key": {Name: "counters"}}, greengageroute.CallerLimits{BodyBytes: 1000}, true)

// zoneCutTargets are 6 domains of 37 targets, each with a replica of 16 targets, five of 4 and a
// spare, and three plain targets.
func zoneCutTargets() (targets []greengageroute.Target) {
	for domain := range 6 {
		replica, rank, size, model := 0, 0, 16, "large"
		for member := range 36 {
			if rank == size {
				replica, rank, size, model = replica+1, 0, 4, "m"
			}
			target := greengageroute.Target{
				ID: fmt.Sprintf("i-%d-%02d", domain, member), Pool: "llm", DataCentre: dataCentreName(domain, zoneCutDataCentres), State: greengageroute.TargetReady, StartUnixMilli: 7, Slots: 30,
				Membership: greengageroute.Membership{Replica: fmt.Sprintf("r%d-%d", domain, replica), Epoch: 1, Model: model, Rank: rank, State: greengageroute.MemberReady},
			}
			if rank == 0 {
				target.Membership.State = greengageroute.MemberOpen
			}
			targets, rank = append(targets, target), rank+1
		}
	}
	for i := range zoneCutDataCentres {
		targets = append(targets, greengageroute.Target{
			ID: fmt.Sprint("ledger-", i), Pool: "ledger", DataCentre: dataCentreName(i, zoneCutDataCentres), State: greengageroute.TargetReady, StartUnixMilli: 7, Slots: 6,
		})
	}
	return targets
}

// cutDataCentre cuts a data centre off from the others, or reconnects it.
func (fleet *fleet) cutDataCentre(name string, state linkState) {
	for _, entry := range fleet.all() {
		for i := range zoneCutDataCentres {
			if other := dataCentreName(i, zoneCutDataCentres); other != entry.dataCentre && (other == name || entry.dataCentre == name) {
				entry.setLinks(state, other)
			}
		}
	}
	if state == linkWorks {
		fleet.network.sever(nil)
		return
	}
	fleet.network.sever(func(from, to netip.AddrPort) bool {
		first, second := from.Addr().As4()[1], to.Addr().As4()[1]
		return first != second && (first == name[0] || second == name[0])
	})
}

// marks returns how many marks of unreachable targets all entries hold.
func (fleet *fleet) marks() (sum int) {
	for _, entry := range fleet.all() {
		if process, _ := entry.running(); process != nil {
			sum += len(process.directory.Unreachable())
		}
	}
	return sum
}

// TestZoneCutCostsFewProbes guards against entries that each probe all targets of a data centre
// that is cut off, at the cost of a connection each, and against targets that aren't used for
// seconds after the cut.
func TestZoneCutCostsFewProbes(t *testing.T) {
	if raceDetector {
		t.Skip("too slow under the race detector; TestUnreachableTargetsAreProbedTogether runs the same code")
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fleet := newFleetWith(ctx, zoneCutEntries, zoneCutDataCentres, zoneCutRoutes, zoneCutTargets())
		fleet.events, fleet.models = 40, []string{"large", "m", "m", "m", "m"}
		time.Sleep(3 * time.Second) // the entries hear from each other
		calling, stopCalling := context.WithCancel(ctx)
		callers := fleet.startCallers(calling, 3.2)
		time.Sleep(2 * time.Second)
		calm, calmDials := fleet.count(control.CountProbes), fleet.dials()
		fleet.cutDataCentre("a", linkHangs)
		time.Sleep(zoneCutTime)
		most := fleet.marks()
		fleet.cutDataCentre("a", linkWorks)
		time.Sleep(time.Second)
		probes, marks := fleet.count(control.CountProbes), fleet.marks()
		t.Logf("%d probes before the cut, %d in it, %d of links, %d of unreachable targets; dials %d and %d; marks %d in the cut, %d 1 s later", calm, probes,
			fleet.count(control.CountLinkProbes), fleet.count(control.CountAwaitProbes), calmDials, fleet.dials(), most, marks)
		if probes > maxZoneCutProbes {
			t.Errorf("%d probes in the cut, want at most %d", probes, maxZoneCutProbes)
		}
		if 4*marks > most {
			t.Errorf("1 s after the cut %d of %d marks of unreachable targets remain, want a quarter", marks, most)
		}
		stopCalling()
		callers.Wait()
		cancel()
		time.Sleep(time.Minute) // lets the probes end
	})
}
