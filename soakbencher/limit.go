package soakbencher

import (
	"time"

	"github.com/siskinfront/siskinfront/platform/standin"
)

// invariantLimit is that on the limits that upstreams name.
const invariantLimit = "limit is kept by all entries"

const (
	// limitWindow is the time in which the requests at an upstream with a limit are counted. It may get limitFactor times what the
	// limit allows in that time, and limitExtra requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// toldSlack is how long after it passed on an answer that names a limit an entry counts.
	toldSlack = 500 * time.Millisecond
	// limitTime is how long an upstream names a limit.
	limitTime = contactTime + 2*limitWindow
)

// limitPeriod is the time in which an upstream names a limit, in requests per second.
type limitPeriod struct {
	upstream  string
	perSecond float64
	from, to  time.Time
}

// limit lets an upstream name a limit, unless it has named one before.
func (s *soak) limit(u *upstream) {
	s.mu.Lock()
	for _, x := range s.limits {
		if x.upstream == u.Name {
			s.mu.Unlock()
			return
		}
	}
	now, perSecond := time.Now(), 0.5+1.5*s.rand.Float64()
	s.limits = append(s.limits, limitPeriod{u.Name, perSecond, now, now.Add(limitTime)})
	s.mu.Unlock()
	s.logEvent("%s names a limit of %.2f a second for %v", u.Name, perSecond, limitTime)
	u.SetLimit(perSecond)
	time.AfterFunc(limitTime, func() { u.SetLimit(0) })
}

// checkLimits checks the requests at upstreams with limits from entries that knew of them and were not disturbed since.
func (s *soak) checkLimits() {
	byID := s.callsByID()
	arrivals := s.log.Arrivals()
	for _, x := range s.limits {
		for _, crash := range s.log.Crashes() {
			// An upstream that starts again names no limit any more.
			if crash.Upstream == x.upstream && crash.At.After(x.from) && crash.At.Before(x.to) {
				x.to = crash.At
			}
		}
		told := s.toldAt(x, arrivals, byID)
		var window []time.Time
		most := 0
		for _, a := range arrivals {
			c := byID[a.ID]
			if a.Upstream != x.upstream || c == nil || a.At.Before(x.from.Add(contactTime)) || a.At.After(x.to) {
				continue
			}
			at, ok := told[sender{c.entry, c.incarnation, x.upstream}]
			if !ok || a.At.Before(at.Add(toldSlack)) || !s.freeOf(x.from, a.At, c.entry, scopeProcess) {
				continue
			}
			window = append(window, a.At)
			for window[0].Before(a.At.Add(-limitWindow)) {
				window = window[1:]
			}
			most = max(most, len(window))
		}
		allowed := limitFactor*x.perSecond*limitWindow.Seconds() + limitExtra
		s.check(invariantLimit, float64(most) <= allowed, "%d requests reached %s in %v, allowed %.1f", most, x.upstream, limitWindow, allowed)
	}
}

// toldAt returns when each entry first passed on an answer that names the limit.
func (s *soak) toldAt(x limitPeriod, arrivals []standin.Arrival, byID map[string]*call) map[sender]time.Time {
	told := map[sender]time.Time{}
	for _, a := range arrivals {
		c := byID[a.ID]
		if c == nil || a.Limit == 0 || a.Upstream != x.upstream || !c.complete || c.upstream != a.Upstream {
			continue
		}
		k := sender{c.entry, c.incarnation, x.upstream}
		if at, ok := told[k]; !ok || c.endedAt.Before(at) {
			told[k] = c.endedAt
		}
	}
	return told
}
