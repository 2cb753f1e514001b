package batchfaker

import (
	"container/heap"
	"time"
)

// Loop is an event loop on a virtual clock; events at the same time run in the order in which they were added.
type Loop struct {
	start  time.Time
	now    time.Duration
	events eventHeap
	added  uint64
}

type event struct {
	// at is the time since the start of the loop; with a time.Time instead, comparing and copying the times takes a third of
	// the run time of bench flood.
	at       time.Duration
	sequence uint64
	f        func()
}

type eventHeap []event

// Len returns the number of events.
func (e *eventHeap) Len() int { return len(*e) }

// Less orders events by time and then by their addition.
func (e *eventHeap) Less(i, j int) bool {
	a, b := (*e)[i], (*e)[j]
	if a.at == b.at {
		return a.sequence < b.sequence
	}
	return a.at < b.at
}

// Swap exchanges two events.
func (e *eventHeap) Swap(i, j int) { (*e)[i], (*e)[j] = (*e)[j], (*e)[i] }

// Push adds an event.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *eventHeap) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// NewLoop returns a loop without events whose clock shows start.
func NewLoop(start time.Time) *Loop {
	return &Loop{start: start}
}

// Now returns the current virtual time.
func (l *Loop) Now() time.Time {
	return l.start.Add(l.now)
}

// After runs f when d has passed; a negative d counts as 0.
func (l *Loop) After(d time.Duration, f func()) {
	l.added++
	heap.Push(&l.events, event{at: l.now + max(d, 0), sequence: l.added, f: f})
}

// Every runs f at each interval until f returns false.
func (l *Loop) Every(interval time.Duration, f func() bool) {
	l.After(interval, func() {
		if f() {
			l.Every(interval, f)
		}
	})
}

// Run runs all events up to and including a time, and sets the clock to it.
func (l *Loop) Run(until time.Time) {
	end := until.Sub(l.start)
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.f()
	}
	l.now = end
}
