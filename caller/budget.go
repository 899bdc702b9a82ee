package caller

import "sync"

const (
	// retryShare is the share of first tries that may be tried again.
	retryShare = 0.1
	// retryReserve is how many retries an entry without traffic may make.
	retryReserve = 10
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
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryReserve} }

// First notes a first try.
func (budget *RetryBudget) First() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.tokens = min(budget.tokens+retryShare, retryReserve)
}

// Take tells whether one more retry may be made, and counts it.
func (budget *RetryBudget) Take() bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
