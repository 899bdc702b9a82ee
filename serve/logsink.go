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
	// maxBufferedLogBytes limits the size of the buffered lines.
	maxBufferedLogBytes = 256 << 10
	// logFlushInterval is the interval between writes, each of all buffered lines.
	logFlushInterval = 50 * time.Millisecond
	// decisionLogLevel is the lowest level that is written. The decisions on each request
	// are logged at this level.
	decisionLogLevel = slog.Level(-1)
)

type (
	// logSink buffers log lines and writes them in the background, so that logging
	// never waits for the output. Lines that exceed the buffer are dropped and
	// counted.
	logSink struct {
		output  io.Writer
		dropped atomic.Int64

		mu       sync.Mutex
		buffered []byte
		spare    []byte
	}
)

// Write implements io.Writer. It never fails, also when it drops the line.
func (sink *logSink) Write(line []byte) (int, error) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	if len(sink.buffered)+len(line) > maxBufferedLogBytes {
		sink.dropped.Add(1)
		return len(line), nil
	}
	sink.buffered = append(sink.buffered, line...)
	return len(line), nil
}

// run writes the buffered lines periodically until stop is closed, and once more
// then.
func (sink *logSink) run(stop <-chan struct{}) {
	ticker := time.NewTicker(logFlushInterval)
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
	lines := sink.buffered
	sink.buffered, sink.spare = sink.spare[:0], nil
	sink.mu.Unlock()
	if len(lines) > 0 {
		// A failure to write the log can't be logged.
		_, _ = sink.output.Write(lines)
	}
	sink.mu.Lock()
	sink.spare = lines[:0]
	sink.mu.Unlock()
}

func newLogger(sink io.Writer) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: decisionLogLevel}))
}
