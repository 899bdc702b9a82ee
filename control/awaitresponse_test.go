package control

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
)

type (
	// silentReporter responds for all targets, or for none while it is silent.
	silentReporter struct {
		silent         atomic.Bool
		startUnixMilli atomic.Int64
		probes         atomic.Int64
	}

	responseFixture struct {
		reporter  *silentReporter
		notifier  *fakeNotifier
		directory *Directory
		prober    *Prober
	}
)

func (reporter *silentReporter) Report(_ context.Context, _ greengageroute.Target, timeout time.Duration) (greengageroute.TargetReport, error) {
	reporter.probes.Add(1)
	if reporter.silent.Load() {
		time.Sleep(timeout)
		return greengageroute.TargetReport{}, errors.New("no response")
	}
	return greengageroute.TargetReport{StartUnixMilli: reporter.startUnixMilli.Load()}, nil
}

// responseMember returns a member of the replica r1, as its row of a version shows it.
func responseMember(id string, rank int, version uint64) greengageroute.Target {
	state := greengageroute.MemberReady
	if rank == 0 {
		state = greengageroute.MemberOpen
	}
	return greengageroute.Target{
		ID: id, Pool: "llm", State: greengageroute.TargetReady, StartUnixMilli: 1, Revision: greengageroute.StoreRevision{Version: version},
		Membership: greengageroute.Membership{Replica: "r1", Epoch: 7, Model: "small", Rank: rank, State: state},
	}
}

// newResponseFixture lists a replica of two members that both respond.
func newResponseFixture() *responseFixture {
	fixture := &responseFixture{reporter: &silentReporter{}, notifier: &fakeNotifier{}, directory: NewDirectory(greengageroute.RuntimeClock{})}
	fixture.reporter.startUnixMilli.Store(1)
	fixture.directory.SetRoutes(viewRoutes)
	fixture.directory.Replace([]greengageroute.Target{responseMember("i-head", 0, 1), responseMember("i-member", 1, 1)}, time.Time{})
	fixture.prober = NewProber("a", fixture.reporter, fixture.directory, fixture.notifier, greengageroute.RuntimeClock{}, new(expvar.Map).Init(), logr.Discard())
	return fixture
}

// fallSilent has the targets fall silent and the entry notice it.
func (fixture *responseFixture) fallSilent() {
	replica := fixture.directory.View().Replicas("llm", "small")[0]
	fixture.reporter.silent.Store(true)
	fixture.prober.ProbeReplica(replica)
	time.Sleep(300 * time.Millisecond)
}

func (fixture *responseFixture) isOpen() bool {
	return len(fixture.directory.View().Replicas("llm", "small")) > 0
}

// end has the list drop the targets, so that no probe is left.
func (fixture *responseFixture) end() {
	fixture.reporter.silent.Store(false)
	fixture.directory.Replace(nil, time.Time{})
	time.Sleep(2 * unreachableTTL)
}

// TestSilentTargetStaysSuspected guards against a mark that expires while its target is still
// silent, and costs requests again. A row that the target writes, cut off from the entries but
// not from the store, changes nothing.
func TestSilentTargetStaysSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newResponseFixture()
		fixture.fallSilent()
		before := fixture.reporter.probes.Load()
		for step := range 600 {
			if step%10 == 0 {
				row := uint64(2 + step)
				fixture.directory.Apply([]greengageroute.Target{responseMember("i-head", 0, row), responseMember("i-member", 1, row)}, nil, time.Time{})
			}
			fixture.directory.Expire()
			if fixture.isOpen() || len(fixture.directory.View().Absent) != 2 {
				t.Fatalf("after %s the silent targets aren't suspected", time.Duration(step)*100*time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if probes := fixture.reporter.probes.Load() - before; probes > 200 {
			t.Errorf("%d probes of two silent targets in a minute, want at most 200", probes)
		}
		if reports := len(fixture.notifier.reportedUnreachable()); reports < 2*12 || reports > 2*16 {
			t.Errorf("the others are told %d times in a minute of two silent targets, want one to two times per target and %s", reports, unreachableTTL)
		}
		fixture.end()
	})
}

// TestPlannerProbesWhatItWasToldOf guards against a planner that took over and keeps a target
// out of its replica, since the entry that found it unreachable has ended; and against a report
// that stands although the target responds to the planner.
func TestPlannerProbesWhatItWasToldOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newResponseFixture()
		head := mesh.TargetInstance{ID: "i-head", StartUnixMilli: 1}
		fixture.directory.MarkUnreachable(head)
		fixture.prober.Confirm(nil)
		time.Sleep(2 * responseInterval)
		if !fixture.isOpen() {
			t.Error("the target counts as unreachable although it responds")
		}
		fixture.prober.ConfirmReports([]mesh.TargetInstance{{ID: "i-member", StartUnixMilli: 1}})
		time.Sleep(responseInterval)
		if told := fixture.notifier.reportedResponding(); len(told) != 2 || told[1].ID != "i-member" {
			t.Errorf("the others are told that %v respond, want both members", told)
		}
		fixture.end()
	})
}

// TestUnlistedMemberReturns guards against a member that is left out for good because it was
// silent while it was also cut off from the store.
func TestUnlistedMemberReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newResponseFixture()
		fixture.directory.Apply(nil, []string{"i-member"}, time.Time{})
		if !fixture.isOpen() {
			t.Fatal("the replica gets no requests although its member only lost the store")
		}
		fixture.fallSilent()
		fixture.reporter.silent.Store(false)
		time.Sleep(2 * responseInterval)
		if !fixture.isOpen() {
			t.Error("the replica gets no requests after the silence")
		}
		fixture.end()
	})
}

// TestOwnProbesOutweighWordOfOthers guards against an entry that sends requests to a target that
// responds to other entries alone, and against one that tells the others again of such a target.
func TestOwnProbesOutweighWordOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newResponseFixture()
		head := mesh.TargetInstance{ID: "i-head", StartUnixMilli: 1}
		fixture.directory.MarkUnreachable(head)
		fixture.prober.RecordResponding([]mesh.TargetInstance{head})
		if !fixture.isOpen() {
			t.Error("the target gets no requests although another entry has heard it")
		}
		fixture.fallSilent()
		fixture.prober.RecordResponding([]mesh.TargetInstance{head})
		if _, used := fixture.directory.View().Target(head.ID); used {
			t.Error("the target gets requests although it doesn't respond to this entry")
		}
		told := len(fixture.notifier.reportedUnreachable())
		time.Sleep(3 * unreachableTTL)
		reports := fixture.notifier.reportedUnreachable()[told:]
		if slices.Contains(reports, head) || len(reports) < 2 {
			t.Errorf("the others are told again of %v, want the other member alone", reports)
		}
		fixture.end()
	})
}

// TestSuspicionEndsWithResponse guards against a replica without requests for seconds after a
// short silence: the entry that noticed it didn't ask again.
func TestSuspicionEndsWithResponse(t *testing.T) {
	for _, silence := range []time.Duration{300 * time.Millisecond, time.Second, 20 * time.Second} {
		t.Run(silence.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newResponseFixture()
				fixture.fallSilent()
				if fixture.isOpen() {
					t.Fatal("the silent replica gets requests")
				}
				time.Sleep(silence)
				fixture.reporter.silent.Store(false)
				within := 2 * responseInterval
				if silence > fastResponseTime {
					within = slowResponseInterval + 2*probeTimeout
				}
				time.Sleep(within)
				if !fixture.isOpen() {
					t.Errorf("the replica gets no requests %s after the silence", within)
				}
				if told := len(fixture.notifier.reportedResponding()); told != 2 {
					t.Errorf("the other entries are told of %d targets that respond again, want 2", told)
				}
				fixture.end()
			})
		})
	}
}

// TestUnreachableTargetsAreProbedTogether guards against entries that each probe all targets of a
// data centre that is cut off, against a lost replica that is probed by nobody, and against targets
// that wait for their turn after the cut.
func TestUnreachableTargetsAreProbedTogether(t *testing.T) {
	tests := []struct {
		name                 string
		targets, entries     int
		found                bool // by this entry
		minProbes, maxProbes int64
	}{
		{"a lost replica", 4, 47, true, 4 * 4, 4 * 4},
		{"a lost replica that another entry found", 4, 47, false, 0, 0},
		{"a data centre", 74, 8, true, 5, 60},
		{"a data centre that another entry found", 74, 8, false, 5, 60},
		{"a data centre with one entry", 74, 1, true, 74, 3 * 74},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newResponseFixture()
				fixture.notifier.entries = test.entries
				fixture.reporter.silent.Store(true)
				var listed []greengageroute.Target
				var instances []mesh.TargetInstance
				for i := range test.targets {
					listed = append(listed, greengageroute.Target{ID: fmt.Sprint("i-", i), Pool: "llm", DataCentre: "b", StartUnixMilli: 1})
					instances = append(instances, listed[i].Instance())
				}
				fixture.directory.Replace(listed, time.Time{})
				fixture.directory.MarkUnreachable(instances...)
				for i := range listed {
					if test.found {
						fixture.prober.awaitResponse(listed[i], true)
					}
				}
				fixture.prober.AwaitReported(instances)
				time.Sleep(4 * (responseInterval + probeTimeout))
				if probes := fixture.reporter.probes.Load(); probes < test.minProbes || probes > test.maxProbes {
					t.Errorf("%d probes in 1.44 s, want %d to %d", probes, test.minProbes, test.maxProbes)
				}
				fixture.reporter.silent.Store(false)
				time.Sleep(probeTimeout)
				fixture.prober.RecordResponding(instances[:1])
				time.Sleep(600 * time.Millisecond)
				if left := len(fixture.directory.Unreachable()); test.found && left > 0 {
					t.Errorf("%d targets aren't used 0.6 s after one responds", left)
				}
				fixture.end()
			})
		})
	}
}
