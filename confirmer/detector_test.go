package confirmer_test

import (
	"runtime"
	"time"
)

// limitProcessors makes a fleet run on one processor under the race detector, and returns the function that ends that. On several ones the
// detector ends with an internal failure (CHECK failed: tsan_rtl.cpp:346, or a nil pointer in it) in up to half of the runs of 330 entries, in
// Go 1.26. It finds races from the order of synchronisation, for which goroutines need not run at the same time.
func limitProcessors() func() {
	if !raceDetector {
		return func() {}
	}
	n := runtime.GOMAXPROCS(1)
	return func() { runtime.GOMAXPROCS(n) }
}

// closeAfter closes a channel after a wait, which may be 0. The channel of a timer that is due may not be read instead: in a synctest bubble the
// goroutine that reads it fires the timer itself, in the race detector's context for all timers of the bubble. If several do so at the same
// time the detector ends in the same way, also with 20 goroutines.
func closeAfter(wait time.Duration, ended chan struct{}) *time.Timer {
	return time.AfterFunc(wait, func() { close(ended) })
}
