package serve

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

const (
	// sinkBytes bounds the lines that wait to be written.
	sinkBytes = 256 << 10
	// sinkPeriod joins lines into one write.
	sinkPeriod = 50 * time.Millisecond
	// allDecisions is the level at which each request's decisions are logged.
	allDecisions = slog.Level(-1)
)

type (
	// logSink takes lines without ever blocking. What doesn't fit is dropped and
	// counted.
	logSink struct {
		out     io.Writer
		dropped atomic.Int64

		mu      sync.Mutex
		waiting []byte
		spare   []byte
	}
)

// Write implements io.Writer.
func (sink *logSink) Write(line []byte) (int, error) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	if len(sink.waiting)+len(line) > sinkBytes {
		sink.dropped.Add(1)
		return len(line), nil
	}
	sink.waiting = append(sink.waiting, line...)
	return len(line), nil
}

// run writes what waits until stop is closed, then once more.
func (sink *logSink) run(stop <-chan struct{}) {
	ticker := time.NewTicker(sinkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			sink.flush()
			return
		case <-ticker.C:
			sink.flush()
		}
	}
}

func (sink *logSink) flush() {
	sink.mu.Lock()
	lines := sink.waiting
	sink.waiting, sink.spare = sink.spare[:0], nil
	sink.mu.Unlock()
	if len(lines) > 0 {
		// There is nowhere to report that the log can't be written.
		_, _ = sink.out.Write(lines)
	}
	sink.mu.Lock()
	sink.spare = lines[:0]
	sink.mu.Unlock()
}

func newLogger(sink io.Writer) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: allDecisions}))
}
