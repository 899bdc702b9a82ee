package caller

import "sync"

const (
	// retryShare is the share of first tries that may be tried again.
	retriesPerRequest = 0.1
	// retryReserve is how many retries an entry without traffic may make.
	maxSavedRetries = 10
)

type (
	// RetryBudget bounds retries by a share of the first tries, so that a fault
	// cannot multiply the load.
	RetryBudget struct {
		mu     sync.Mutex
		tokens float64
	}
)

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: maxSavedRetries} }

// RecordRequest notes a first try.
func (budget *RetryBudget) RecordRequest() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.tokens = min(budget.tokens+retriesPerRequest, maxSavedRetries)
}

// AllowRetry tells whether one more retry may be made, and counts it.
func (budget *RetryBudget) AllowRetry() bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
