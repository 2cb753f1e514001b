package detector

import (
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// recentEvent is an event that this process's heartbeats carry until expiresAt.
type recentEvent struct {
	Event
	expiresAt time.Time
}

// outgoing is a message that is sent after Detector.mu is released.
type outgoing struct {
	to      identifier.Instance
	message Message
}

// Observe applies what another part of this process has learned about a member, for instance from a reply on its connection.
func (d *Detector) Observe(name identifier.Instance, s State, incarnation uint64) {
	d.mu.Lock()
	out, changed := d.apply(Event{Instance: name, State: s, Incarnation: incarnation}, name)
	d.mu.Unlock()
	d.deliver(out, changed)
}

// Receive handles a message from a peer.
func (d *Detector) Receive(m Message) {
	if m.From.Instance == d.self.Instance {
		return // The sender is an earlier process of the same name, which this process has replaced.
	}
	d.received.Add(1)
	d.mu.Lock()
	r, known := d.members[m.From.Instance]
	switch {
	case m.From.DataCentre != "":
		r = d.upsert(m.From)
	case !known:
		// The sender is unknown until the platform's list or its next full heartbeat brings its data centre and addresses.
		d.mu.Unlock()
		return
	}
	changed := !known
	if r.State == Dead && m.From.Incarnation <= r.Incarnation {
		// The sender does not know that it is considered dead, and refutes that once it is told. It may also consider this
		// process dead: events that say so are refuted first, so that the reply carries the higher incarnation.
		var out []outgoing
		for _, e := range m.Events[:min(len(m.Events), maxEventsPerMessage)] {
			if e.Instance == d.self.Instance {
				out = append(out, d.refute(e, m.From.Instance)...)
			}
		}
		out = append(out, outgoing{m.From.Instance, d.newMessage([]Event{{m.From.Instance, Dead, r.Incarnation}})})
		d.mu.Unlock()
		d.deliver(out, false)
		return
	}
	r.lastHeardAt = d.now()
	out, stateChanged := d.apply(
		Event{Instance: m.From.Instance, State: m.From.State, Incarnation: m.From.Incarnation}, m.From.Instance,
	)
	changed = changed || stateChanged
	for _, e := range m.Events[:min(len(m.Events), maxEventsPerMessage)] {
		replies, stateChanged := d.apply(e, m.From.Instance)
		out, changed = append(out, replies...), changed || stateChanged
	}
	if changed {
		d.rebuildRing()
	}
	d.mu.Unlock()
	d.deliver(out, changed)
}

// deliver sends messages and reports a change of the members; d.mu must not be held.
func (d *Detector) deliver(out []outgoing, changed bool) {
	d.sent.Add(int64(len(out)))
	for _, o := range out {
		d.send(o.to, o.message)
	}
	if changed {
		d.onChange()
	}
}

func (d *Detector) newMessage(events []Event) Message {
	return Message{From: d.self, Revision: d.revision(), Events: events}
}

// apply applies one event from a peer; it returns the messages to send and whether a member's state changed.
func (d *Detector) apply(e Event, from identifier.Instance) ([]outgoing, bool) {
	if e.Instance == d.self.Instance {
		return d.refute(e, from), false
	}
	r, ok := d.members[e.Instance]
	if !ok || e.Incarnation < r.Incarnation {
		return nil, false
	}
	restarted := e.Incarnation > r.Incarnation
	if restarted {
		firstContact := r.Incarnation == 0 && r.State != Dead
		r.Incarnation = e.Incarnation
		r.clearSuspicion()
		if e.State == Live || e.State == Leaving {
			changed := r.fire(eventRestart)
			if e.State == Leaving {
				changed = r.fire(eventLeave) || changed
			}
			if firstContact && e.State == Live {
				return nil, changed
			}
			return d.disseminate(e), changed
		}
	}
	switch e.State {
	case Live:
		return nil, d.markAlive(r, from)
	case Leaving:
		if r.fire(eventLeave) {
			return d.disseminate(e), true
		}
	case Dead:
		if r.fire(eventConfirm) {
			return d.disseminate(e), true
		}
	case Suspect:
		return d.receiveSuspicion(r, from), false
	}
	return nil, false
}

// markAlive handles the event that a member is live. It counts if it is from the member itself, or from another monitor while
// this process suspects the member.
func (d *Detector) markAlive(r *record, from identifier.Instance) bool {
	if from != r.Instance {
		if r.suspectedAt.IsZero() {
			return false
		}
		// The other monitor receives heartbeats of the member, so the fault is in this process's own connection.
		d.worsenHealth()
		r.lastHeardAt = d.now()
	}
	r.clearSuspicion()
	return r.fire(eventHear)
}

func (r *record) clearSuspicion() {
	r.suspectedAt = time.Time{}
	clear(r.suspectedBy)
}

// receiveSuspicion handles another monitor's suspicion of a member. If the member was heard recently, it replies that the
// member is live; otherwise it records the suspicion, which then confirms that of this process.
func (d *Detector) receiveSuspicion(r *record, from identifier.Instance) []outgoing {
	if d.now().Sub(r.lastHeardAt) < 2*HeartbeatInterval {
		return []outgoing{{from, d.newMessage([]Event{{r.Instance, Live, r.Incarnation}})}}
	}
	r.suspectedBy[from] = d.now()
	return nil
}

// refute answers an event that reports this process as suspect, dead or leaving with a higher incarnation, which it
// disseminates. If the event has an older incarnation, only its sender gets a heartbeat: it knows this process from the
// platform's list or from before a restart, and a higher incarnation would tell nothing new to any other process.
func (d *Detector) refute(e Event, from identifier.Instance) []outgoing {
	if e.State == Live || e.State == d.self.State {
		return nil
	}
	if e.Incarnation < d.self.Incarnation {
		return []outgoing{{from, d.newMessage(nil)}}
	}
	d.self.Incarnation = e.Incarnation + 1
	d.refutations.Add(1)
	return d.disseminate(Event{d.self.Instance, d.self.State, d.self.Incarnation})
}

// disseminate adds an event to those that heartbeats carry, and forwards it at once to random members as far as the relay
// tokens allow.
func (d *Detector) disseminate(e Event) []outgoing {
	now := d.now()
	d.recentEvents = slices.DeleteFunc(d.recentEvents, func(r recentEvent) bool {
		return r.Instance == e.Instance || !now.Before(r.expiresAt)
	})
	d.recentEvents = append(d.recentEvents, recentEvent{e, now.Add(eventTTL)})
	out := make([]outgoing, 0, relayFanout)
	for range relayFanout {
		if len(d.ring) < 2 || d.relayTokens < 1 {
			break
		}
		to := d.ring[d.rand.IntN(len(d.ring))].name
		if to == d.self.Instance || to == e.Instance {
			continue
		}
		d.relayTokens--
		out = append(out, outgoing{to, d.newMessage([]Event{e})})
	}
	return out
}
