package caller

import "sync"

const (
	// retriesPerRequest is how many retries each request adds to the budget.
	retriesPerRequest = 0.1
	// maxSavedRetries bounds the budget; an entry without traffic may make this many
	// retries.
	maxSavedRetries = 10
)

type (
	// RetryBudget limits retries to a share of the requests, so that a failure
	// cannot multiply the load.
	RetryBudget struct {
		mu     sync.Mutex
		tokens float64
	}
)

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: maxSavedRetries} }

// RecordRequest counts a request; retries are not counted.
func (budget *RetryBudget) RecordRequest() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.tokens = min(budget.tokens+retriesPerRequest, maxSavedRetries)
}

// AllowRetry reports whether one more retry may be sent, and counts it.
func (budget *RetryBudget) AllowRetry() bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
