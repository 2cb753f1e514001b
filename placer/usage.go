package placer

import (
	"math"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// useHalfLife is the time in which work counts half: long against a burst, short against a day.
const useHalfLife = 5 * time.Minute

// UsageTracker sums the recent work of each version with exponential forgetting; it is safe for concurrent use.
type UsageTracker struct {
	mu  sync.Mutex
	now func() time.Time
	sum map[identifier.Target]work
}

type work struct {
	tokens float64
	at     time.Time
}

// NewUsageTracker returns an empty sum on a clock.
func NewUsageTracker(now func() time.Time) *UsageTracker {
	return &UsageTracker{now: now, sum: map[identifier.Target]work{}}
}

// Add counts tokens of work on a version.
func (u *UsageTracker) Add(t identifier.Target, tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.sum[t] = work{tokens: u.sum[t].aged(now) + float64(tokens), at: now}
}

func (w work) aged(now time.Time) float64 {
	return w.tokens * math.Exp2(-float64(now.Sub(w.at))/float64(useHalfLife))
}

// Recent returns the aged sum per version; versions that count under one token are forgotten.
func (u *UsageTracker) Recent() map[identifier.Target]float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	recent := make(map[identifier.Target]float64, len(u.sum))
	for t, w := range u.sum {
		if v := w.aged(now); v >= 1 {
			recent[t] = v
		} else {
			delete(u.sum, t)
		}
	}
	return recent
}
