package greengageroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The model of a day: one data centre of the target size, in steps of twenty
// seconds. VMs die for good or restart, one fabric domain is dark for a while.
const (
	dayStep         = 20 * time.Second
	dayLength       = 24 * time.Hour
	dayDomains      = 14
	dayDomainVMs    = 16
	dayGroups       = 44
	dayWidth        = 4
	dayDeaths       = 26.0 / 12
	dayRestarts     = 770.0 / 12
	dayLoad         = time.Minute
	dayDelivery     = 3 * time.Minute
	dayDark         = 30 * time.Minute
	dayShortRestart = time.Minute
	dayLongRestart  = 3 * time.Minute
)

type (
	dayVM struct {
		vm      VM
		report  EngineReport
		boots   int
		downTil time.Duration
		dead    bool
		lostAt  time.Duration // -1 while it answers
		loadEnd time.Duration
	}

	day struct {
		random   *rand.Rand
		naive    bool
		policy   Policy
		now      time.Duration
		vms      []*dayVM
		made     int
		fleet    Fleet
		arriving []arrival
		dark     string
		downtime time.Duration // of groups asked for
		stranded time.Duration // of VMs held that no whole group uses, but for spare ones that answer
		peak     int
	}

	arrival struct {
		at     time.Duration
		domain string
	}
)

func newDay(seed uint64, policy Policy, naive bool) *day {
	day := &day{random: rand.New(rand.NewPCG(seed, 5)), naive: naive, policy: policy, fleet: Fleet{DataCentre: "dc"}}
	for i := range dayGroups * dayWidth {
		day.add(fmt.Sprintf("domain-%d", i/dayDomainVMs))
	}
	return day
}

func (day *day) add(domain string) {
	day.made++
	id := fmt.Sprintf("vm-%04d", day.made)
	made := &dayVM{vm: VM{ID: id, Domain: domain, State: VMLive}, lostAt: -1}
	made.restart()
	day.vms = append(day.vms, made)
}

func (vm *dayVM) restart() {
	vm.boots++
	vm.report = EngineReport{VM: vm.vm.ID, Boot: fmt.Sprintf("%s/%d", vm.vm.ID, vm.boots)}
}

func (day *day) answers(vm *dayVM) bool {
	return !vm.dead && day.now >= vm.downTil && vm.vm.Domain != day.dark
}

// run returns the day once it has passed; the first hour, in which all groups
// are formed, is not counted.
func (day *day) run() *day {
	for day.now = 0; day.now < dayLength; day.now += dayStep {
		day.fail()
		day.arrive()
		day.plan()
		day.supply()
		if day.now >= time.Hour {
			day.count()
		}
	}
	return day
}

func (day *day) chance(perDay float64) bool {
	return day.random.Float64() < perDay*dayStep.Hours()/24
}

func (day *day) fail() {
	if day.now < time.Hour {
		return
	}
	if day.chance(dayDeaths) {
		day.vms[day.random.IntN(len(day.vms))].dead = true
	}
	if day.chance(dayRestarts) {
		vm := day.vms[day.random.IntN(len(day.vms))]
		vm.downTil = day.now + dayShortRestart + time.Duration(day.random.Int64N(int64(dayLongRestart-dayShortRestart)))
		vm.restart()
	}
	day.dark = ""
	if darkFrom := 10 * time.Hour; day.now >= darkFrom && day.now < darkFrom+dayDark {
		day.dark = "domain-3"
	}
	for _, vm := range day.vms {
		switch {
		case day.answers(vm):
			vm.lostAt = -1
		case vm.lostAt < 0:
			vm.lostAt = day.now
		}
		if vm.report.Group != "" && !vm.report.Loaded && day.now >= vm.loadEnd {
			vm.report.Loaded = true
		}
	}
}

func (day *day) arrive() {
	var later []arrival
	for _, arrival := range day.arriving {
		if day.now < arrival.at {
			later = append(later, arrival)
			continue
		}
		day.add(arrival.domain)
	}
	day.arriving = later
}

func (day *day) situation() FleetView {
	now := FleetView{
		Fleet: day.fleet, Specs: daySpecs, Models: dayModels, Health: map[string]VMHealth{}, UnreachableFor: map[string]time.Duration{},
		Drained: func(Group) bool { return true }, Draining: func(string, string) bool { return false },
	}
	for _, vm := range day.vms {
		now.VMs = append(now.VMs, vm.vm)
		health := VMHealth{Report: vm.report, Reachable: day.answers(vm)}
		if !health.Reachable {
			health.MissedProbes = int((day.now - vm.lostAt) / time.Second)
			now.UnreachableFor[vm.vm.ID] = day.now - vm.lostAt
		}
		now.Health[vm.vm.ID] = health
	}
	return now
}

var (
	daySpecs  = []GroupSpec{{Name: "g", Model: "m", Count: dayGroups}}
	dayModels = map[string]Model{"m": {Name: "m", VMsPerGroup: dayWidth}}
)

func (day *day) plan() {
	now := day.situation()
	if day.naive {
		// The naive planner dissolves a group as soon as a member is lost.
		for id := range now.UnreachableFor {
			if now.Health[id].MissedProbes >= missedUntilGone {
				now.UnreachableFor[id] = time.Hour
			}
		}
	}
	for step, found := Plan(now); found; step, found = Plan(now) {
		day.fleet = step.Fleet
		now.Fleet = step.Fleet
	}
	byID := map[string]*dayVM{}
	for _, vm := range day.vms {
		byID[vm.vm.ID] = vm
	}
	for _, order := range Orders(day.fleet, now.Health) {
		vm := byID[order.VM]
		vm.report.Group, vm.report.Generation, vm.report.Loaded = order.Group, order.Generation, false
		vm.loadEnd = day.now + dayLoad
	}
}

// supply takes and gives back. The naive planner takes a VM for each that it
// misses, at once, and gives back what is left over when those return.
func (day *day) supply() {
	now := day.situation()
	supply := Supply{Fleet: day.fleet, Specs: daySpecs, Models: dayModels, Policy: day.policy, UnreachableFor: now.UnreachableFor, VMs: now.VMs}
	for i := range dayDomains {
		supply.Domains = append(supply.Domains, FabricDomain{Name: fmt.Sprintf("domain-%d", i), VMs: dayDomainVMs})
	}
	supply.Pending = len(day.arriving)
	if day.naive {
		supply.Pending -= len(now.UnreachableFor) // each is to be replaced
		supply.Policy = Policy{DowntimeWeight: 1, StrandedWeight: 10}
	} else {
		supply.PaidHeadroom = day.peak - len(day.vms) - len(day.arriving)
	}
	step, found := supply.Plan()
	if !found {
		return
	}
	var kept []*dayVM
	for _, vm := range day.vms {
		if !NewSet(step.GiveBack...).Has(vm.vm.ID) {
			kept = append(kept, vm)
		}
	}
	day.vms = kept
	for range step.Take {
		day.arriving = append(day.arriving, arrival{day.now + dayDelivery, step.Domain})
	}
}

func (day *day) count() {
	now := day.situation()
	serving := 0
	for _, group := range day.fleet.Groups {
		if group.UnhealthyReason(now.Health) == "" {
			serving++
		}
	}
	held := len(day.vms) + len(day.arriving)
	day.peak = max(day.peak, held)
	day.downtime += time.Duration(dayGroups-min(serving, dayGroups)) * dayStep
	spare := 0
	taken := day.fleet.Taken()
	for _, vm := range day.vms {
		if !taken.Has(vm.vm.ID) && day.answers(vm) {
			spare++
		}
	}
	day.stranded += time.Duration(held-serving*dayWidth-spare) * dayStep
}

// TestADayOfLosses compares the planner, with each user's weights, with one that
// replaces every lost member at once.
func TestADayOfLosses(t *testing.T) {
	const seeds, need = 2, dayGroups * dayWidth
	type total struct{ downtime, stranded, peak float64 }
	measure := func(policy Policy, naive bool) total {
		var sum total
		for seed := range uint64(seeds) {
			day := newDay(seed, policy, naive).run()
			sum.downtime += day.downtime.Minutes() / seeds
			sum.stranded += day.stranded.Minutes() / seeds
			sum.peak = max(sum.peak, float64(day.peak))
		}
		return sum
	}
	naive := measure(Policy{DowntimeWeight: 1, StrandedWeight: 1}, true)
	t.Logf("%-13s group downtime %5.0f min, stranded VMs %5.0f min, peak %3.0f of %d needed", "replace all", naive.downtime, naive.stranded, naive.peak, need)
	for _, user := range []struct {
		name   string
		policy Policy
	}{
		{"Department", Policy{DowntimeWeight: 3, StrandedWeight: 1}},
		{"Co-operative", Policy{DowntimeWeight: 1, StrandedWeight: 3}},
	} {
		found := measure(user.policy, false)
		t.Logf("%-13s group downtime %5.0f min, stranded VMs %5.0f min, peak %3.0f of %d needed", user.name, found.downtime, found.stranded, found.peak, need)
		// The supplier bills the peak for all of the time, so VMs beyond the need
		// at the peak are paid for and not used all day.
		cost := func(total total) float64 {
			unused := (total.peak - need) * (dayLength - time.Hour).Minutes()
			return user.policy.DowntimeWeight*total.downtime + user.policy.StrandedWeight*(total.stranded+unused)
		}
		if cost(found) >= cost(naive) {
			t.Errorf("%s: weighed cost %.0f, that of replacing all %.0f", user.name, cost(found), cost(naive))
		}
		if user.policy.DowntimeWeight > user.policy.StrandedWeight && found.downtime >= naive.downtime {
			t.Errorf("%s: group downtime %.0f min, that of replacing all %.0f", user.name, found.downtime, naive.downtime)
		}
		if most := float64(need + user.policy.spares(dayWidth)); found.peak > most {
			t.Errorf("%s: peak of %.0f VMs, want at most %.0f", user.name, found.peak, most)
		}
	}
}
