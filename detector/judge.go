package detector

import (
	"slices"
	"time"
)

// Leave tells the monitors and random members that this process is leaving.
func (d *Detector) Leave() {
	d.mu.Lock()
	d.self.State = Leaving
	out := d.disseminate(Event{d.self.Instance, Leaving, d.self.Incarnation})
	for _, to := range d.monitors(d.self.Instance) {
		out = append(out, outgoing{to, d.newMessage(nil)})
	}
	d.mu.Unlock()
	d.deliver(out, true)
}

// worsenHealth raises the local health score after a sign that this process was delayed or badly connected itself.
func (d *Detector) worsenHealth() {
	if !d.ignoreLocalHealth {
		d.healthScore = min(d.healthScore+1, maxHealthScore)
		d.healthChangedAt = d.now()
	}
}

// Tick sends heartbeats and checks the members that this process monitors; Run calls it once per HeartbeatInterval.
func (d *Detector) Tick() {
	d.mu.Lock()
	now := d.now()
	d.relayTokens = min(d.relayTokens+relayFanout*max(0, now.Sub(d.lastTickAt).Seconds()), relayBurst)
	if !d.lastTickAt.IsZero() && now.Sub(d.lastTickAt) > 2*HeartbeatInterval && !d.ignoreLocalHealth {
		// This process was paused or got no CPU time, so the silence of others in that time says nothing about them.
		d.worsenHealth()
		for _, r := range d.members {
			if !r.lastHeardAt.IsZero() {
				r.lastHeardAt = now
			}
			r.clearSuspicion()
		}
	}
	d.lastTickAt = now
	if d.healthScore > 0 && now.Sub(d.healthChangedAt) > healthRecoveryInterval {
		d.healthScore--
		d.healthChangedAt = now
	}
	d.recentEvents = slices.DeleteFunc(d.recentEvents, func(r recentEvent) bool { return !now.Before(r.expiresAt) })
	events := make([]Event, 0, maxEventsPerMessage)
	for i := len(d.recentEvents) - 1; i >= 0 && len(events) < maxEventsPerMessage; i-- {
		events = append(events, d.recentEvents[i].Event)
	}
	out := make([]outgoing, 0, 2*MonitorsPerMember)
	m := d.newMessage(events)
	if d.tickCount%heartbeatsPerFull != 0 {
		m.From = m.From.withoutAddresses()
	}
	d.tickCount++
	for _, to := range d.monitors(d.self.Instance) {
		out = append(out, outgoing{to, m})
	}
	suspicions, changed := d.checkMonitored(now)
	if changed {
		d.rebuildRing()
	}
	d.mu.Unlock()
	d.deliver(append(out, suspicions...), changed)
}

// monitored returns the members whose heartbeats this process should receive according to its own ring.
func (d *Detector) monitored() []*record {
	i := slices.IndexFunc(d.ring, func(p ringPoint) bool { return p.name == d.self.Instance })
	list := make([]*record, 0, MonitorsPerMember)
	for k := 1; k <= min(MonitorsPerMember, len(d.ring)-1); k++ {
		if r, ok := d.members[d.ring[(i-k+len(d.ring))%len(d.ring)].name]; ok {
			list = append(list, r)
		}
	}
	return list
}

// checkMonitored suspects monitored members that are silent and declares confirmed ones dead; it returns the messages to send
// and whether a member's state changed.
func (d *Detector) checkMonitored(now time.Time) ([]outgoing, bool) {
	factor := time.Duration(1 + d.healthScore)
	silent := []*record{}
	monitored := d.monitored()
	for _, r := range monitored {
		// The silence of a member that this process begins to monitor counts from now on.
		if r.lastHeardAt.IsZero() {
			r.lastHeardAt = now
		}
		if now.Sub(r.lastHeardAt) > d.silenceTimeout*factor {
			silent = append(silent, r)
		}
	}
	isolated := len(silent) > 1 && 2*len(silent) > len(monitored)
	if isolated {
		// Most monitored members are silent at once. This process's own connection is the likelier cause, so it extends its
		// timeouts.
		d.worsenHealth()
		factor *= isolationFactor
	}
	var out []outgoing
	changed := false
	for _, r := range silent {
		if r.suspectedAt.IsZero() {
			r.suspectedAt = now
			d.suspicions.Add(1)
			changed = r.fire(eventMiss) || changed
		}
		suspicion := d.newMessage([]Event{{r.Instance, Suspect, r.Incarnation}})
		for _, to := range append(d.monitors(r.Instance), r.Instance) {
			if to != d.self.Instance {
				out = append(out, outgoing{to, suspicion})
			}
		}
		if d.isConfirmedDead(r, now, factor) && r.fire(eventConfirm) {
			changed = true
			d.deaths.Add(1)
			out = append(out, d.disseminate(Event{r.Instance, Dead, r.Incarnation})...)
		}
	}
	return out, changed
}

// isConfirmedDead reports whether another monitor also misses the member's heartbeats, or whether nobody has refuted the
// suspicion within the suspicion timeout. A process that is cut off from all others receives no other monitor's suspicion, so
// that only the timeout counts for it.
func (d *Detector) isConfirmedDead(r *record, now time.Time, factor time.Duration) bool {
	suspectedFor := now.Sub(r.suspectedAt)
	for _, suspectedAt := range r.suspectedBy {
		if suspectedFor >= HeartbeatInterval && now.Sub(suspectedAt) <= 2*HeartbeatInterval {
			return true
		}
	}
	return suspectedFor > d.suspicionTimeout*factor
}
