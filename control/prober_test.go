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
	delay   time.Duration // 0: at once
	late    bool          // comes even after the timeout: the entry itself is held up
	born    int64
	err     error
	noReply bool
}

func (reporter *scriptedReporter) Report(_ context.Context, _ greengageroute.Target, timeout time.Duration) (greengageroute.TargetReport, error) {
	index := int(reporter.asked.Add(1)) - 1
	step := reporter.script[min(index, len(reporter.script)-1)]
	if step.noReply && !step.late {
		step.delay = timeout
	}
	time.Sleep(step.delay)
	if step.noReply {
		return greengageroute.TargetReport{}, errors.New("no report")
	}
	return greengageroute.TargetReport{StartUnixMilli: step.born}, step.err
}

type fakeNotifier struct{ slow []mesh.TargetLife }

func (*fakeNotifier) ReportLost(...mesh.TargetLife) {}
func (notifier *fakeNotifier) ReportSlow(slow ...mesh.TargetLife) {
	notifier.slow = append(notifier.slow, slow...)
}

func TestMemberProbeIsHedged(t *testing.T) {
	refused := &greengageroute.OrderRefusedError{Target: "i-1", Status: 421}
	tests := []struct {
		name   string
		script []scriptedReport
		lives  bool
		within time.Duration
	}{
		{"answers", []scriptedReport{{born: 7, delay: 5 * time.Millisecond}}, true, 5 * time.Millisecond},
		{"is silent", []scriptedReport{{noReply: true}}, false, probeHedgeDelay + probeTimeout},
		{"one packet is lost", []scriptedReport{{noReply: true}, {born: 7, delay: 2 * time.Millisecond}}, true, probeHedgeDelay + 2*time.Millisecond},
		{"refuses connections", []scriptedReport{{err: errors.New("reset")}}, false, probeHedgeDelay},
		{"is another target", []scriptedReport{{err: refused}}, false, 0},
		{"has restarted", []scriptedReport{{born: 8}}, false, 0},
		{
			"the entry is held up",
			[]scriptedReport{{noReply: true, late: true, delay: time.Second}, {noReply: true, late: true, delay: time.Second}, {born: 7}},
			true, time.Second + probeHedgeDelay,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				prober := NewProber(&scriptedReporter{script: test.script}, NewDirectory(greengageroute.RuntimeClock{}), &fakeNotifier{},
					greengageroute.RuntimeClock{}, new(expvar.Map).Init(), logr.Discard())
				began := time.Now()
				_, alive := prober.probeTarget(greengageroute.Target{ID: "i-1", StartUnixMilli: 7})
				if took := time.Since(began); alive != test.lives || took > test.within {
					t.Errorf("lives: %t after %s, want %t within %s", alive, took, test.lives, test.within)
				}
				time.Sleep(2 * time.Second) // questions that are still open end
			})
		})
	}
}
