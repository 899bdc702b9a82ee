package greengageroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Parameters of a simulated day in one data centre of the intended size, in steps
// of twenty seconds. Some VMs are lost for good, some restart, and one fabric
// domain is unreachable for a while. Losses and restarts are per day.
const (
	dayStep         = 20 * time.Second
	dayLength       = 24 * time.Hour
	dayDomains      = 14
	dayDomainVMs    = 16
	dayGroups       = 44
	dayGroupSize    = 4
	dayVMLosses     = 26.0 / 12
	dayRestarts     = 770.0 / 12
	dayLoad         = time.Minute
	dayDelivery     = 3 * time.Minute
	dayDomainOutage = 30 * time.Minute
	dayShortRestart = time.Minute
	dayLongRestart  = 3 * time.Minute
)

type (
	dayVM struct {
		vm               VM
		report           EngineReport
		boots            int
		downUntil        time.Duration
		lost             bool
		unreachableSince time.Duration // -1 while the VM answers
		loadEnd          time.Duration
	}

	daySimulation struct {
		random            *rand.Rand
		replaceAll        bool
		policy            Policy
		now               time.Duration
		vms               []*dayVM
		created           int
		fleet             Fleet
		deliveries        []delivery
		unreachableDomain string
		downtime          time.Duration // of requested groups
		stranded          time.Duration // of VMs held that no healthy group uses, except for spares that answer
		peak              int
	}

	delivery struct {
		at     time.Duration
		domain string
	}
)

func newDaySimulation(seed uint64, policy Policy, replaceAll bool) *daySimulation {
	sim := &daySimulation{random: rand.New(rand.NewPCG(seed, 5)), replaceAll: replaceAll, policy: policy, fleet: Fleet{DataCentre: "dc"}}
	for i := range dayGroups * dayGroupSize {
		sim.add(fmt.Sprintf("domain-%d", i/dayDomainVMs))
	}
	return sim
}

func (sim *daySimulation) add(domain string) {
	sim.created++
	id := fmt.Sprintf("vm-%04d", sim.created)
	created := &dayVM{vm: VM{ID: id, Domain: domain, State: VMLive}, unreachableSince: -1}
	created.restart()
	sim.vms = append(sim.vms, created)
}

func (vm *dayVM) restart() {
	vm.boots++
	vm.report = EngineReport{VM: vm.vm.ID, Boot: fmt.Sprintf("%s/%d", vm.vm.ID, vm.boots)}
}

func (sim *daySimulation) reachable(vm *dayVM) bool {
	return !vm.lost && sim.now >= vm.downUntil && vm.vm.Domain != sim.unreachableDomain
}

// run simulates the day and returns its result. The first hour, in which all groups
// are formed, is not measured.
func (sim *daySimulation) run() *daySimulation {
	for sim.now = 0; sim.now < dayLength; sim.now += dayStep {
		sim.injectFailures()
		sim.deliver()
		sim.plan()
		sim.supply()
		if sim.now >= time.Hour {
			sim.measure()
		}
	}
	return sim
}

func (sim *daySimulation) chance(perDay float64) bool {
	return sim.random.Float64() < perDay*dayStep.Hours()/24
}

func (sim *daySimulation) injectFailures() {
	if sim.now < time.Hour {
		return
	}
	if sim.chance(dayVMLosses) {
		sim.vms[sim.random.IntN(len(sim.vms))].lost = true
	}
	if sim.chance(dayRestarts) {
		vm := sim.vms[sim.random.IntN(len(sim.vms))]
		vm.downUntil = sim.now + dayShortRestart + time.Duration(sim.random.Int64N(int64(dayLongRestart-dayShortRestart)))
		vm.restart()
	}
	sim.unreachableDomain = ""
	if outageStart := 10 * time.Hour; sim.now >= outageStart && sim.now < outageStart+dayDomainOutage {
		sim.unreachableDomain = "domain-3"
	}
	for _, vm := range sim.vms {
		switch {
		case sim.reachable(vm):
			vm.unreachableSince = -1
		case vm.unreachableSince < 0:
			vm.unreachableSince = sim.now
		}
		if vm.report.Group != "" && !vm.report.Loaded && sim.now >= vm.loadEnd {
			vm.report.Loaded = true
		}
	}
}

func (sim *daySimulation) deliver() {
	var pending []delivery
	for _, due := range sim.deliveries {
		if sim.now < due.at {
			pending = append(pending, due)
			continue
		}
		sim.add(due.domain)
	}
	sim.deliveries = pending
}

func (sim *daySimulation) view() FleetView {
	view := FleetView{
		Fleet: sim.fleet, Specs: daySpecs, Models: dayModels, Health: map[string]VMHealth{}, UnreachableFor: map[string]time.Duration{},
		Drained: func(Group) bool { return true }, Draining: func(string, string) bool { return false },
	}
	for _, vm := range sim.vms {
		view.VMs = append(view.VMs, vm.vm)
		health := VMHealth{Report: vm.report, Reachable: sim.reachable(vm)}
		if !health.Reachable {
			health.MissedProbes = int((sim.now - vm.unreachableSince) / time.Second)
			view.UnreachableFor[vm.vm.ID] = sim.now - vm.unreachableSince
		}
		view.Health[vm.vm.ID] = health
	}
	return view
}

var (
	daySpecs  = []GroupSpec{{Name: "g", Model: "m", Count: dayGroups}}
	dayModels = map[string]Model{"m": {Name: "m", VMsPerGroup: dayGroupSize}}
)

func (sim *daySimulation) plan() {
	view := sim.view()
	if sim.replaceAll {
		// With replaceAll, a group is dissolved as soon as a member is lost.
		for id := range view.UnreachableFor {
			if view.Health[id].MissedProbes >= missedProbesUntilLost {
				view.UnreachableFor[id] = time.Hour
			}
		}
	}
	for change, found := Plan(view); found; change, found = Plan(view) {
		sim.fleet = change.Fleet
		view.Fleet = change.Fleet
	}
	byID := map[string]*dayVM{}
	for _, vm := range sim.vms {
		byID[vm.vm.ID] = vm
	}
	for _, order := range Orders(sim.fleet, view.Health) {
		vm := byID[order.VM]
		vm.report.Group, vm.report.Generation, vm.report.Loaded = order.Group, order.Generation, false
		vm.loadEnd = sim.now + dayLoad
	}
}

// supply takes VMs and gives them back. With replaceAll, it takes a VM for each
// unreachable one at once, and gives the surplus back when those return.
func (sim *daySimulation) supply() {
	view := sim.view()
	supply := Supply{Fleet: sim.fleet, Specs: daySpecs, Models: dayModels, Policy: sim.policy, UnreachableFor: view.UnreachableFor, VMs: view.VMs}
	for i := range dayDomains {
		supply.Domains = append(supply.Domains, FabricDomain{Name: fmt.Sprintf("domain-%d", i), VMs: dayDomainVMs})
	}
	supply.Pending = len(sim.deliveries)
	if sim.replaceAll {
		supply.Pending -= len(view.UnreachableFor) // each unreachable VM is to be replaced
		supply.Policy = Policy{DowntimeWeight: 1, StrandedWeight: 10}
	} else {
		supply.PaidHeadroom = sim.peak - len(sim.vms) - len(sim.deliveries)
	}
	change, found := supply.Plan()
	if !found {
		return
	}
	var remaining []*dayVM
	for _, vm := range sim.vms {
		if !NewSet(change.GiveBack...).Has(vm.vm.ID) {
			remaining = append(remaining, vm)
		}
	}
	sim.vms = remaining
	for range change.Take {
		sim.deliveries = append(sim.deliveries, delivery{sim.now + dayDelivery, change.Domain})
	}
}

func (sim *daySimulation) measure() {
	view := sim.view()
	serving := 0
	for _, group := range sim.fleet.Groups {
		if group.UnhealthyReason(view.Health) == "" {
			serving++
		}
	}
	held := len(sim.vms) + len(sim.deliveries)
	sim.peak = max(sim.peak, held)
	sim.downtime += time.Duration(dayGroups-min(serving, dayGroups)) * dayStep
	spare := 0
	taken := sim.fleet.Taken()
	for _, vm := range sim.vms {
		if !taken.Has(vm.vm.ID) && sim.reachable(vm) {
			spare++
		}
	}
	sim.stranded += time.Duration(held-serving*dayGroupSize-spare) * dayStep
}

// TestADayOfLosses compares the planner, with the weights of each kind of user,
// with a planner that replaces every lost member at once.
func TestADayOfLosses(t *testing.T) {
	const seeds, need = 2, dayGroups * dayGroupSize
	type total struct{ downtime, stranded, peak float64 }
	measure := func(policy Policy, replaceAll bool) total {
		var sum total
		for seed := range uint64(seeds) {
			sim := newDaySimulation(seed, policy, replaceAll).run()
			sum.downtime += sim.downtime.Minutes() / seeds
			sum.stranded += sim.stranded.Minutes() / seeds
			sum.peak = max(sum.peak, float64(sim.peak))
		}
		return sum
	}
	baseline := measure(Policy{DowntimeWeight: 1, StrandedWeight: 1}, true)
	t.Logf("%-13s group downtime %5.0f min, stranded VMs %5.0f min, peak %3.0f of %d needed", "replace all", baseline.downtime, baseline.stranded, baseline.peak, need)
	for _, user := range []struct {
		name   string
		policy Policy
	}{
		{"Department", Policy{DowntimeWeight: 3, StrandedWeight: 1}},
		{"Co-operative", Policy{DowntimeWeight: 1, StrandedWeight: 3}},
	} {
		found := measure(user.policy, false)
		t.Logf("%-13s group downtime %5.0f min, stranded VMs %5.0f min, peak %3.0f of %d needed", user.name, found.downtime, found.stranded, found.peak, need)
		// The supplier bills the peak for the whole time, so VMs held beyond the
		// need at the peak are paid for all day without being used.
		cost := func(total total) float64 {
			unused := (total.peak - need) * (dayLength - time.Hour).Minutes()
			return user.policy.DowntimeWeight*total.downtime + user.policy.StrandedWeight*(total.stranded+unused)
		}
		if cost(found) >= cost(baseline) {
			t.Errorf("%s: weighted cost %.0f, want less than the %.0f of replacing all", user.name, cost(found), cost(baseline))
		}
		if user.policy.DowntimeWeight > user.policy.StrandedWeight && found.downtime >= baseline.downtime {
			t.Errorf("%s: group downtime %.0f min, want less than the %.0f min of replacing all", user.name, found.downtime, baseline.downtime)
		}
		if most := float64(need + user.policy.spares(dayGroupSize)); found.peak > most {
			t.Errorf("%s: peak of %.0f VMs, want at most %.0f", user.name, found.peak, most)
		}
	}
}
