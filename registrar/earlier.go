package registrar

import "time"

// confirmTime is how long a registration of an earlier start must stay in the list until it counts as that of the present one. An upstream
// that runs registers again several times meanwhile, and would have written over it.
const confirmTime = 5 * time.Second

// earlierRegistration is the last registration of an upstream, if it is of an earlier start than the present one.
type earlierRegistration struct {
	upstream Upstream
	// listedAt is when it was first listed.
	listedAt time.Time
}

// suspend keeps a registration of an earlier start, which is not used for now.
func (r *Registrar) suspend(u *Upstream, now time.Time) {
	if x, ok := r.earlier[u.Name]; !ok || !x.upstream.equals(*u) {
		r.earlier[u.Name] = earlierRegistration{*u, now}
	}
}

// confirmEarlier puts the registrations of earlier starts into use that nobody has written over, and reports whether the list changed. While the
// store is unavailable, and for the confirmTime after its return, upstreams may not have been able to.
func (r *Registrar) confirmEarlier(now time.Time) bool {
	if r.storeLost || !r.storeReturnedAt.IsZero() && now.Before(r.storeReturnedAt.Add(confirmTime)) {
		return false
	}
	changed := false
	for name, x := range r.earlier {
		if now.Before(x.listedAt.Add(confirmTime)) {
			continue
		}
		delete(r.earlier, name)
		if s := r.starts[name]; s != nil {
			s.replace(x.upstream.StartMillis, now)
		}
		r.restored++
		changed = r.put(x.upstream, now) || changed
	}
	return changed
}
