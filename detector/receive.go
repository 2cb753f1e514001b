package detector

import (
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

type news struct {
	Event
	until time.Time
}

// outgoing is a message that is sent once the lock is released.
type outgoing struct {
	to identifier.Instance
	m  Message
}

// Observe takes what another part of the process has seen of a member, for instance a reply on its connection.
func (d *Detector) Observe(name identifier.Instance, s State, incarnation uint64) {
	d.mu.Lock()
	out, changed := d.apply(Event{Instance: name, State: s, Incarnation: incarnation}, name)
	d.mu.Unlock()
	d.finish(out, changed)
}

// Receive takes a message of a peer.
func (d *Detector) Receive(m Message) {
	if m.From.Instance == d.self.Instance {
		return // An earlier process of the same name.
	}
	d.received.Add(1)
	d.mu.Lock()
	r, known := d.members[m.From.Instance]
	switch {
	case m.From.DataCentre != "":
		r = d.ensure(m.From)
	case !known:
		// The sender's addresses come with the list or with its next full heartbeat.
		d.mu.Unlock()
		return
	}
	changed := !known
	if r.State == Dead && m.From.Incarnation <= r.Incarnation {
		// The sender does not know that it was taken for dead and refutes it once told. It may take this process for dead
		// too: its news of that is refuted first, so that the answer brings the higher incarnation.
		var out []outgoing
		for _, e := range m.Events[:min(len(m.Events), maxEvents)] {
			if e.Instance == d.self.Instance {
				out = append(out, d.refute(e, m.From.Instance)...)
			}
		}
		out = append(out, outgoing{m.From.Instance, d.message([]Event{{m.From.Instance, Dead, r.Incarnation}})})
		d.mu.Unlock()
		d.finish(out, false)
		return
	}
	r.heard = d.now()
	out, c := d.apply(Event{Instance: m.From.Instance, State: m.From.State, Incarnation: m.From.Incarnation}, m.From.Instance)
	changed = changed || c
	for _, e := range m.Events[:min(len(m.Events), maxEvents)] {
		o, c := d.apply(e, m.From.Instance)
		out, changed = append(out, o...), changed || c
	}
	if changed {
		d.rebuild()
	}
	d.mu.Unlock()
	d.finish(out, changed)
}

func (d *Detector) finish(out []outgoing, changed bool) {
	d.sent.Add(int64(len(out)))
	for _, o := range out {
		d.send(o.to, o.m)
	}
	if changed {
		d.onChange()
	}
}

func (d *Detector) message(events []Event) Message {
	return Message{From: d.self, Revision: d.revision(), Events: events}
}

// apply takes one event from a peer and returns what it makes this process send.
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
		first := r.Incarnation == 0 && r.State != Dead
		r.Incarnation = e.Incarnation
		r.clear()
		if e.State == Live || e.State == Leaving {
			changed := r.fire(eventRestart)
			if e.State == Leaving {
				changed = r.fire(eventLeave) || changed
			}
			if first && e.State == Live {
				return nil, changed
			}
			return d.spread(e), changed
		}
	}
	switch e.State {
	case Live:
		return nil, d.alive(r, from)
	case Leaving:
		if r.fire(eventLeave) {
			return d.spread(e), true
		}
	case Dead:
		if r.fire(eventConfirm) {
			return d.spread(e), true
		}
	case Suspect:
		return d.accused(r, from), false
	}
	return nil, false
}

// alive takes the word of the member itself, or of another monitor while this process suspects the member.
func (d *Detector) alive(r *record, from identifier.Instance) bool {
	if from != r.Instance {
		if r.suspected.IsZero() {
			return false
		}
		// The other monitor hears the member, so the silence is a matter of the own connection.
		d.worsen()
		r.heard = d.now()
	}
	r.clear()
	return r.fire(eventHear)
}

func (r *record) clear() {
	r.suspected = time.Time{}
	clear(r.accusers)
}

// accused answers an accusation by another monitor: with the truth if the member was heard lately, else it counts.
func (d *Detector) accused(r *record, from identifier.Instance) []outgoing {
	if d.now().Sub(r.heard) < 2*HeartbeatInterval {
		return []outgoing{{from, d.message([]Event{{r.Instance, Live, r.Incarnation}})}}
	}
	r.accusers[from] = d.now()
	return nil
}

// refute answers news of the own death with a higher incarnation, and a mere suspicion with a heartbeat to all. A sender
// that has not heard of the present incarnation gets a heartbeat: it knows this process from the platform's list or from
// before a restart, and a higher incarnation would be news to nobody else.
func (d *Detector) refute(e Event, from identifier.Instance) []outgoing {
	if e.State == Live || e.State == d.self.State {
		return nil
	}
	if e.Incarnation < d.self.Incarnation {
		return []outgoing{{from, d.message(nil)}}
	}
	d.self.Incarnation = e.Incarnation + 1
	d.refutations.Add(1)
	return d.spread(Event{d.self.Instance, d.self.State, d.self.Incarnation})
}

// spread notes news for the next heartbeats and forwards it at once to random members within the relay budget.
func (d *Detector) spread(e Event) []outgoing {
	now := d.now()
	d.news = slices.DeleteFunc(d.news, func(n news) bool { return n.Instance == e.Instance || !now.Before(n.until) })
	d.news = append(d.news, news{e, now.Add(newsTime)})
	out := make([]outgoing, 0, relays)
	for range relays {
		if len(d.ring) < 2 || d.tokens < 1 {
			break
		}
		to := d.ring[d.rand.IntN(len(d.ring))].name
		if to == d.self.Instance || to == e.Instance {
			continue
		}
		d.tokens--
		out = append(out, outgoing{to, d.message([]Event{e})})
	}
	return out
}
