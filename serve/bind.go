package serve

import (
	"context"
	"errors"
	"syscall"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

const (
	// bindTimeout is how long after its start an entry waits for addresses that another process
	// still holds, or that its VM doesn't have yet. Then the process ends, and whoever runs it starts it again.
	bindTimeout = 10 * time.Second
	// bindRetryInterval is the interval between attempts.
	bindRetryInterval = 100 * time.Millisecond
)

// bind opens a socket at an address. It tries again until bindTimeout or the end of the context
// while the address is in use or not available; other errors it returns at once.
func bind[Socket any](ctx context.Context, entry *Entry, address string, open func() (Socket, error)) (Socket, error) {
	started, waits := time.Now(), false
	for {
		socket, err := open()
		waited := time.Since(started)
		if err == nil && waits {
			entry.log.Info("address is free", "address", address, "waited", waited.String())
		}
		if err == nil || !mayBeFreed(err) || time.Since(entry.startedAt) >= bindTimeout || ctx.Err() != nil {
			return socket, err
		}
		if !waits {
			waits = true
			entry.counters.Add(CountBindsDelayed, 1)
			entry.log.Info("address is in use or not available; trying again", "address", address, "for", bindTimeout.String(), "cause", err.Error())
			entry.logSink.flush() // Run, which writes the lines, may never come
		}
		greengageroute.Sleep(ctx, bindRetryInterval)
	}
}

func mayBeFreed(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}
