package caller

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
	greengageroute "greengageroute.example/greengageroute"
)

const secondsPerMinute = 60

type (
	// Limits holds each workspace to its tokens a minute. The balancer spreads
	// callers evenly, so each live entry of the data centre has an equal part.
	Limits struct {
		mu      sync.Mutex
		buckets map[string]*rate.Limiter
	}
)

// NewLimits returns limits of which nothing is used.
func NewLimits() *Limits { return &Limits{buckets: map[string]*rate.Limiter{}} }

// Take counts tokens against the workspace's limit; 0 is no limit. The error is
// a *greengageroute.OverloadError that says when there is enough again.
func (limits *Limits) Take(workspace greengageroute.Workspace, tokens, entries int, now time.Time) error {
	if workspace.TokensPerMinute == 0 {
		return nil
	}
	part := max(workspace.TokensPerMinute/max(entries, 1), 1)
	limits.mu.Lock()
	defer limits.mu.Unlock()
	bucket, ok := limits.buckets[workspace.Name]
	perSecond := rate.Limit(float64(part) / secondsPerMinute)
	if !ok {
		bucket = rate.NewLimiter(perSecond, part)
		limits.buckets[workspace.Name] = bucket
	}
	bucket.SetLimitAt(now, perSecond)
	bucket.SetBurstAt(now, part)
	reserved := bucket.ReserveN(now, min(tokens, part))
	if wait := reserved.DelayFrom(now); wait > 0 {
		reserved.CancelAt(now)
		return &greengageroute.OverloadError{RetryAfter: wait, Reason: "workspace " + workspace.Name + " has used its tokens of this minute"}
	}
	return nil
}
