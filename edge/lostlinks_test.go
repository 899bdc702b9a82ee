package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestLostLinksAreNoCrashes guards against sound requests that are refused since an entry takes
// the loss of its own links for crashes of the targets that ran them.
func TestLostLinksAreNoCrashes(t *testing.T) {
	tests := []struct {
		name    string
		pools   []string
		checked bool // the links are checked just before the cut
	}{
		{"a large pool", []string{"llm"}, false},
		{"a large pool, links checked before", []string{"llm"}, true},
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
