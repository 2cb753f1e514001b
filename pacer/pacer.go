package pacer

import "time"

const (
	// ReplyMargin is how much longer than its wait a call may take before its connection counts as silent.
	ReplyMargin = 500 * time.Millisecond
	// RepeatTime is the time to repeat a call on a new connection and to apply its reply.
	RepeatTime = 500 * time.Millisecond
	// MinWait is the shortest wait of a call without a pause before it. It bounds the calls at rest, each of which has a price.
	MinWait = 500 * time.Millisecond
	// MinPause is the shortest pause after a reply with changes.
	MinPause = 200 * time.Millisecond
	// readShare is the part of the store's rate that the reads of all entries may take while a table changes all the time.
	readShare = 0.5
)

// Bounds are the times in which changes must be in effect.
type Bounds struct {
	// Within is the time from a change until it must be in effect.
	Within time.Duration
	// Reconnect is the time after the loss of all connections within which an entry must be up to date again.
	Reconnect time.Duration
}

// Readers are the entries that read the store.
type Readers struct {
	// Entries is their number, and Tables the number of tables that each of them follows.
	Entries, Tables int
	// ReadsPerSecond is the rate that the store takes from all of them, or 0 if it is not known.
	ReadsPerSecond float64
}

// Pace is how often a table is read.
type Pace struct {
	// Wait is how long the store may hold a call while there are no changes.
	Wait time.Duration
	// Pause is the time after a reply with changes in which they gather; the wait of the call after it is shorter by the pause.
	Pause time.Duration
}

// Plan returns the longest wait that keeps the bounds if the connection of a call is silent, and a pause of half of it, or more if the
// reads of all entries would exceed the rate of the store. Each change then costs an entry at most one call in that pause, whatever the
// number of changes.
func Plan(b Bounds, r Readers) Pace {
	wait := max(min(b.Within, b.Reconnect)-ReplyMargin-RepeatTime, MinWait)
	pause := wait / 2
	if r.ReadsPerSecond > 0 {
		cycle := float64(r.Entries*r.Tables) / (readShare * r.ReadsPerSecond)
		pause = max(pause, time.Duration(cycle*float64(time.Second)))
	}
	return Pace{Wait: wait, Pause: max(min(pause, wait-MinPause), MinPause)}
}
