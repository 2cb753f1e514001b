package registrar

import (
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// removalMemory is how long a removal is remembered: the copies from which the store comes back are some seconds old.
	removalMemory = time.Minute
	// returnHold is how long after such a return a registration is held that was removed before. By then an upstream that runs has
	// registered again, and the store has removed the others.
	returnHold = 5 * time.Second
)

// removals holds the incarnations that were removed, which a store that comes back from an older copy may list again.
type removals struct {
	removedAt  map[identifier.Upstream]time.Time
	returnedAt time.Time
	heldUntil  time.Time
	// held are the registrations that are not used until then.
	held map[identifier.Upstream]Upstream
}

// hold holds a registration of an incarnation that was removed before the last return of the store, and reports whether it did.
func (x *removals) hold(u *Upstream, now time.Time) bool {
	at, ok := x.removedAt[u.Incarnation()]
	if !ok || !at.Before(x.returnedAt) || !now.Before(x.heldUntil) {
		return false
	}
	x.held[u.Name] = *u
	return true
}

// forget forgets old removals.
func (x *removals) forget(now time.Time) {
	for name, at := range x.removedAt {
		if now.Sub(at) >= removalMemory {
			delete(x.removedAt, name)
		}
	}
}

// MarkStoreReturned records that the store has come back from an older copy; the next Apply has all of its registrations. Those that it
// lacks are kept as after an outage, and those that were removed before are held.
func (r *Registrar) MarkStoreReturned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	r.storeLost = true
	r.removals.returnedAt, r.removals.heldUntil = now, now.Add(returnHold)
	clear(r.removals.held)
}

// Gone are incarnations that an entry does not use although the store may list them.
type Gone struct {
	Leaving []identifier.Upstream `json:"leaving,omitempty"`
	// Removed are those that were removed shortly before the store came back from an older copy.
	Removed []identifier.Upstream `json:"removed,omitempty"`
}

// Gone returns at most a number of each kind. returned is set if the store has come back and this entry does not know it yet.
func (r *Registrar) Gone(most int, returned bool) Gone {
	r.mu.Lock()
	defer r.mu.Unlock()
	var g Gone
	for name := range r.leavingUntil {
		if len(g.Leaving) < most {
			g.Leaving = append(g.Leaving, name)
		}
	}
	if !returned && !r.Now().Before(r.removals.heldUntil) {
		return g
	}
	for name, at := range r.removals.removedAt {
		if len(g.Removed) < most && (returned || at.Before(r.removals.returnedAt)) {
			g.Removed = append(g.Removed, name)
		}
	}
	return g
}

// LearnGone takes over what another entry says is gone.
func (r *Registrar) LearnGone(g Gone) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, changed := r.Now(), false
	for _, name := range g.Leaving {
		if _, known := r.leavingUntil[name]; !known {
			r.leavingUntil[name] = now.Add(retention)
		}
	}
	if len(g.Removed) > 0 && !now.Before(r.removals.heldUntil) {
		r.removals.returnedAt, r.removals.heldUntil = now, now.Add(returnHold)
		r.Schedule(r.removals.heldUntil, r.releaseHeld)
	}
	for _, name := range g.Removed {
		if _, known := r.removals.removedAt[name]; !known {
			r.removals.removedAt[name] = r.removals.returnedAt.Add(-1)
		}
	}
	for name, e := range r.registrations {
		_, leaves := r.leavingUntil[e.upstream.Incarnation()]
		switch {
		case r.removals.hold(&e.upstream, now):
			r.held++
			delete(r.registrations, name)
			changed = true
		case leaves && !e.upstream.Leaving:
			e.upstream.Leaving, changed = true, true
		}
	}
	if changed {
		r.changes++
		r.publish()
	}
}

// releaseHeld puts the held registrations into use that the store still lists.
func (r *Registrar) releaseHeld() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, changed := r.Now(), false
	if now.Before(r.removals.heldUntil) {
		return
	}
	for name, u := range r.removals.held {
		delete(r.removals.held, name)
		changed = r.put(u, now) || changed
	}
	if changed {
		r.publish()
	}
}
