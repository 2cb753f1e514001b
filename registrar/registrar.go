package registrar

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// keepAfterOutage is how long a registration that is missing after an outage of the store is kept: live upstreams register again
// within about two seconds.
const keepAfterOutage = 2 * time.Second

// Upstream is one registered upstream.
type Upstream struct {
	Name       identifier.Upstream
	Service    identifier.Service
	Version    identifier.Version
	Address    netip.AddrPort
	DataCentre identifier.DataCentre
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Leaving is set when it must receive no new requests.
	Leaving bool
	// Evacuated is set while its data centre is evacuated: it must receive no new requests. No registration states it.
	Evacuated bool
	// StartMillis is the start time of the upstream in Unix milliseconds, or 0 if it is not known; it changes with a restart under the
	// same name.
	StartMillis int64
	// ColdUntil is the end of the time in which it is cold, as its last registration says, or the zero time. It is no part of what is
	// compared: a remaining time that counts down is no change of the list.
	ColdUntil time.Time
}

// equals reports whether two registrations are the same but for the time that the upstream stays cold.
func (u Upstream) equals(v Upstream) bool {
	u.ColdUntil, v.ColdUntil = time.Time{}, time.Time{}
	return u == v
}

// Incarnation returns the name of this run of the upstream. State about an earlier run must not be applied to it.
func (u *Upstream) Incarnation() identifier.Upstream {
	return u.Name + "/" + identifier.Upstream(strconv.FormatInt(u.StartMillis, 10))
}

// IsEligible reports whether the upstream may receive new requests.
func (u *Upstream) IsEligible() bool {
	return !u.Leaving && !u.Evacuated
}

// Change is the new value of a registration; a nil Upstream means that it was removed or describes no usable upstream.
type Change struct {
	Name     identifier.Upstream
	Upstream *Upstream
	// ColdTime is how much longer the upstream stays cold; it becomes a deadline when the change is applied.
	ColdTime time.Duration
	// Err is why a registration describes no usable upstream.
	Err error
}

type registration struct {
	upstream Upstream
	// changedAt is when the upstream was last registered with new values.
	changedAt time.Time
	// removeAt is set while a registration that the store no longer lists is kept.
	removeAt time.Time
}

// Registrar keeps the list of upstreams; it is safe for concurrent use.
type Registrar struct {
	// Now returns the current time.
	Now func() time.Time
	// Update receives each new list, ordered by name; calls do not overlap.
	Update func([]Upstream)
	// Schedule calls a function once at the given time; the registrar uses it to remove upstreams that did not register again
	// after an outage.
	Schedule func(time.Time, func())
	// OnLeaving receives the first announcement of each upstream that leaves; calls do not overlap.
	OnLeaving func(Announcement)
	// OnRegistered receives each registration that is used, changed or not, before the list that it is in; calls do not overlap.
	OnRegistered func(*Upstream)

	mu            sync.Mutex
	registrations map[identifier.Upstream]*registration
	// leavingUntil holds the incarnations that announced that they leave, with the time at which they may be forgotten.
	leavingUntil    map[identifier.Upstream]time.Time
	starts          map[identifier.Upstream]*start
	earlier         map[identifier.Upstream]earlierRegistration
	storeLost       bool
	storeReturnedAt time.Time
	removals        removals
	// scheduledAt is the time for which the last call was scheduled.
	scheduledAt time.Time
	synced      bool

	changes, keptAfterOutage, restarts, outdated, restored, held int64
	leavingByAnswer, leavingByRegistration                       int64
}

// Option configures a Registrar.
type Option func(*Registrar)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(r *Registrar) { r.Now = now }
}

// WithUpdate sets the receiver of the list.
func WithUpdate(update func([]Upstream)) Option {
	return func(r *Registrar) { r.Update = update }
}

// New returns an empty list.
func New(opts ...Option) *Registrar {
	r := &Registrar{
		Now: time.Now, Update: func([]Upstream) {}, registrations: map[identifier.Upstream]*registration{},
		leavingUntil: map[identifier.Upstream]time.Time{}, starts: map[identifier.Upstream]*start{},
		earlier: map[identifier.Upstream]earlierRegistration{}, OnLeaving: func(Announcement) {}, OnRegistered: func(*Upstream) {},
		Schedule: func(at time.Time, f func()) { time.AfterFunc(time.Until(at), f) },
		removals: removals{removedAt: map[identifier.Upstream]time.Time{}, held: map[identifier.Upstream]Upstream{}},
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// MarkStoreUnavailable records that the store cannot be read; the next Apply ends the outage.
func (r *Registrar) MarkStoreUnavailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeLost = true
}

// IsRecovering reports whether the store is unavailable, or so shortly back that upstreams may still have to register again.
func (r *Registrar) IsRecovering() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeLost || !r.storeReturnedAt.IsZero() && r.Now().Before(r.storeReturnedAt.Add(keepAfterOutage))
}

// Apply applies changes in the order in which the store made them. If all is set they are the whole list, and upstreams that
// it lacks were removed.
func (r *Registrar) Apply(changes []Change, all bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	if r.storeLost {
		r.storeLost, r.storeReturnedAt = false, now
	}
	changed := !r.synced
	r.synced = true
	if all {
		listed := make(map[identifier.Upstream]bool, len(changes))
		for _, c := range changes {
			listed[c.Name] = true
		}
		maps.DeleteFunc(r.earlier, func(name identifier.Upstream, _ earlierRegistration) bool { return !listed[name] })
		for name := range r.registrations {
			if !listed[name] {
				changed = r.remove(name, now) || changed
			}
		}
	}
	for _, c := range changes {
		if c.Upstream == nil {
			changed = r.remove(c.Name, now) || changed
			continue
		}
		u := *c.Upstream
		if c.ColdTime > 0 {
			u.ColdUntil = now.Add(c.ColdTime)
		}
		changed = r.put(u, now) || changed
	}
	if len(r.removals.held) > 0 {
		r.Schedule(r.removals.heldUntil, r.releaseHeld)
	}
	if changed {
		r.publish()
	}
}

// put stores u and reports whether the list changed.
func (r *Registrar) put(u Upstream, now time.Time) bool {
	if !r.identify(&u, now) {
		r.outdated++
		if u.Leaving {
			r.markLeaving(&u, SourceRegistration, now)
		}
		r.suspend(&u, now)
		return false
	}
	delete(r.earlier, u.Name)
	if r.removals.hold(&u, now) {
		r.held++
		return false
	}
	delete(r.removals.removedAt, u.Incarnation())
	// A late heartbeat must not bring back an incarnation that is leaving, even if its registration was removed meanwhile.
	if u.Leaving {
		r.markLeaving(&u, SourceRegistration, now)
	} else if _, ok := r.leavingUntil[u.Incarnation()]; ok {
		u.Leaving = true
	}
	r.OnRegistered(&u)
	old := r.registrations[u.Name]
	if old != nil && old.removeAt.IsZero() && old.upstream.equals(u) {
		old.upstream.ColdUntil = u.ColdUntil
		return false
	}
	if old != nil && old.upstream.StartMillis != u.StartMillis {
		r.restarts++
	}
	r.changes++
	r.registrations[u.Name] = &registration{upstream: u, changedAt: now}
	return true
}

// remove removes a registration, or keeps it until removeAt if the outage may have lost it, and reports whether the list changed.
func (r *Registrar) remove(name identifier.Upstream, now time.Time) bool {
	delete(r.removals.held, name)
	delete(r.earlier, name)
	e := r.registrations[name]
	if e == nil {
		return false
	}
	if until := r.storeReturnedAt.Add(keepAfterOutage); !r.storeReturnedAt.IsZero() && now.Before(until) && !e.upstream.Leaving {
		if e.removeAt.IsZero() {
			e.removeAt = until
			r.keptAfterOutage++
			if !r.scheduledAt.Equal(until) {
				// An upstream that is really gone must get no requests after this time, and a periodic check would run later.
				r.scheduledAt = until
				r.Schedule(until, r.RemoveExpired)
			}
		}
		return false
	}
	r.drop(name, e, now)
	return true
}

// drop removes a registration.
func (r *Registrar) drop(name identifier.Upstream, e *registration, now time.Time) {
	r.changes++
	delete(r.registrations, name)
	r.removals.removedAt[e.upstream.Incarnation()] = now
}

// RemoveExpired removes the upstreams that did not register again after an outage, and forgets incarnations that left long ago.
func (r *Registrar) RemoveExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, changed := r.Now(), false
	r.forgetLeaving(now)
	r.forgetStarts(now)
	r.removals.forget(now)
	if r.storeLost {
		return
	}
	for name, e := range r.registrations {
		if !e.removeAt.IsZero() && !now.Before(e.removeAt) {
			r.drop(name, e, now)
			changed = true
		}
	}
	if r.confirmEarlier(now) || changed {
		r.publish()
	}
}

func (r *Registrar) publish() {
	list := make([]Upstream, 0, len(r.registrations))
	for _, e := range r.registrations {
		list = append(list, e.upstream)
	}
	slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.Name, b.Name) })
	r.Update(list)
}

// Synced reports whether the list was read from the store at least once.
func (r *Registrar) Synced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced
}

// Counters returns the totals since the start.
func (r *Registrar) Counters() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]int64{
		"changes": r.changes, "kept-after-outage": r.keptAfterOutage, "restarts": r.restarts, "outdated": r.outdated, "restored": r.restored,
		"held-after-return": r.held,
		"leaving-by-answer": r.leavingByAnswer, "leaving-by-registration": r.leavingByRegistration,
	}
}

// State returns the names of the upstreams and whether they are leaving.
func (r *Registrar) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	leaving := make(map[identifier.Upstream]bool, len(r.registrations))
	for name, e := range maps.All(r.registrations) {
		leaving[name] = e.upstream.Leaving
	}
	return leaving
}
