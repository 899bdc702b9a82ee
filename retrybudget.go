package greengageroute

import (
	"sync"
	"time"
)

const (
	// windowBuckets is how many buckets divide the window. The oldest bucket is
	// dropped as a whole.
	windowBuckets = 20
	// budgetShare is the part of the allowed retries that is used, because entries
	// divide the allowance without coordination.
	budgetShare = 0.7
)

type (
	// RetryBudget bounds the retries of one pool's requests in a sliding window: a
	// share of the requests plus a fixed number that the entries divide.
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

// NewRetryBudget returns a budget with an empty window.
func NewRetryBudget(bounds Bounds) *RetryBudget {
	return &RetryBudget{ratio: bounds.RetryRatio, extra: bounds.RetryExtra, bucketLength: max(bounds.RetryWindow/windowBuckets, time.Millisecond)}
}

// RecordRequest counts a request.
func (budget *RetryBudget) RecordRequest(now time.Time) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.requests[budget.advance(now)]++
}

// AllowRetry reports whether a retry may be sent, and counts it if so. entries is
// the number of entries that divide the fixed number.
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

// ReturnRetry takes back a retry that reached no target.
func (budget *RetryBudget) ReturnRetry(now time.Time) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	newest := budget.advance(now)
	for age := range windowBuckets {
		if index := (newest - age + windowBuckets) % windowBuckets; budget.retries[index] > 0 {
			budget.retries[index]--
			return
		}
	}
}

// advance moves the window to the present, clears the buckets that are reused, and
// returns the index of the newest bucket.
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
