package serve

import (
	"expvar"
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// TestStartPhasesAreRecorded guards against starts of which nobody can tell what they waited for.
func TestStartPhasesAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry := &Entry{log: newLogger(&logSink{output: io.Discard}), counters: new(expvar.Map).Init(), startedAt: time.Now()}
		after := func(delay time.Duration) func() bool {
			return func() bool { return delay > 0 && time.Since(entry.startedAt) >= delay }
		}
		go entry.followStart(t.Context(), []startPhase{{"first", after(time.Nanosecond)}, {"second", after(3 * time.Second)}, {"never", after(0)}})
		time.Sleep(10 * time.Second)
		synctest.Wait()
		for _, test := range []struct {
			phase    string
			from, to int64 // in milliseconds; 0: not reached
		}{{"first", 1, 20}, {"second", 3000, 3150}, {"never", 0, 0}} {
			gauge, reached := entry.counters.Get(GaugeStartPhase + test.phase).(*expvar.Int)
			if reached != (test.to > 0) || reached && (gauge.Value() < test.from || gauge.Value() > test.to) {
				t.Errorf("phase %s is recorded as %v, want between %d and %d ms", test.phase, gauge, test.from, test.to)
			}
		}
	})
}
