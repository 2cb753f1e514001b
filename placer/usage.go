package placer

import (
	"math"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// usageHalfLife is the time after which work counts half: longer than a burst, much shorter than a day.
const usageHalfLife = 5 * time.Minute

// UsageTracker sums the recent work of each version with exponential decay; it is safe for concurrent use.
type UsageTracker struct {
	mu   sync.Mutex
	now  func() time.Time
	sums map[identifier.Target]decayedWork
}

// decayedWork is the sum of the work on a version, decayed to the time of the latest work.
type decayedWork struct {
	tokens    float64
	updatedAt time.Time
}

// NewUsageTracker returns a tracker without any work that uses the clock now.
func NewUsageTracker(now func() time.Time) *UsageTracker {
	return &UsageTracker{now: now, sums: map[identifier.Target]decayedWork{}}
}

// Add counts tokens of work on a version.
func (u *UsageTracker) Add(t identifier.Target, tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.sums[t] = decayedWork{tokens: u.sums[t].decayedTo(now) + float64(tokens), updatedAt: now}
}

// decayedTo returns the tokens of work that still count at the time now.
func (w decayedWork) decayedTo(now time.Time) float64 {
	return w.tokens * math.Exp2(-float64(now.Sub(w.updatedAt))/float64(usageHalfLife))
}

// Recent returns the decayed sum of tokens per version and drops the versions whose sum is less than one token.
func (u *UsageTracker) Recent() map[identifier.Target]float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	recent := make(map[identifier.Target]float64, len(u.sums))
	for t, w := range u.sums {
		if v := w.decayedTo(now); v >= 1 {
			recent[t] = v
		} else {
			delete(u.sums, t)
		}
	}
	return recent
}
