package control

import (
	"context"
	"expvar"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
)

const (
	// slowVMSteps is in how many parts a request takes its processor time.
	slowVMSteps = 4
	// formingTime is how long the first replicas of a fleet may take: callers come 14 s after the
	// VMs start, and the targets are listed after 6 s.
	formingTime = 8 * time.Second
)

// slowVM sends requests to the targets of a world with the processor of one VM, on which they wait for
// one another. A request that is late takes its time all the same.
type slowVM struct {
	world     *modelWorld
	processor chan struct{}
	cost      time.Duration   // processor time of a request
	ended     <-chan struct{} // closed at the end of the test

	mu       sync.Mutex // guards world
	requests int
}

// request sends a request, which the target answers by respond.
func (vm *slowVM) request(ctx context.Context, timeout time.Duration, respond func()) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for step := range slowVMSteps {
		select {
		case vm.processor <- struct{}{}:
		case <-vm.ended:
			return context.Canceled
		}
		time.Sleep(vm.cost / slowVMSteps)
		<-vm.processor
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if step == slowVMSteps/2 {
			vm.mu.Lock()
			vm.requests++
			respond()
			vm.mu.Unlock()
		}
	}
	return nil
}

// Send implements OrderSender.
func (vm *slowVM) Send(ctx context.Context, order greengageroute.TargetOrder, timeout time.Duration) error {
	status := 0
	if err := vm.request(ctx, timeout, func() { status = vm.world.execute(order) }); err != nil {
		return err
	}
	if status >= 400 {
		return &greengageroute.OrderRefusedError{Target: order.Target.ID, Status: status}
	}
	return nil
}

// Report implements Reporter.
func (vm *slowVM) Report(ctx context.Context, target greengageroute.Target, timeout time.Duration) (report greengageroute.TargetReport, err error) {
	if err := vm.request(ctx, timeout, func() { report, _ = vm.world.Report(ctx, target, timeout) }); err != nil {
		return greengageroute.TargetReport{}, err
	}
	return report, nil
}

// publishChanges has the targets carry out their orders, and the list show them, until the context
// ends.
func (vm *slowVM) publishChanges(ctx context.Context) {
	shown := map[string]greengageroute.Membership{}
	for ctx.Err() == nil {
		greengageroute.Sleep(ctx, planInterval)
		vm.mu.Lock()
		vm.world.clock.now = time.Now()
		vm.world.endOrders()
		for id, target := range vm.world.targets {
			if shown[id] != target.Membership {
				shown[id] = target.Membership
				vm.world.publish(id)
			}
		}
		vm.mu.Unlock()
	}
}

func (vm *slowVM) openReplicas() (open int) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	for _, target := range vm.world.targets {
		if target.Membership.State == greengageroute.MemberOpen {
			open++
		}
	}
	return open
}

// startSlowPlanner starts the planner of a fleet of 875 targets in 25 domains.
func startSlowPlanner(ctx context.Context, cost time.Duration) (*slowVM, *Planner) {
	clock := greengageroute.RuntimeClock{}
	engine := &greengageroute.Engine{LoadsPerSecond: 50, ConcurrentLoads: 50, Models: []greengageroute.EngineModel{
		{Name: "m", Size: 16, Share: 0.5, LoadTime: 16 * time.Second}, {Name: "n", Size: 4, Share: 0.5, LoadTime: 16 * time.Second},
	}}
	world := newModelWorld(modelGuard{}, func(world *modelWorld) {
		world.directory, world.takesTime = NewDirectory(clock), true
		for i := range 875 {
			id := fmt.Sprintf("i-%03d", i)
			world.add(id, "", 0, 0, "")
			world.targets[id].Domain, world.targets[id].Staged = "d"+strconv.Itoa(i/35), nil
		}
	})
	vm := &slowVM{world: world, cost: cost, ended: ctx.Done(), processor: make(chan struct{}, 1)}
	counters := new(expvar.Map).Init()
	prober := NewProber("", vm, world.directory, &fakeNotifier{}, clock, counters, logr.Discard())
	lease := NewLease(&fakeConn{fakeStore: newFakeStore()}, "entry", true, clock, logr.Discard())
	routes := greengageroute.NewRouteTable(1, nil, map[string]greengageroute.Pool{"llm": {Name: "llm", Engine: engine}}, nil, greengageroute.CallerLimits{}, false)
	planner := NewPlanner(PlannerOptions{
		Lease: lease, OrderSender: NewStateCheck(vm, vm, clock), Activity: fakeActivity{}, Directory: world.directory,
		ListRevision: func() greengageroute.StoreRevision { return greengageroute.StoreRevision{Era: 1, Version: 1 << 40} },
		Routes:       func() *greengageroute.RouteTable { return routes }, HasTraffic: func() bool { return false },
		Confirm: prober.Confirm, Isolated: prober.Isolated, Eligible: func() bool { return true }, StallTimeout: modelStall,
		Clock: clock, Counters: counters, Log: logr.Discard(),
	})
	go planner.Run(ctx)
	go prober.RunLinkChecks(ctx)
	go vm.publishChanges(ctx)
	return vm, planner
}

// TestFleetFormsOnASlowPlanner guards against a planner that has more orders under way than its VM
// sends before they time out: none ends in time, all are sent again, and it takes itself for cut off.
func TestFleetFormsOnASlowPlanner(t *testing.T) {
	for _, test := range []struct {
		name string
		cost time.Duration // processor time of a request
	}{
		{"a fast VM", 100 * time.Microsecond},
		{"a VM of the large deployment", time.Millisecond},
		{"half as fast", 2 * time.Millisecond},
		{"a quarter as fast", 4 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				vm, planner := startSlowPlanner(ctx, test.cost)
				time.Sleep(formingTime)
				open, replicas := vm.openReplicas(), planner.Counters.Get(CountReplicasAssigned).String()
				vm.mu.Lock()
				requests := vm.requests
				vm.mu.Unlock()
				cancel()
				time.Sleep(2 * unreachableTTL) // lets the loops end
				if strconv.Itoa(open) != replicas || open < 100 {
					t.Errorf("%d replicas are open after %s, %s were assigned", open, formingTime, replicas)
				}
				// A join and an order to open or stage for each target, and as many again.
				if most := 4 * len(vm.world.targets); requests > most {
					t.Errorf("%d requests to %d targets, want %d at most", requests, len(vm.world.targets), most)
				}
				for _, counter := range []string{CountIsolations, CountTargetsUnreachable} {
					if count := planner.Counters.Get(counter); count != nil {
						t.Errorf("%s: %s, want none", counter, count)
					}
				}
			})
		})
	}
}

// lateReporter answers nothing, and its callers notice that late.
type lateReporter struct{ delay time.Duration }

func (reporter lateReporter) Report(_ context.Context, _ greengageroute.Target, timeout time.Duration) (greengageroute.TargetReport, error) {
	time.Sleep(timeout + reporter.delay)
	return greengageroute.TargetReport{}, context.DeadlineExceeded
}

// TestLateEntriesDontJudgeTargets guards against entries without processor time that take targets for
// failed, and themselves for cut off, as they read responses too late; and against entries that find
// no failures at all.
func TestLateEntriesDontJudgeTargets(t *testing.T) {
	for _, test := range []struct {
		name     string
		delay    time.Duration
		isolated bool
	}{
		{"the entry is on time", 0, true},
		{"its timers fire a little late", 20 * time.Millisecond, true},
		{"it has no processor time", 400 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory := NewDirectory(greengageroute.RuntimeClock{})
				var targets []greengageroute.Target
				for i := range 10 {
					targets = append(targets, greengageroute.Target{ID: fmt.Sprint("a-", i), DataCentre: "a", Pool: "llm", StartUnixMilli: 1, State: greengageroute.TargetReady})
				}
				directory.Replace(targets, time.Time{})
				notifier := &fakeNotifier{}
				prober := NewProber("a", lateReporter{test.delay}, directory, notifier, greengageroute.RuntimeClock{}, new(expvar.Map).Init(), logr.Discard())
				prober.ProbeReplica(greengageroute.Replica{Pool: "llm", Name: "r", Epoch: 1, Members: targets[:4]})
				time.Sleep(5 * time.Second)
				if found := len(directory.View().Absent) + len(notifier.reportedUnreachable()); found > 0 {
					t.Errorf("%d targets count as unreachable, though nothing responds to the entry", found)
				}
				if prober.Isolated() != test.isolated {
					t.Errorf("isolated: %t, want %t", prober.Isolated(), test.isolated)
				}
				if works := prober.LinksWork("llm"); works {
					t.Error("the links are taken to work")
				}
			})
		})
	}
}

// TestProbesOfAnEntryAreBounded guards against probes that rise with the number of replicas that an entry
// suspects at once.
func TestProbesOfAnEntryAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm := &slowVM{world: newModelWorld(modelGuard{}, oneReplica), cost: 4 * time.Millisecond, processor: make(chan struct{}, 1)}
		directory := NewDirectory(greengageroute.RuntimeClock{})
		member := vm.world.targets["a"].Target
		directory.Replace([]greengageroute.Target{member}, time.Time{})
		counters := new(expvar.Map).Init()
		prober := NewProber("", vm, directory, &fakeNotifier{}, greengageroute.RuntimeClock{}, counters, logr.Discard())
		for epoch := range uint64(400) {
			prober.ProbeReplica(greengageroute.Replica{Pool: "llm", Name: "r", Epoch: epoch, Members: []greengageroute.Target{member}})
		}
		time.Sleep(time.Second)
		probes, _ := strconv.Atoi(counters.Get(CountProbes).String())
		// Those that have ended in one second, at 4 ms each, and those under way.
		if most := 250 + maxProbesUnderWay; probes > most || probes < 100 {
			t.Errorf("%d probes in a second, want 100 to %d", probes, most)
		}
		time.Sleep(time.Minute) // lets the probes end
	})
}

// TestLostLinksAreFoundBesideManyProbes guards against an entry that is cut off from all targets and finds
// that out only after it has probed the members of all the replicas that it suspects, and against probes
// that go on once it knows.
func TestLostLinksAreFoundBesideManyProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := NewDirectory(greengageroute.RuntimeClock{})
		var targets []greengageroute.Target
		for i := range 800 {
			targets = append(targets, greengageroute.Target{ID: fmt.Sprint("a-", i), DataCentre: "a", Pool: "llm", StartUnixMilli: 1, State: greengageroute.TargetReady})
		}
		directory.Replace(targets, time.Time{})
		counters := new(expvar.Map).Init()
		prober := NewProber("a", lateReporter{}, directory, &fakeNotifier{}, greengageroute.RuntimeClock{}, counters, logr.Discard())
		for i := range 50 {
			prober.ProbeReplica(greengageroute.Replica{Pool: "llm", Name: fmt.Sprint("r-", i), Epoch: 1, Members: targets[16*i : 16*i+16]})
		}
		time.Sleep(500 * time.Millisecond)
		go prober.LinksWork("llm")
		time.Sleep(500 * time.Millisecond)
		if !prober.Isolated() {
			t.Error("the entry doesn't count as cut off")
		}
		begun := counters.Get(CountProbes).String()
		time.Sleep(time.Minute)
		if ended := counters.Get(CountProbes).String(); ended != begun {
			t.Errorf("%s probes, %s of them before it knew that it is cut off", ended, begun)
		}
		if found := len(directory.View().Absent); found > 0 {
			t.Errorf("%d targets are taken for failed", found)
		}
	})
}
