package detector

import (
	"slices"
	"time"
)

// Leave announces that this process is leaving.
func (d *Detector) Leave() {
	d.mu.Lock()
	d.self.State = Leaving
	out := d.spread(Event{d.self.Instance, Leaving, d.self.Incarnation})
	for _, to := range d.monitors(d.self.Instance) {
		out = append(out, outgoing{to, d.message(nil)})
	}
	d.mu.Unlock()
	d.finish(out, true)
}

func (d *Detector) worsen() {
	if !d.ignore {
		d.health = min(d.health+1, maxHealth)
		d.healed = d.now()
	}
}

// Tick sends heartbeats and judges the members that this process monitors; Run calls it once a period.
func (d *Detector) Tick() {
	d.mu.Lock()
	now := d.now()
	d.tokens = min(d.tokens+relays*max(0, now.Sub(d.ticked).Seconds()), relayBurst)
	if !d.ticked.IsZero() && now.Sub(d.ticked) > 2*HeartbeatInterval && !d.ignore {
		// This process itself was paused or starved, so the silence of others in that time says nothing.
		d.worsen()
		for _, r := range d.members {
			if !r.heard.IsZero() {
				r.heard = now
			}
			r.clear()
		}
	}
	d.ticked = now
	if d.health > 0 && now.Sub(d.healed) > healthRecovery {
		d.health--
		d.healed = now
	}
	d.news = slices.DeleteFunc(d.news, func(n news) bool { return !now.Before(n.until) })
	events := make([]Event, 0, maxEvents)
	for i := len(d.news) - 1; i >= 0 && len(events) < maxEvents; i-- {
		events = append(events, d.news[i].Event)
	}
	out := make([]outgoing, 0, 2*MonitorsPerMember)
	m := d.message(events)
	if d.ticks%fullHeartbeat != 0 {
		m.From = m.From.brief()
	}
	d.ticks++
	for _, to := range d.monitors(d.self.Instance) {
		out = append(out, outgoing{to, m})
	}
	judged, changed := d.judge(now)
	if changed {
		d.rebuild()
	}
	d.mu.Unlock()
	d.finish(append(out, judged...), changed)
}

// watched returns the members whose heartbeats this process should receive, by its own ring.
func (d *Detector) watched() []*record {
	i := slices.IndexFunc(d.ring, func(p point) bool { return p.name == d.self.Instance })
	list := make([]*record, 0, MonitorsPerMember)
	for k := 1; k <= min(MonitorsPerMember, len(d.ring)-1); k++ {
		if r, ok := d.members[d.ring[(i-k+len(d.ring))%len(d.ring)].name]; ok {
			list = append(list, r)
		}
	}
	return list
}

func (d *Detector) judge(now time.Time) ([]outgoing, bool) {
	factor := time.Duration(1 + d.health)
	silent := []*record{}
	watched := d.watched()
	for _, r := range watched {
		// A member that starts to send to this process has the time from now on.
		if r.heard.IsZero() {
			r.heard = now
		}
		if now.Sub(r.heard) > d.missed*factor {
			silent = append(silent, r)
		}
	}
	isolated := len(silent) > 1 && 2*len(silent) > len(watched)
	if isolated {
		// Most members at once are silent: the own connection is the likelier cause, so the timeouts grow.
		d.worsen()
		factor *= isolatedFactor
	}
	var out []outgoing
	changed := false
	for _, r := range silent {
		if r.suspected.IsZero() {
			r.suspected = now
			d.suspicions.Add(1)
			changed = r.fire(eventMiss) || changed
		}
		accusation := d.message([]Event{{r.Instance, Suspect, r.Incarnation}})
		for _, to := range append(d.monitors(r.Instance), r.Instance) {
			if to != d.self.Instance {
				out = append(out, outgoing{to, accusation})
			}
		}
		if d.confirmed(r, now, factor) && r.fire(eventConfirm) {
			changed = true
			d.deaths.Add(1)
			out = append(out, d.spread(Event{r.Instance, Dead, r.Incarnation})...)
		}
	}
	return out, changed
}

// confirmed reports whether another monitor is without heartbeats too, or nobody refuted the suspicion for long; a
// process that is cut off from all others has no second accuser.
func (d *Detector) confirmed(r *record, now time.Time, factor time.Duration) bool {
	since := now.Sub(r.suspected)
	for _, at := range r.accusers {
		if since >= HeartbeatInterval && now.Sub(at) <= 2*HeartbeatInterval {
			return true
		}
	}
	return since > d.suspicion*factor
}
