package registrar

import (
	"slices"
	"time"
)

// retention is how long what is known of an upstream is kept after it was last listed. Registrations that were in flight, or a table
// that is read late, may list it once more.
const retention = time.Hour

// maxEarlierStarts bounds the earlier starts of one upstream that are remembered; the oldest are dropped.
const maxEarlierStarts = 16

// start is the current start of an upstream, as its registrations told of it.
type start struct {
	// millis identifies the start: Upstream.StartMillis of all its registrations, or 0 if the first one stated no time.
	millis int64
	// stated is the time that a registration stated, in Unix milliseconds, or 0 if none has.
	stated int64
	// earlier holds the times of the starts before.
	earlier  []int64
	listedAt time.Time
	forgetAt time.Time
}

// identify sets the start of a registered upstream to the one under which it is known. A registration that states no start is that of
// the current one. It reports false for a registration of an earlier start, which comes from a write that was late or from an
// older copy of the store. Just after the store has come back from one, an earlier time is taken for an earlier start; at other times it is that of
// an upstream whose clock has gone back.
func (r *Registrar) identify(u *Upstream, now time.Time) bool {
	s := r.starts[u.Name]
	if s == nil {
		s = &start{millis: u.StartMillis, stated: u.StartMillis, listedAt: now}
		r.starts[u.Name] = s
	}
	switch stated := u.StartMillis; {
	case stated == 0 || stated == s.stated:
	case slices.Contains(s.earlier, stated), stated < s.stated && now.Before(r.removals.heldUntil):
		return false
	case s.stated == 0 && stated <= s.listedAt.UnixMilli():
		// It started before it was first listed, so the registration without a time was already its own.
		s.stated = stated
	default:
		s.replace(stated, now)
	}
	s.forgetAt = now.Add(retention)
	u.StartMillis = s.millis
	return true
}

// replace makes a stated time the current start.
func (s *start) replace(stated int64, now time.Time) {
	s.earlier = slices.DeleteFunc(append(s.earlier, s.stated), func(millis int64) bool { return millis == stated })
	if len(s.earlier) > maxEarlierStarts {
		s.earlier = s.earlier[1:]
	}
	s.millis, s.stated, s.listedAt = stated, stated, now
}

// forgetStarts forgets the starts of upstreams that have not been listed for the retention time.
func (r *Registrar) forgetStarts(now time.Time) {
	for name, s := range r.starts {
		if r.registrations[name] != nil {
			s.forgetAt = now.Add(retention)
		}
		if !now.Before(s.forgetAt) {
			delete(r.starts, name)
		}
	}
}
