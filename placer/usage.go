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
	mu  sync.Mutex
	now func() time.Time
	sum map[identifier.Target]work
}

// work is the work on a version, decayed to the time of the latest addition.
type work struct {
	tokens float64
	at     time.Time
}

// NewUsageTracker returns an empty UsageTracker that reads the time from now.
func NewUsageTracker(now func() time.Time) *UsageTracker {
	return &UsageTracker{now: now, sum: map[identifier.Target]work{}}
}

// Add counts tokens of work on a version.
func (u *UsageTracker) Add(t identifier.Target, tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.sum[t] = work{tokens: u.sum[t].decayed(now) + float64(tokens), at: now}
}

// decayed returns the tokens of work that still count at the time now.
func (w work) decayed(now time.Time) float64 {
	return w.tokens * math.Exp2(-float64(now.Sub(w.at))/float64(usageHalfLife))
}

// Recent returns the decayed sum of tokens per version and drops the versions whose sum is less than one token.
func (u *UsageTracker) Recent() map[identifier.Target]float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	recent := make(map[identifier.Target]float64, len(u.sum))
	for t, w := range u.sum {
		if v := w.decayed(now); v >= 1 {
			recent[t] = v
		} else {
			delete(u.sum, t)
		}
	}
	return recent
}
