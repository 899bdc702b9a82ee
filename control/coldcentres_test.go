package control

import (
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

// coldRow returns a row of a target, as the list shows it.
func coldRow(version, statement uint64, start int64, cold time.Duration) greengageroute.Target {
	return greengageroute.Target{
		ID: "i-1", Pool: "llm", DataCentre: "a", State: greengageroute.TargetReady, StartUnixMilli: start, Statement: statement,
		Revision: greengageroute.StoreRevision{Era: 1, Version: version}, ColdRemaining: cold,
	}
}

// TestRowsOfColdTargets guards against coldness that each reading of an unchanged row extends,
// that outlasts a newer row, or that a row written before it ends.
func TestRowsOfColdTargets(t *testing.T) {
	type step struct {
		after  time.Duration
		row    greengageroute.Target
		notice time.Duration // by a response; 0: the row is received
	}
	const second = time.Second
	first := coldRow(5, 1, 7, 3*second)
	restored := first
	restored.Revision = greengageroute.StoreRevision{Era: 2, Version: 1}
	tests := []struct {
		name  string
		steps []step
		want  time.Duration // from the last step on
	}{
		{"a row", []step{{row: first}}, 3 * second},
		{"the same row again", []step{{row: first}, {after: second, row: first}}, 2 * second},
		{"the same row from a restored store", []step{{row: first}, {after: second, row: restored}}, 2 * second},
		{"a newer row", []step{{row: first}, {after: second, row: coldRow(6, 2, 7, 1500*time.Millisecond)}}, 1500 * time.Millisecond},
		{"a newer row with 0", []step{{row: first}, {after: second, row: coldRow(6, 2, 7, 0)}}, 0},
		{"cold again without a restart", []step{{row: coldRow(5, 1, 7, 0)}, {after: second, row: coldRow(6, 2, 7, 2*second)}}, 2 * second},
		{"another start", []step{{row: first}, {after: second, row: coldRow(6, 1, 8, 3*second)}}, 3 * second},
		{"a response", []step{{row: coldRow(5, 1, 7, 0)}, {notice: 2 * second}}, 2 * second},
		{"a row that may be older than the response", []step{{row: coldRow(5, 1, 7, 0)}, {notice: 3 * second}, {after: second, row: coldRow(6, 2, 7, 0)}}, 2 * second},
		{"a row that is newer than the response", []step{{row: coldRow(5, 1, 7, 0)}, {notice: 5 * second}, {after: 2 * second, row: coldRow(6, 2, 7, 0)}}, 0},
		{"a response before another start", []step{{row: coldRow(5, 1, 7, 0)}, {notice: 5 * second}, {after: second, row: coldRow(6, 1, 8, 0)}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory := NewDirectory(greengageroute.RuntimeClock{})
				var notice greengageroute.ColdNotice
				for _, step := range test.steps {
					time.Sleep(step.after)
					if step.notice > 0 {
						notice = greengageroute.ColdNotice{StartUnixMilli: 7, ReceivedAt: directory.Now(), Until: directory.Now().Add(step.notice)}
						continue
					}
					directory.Apply([]greengageroute.Target{step.row}, nil, time.Time{})
				}
				target, _ := directory.View().Target("i-1")
				if got := max(target.ColdUntil(notice).Sub(directory.Now()), 0); got != test.want {
					t.Errorf("the target is cold for %s more, want %s", got, test.want)
				}
			})
		})
	}
}

// TestDataCentreMarkedCold guards against targets that all entries send to as soon as the
// evacuation of their data centre ends.
func TestDataCentreMarkedCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := NewDirectory(greengageroute.RuntimeClock{})
		directory.SetRoutes(greengageroute.NewRouteTable(1, nil, map[string]greengageroute.Pool{"llm": {Name: "llm", ColdTime: 3 * time.Second}}, nil, greengageroute.CallerLimits{}, false))
		elsewhere, plain := coldRow(5, 1, 7, 0), coldRow(5, 1, 7, 0)
		elsewhere.ID, elsewhere.DataCentre = "i-2", "b"
		plain.ID, plain.Pool = "i-3", "ledger"
		directory.Apply([]greengageroute.Target{coldRow(5, 1, 7, 0), elsewhere, plain}, nil, time.Time{})
		directory.update(func() { directory.markCold("a", directory.clock.Now()) })
		time.Sleep(time.Second)
		directory.Apply([]greengageroute.Target{coldRow(6, 2, 7, 0)}, nil, time.Time{})
		for id, want := range map[string]time.Duration{"i-1": 2 * time.Second, "i-2": 0, "i-3": 0} {
			target, _ := directory.View().Target(id)
			if got := max(target.ColdUntil(greengageroute.ColdNotice{}).Sub(directory.Now()), 0); got != want {
				t.Errorf("%s is cold for %s more, want %s", id, got, want)
			}
		}
	})
}
