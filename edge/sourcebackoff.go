package edge

import "time"

const (
	// minSourceBackoff and maxSourceBackoff bound how long a request doesn't try a source
	// again that it couldn't be sent to. The time doubles with each failure.
	minSourceBackoff = 250 * time.Millisecond
	maxSourceBackoff = 2 * time.Second
)

// sourceBackoff is until when a request doesn't try a source again. The zero value means
// that it may.
type sourceBackoff struct {
	until time.Time
	delay time.Duration
}

// WithFailure returns the backoff after a further failure, at least as long as asked for.
func (backoff sourceBackoff) WithFailure(now time.Time, asked time.Duration) sourceBackoff {
	delay := min(max(2*backoff.delay, minSourceBackoff), maxSourceBackoff)
	return sourceBackoff{until: now.Add(max(delay, asked)), delay: delay}
}

// Holds reports whether the source isn't tried.
func (backoff sourceBackoff) Holds(now time.Time) bool { return now.Before(backoff.until) }
