package control

import (
	"context"
	"errors"
	"expvar"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
)

// scriptedReporter answers the n-th question as its script says.
type scriptedReporter struct {
	script []scriptedReport
	asked  atomic.Int64
}

type scriptedReport struct {
	after  time.Duration // 0: at once
	late   bool          // comes even after the timeout: the entry itself is held up
	born   int64
	err    error
	silent bool
}

func (reporter *scriptedReporter) Report(_ context.Context, _ greengageroute.Target, timeout time.Duration) (greengageroute.TargetReport, error) {
	number := int(reporter.asked.Add(1)) - 1
	step := reporter.script[min(number, len(reporter.script)-1)]
	if step.silent && !step.late {
		step.after = timeout
	}
	time.Sleep(step.after)
	if step.silent {
		return greengageroute.TargetReport{}, errors.New("no report")
	}
	return greengageroute.TargetReport{StartUnixMilli: step.born}, step.err
}

type noNews struct{ slow []mesh.TargetInstance }

func (*noNews) ReportLost(...mesh.TargetInstance)           {}
func (news *noNews) ReportSlow(slow ...mesh.TargetInstance) { news.slow = append(news.slow, slow...) }

func TestMemberIsAskedTwiceAtOnce(t *testing.T) {
	refused := &greengageroute.OrderRefusedError{Target: "i-1", Status: 421}
	tests := []struct {
		name   string
		script []scriptedReport
		lives  bool
		within time.Duration
	}{
		{"answers", []scriptedReport{{born: 7, after: 5 * time.Millisecond}}, true, 5 * time.Millisecond},
		{"is silent", []scriptedReport{{silent: true}}, false, probeAgain + probeTimeout},
		{"one packet is lost", []scriptedReport{{silent: true}, {born: 7, after: 2 * time.Millisecond}}, true, probeAgain + 2*time.Millisecond},
		{"refuses connections", []scriptedReport{{err: errors.New("reset")}}, false, probeAgain},
		{"is another target", []scriptedReport{{err: refused}}, false, 0},
		{"has restarted", []scriptedReport{{born: 8}}, false, 0},
		{
			"the entry is held up",
			[]scriptedReport{{silent: true, late: true, after: time.Second}, {silent: true, late: true, after: time.Second}, {born: 7}},
			true, time.Second + probeAgain,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				prober := NewProber(&scriptedReporter{script: test.script}, NewDirectory(greengageroute.RuntimeClock{}), &noNews{},
					greengageroute.RuntimeClock{}, new(expvar.Map).Init(), logr.Discard())
				began := time.Now()
				_, lives := prober.alive(greengageroute.Target{ID: "i-1", StartUnixMilli: 7})
				if took := time.Since(began); lives != test.lives || took > test.within {
					t.Errorf("lives: %t after %s, want %t within %s", lives, took, test.lives, test.within)
				}
				time.Sleep(2 * time.Second) // questions that are still open end
			})
		})
	}
}
