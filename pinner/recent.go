package pinner

import (
	"sync"
	"time"
)

// RecentSessions is the set of recently used sessions, without their versions, kept in two generations. It is safe for concurrent
// use.
type RecentSessions struct {
	retention time.Duration

	mu                sync.Mutex
	rotateAt          time.Time
	current, previous map[uint64]struct{}
}

// NewRecentSessions returns a set that keeps each session for at least retention after its last use, and for at most twice that
// time.
func NewRecentSessions(retention time.Duration) *RecentSessions {
	return &RecentSessions{retention: retention, current: map[uint64]struct{}{}, previous: map[uint64]struct{}{}}
}

// Use records the use of a session.
func (r *RecentSessions) Use(session uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	r.current[session] = struct{}{}
}

// List returns at most n of the sessions that were used recently.
func (r *RecentSessions) List(now time.Time, n int) []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	list := make([]uint64, 0, min(n, len(r.current)+len(r.previous)))
	for _, m := range []map[uint64]struct{}{r.current, r.previous} {
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
	r.rotate(now)
	if _, ok := r.current[session]; ok {
		return true
	}
	_, ok := r.previous[session]
	return ok
}

// rotate starts a new generation once retention has passed since the last rotation; after twice that time the former one is
// dropped too.
func (r *RecentSessions) rotate(now time.Time) {
	switch {
	case now.Before(r.rotateAt):
	case now.Sub(r.rotateAt) < r.retention:
		r.previous, r.current, r.rotateAt = r.current, map[uint64]struct{}{}, now.Add(r.retention)
	default:
		r.previous, r.current, r.rotateAt = map[uint64]struct{}{}, map[uint64]struct{}{}, now.Add(r.retention)
	}
}
