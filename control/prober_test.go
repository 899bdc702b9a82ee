package control

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
)

// scriptedReporter answers the n-th probe with the n-th report of its script.
type scriptedReporter struct {
	script []scriptedReport
	probes atomic.Int64
}

type scriptedReport struct {
	delay          time.Duration // 0: no delay
	late           bool          // the delay may exceed the timeout, as when the entry itself is stalled
	startUnixMilli int64
	err            error
	noReply        bool
	membership     greengageroute.Membership
}

func (reporter *scriptedReporter) Report(_ context.Context, _ greengageroute.Target, timeout time.Duration) (greengageroute.TargetReport, error) {
	index := int(reporter.probes.Add(1)) - 1
	step := reporter.script[min(index, len(reporter.script)-1)]
	if step.noReply && !step.late {
		step.delay = timeout
	}
	time.Sleep(step.delay)
	if step.noReply {
		return greengageroute.TargetReport{}, errors.New("no response")
	}
	return greengageroute.TargetReport{StartUnixMilli: step.startUnixMilli, Membership: step.membership}, step.err
}

type fakeNotifier struct {
	mu                            sync.Mutex
	unreachable, responding, slow []mesh.TargetInstance
	entries                       int // of the data centre; 0: one
}

func (notifier *fakeNotifier) ReportUnreachable(unreachable ...mesh.TargetInstance) {
	notifier.mu.Lock()
	defer notifier.mu.Unlock()
	notifier.unreachable = append(notifier.unreachable, unreachable...)
}

func (notifier *fakeNotifier) ReportResponding(responding ...mesh.TargetInstance) {
	notifier.mu.Lock()
	defer notifier.mu.Unlock()
	notifier.responding = append(notifier.responding, responding...)
}

func (notifier *fakeNotifier) EntriesSharingLinks() int { return max(notifier.entries, 1) }

func (notifier *fakeNotifier) reportedUnreachable() []mesh.TargetInstance {
	notifier.mu.Lock()
	defer notifier.mu.Unlock()
	return slices.Clone(notifier.unreachable)
}

func (notifier *fakeNotifier) reportedResponding() []mesh.TargetInstance {
	notifier.mu.Lock()
	defer notifier.mu.Unlock()
	return slices.Clone(notifier.responding)
}

func (notifier *fakeNotifier) ReportSlow(slow ...mesh.TargetInstance) {
	notifier.slow = append(notifier.slow, slow...)
}

func TestMemberProbeIsHedged(t *testing.T) {
	refused := &greengageroute.OrderRefusedError{Target: "i-1", Status: 421}
	tests := []struct {
		name   string
		script []scriptedReport
		alive  bool
		within time.Duration
	}{
		{"responds", []scriptedReport{{startUnixMilli: 7, delay: 5 * time.Millisecond}}, true, 5 * time.Millisecond},
		{"does not respond", []scriptedReport{{noReply: true}}, false, probeHedgeDelay + probeTimeout},
		{"one packet is lost", []scriptedReport{{noReply: true}, {startUnixMilli: 7, delay: 2 * time.Millisecond}}, true, probeHedgeDelay + 2*time.Millisecond},
		{"refuses connections", []scriptedReport{{err: errors.New("reset")}}, false, probeHedgeDelay},
		{"is another target", []scriptedReport{{err: refused}}, false, 0},
		{"has restarted", []scriptedReport{{startUnixMilli: 8}}, false, 0},
		{
			"the entry is stalled",
			[]scriptedReport{{noReply: true, late: true, delay: time.Second}, {noReply: true, late: true, delay: time.Second}, {startUnixMilli: 7}},
			true, time.Second + probeHedgeDelay,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				prober := NewProber("a", &scriptedReporter{script: test.script}, NewDirectory(greengageroute.RuntimeClock{}), &fakeNotifier{},
					greengageroute.RuntimeClock{}, new(expvar.Map).Init(), logr.Discard())
				started := time.Now()
				result := prober.probeTarget(greengageroute.Target{ID: "i-1", StartUnixMilli: 7})
				if took := time.Since(started); result.alive != test.alive || took > test.within {
					t.Errorf("alive: %t after %s, want %t within %s", result.alive, took, test.alive, test.within)
				}
				time.Sleep(2 * time.Second) // lets open probes end
			})
		})
	}
}

// linkReporter responds for the targets of some data centres, and for none of the given ids.
type linkReporter struct {
	dataCentres []string
	failed      []string
	members     []string     // of the silent replica, which are probed until they respond
	probes      atomic.Int64 // of other targets
}

func (reporter *linkReporter) Report(_ context.Context, target greengageroute.Target, timeout time.Duration) (greengageroute.TargetReport, error) {
	if !slices.Contains(reporter.members, target.ID) {
		reporter.probes.Add(1)
	}
	if slices.Contains(reporter.dataCentres, target.DataCentre) && !slices.Contains(reporter.failed, target.ID) {
		return greengageroute.TargetReport{StartUnixMilli: 1}, nil
	}
	time.Sleep(timeout)
	return greengageroute.TargetReport{}, errors.New("no response")
}

// TestFailedLinksAreNotFailedTargets guards against an entry that takes targets for failed,
// and tells the others so, because its own links have failed.
func TestFailedLinksAreNotFailedTargets(t *testing.T) {
	replica := greengageroute.Replica{Name: "r", Epoch: 1, Members: []greengageroute.Target{{ID: "a-0", DataCentre: "a", StartUnixMilli: 1}, {ID: "a-1", DataCentre: "a", StartUnixMilli: 1}}}
	tests := []struct {
		name       string
		responding []string
		failed     []string
		isolated   bool
		found      int
	}{
		{"a replica has failed", []string{"a", "b"}, []string{"a-0", "a-1"}, false, 2},
		{"all links have failed", nil, nil, true, 0},
		{"the other data centre is cut off", []string{"a"}, []string{"a-0"}, false, 1},
		{"the data centre of this entry is dark", []string{"b"}, nil, false, 2},
		{"a single target responds", []string{"a", "b"}, except("a-7"), true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory := NewDirectory(greengageroute.RuntimeClock{})
				var targets []greengageroute.Target
				for i := range 10 {
					for _, dataCentre := range []string{"a", "b"} {
						targets = append(targets, greengageroute.Target{ID: fmt.Sprint(dataCentre, "-", i), DataCentre: dataCentre, StartUnixMilli: 1, State: greengageroute.TargetReady})
					}
				}
				directory.Replace(targets, time.Time{})
				reporter := &linkReporter{dataCentres: test.responding, failed: test.failed, members: []string{"a-0", "a-1"}}
				prober := NewProber("a", reporter, directory, &fakeNotifier{}, greengageroute.RuntimeClock{}, new(expvar.Map).Init(), logr.Discard())
				prober.ProbeReplica(replica)
				time.Sleep(time.Second)
				if found := len(directory.View().Absent); found != test.found || prober.Isolated() != test.isolated {
					t.Errorf("%d targets found unreachable, isolated: %v, want %d and %v", found, prober.Isolated(), test.found, test.isolated)
				}
				ctx, cancel := context.WithCancel(context.Background())
				go prober.RunLinkChecks(ctx)
				probes := reporter.probes.Load()
				time.Sleep(3 * time.Second)
				if test.isolated == (reporter.probes.Load() == probes) {
					t.Errorf("%d probes of the links in 3 s, isolated: %v", reporter.probes.Load()-probes, test.isolated)
				}
				directory.Replace(nil, time.Time{})
				time.Sleep(time.Second)
				if prober.Isolated() {
					t.Error("the entry is isolated from no targets")
				}
				cancel()
				time.Sleep(2 * unreachableTTL) // lets the loops end
			})
		})
	}
}

// TestPoolsAreLostAlone guards against calls to a small pool that wait in vain, since targets of
// other pools respond, and against an entry that gives its lease away for a small pool's sake.
func TestPoolsAreLostAlone(t *testing.T) {
	ids := func(pool string, count int) (ids []string) {
		for i := range count {
			ids = append(ids, fmt.Sprint(pool, "-", i))
		}
		return ids
	}
	llm, ledger := ids("llm", 20), ids("ledger", 4)
	tests := []struct {
		name      string
		failed    []string
		lost      []string
		isolated  bool
		linksWork map[string]bool
	}{
		{"no pool", nil, nil, false, map[string]bool{"llm": true, "ledger": true}},
		{"one of four targets", ledger[:1], nil, false, map[string]bool{"llm": true, "ledger": true}},
		{"a small pool", ledger, []string{"ledger"}, false, map[string]bool{"llm": true, "ledger": true}},
		{"a small pool but for one target", ledger[:3], []string{"ledger"}, false, map[string]bool{"llm": true, "ledger": true}},
		{"a large pool", llm, []string{"llm"}, true, map[string]bool{"llm": false, "ledger": false}},
		{"both pools", slices.Concat(llm, ledger), []string{"ledger", "llm"}, true, map[string]bool{"llm": false, "ledger": false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory := NewDirectory(greengageroute.RuntimeClock{})
				var targets []greengageroute.Target
				for _, id := range slices.Concat(llm, ledger) {
					pool, _, _ := strings.Cut(id, "-")
					targets = append(targets, greengageroute.Target{ID: id, Pool: pool, DataCentre: "b", StartUnixMilli: 1, State: greengageroute.TargetReady})
				}
				directory.Replace(targets, time.Time{})
				prober := NewProber("a", &linkReporter{dataCentres: []string{"b"}, failed: test.failed}, directory, &fakeNotifier{}, greengageroute.RuntimeClock{}, new(expvar.Map).Init(), logr.Discard())
				prober.LinksWork("llm")
				for pool, want := range test.linksWork {
					if work := prober.LinksWork(pool); work != want {
						t.Errorf("the links to %s work: %v, want %v", pool, work, want)
					}
				}
				if lost := prober.LostPools(); !slices.Equal(lost, test.lost) || prober.Isolated() != test.isolated {
					t.Errorf("lost %v, isolated: %v, want %v and %v", lost, prober.Isolated(), test.lost, test.isolated)
				}
				ctx, cancel := context.WithCancel(context.Background())
				go prober.RunLinkChecks(ctx)
				directory.Replace(nil, time.Time{})
				time.Sleep(time.Second)
				if lost := prober.LostPools(); len(lost) > 0 || prober.Isolated() {
					t.Errorf("pools without targets are lost: %v", lost)
				}
				cancel()
				time.Sleep(time.Second) // lets the loop end
			})
		})
	}
}

// TestRowsOfUnknownServicesDontIsolate guards against an entry that gives its requests and its
// lease away because rows of services that the config doesn't name don't respond.
func TestRowsOfUnknownServicesDontIsolate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := NewDirectory(greengageroute.RuntimeClock{})
		directory.SetRoutes(greengageroute.NewRouteTable(1, nil, map[string]greengageroute.Pool{"ledger": {Name: "ledger"}}, nil, greengageroute.CallerLimits{}, false))
		var targets []greengageroute.Target
		for i := range 10 {
			targets = append(targets, greengageroute.Target{ID: fmt.Sprint("a-", i), Pool: "ledger", DataCentre: "a", StartUnixMilli: 1, State: greengageroute.TargetReady})
			for _, dataCentre := range []string{"a", "c"} {
				for j := range 9 {
					targets = append(targets, greengageroute.Target{ID: fmt.Sprint("other-", dataCentre, i, j), Pool: "other", DataCentre: dataCentre, StartUnixMilli: 1, State: greengageroute.TargetReady})
				}
			}
		}
		directory.Replace(targets, time.Time{})
		failed := []string{"a-0"}
		for _, target := range targets {
			if target.Pool == "other" {
				failed = append(failed, target.ID)
			}
		}
		prober := NewProber("a", &linkReporter{dataCentres: []string{"a"}, failed: failed}, directory, &fakeNotifier{}, greengageroute.RuntimeClock{}, new(expvar.Map).Init(), logr.Discard())
		if !prober.LinksWork("ledger") {
			t.Error("the entry is isolated, want its links to work as the targets of the config's services respond")
		}
		time.Sleep(time.Second) // lets the other probes end
	})
}

// cutReporter responds for all targets until it is cut off from them; then they refuse connections.
type cutReporter struct{ cut atomic.Bool }

func (reporter *cutReporter) Report(context.Context, greengageroute.Target, time.Duration) (greengageroute.TargetReport, error) {
	if reporter.cut.Load() {
		return greengageroute.TargetReport{}, errors.New("connection refused")
	}
	time.Sleep(2 * time.Millisecond)
	return greengageroute.TargetReport{StartUnixMilli: 1}, nil
}

// TestLinksLostAfterTheirCheckAreNotFailedTargets guards against an entry that tells the others that
// sound targets failed, since its links worked as it checked them shortly before.
func TestLinksLostAfterTheirCheckAreNotFailedTargets(t *testing.T) {
	probes := map[string]func(prober *Prober, members []greengageroute.Target){
		"members of a silent replica": func(prober *Prober, members []greengageroute.Target) {
			prober.ProbeReplica(greengageroute.Replica{Name: "r", Epoch: 1, Pool: "llm", Members: members})
		},
		"targets that others report": func(prober *Prober, members []greengageroute.Target) {
			prober.ConfirmReports([]mesh.TargetInstance{members[0].Instance(), members[1].Instance()})
		},
	}
	for name, probe := range probes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory := NewDirectory(greengageroute.RuntimeClock{})
				var targets []greengageroute.Target
				for i := range 10 {
					targets = append(targets, greengageroute.Target{ID: fmt.Sprint("a-", i), Pool: "llm", DataCentre: "a", StartUnixMilli: 1})
				}
				directory.Replace(targets, time.Time{})
				reporter, notifier := &cutReporter{}, &fakeNotifier{}
				prober := NewProber("a", reporter, directory, notifier, greengageroute.RuntimeClock{}, new(expvar.Map).Init(), logr.Discard())
				if !prober.LinksWork("llm") {
					t.Error("the links don't work before the cut")
				}
				reporter.cut.Store(true)
				probe(prober, targets[:2])
				time.Sleep(time.Second)
				if found := notifier.reportedUnreachable(); len(found) > 0 {
					t.Errorf("the others are told that %v failed", found)
				}
				if found := directory.Unreachable(); len(found) > 0 {
					t.Errorf("%d targets count as failed", len(found))
				}
				if !prober.LostPool("llm") {
					t.Error("the links count as working after the cut")
				}
				reporter.cut.Store(false)
				time.Sleep(2 * time.Second) // lets other probes end
			})
		})
	}
}

// offsetClock reads another time than the runtime's, as the clock of the VM's boot does.
type offsetClock struct{}

func (offsetClock) Now() time.Time { return time.Now().AddDate(-20, 0, 0) }

// TestChecksAfterAFailureAreShared guards against a check of the links for each of the answers that are
// lost together, and against one check for losses before and after it.
func TestChecksAfterAFailureAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := NewDirectory(offsetClock{})
		for i := range 10 {
			directory.Apply([]greengageroute.Target{{ID: fmt.Sprint("a-", i), Pool: "llm", DataCentre: "a", StartUnixMilli: 1}}, nil, time.Time{})
		}
		counters := new(expvar.Map).Init()
		prober := NewProber("a", &cutReporter{}, directory, &fakeNotifier{}, offsetClock{}, counters, logr.Discard())
		checks := func() int64 { return counters.Get(CountLinkProbes).(*expvar.Int).Value() / linkProbes }
		lostAt := time.Now()
		time.Sleep(50 * time.Millisecond)
		for range 20 {
			go prober.LinksWorkSince("llm", time.Since(lostAt))
		}
		time.Sleep(50 * time.Millisecond)
		if made := checks(); made != 1 {
			t.Errorf("%d checks are made for answers that were lost together, want 1", made)
		}
		prober.LinksWorkSince("llm", 10*time.Millisecond)
		if made := checks(); made != 2 {
			t.Errorf("%d checks are made after a later loss, want 2", made)
		}
	})
}

// except returns the ids of all targets but one.
func except(id string) (ids []string) {
	for i := range 10 {
		for _, dataCentre := range []string{"a", "b"} {
			if other := fmt.Sprint(dataCentre, "-", i); other != id {
				ids = append(ids, other)
			}
		}
	}
	return ids
}

// TestHeadStillServes guards against a head that vouches for an answer which was cut off as it
// restarted, lost a member or closed.
func TestHeadStillServes(t *testing.T) {
	membership := func(epoch uint64, state greengageroute.MemberState) greengageroute.Membership {
		return greengageroute.Membership{Replica: "r1", Epoch: epoch, State: state}
	}
	open := membership(5, greengageroute.MemberOpen)
	tests := []struct {
		name   string
		listed int64
		report scriptedReport
		serves bool
	}{
		{"the listed process", 7, scriptedReport{startUnixMilli: 7, membership: open}, true},
		{"it closes and lets requests end", 7, scriptedReport{startUnixMilli: 7, membership: membership(5, greengageroute.MemberClosing)}, true},
		{"it has lost a member", 7, scriptedReport{startUnixMilli: 7, membership: membership(5, greengageroute.MemberBroken)}, false},
		{"it has closed", 7, scriptedReport{startUnixMilli: 7, membership: membership(5, greengageroute.MemberReady)}, false},
		{"it has joined another replica", 7, scriptedReport{startUnixMilli: 7, membership: membership(6, greengageroute.MemberOpen)}, false},
		{"a process that started later", 7, scriptedReport{startUnixMilli: 8, membership: open}, false},
		{"a report without a start", 7, scriptedReport{membership: open}, false},
		{"neither states a start", 0, scriptedReport{membership: open}, false},
		{"no response", 7, scriptedReport{noReply: true}, false},
		{"another target has the address", 7, scriptedReport{err: &greengageroute.OrderRefusedError{Target: "i-1", Status: 421}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reporter := &scriptedReporter{script: []scriptedReport{test.report}}
				prober := NewProber("a", reporter, NewDirectory(greengageroute.RuntimeClock{}), &fakeNotifier{}, greengageroute.RuntimeClock{}, new(expvar.Map).Init(), logr.Discard())
				head := greengageroute.Target{ID: "i-1", StartUnixMilli: test.listed, Membership: open}
				if serves := prober.StillServes(head); serves != test.serves {
					t.Errorf("still serves: %t, want %t", serves, test.serves)
				}
			})
		})
	}
}

// TestSilentTargetIsUsedAgain guards against targets that get no requests for seconds after a
// short silence, and against marks that end although nobody or another process responds.
func TestSilentTargetIsUsedAgain(t *testing.T) {
	tests := []struct {
		name     string
		after    scriptedReport // the probes after the first ones
		responds bool
	}{
		{"it goes on", scriptedReport{startUnixMilli: 7}, true},
		{"it stays silent", scriptedReport{noReply: true}, false},
		{"another target has its address", scriptedReport{err: &greengageroute.OrderRefusedError{Status: 421}}, false},
		{"it has restarted", scriptedReport{startUnixMilli: 8}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory, notifier := NewDirectory(greengageroute.RuntimeClock{}), &fakeNotifier{}
				target := greengageroute.Target{ID: "i-1", Pool: "llm", StartUnixMilli: 7, State: greengageroute.TargetReady}
				directory.Replace([]greengageroute.Target{target}, time.Time{})
				reporter := &scriptedReporter{script: []scriptedReport{{noReply: true}, {noReply: true}, {noReply: true}, test.after}}
				prober := NewProber("a", reporter, directory, notifier, greengageroute.RuntimeClock{}, new(expvar.Map).Init(), logr.Discard())
				prober.ProbeReplica(greengageroute.Replica{Name: "r", Epoch: 1, Members: []greengageroute.Target{target}})
				time.Sleep(300 * time.Millisecond)
				if _, listed := directory.View().Target(target.ID); listed {
					t.Fatal("the silent target isn't hidden")
				}
				time.Sleep(3 * responseInterval)
				synctest.Wait()
				_, listed := directory.View().Target(target.ID)
				if listed != test.responds || len(notifier.reportedResponding()) > 0 != test.responds {
					t.Errorf("used again: %t, other entries know: %t, want %t", listed, len(notifier.reportedResponding()) > 0, test.responds)
				}
				if test.responds && !directory.RespondedLately(target.Instance()) {
					t.Error("late reports of other entries would hide the target again")
				}
				directory.Replace(nil, time.Time{})
				time.Sleep(time.Minute) // lets open probes end
				directory.Expire()
				time.Sleep(time.Minute)
			})
		})
	}
}
