package caller

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
	greengageroute "greengageroute.example/greengageroute"
)

const secondsPerMinute = 60

type (
	// TokenLimiter holds each workspace to its tokens a minute. The balancer spreads
	// callers evenly, so each live entry of the data centre has an equal part.
	TokenLimiter struct {
		mu      sync.Mutex
		buckets map[string]*rate.Limiter
	}
)

// NewTokenLimiter returns limits of which nothing is used.
func NewTokenLimiter() *TokenLimiter { return &TokenLimiter{buckets: map[string]*rate.Limiter{}} }

// Reserve counts tokens against the workspace's limit; 0 is no limit. The error is
// a *greengageroute.OverloadError that says when there is enough again.
func (limiter *TokenLimiter) Reserve(workspace greengageroute.Workspace, tokens, entries int, now time.Time) error {
	if workspace.TokensPerMinute == 0 {
		return nil
	}
	entryLimit := max(workspace.TokensPerMinute/max(entries, 1), 1)
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	bucket, ok := limiter.buckets[workspace.Name]
	perSecond := rate.Limit(float64(entryLimit) / secondsPerMinute)
	if !ok {
		bucket = rate.NewLimiter(perSecond, entryLimit)
		limiter.buckets[workspace.Name] = bucket
	}
	bucket.SetLimitAt(now, perSecond)
	bucket.SetBurstAt(now, entryLimit)
	reservation := bucket.ReserveN(now, min(tokens, entryLimit))
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		return &greengageroute.OverloadError{RetryAfter: wait, Reason: "workspace " + workspace.Name + " has used its tokens of this minute"}
	}
	return nil
}
