package serve

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// TestEntryWaitsForItsAddress guards against entries that end at their start because another
// process still holds a port, and against ones that wait for ever or for what won't come.
func TestEntryWaitsForItsAddress(t *testing.T) {
	for _, test := range []struct {
		name         string
		cause        error
		free         time.Duration // when the address can be bound; 0: never
		stopped      time.Duration // when the process is told to end; 0: never
		opens        bool
		earliest, by time.Duration
	}{
		{"free at once", nil, time.Nanosecond, 0, true, 0, 0},
		{"held for a moment", syscall.EADDRINUSE, 3 * time.Second, 0, true, 3 * time.Second, 3*time.Second + bindRetryInterval},
		{"address comes later", syscall.EADDRNOTAVAIL, time.Second, 0, true, time.Second, time.Second + bindRetryInterval},
		{"held for ever", syscall.EADDRINUSE, 0, 0, false, bindTimeout, bindTimeout + bindRetryInterval},
		{"told to end", syscall.EADDRINUSE, 0, time.Second, false, time.Second, time.Second + bindRetryInterval},
		{"not permitted", syscall.EACCES, 0, 0, false, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sink := &logSink{output: io.Discard}
				entry := &Entry{startedAt: time.Now(), log: newLogger(sink), logSink: sink, counters: new(expvar.Map).Init()}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if test.stopped > 0 {
					time.AfterFunc(test.stopped, cancel)
				}
				started := time.Now()
				_, err := bind(ctx, entry, "127.0.0.1:1", func() (struct{}, error) {
					if test.cause == nil || test.free > 0 && time.Since(started) >= test.free {
						return struct{}{}, nil
					}
					return struct{}{}, fmt.Errorf("listen: %w", test.cause)
				})
				if took := time.Since(started); (err == nil) != test.opens || took < test.earliest || took > test.by {
					t.Errorf("returned %v after %s, want an open socket: %t, between %s and %s", err, took, test.opens, test.earliest, test.by)
				}
			})
		})
	}
}
