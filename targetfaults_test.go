package greengageroute

import (
	"testing"
	"time"
)

// TestFaultyTargetIsTriedAgain guards against targets that one faulty answer takes out of service,
// and against faulty ones that all callers meet as soon as their time is over.
func TestFaultyTargetIsTriedAgain(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	once := TargetFaults{}.WithFault(1, at(0))
	often := once
	for i := range 10 {
		often = often.WithFault(1, at(float64(40*i+40)))
	}
	for _, test := range []struct {
		name    string
		faults  TargetFaults
		start   int64
		running int
		now     time.Time
		want    bool
	}{
		{"a sound target", TargetFaults{}, 1, 5, at(0), false},
		{"at once", once, 1, 0, at(0.9), true},
		{"another process of it", once, 2, 5, at(0.9), false},
		{"after its time", once, 1, 0, at(1), false},
		{"while a request tries it", once, 1, 1, at(1), true},
		{"after an answer to an earlier request", once.WithSound(at(0.5)), 1, 1, at(1), true},
		{"once it was proven", once.WithSound(at(1)), 1, 5, at(1.1), false},
		{"the same fault at many requests", once.WithFault(1, at(0.5)), 1, 0, at(1), false},
		{"a second fault", once.WithFault(1, at(1)), 1, 0, at(2.9), true},
		{"a second fault of a proven one", once.WithSound(at(1)).WithFault(1, at(5)), 1, 0, at(6.9), true},
		{"a second fault long after", once.WithFault(1, at(100)), 1, 0, at(101), false},
		{"many faults", often, 1, 0, at(400 + 29), true},
		{"many faults, after the longest time", often, 1, 0, at(400 + 30), false},
	} {
		if got := test.faults.InForce(test.start, test.running, test.now); got != test.want {
			t.Errorf("%s: faulty %t, want %t", test.name, got, test.want)
		}
	}
}
