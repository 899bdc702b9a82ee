package edge

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/control"
)

// TestLostLinksAreNoCrashes guards against sound requests that are refused since an entry takes
// the loss of its own links for crashes of the targets that ran them.
func TestLostLinksAreNoCrashes(t *testing.T) {
	tests := []struct {
		name    string
		pools   []string
		checked bool // the links are checked just before the cut
	}{
		{"a small pool", []string{"ledger"}, false},
		{"a small pool, links checked before", []string{"ledger"}, true},
		{"a large pool", []string{"llm"}, false},
		{"a large pool, links checked before", []string{"llm"}, true},
		{"both pools, links checked before", bothPools, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				fleet := newFleet(ctx, 12, 3)
				time.Sleep(2 * time.Second) // the entries hear from each other
				calling, stopCalling := context.WithCancel(ctx)
				callers := fleet.startCallers(calling, 20)
				time.Sleep(2 * time.Second)
				cut := fleet.all()[6:]
				for _, entry := range cut {
					for _, pool := range test.pools {
						if test.checked {
							go entry.process.prober.LinksWork(pool)
						}
					}
				}
				time.Sleep(20 * time.Millisecond)
				for _, entry := range cut {
					entry.setLinks(linkResets, test.pools...)
				}
				time.Sleep(3 * time.Second)
				stopCalling()
				callers.Wait()
				time.Sleep(8 * time.Second) // lets the checks of lost answers finish
				if reported := fleet.count(CountCrashReports); reported > 0 {
					t.Errorf("%d crashes are reported, none happened", reported)
				}
				for _, entry := range cut {
					if refused := entry.process.service.Verdicts(); len(refused) > 0 {
						t.Errorf("%s refuses %d requests as if they crashed targets", entry.name, len(refused))
					}
				}
			})
		})
	}
}

// lostPoolProber is a prober that reaches no target of a small pool since the first check of its
// links. The targets may have ended as well.
type lostPoolProber struct {
	calmDependencies
	lost atomic.Bool
}

func (prober *lostPoolProber) LostPool(string) bool { return prober.lost.Load() }

func (prober *lostPoolProber) LinksWork(string) bool {
	prober.lost.Store(true)
	return true // small pools say nothing about links
}

func (prober *lostPoolProber) LinksWorkSince(pool string, _ time.Duration) bool {
	return prober.LinksWork(pool)
}

func (prober *lostPoolProber) AcceptsConnections(greengageroute.Target) bool { return false }

// TestCrashesOfSmallPoolsAreReported guards against requests that crash all targets of a small pool
// and are sent again as these return, as if only the links to them were lost.
func TestCrashesOfSmallPoolsAreReported(t *testing.T) {
	ended := func(directory *control.Directory, target greengageroute.Target) {
		directory.Apply(nil, []string{target.ID}, time.Now())
	}
	tests := []struct {
		name    string
		change  func(directory *control.Directory, target greengageroute.Target) // within a second of the loss
		reports int
	}{
		{"it is no longer listed", ended, 1},
		{
			"it is listed with a later start", func(directory *control.Directory, target greengageroute.Target) {
				target.StartUnixMilli++
				directory.Apply([]greengageroute.Target{target}, nil, time.Now())
			}, 1,
		},
		{"it stays listed", func(*control.Directory, greengageroute.Target) {}, 0},
		{
			"it writes its row again", func(directory *control.Directory, target greengageroute.Target) {
				directory.Apply([]greengageroute.Target{target}, nil, time.Now())
			}, 0,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(script{resets})
				fixture.service.Prober = &lostPoolProber{}
				fixture.serve(newRequest("POST", "/post/x"))
				sent := fixture.attempts[0].Target
				time.AfterFunc(time.Second, func() { test.change(fixture.service.Directory, sent) })
				time.Sleep(10 * time.Second)
				fixture.mu.Lock()
				defer fixture.mu.Unlock()
				if len(fixture.crashes) != test.reports {
					t.Errorf("%d crashes are reported, want %d", len(fixture.crashes), test.reports)
				}
			})
		})
	}
}
