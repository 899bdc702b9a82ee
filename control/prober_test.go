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
	return greengageroute.TargetReport{StartUnixMilli: step.startUnixMilli}, step.err
}

type fakeNotifier struct{ slow []mesh.TargetInstance }

func (*fakeNotifier) ReportUnreachable(...mesh.TargetInstance) {}
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
				_, alive := prober.probeTarget(greengageroute.Target{ID: "i-1", StartUnixMilli: 7})
				if took := time.Since(started); alive != test.alive || took > test.within {
					t.Errorf("alive: %t after %s, want %t within %s", alive, took, test.alive, test.within)
				}
				time.Sleep(2 * time.Second) // lets open probes end
			})
		})
	}
}
