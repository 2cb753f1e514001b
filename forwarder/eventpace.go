package forwarder

import "time"

// PaceEvents is the number of events after the first one whose time is the pace of a stream. A few events show the pace long
// before the stream ends.
const PaceEvents = 7

// pace measures the time that the first events of a stream take.
type pace struct {
	firstAt, lastAt time.Time
	// events counts the events after the first one.
	events int
	known  bool
}

// add records an event and returns the pace once it is known.
func (p *pace) add(now time.Time) (time.Duration, bool) {
	if p.firstAt.IsZero() {
		p.firstAt = now
		return 0, false
	}
	if p.known {
		return 0, false
	}
	p.events++
	p.lastAt = now
	p.known = p.events == PaceEvents
	return now.Sub(p.firstAt), p.known
}

// exclude takes a time in which the caller was waited for out of the pace.
func (p *pace) exclude(d time.Duration) {
	if !p.firstAt.IsZero() {
		p.firstAt, p.lastAt = p.firstAt.Add(d), p.lastAt.Add(d)
	}
}

// end returns the pace of a stream that ended before it was known.
func (p *pace) end() (time.Duration, bool) {
	if p.known || p.events == 0 {
		return 0, false
	}
	p.known = true
	return p.lastAt.Sub(p.firstAt) * PaceEvents / time.Duration(p.events), true
}
