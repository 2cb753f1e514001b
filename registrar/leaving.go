package registrar

import (
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// Source is where an upstream announced that it leaves.
type Source string

// The sources of announcements.
const (
	SourceAnswer       Source = "answer"
	SourceRegistration Source = "registration"
)

// Announcement is the first announcement of an incarnation that it leaves.
type Announcement struct {
	// Upstream is the name of the incarnation.
	Upstream identifier.Upstream
	Source   Source
	At       time.Time
	// ChangedAt is when the registration of the incarnation had last changed, or the zero time if it was not listed.
	ChangedAt time.Time
}

// AnnounceLeaving marks an upstream as leaving because one of its answers says so. It holds for this incarnation from now on,
// whatever its registration says and also while the store cannot be read.
func (r *Registrar) AnnounceLeaving(u *Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.markLeaving(u, SourceAnswer, r.Now()) {
		return
	}
	e := r.registrations[u.Name]
	if e == nil || e.upstream.StartMillis != u.StartMillis {
		return
	}
	e.upstream.Leaving = true
	r.changes++
	r.publish()
}

// markLeaving remembers that an incarnation is leaving and reports whether that is new.
func (r *Registrar) markLeaving(u *Upstream, source Source, now time.Time) bool {
	name := u.Incarnation()
	_, known := r.leavingUntil[name]
	r.leavingUntil[name] = now.Add(retention)
	if known {
		return false
	}
	if source == SourceAnswer {
		r.leavingByAnswer++
	} else {
		r.leavingByRegistration++
	}
	a := Announcement{Upstream: name, Source: source, At: now}
	if e := r.registrations[u.Name]; e != nil && e.upstream.StartMillis == u.StartMillis {
		a.ChangedAt = e.changedAt
	}
	r.OnLeaving(a)
	return true
}

// forgetLeaving forgets the incarnations that have not been listed for the retention time.
func (r *Registrar) forgetLeaving(now time.Time) {
	for _, e := range r.registrations {
		if e.upstream.Leaving {
			r.leavingUntil[e.upstream.Incarnation()] = now.Add(retention)
		}
	}
	for name, until := range r.leavingUntil {
		if !now.Before(until) {
			delete(r.leavingUntil, name)
		}
	}
}
