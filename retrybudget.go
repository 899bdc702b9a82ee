package greengageroute

import (
	"sync"
	"time"
)

const (
	// budgetBuckets divide the window: the oldest is dropped as a whole.
	windowBuckets = 20
	// budgetShare is the part of the allowed repeats that is used, since entries
	// divide them without talking to each other.
	budgetShare = 0.7
)

type (
	// RetryBudget bounds the repeats of one pool's requests in a sliding window:
	// a share of the requests and, divided among the entries, a fixed number.
	RetryBudget struct {
		ratio        float64
		extra        float64
		bucketLength time.Duration

		mu       sync.Mutex
		newest   int64 // number of the newest bucket
		requests [windowBuckets]int
		retries  [windowBuckets]int
	}
)

// NewRetryBudget returns a budget with nothing in its window.
func NewRetryBudget(bounds Bounds) *RetryBudget {
	return &RetryBudget{ratio: bounds.RetryRatio, extra: bounds.RetryExtra, bucketLength: max(bounds.RetryWindow/windowBuckets, time.Millisecond)}
}

// RecordRequest notes a request.
func (budget *RetryBudget) RecordRequest(now time.Time) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.requests[budget.advance(now)]++
}

// AllowRetry tells whether a repeat may be sent, and counts it. Entries is how many
// share the fixed number.
func (budget *RetryBudget) AllowRetry(now time.Time, entries int) bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	index := budget.advance(now)
	requests, retries := 0, 0
	for i := range windowBuckets {
		requests += budget.requests[i]
		retries += budget.retries[i]
	}
	allowed := budgetShare * (budget.ratio*float64(requests) + budget.extra/float64(max(entries, 1)))
	if float64(retries+1) > allowed {
		return false
	}
	budget.retries[index]++
	return true
}

// advance clears the buckets that have become part of the present and returns
// the newest one's place.
func (budget *RetryBudget) advance(now time.Time) int {
	bucket := now.UnixNano() / int64(budget.bucketLength)
	if bucket-budget.newest >= windowBuckets {
		budget.requests, budget.retries = [windowBuckets]int{}, [windowBuckets]int{}
		budget.newest = bucket
	}
	for budget.newest < bucket {
		budget.newest++
		index := budget.newest % windowBuckets
		budget.requests[index], budget.retries[index] = 0, 0
	}
	return int(budget.newest % windowBuckets)
}
