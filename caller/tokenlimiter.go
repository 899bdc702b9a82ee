package caller

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
	greengageroute "greengageroute.example/greengageroute"
)

const secondsPerMinute = 60

type (
	// TokenLimiter limits each workspace to its tokens per minute. The load balancer
	// spreads callers evenly, so each live entry of the data centre enforces an
	// equal part of the limit.
	TokenLimiter struct {
		mu      sync.Mutex
		buckets map[string]*rate.Limiter
	}
)

// NewTokenLimiter returns a limiter with no tokens used.
func NewTokenLimiter() *TokenLimiter { return &TokenLimiter{buckets: map[string]*rate.Limiter{}} }

// Reserve counts tokens against the workspace's limit; a limit of 0 is not enforced.
// The error is a *greengageroute.OverloadError with the time until enough tokens
// are available.
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
