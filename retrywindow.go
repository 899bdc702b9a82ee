package greengageroute

import (
	"sync"
	"time"
)

const (
	// budgetBuckets divide the window: the oldest is dropped as a whole.
	budgetBuckets = 20
	// budgetShare is the part of the allowed repeats that is used, since entries
	// divide them without talking to each other.
	budgetShare = 0.7
)

type (
	// RetryBudget bounds the repeats of one pool's requests in a sliding window:
	// a share of the requests and, divided among the entries, a fixed number.
	RetryBudget struct {
		ratio  float64
		extra  float64
		bucket time.Duration

		mu      sync.Mutex
		current int64 // number of the newest bucket
		first   [budgetBuckets]int
		repeats [budgetBuckets]int
	}
)

// NewRetryBudget returns a budget with nothing in its window.
func NewRetryBudget(bounds Bounds) *RetryBudget {
	return &RetryBudget{ratio: bounds.RetryRatio, extra: bounds.RetryExtra, bucket: max(bounds.RetryWindow/budgetBuckets, time.Millisecond)}
}

// RecordRequest notes a request.
func (window *RetryBudget) RecordRequest(now time.Time) {
	window.mu.Lock()
	defer window.mu.Unlock()
	window.first[window.advance(now)]++
}

// AllowRetry tells whether a repeat may be sent, and counts it. Entries is how many
// share the fixed number.
func (window *RetryBudget) AllowRetry(now time.Time, entries int) bool {
	window.mu.Lock()
	defer window.mu.Unlock()
	place := window.advance(now)
	requests, repeats := 0, 0
	for i := range budgetBuckets {
		requests += window.first[i]
		repeats += window.repeats[i]
	}
	allowed := budgetShare * (window.ratio*float64(requests) + window.extra/float64(max(entries, 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	window.repeats[place]++
	return true
}

// advance clears the buckets that have become part of the present and returns
// the newest one's place.
func (window *RetryBudget) advance(now time.Time) int {
	number := now.UnixNano() / int64(window.bucket)
	if number-window.current >= budgetBuckets {
		window.first, window.repeats = [budgetBuckets]int{}, [budgetBuckets]int{}
		window.current = number
	}
	for window.current < number {
		window.current++
		place := window.current % budgetBuckets
		window.first[place], window.repeats[place] = 0, 0
	}
	return int(window.current % budgetBuckets)
}
