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
