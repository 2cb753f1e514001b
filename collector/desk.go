package collector

import (
	"errors"
	"math"
	"time"

	"github.com/siskinfront/siskinfront/promoter"
)

const (
	// LongInterval is the time between two steps of a collector, a multiple of ShortInterval.
	LongInterval = stepsPerLongInterval * ShortInterval
	// ShortInterval is that time while an entry sees bad answers or decisions are due.
	ShortInterval = 500 * time.Millisecond

	stepsPerLongInterval = 3
	// CallLead is how long before the next step of its collector an entry calls: a tally is fresh when it is written, and arrives in time also
	// from another region.
	CallLead = 150 * time.Millisecond
	// maxHeldTime is the time for which a tally may be held and still be written. Beyond it the collector was paused, and the entry may have
	// written a later one by itself. A collector that works holds a call for less: the entry calls just before a step that it was told, or
	// wants the short interval.
	maxHeldTime = time.Second
	// collectingTime is how long after the last call an entry still collects.
	collectingTime = 2 * LongInterval
	// maxHeldCalls bounds the calls on one order that are held. Entries whose lists differ may be more than a group.
	maxHeldCalls = 4 * MaxGroup
)

// The reasons for which a collector ends a call without an answer.
var (
	ErrReplaced = errors.New("collector: a later call of the entry has come")
	ErrTooMany  = errors.New("collector: too many calls are held")
)

// Reply ends a held call with an encoded answer or an error.
type Reply struct {
	Answer []byte
	Err    error
}

// Held is a call that waits for the next step of the collector.
type Held struct {
	Call Call
	// Reply receives what ends the call; it must have room for one value.
	Reply chan Reply

	since time.Time
}

// End ends the call; only the first use counts.
func (h *Held) End(r Reply) {
	select {
	case h.Reply <- r:
	default:
	}
}

// Desk holds the calls on one order and plans the steps of the collector. The steps are at multiples of ShortInterval after the first one,
// and those without need for the short interval at multiples of LongInterval, so that entries may be told the time of the next step. The
// zero value has no calls; a Desk is not safe for concurrent use.
type Desk struct {
	// firstAt is the time of the first step, last the number of the last one that was made, -1 if none was, and due that of the next.
	firstAt    time.Time
	last, due  int64
	held       []*Held
	lastCallAt time.Time
}

// Start plans the first step at a time, unless steps are already planned.
func (d *Desk) Start(first time.Time) {
	if d.firstAt.IsZero() {
		d.firstAt, d.last, d.due = first, -1, 0
	}
}

// Hold holds a call until the next step; it ends an earlier one of the same entry.
func (d *Desk) Hold(h *Held, now time.Time) error {
	// The calls of other entries whose former collector has failed come at about the same time.
	d.Start(now.Add(CallLead))
	kept := d.held[:0]
	for _, other := range d.held {
		if other.Call.Tally.Entry == h.Call.Tally.Entry {
			other.End(Reply{Err: ErrReplaced})
			continue
		}
		kept = append(kept, other)
	}
	d.held = kept
	if len(d.held) >= maxHeldCalls {
		return ErrTooMany
	}
	h.since, d.lastCallAt = now, now
	d.held = append(d.held, h)
	if h.Call.Short {
		d.WantShort(now)
	}
	return nil
}

// Drop removes a call that has ended.
func (d *Desk) Drop(h *Held) {
	for i, other := range d.held {
		if other == h {
			d.held = append(d.held[:i], d.held[i+1:]...)
			return
		}
	}
}

// IsCollecting reports whether calls are held or came recently.
func (d *Desk) IsCollecting(now time.Time) bool {
	return len(d.held) > 0 || !d.lastCallAt.IsZero() && now.Sub(d.lastCallAt) < collectingTime
}

// HasCalls reports whether calls are held.
func (d *Desk) HasCalls() bool {
	return len(d.held) > 0
}

// WantShort plans the next step within the short interval.
func (d *Desk) WantShort(now time.Time) {
	next := int64(math.Ceil(float64(now.Sub(d.firstAt)) / float64(ShortInterval)))
	d.due = min(d.due, max(d.last+1, next))
}

// DueAt returns the time of the next step.
func (d *Desk) DueAt() time.Time {
	return d.firstAt.Add(time.Duration(d.due) * ShortInterval)
}

// Begin begins a step and returns the calls that it is to answer. It plans the next step, short if an entry or the collector itself wants
// that.
func (d *Desk) Begin(short bool, now time.Time) []*Held {
	calls := d.held
	d.held = nil
	for _, h := range calls {
		short = short || h.Call.Short
	}
	present := int64(now.Sub(d.firstAt) / ShortInterval)
	d.last = max(d.last+1, present)
	d.due = d.last + 1
	if !short {
		d.due = (d.last/stepsPerLongInterval + 1) * stepsPerLongInterval
	}
	return calls
}

// Next returns the time until the next step.
func (d *Desk) Next(now time.Time) time.Duration {
	return min(max(d.DueAt().Sub(now), 0), LongInterval)
}

// Fresh returns the tallies of held calls that may be written to the store. storeNow is the store's clock in milliseconds: calls that waited
// for a paused collector outside of it are old by that alone.
func Fresh(calls []*Held, storeNow int64, now time.Time) []promoter.Tally {
	var tallies []promoter.Tally
	for _, h := range calls {
		if now.Sub(h.since) <= maxHeldTime && storeNow-h.Call.Tally.At <= maxHeldTime.Milliseconds() {
			tallies = append(tallies, h.Call.Tally)
		}
	}
	return tallies
}

// CallDeadline returns the time at which an entry gives up a call that it begins now. next is the time of the next step that the collector
// has told, or zero.
func CallDeadline(short bool, next, now time.Time) time.Time {
	interval := LongInterval
	if short {
		interval = ShortInterval
	}
	deadline := now.Add(interval + maxWaitBeyond)
	if next.IsZero() {
		return deadline
	}
	// A step takes two calls of the store. With the whole interval, the row of the entry would count as absent before its own step.
	if bound := next.Add(maxStepTime); bound.Before(deadline) && bound.After(now) {
		return bound
	}
	return deadline
}

const (
	// maxWaitBeyond is how long beyond its interval an entry waits for an answer.
	maxWaitBeyond = 500 * time.Millisecond
	// maxStepTime is how long after the time of a step that its collector has told an entry waits for the answer.
	maxStepTime = time.Second
)
