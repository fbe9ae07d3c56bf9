// Package budget bounds retries by a share of the successes, so that retries
// never add much load to a pool that fails.
package budget

const (
	// burst is the most retries saved up.
	burst   = 20.0
	percent = 100.0
)

// Budget is that of one pool. It is not safe for concurrent use.
type Budget struct {
	// saved is between 0 and burst.
	saved float64
}

// New returns a full budget.
func New() *Budget { return &Budget{saved: burst} }

// Success saves up for retries, given how many are allowed per 100 successes.
func (b *Budget) Success(retries int) {
	b.saved = min(b.saved+float64(retries)/percent, burst)
}

// Spend takes one retry from the budget. It reports false if there is none.
func (b *Budget) Spend(retries int) bool {
	if retries == 0 || b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
