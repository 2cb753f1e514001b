package limiter

import (
	"sync"
	"time"
)

// Budget bounds retries and hedged requests to a share of successes plus a small floor; it is safe for concurrent use.
type Budget struct {
	o options

	mu        sync.Mutex
	level     float64
	updatedAt time.Time
	allowed   int64
	denied    int64
	successes int64
}

// NewBudget returns a budget that holds one retry, so that the first failure at low traffic can be repeated.
func NewBudget(opts ...Option) *Budget {
	b := &Budget{o: newOptions(opts)}
	b.level = min(1, b.o.burst)
	b.updatedAt = b.o.now()
	return b
}

// Success records a first attempt that succeeded; successes of retries must not be recorded.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.successes++
	b.level = min(b.level+b.o.ratio, b.o.burst)
}

// Allow takes one retry from the budget and reports whether there was one.
func (b *Budget) Allow() bool {
	return b.allow(1)
}

// AllowEarly takes one retry for an attempt that has not failed yet, and leaves at least one for those that have.
func (b *Budget) AllowEarly() bool {
	return b.allow(2)
}

// allow takes one retry if the budget holds at least so many.
func (b *Budget) allow(least float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.o.now()
	if dt := now.Sub(b.updatedAt); dt > 0 {
		// The floor saves up one retry at most; only successes earn a burst.
		if b.level < 1 {
			b.level = min(b.level+dt.Seconds()*b.o.floor, 1)
		}
		b.updatedAt = now
	}
	if b.level < least-levelTolerance {
		b.denied++
		return false
	}
	b.level = max(b.level-1, 0)
	b.allowed++
	return true
}

// levelTolerance absorbs rounding, so that ten successes at a ratio of 0.1 earn one retry.
const levelTolerance = 1e-9

// Counters returns the monotonic counters of the budget.
func (b *Budget) Counters() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]int64{"retries-allowed": b.allowed, "retries-denied": b.denied, "successes": b.successes}
}

// BudgetState is the state dump of a Budget.
type BudgetState struct {
	Level float64 `json:"level"`
}

// State returns a BudgetState.
func (b *Budget) State() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BudgetState{Level: b.level}
}
