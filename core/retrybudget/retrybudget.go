// Package retrybudget implements a retry budget as a token bucket. Retries are limited
// to a percentage of the successful calls, so that they add little load to a pool
// that is failing.
package retrybudget

const (
	// maxTokens is the capacity of the bucket, in retries.
	maxTokens = 20.0
	percent   = 100.0
)

// Budget is the retry budget of one pool. It is not safe for concurrent use.
type Budget struct {
	// tokens is the number of retries available, between 0 and maxTokens.
	tokens float64
}

// New returns a full budget.
func New() *Budget { return &Budget{tokens: maxTokens} }

// RecordSuccess records a successful call. It adds retryPercent, the number of
// retries allowed per 100 successes, divided by 100.
func (b *Budget) RecordSuccess(retryPercent int) {
	b.tokens = min(b.tokens+float64(retryPercent)/percent, maxTokens)
}

// TakeRetry takes one retry from the budget. It reports false if the budget is
// used up, or if retryPercent is zero.
func (b *Budget) TakeRetry(retryPercent int) bool {
	if retryPercent == 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
