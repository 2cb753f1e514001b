package pinner

import (
	"sync"
	"time"
)

// RecentSessions remembers the sessions that were in use within a time, in two generations, without their versions; it is safe for
// concurrent use.
type RecentSessions struct {
	age time.Duration

	mu        sync.Mutex
	turnAt    time.Time
	now, past map[uint64]struct{}
}

// NewRecentSessions returns a memory of sessions that holds each for at least age after its last use and at most twice as long.
func NewRecentSessions(age time.Duration) *RecentSessions {
	return &RecentSessions{age: age, now: map[uint64]struct{}{}, past: map[uint64]struct{}{}}
}

// Use notes the use of a session.
func (r *RecentSessions) Use(session uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn(now)
	r.now[session] = struct{}{}
}

// List returns the sessions that were used recently, at most n.
func (r *RecentSessions) List(now time.Time, n int) []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn(now)
	list := make([]uint64, 0, min(n, len(r.now)+len(r.past)))
	for _, m := range []map[uint64]struct{}{r.now, r.past} {
		for s := range m {
			if len(list) == n {
				return list
			}
			list = append(list, s)
		}
	}
	return list
}

// Has reports whether a session was used recently.
func (r *RecentSessions) Has(session uint64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn(now)
	if _, ok := r.now[session]; ok {
		return true
	}
	_, ok := r.past[session]
	return ok
}

func (r *RecentSessions) turn(now time.Time) {
	switch {
	case now.Before(r.turnAt):
	case now.Sub(r.turnAt) < r.age:
		r.past, r.now, r.turnAt = r.now, map[uint64]struct{}{}, now.Add(r.age)
	default:
		r.past, r.now, r.turnAt = map[uint64]struct{}{}, map[uint64]struct{}{}, now.Add(r.age)
	}
}
