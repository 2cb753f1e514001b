package limiter

import (
	"sync"
	"time"
)

// Budget bounds retries and hedged requests to a fraction of the successes plus a small floor; it is safe for
// concurrent use.
type Budget struct {
	opts options

	mu             sync.Mutex
	level          float64 // retries
	updatedAt      time.Time
	retriesAllowed int64
	retriesDenied  int64
	successes      int64
}

// NewBudget returns a budget that holds one retry, so that the first failure at low traffic can be repeated.
func NewBudget(opts ...Option) *Budget {
	b := &Budget{opts: newOptions(opts)}
	b.level = min(1, b.opts.maxSavedRetries)
	b.updatedAt = b.opts.now()
	return b
}

// Success records a first attempt that succeeded; successes of retries must not be recorded.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.successes++
	b.level = min(b.level+b.opts.retriesPerSuccess, b.opts.maxSavedRetries)
}

// Allow takes one retry from the budget and reports whether there was one.
func (b *Budget) Allow() bool {
	return b.allow(1)
}

// Return gives back a retry that was taken and not used.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+1, b.opts.maxSavedRetries)
}

// AllowEarly takes one retry for an attempt that has not failed yet, and only if at least one is left for those that
// have.
func (b *Budget) AllowEarly() bool {
	return b.allow(2)
}

// allow takes one retry if the budget holds at least minLevel retries.
func (b *Budget) allow(minLevel float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.now()
	if dt := now.Sub(b.updatedAt); dt > 0 {
		// The floor rate accumulates at most one retry; only successes accumulate more.
		if b.level < 1 {
			b.level = min(b.level+dt.Seconds()*b.opts.floorPerSecond, 1)
		}
		b.updatedAt = now
	}
	if b.level < minLevel-levelTolerance {
		b.retriesDenied++
		return false
	}
	b.level = max(b.level-1, 0)
	b.retriesAllowed++
	return true
}

// levelTolerance absorbs rounding, so that ten successes at a ratio of 0.1 earn one retry.
const levelTolerance = 1e-9

// Counters returns the monotonic counters of the budget.
func (b *Budget) Counters() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]int64{"retries-allowed": b.retriesAllowed, "retries-denied": b.retriesDenied, "successes": b.successes}
}

// BudgetState is the state dump of a Budget: the retries that it holds.
type BudgetState struct {
	Level float64 `json:"level"`
}

// State returns the state dump, a BudgetState.
func (b *Budget) State() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BudgetState{Level: b.level}
}
