package balancer

import (
	_ "embed"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/interpreter"
)

//go:embed breaker.yaml
var breakerChart []byte

// The states and events of the chart in breaker.yaml.
const (
	breakerClosed   interpreter.State = "closed"
	breakerOpen     interpreter.State = "open"
	breakerHalfOpen interpreter.State = "half-open"

	eventTripped    interpreter.Event = "tripped"
	eventCooledDown interpreter.Event = "cooled-down"
	eventSucceeded  interpreter.Event = "succeeded"
	eventFailed     interpreter.Event = "failed"
)

const (
	// consecutiveFailureLimit is the number of consecutive failures that open the breaker.
	consecutiveFailureLimit = 5
	// resultWindow is the number of results after which the counts of results and failures are halved.
	resultWindow = 20
	// maxFailureShare is the share of failed results above which the breaker opens, given at least half a window of results.
	maxFailureShare = 0.5

	// minCoolDown is the first cool-down; each failed trial doubles it up to maxCoolDown.
	minCoolDown = time.Second
	maxCoolDown = 30 * time.Second
	// trialTimeout is the time after which another trial may start when the previous one has no result.
	trialTimeout = 10 * time.Second
)

// breaker is the circuit breaker of one upstream. A choice reads retryAt of many breakers, so reading it does not take mu.
type breaker struct {
	// retryAt is 0 while the breaker is closed, else the time in Unix nanoseconds from which one trial request is allowed.
	retryAt atomic.Int64

	mu          sync.Mutex
	machine     *interpreter.Machine
	coolDown    time.Duration
	consecutive int
	results     int
	failures    int
	opened      int64 // number of times that the breaker has opened
	// bySilence is set if the failure that opened the breaker was a silence.
	bySilence bool
}

func newBreaker(c *interpreter.Chart) *breaker {
	return &breaker{machine: interpreter.NewMachine(c), coolDown: minCoolDown}
}

// claimTrial reports whether the caller may send the trial request of an open breaker whose cool-down has ended; of concurrent
// callers only one may.
func (b *breaker) claimTrial(now time.Time) bool {
	at := b.retryAt.Load()
	if at == 0 || now.UnixNano() < at || !b.retryAt.CompareAndSwap(at, now.Add(trialTimeout).UnixNano()) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.machine.State() == breakerOpen {
		b.fire(eventCooledDown)
	}
	return true
}

// cancelTrial allows another trial at once if one is in progress, as it may have ended without a result.
func (b *breaker) cancelTrial(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.machine.State() == breakerHalfOpen {
		b.retryAt.Store(now.UnixNano())
	}
}

// isTrialDue reports whether claimTrial would succeed.
func (b *breaker) isTrialDue(now time.Time) bool {
	at := b.retryAt.Load()
	return at != 0 && now.UnixNano() >= at
}

// fire applies an event and panics if the current state has no transition for it.
func (b *breaker) fire(e interpreter.Event) {
	if err := b.machine.Fire(e); err != nil {
		panic("balancer: " + err.Error())
	}
}

// record records a success or a failure.
func (b *breaker) record(ok bool, now time.Time, jitter float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(ok, false, now, jitter)
}

// recordSilence records a failure because the upstream sent nothing.
func (b *breaker) recordSilence(now time.Time, jitter float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(false, true, now, jitter)
}

// add records a result; b.mu is held.
func (b *breaker) add(ok, silent bool, now time.Time, jitter float64) {
	switch b.machine.State() {
	case breakerClosed:
		if b.countResult(ok) {
			b.fire(eventTripped)
			b.bySilence = silent
			b.open(now, jitter)
		}
	case breakerOpen:
		// These results are of requests that began before the breaker opened: a success proves no recovery but from a silence, and a
		// failure does not extend the cool-down.
		if ok && b.bySilence {
			b.fire(eventCooledDown)
			b.close()
		}
	case breakerHalfOpen:
		if !ok {
			b.fire(eventFailed)
			b.coolDown = min(2*b.coolDown, maxCoolDown)
			b.bySilence = silent
			b.open(now, jitter)
			return
		}
		b.close()
	}
}

// close closes a half-open breaker.
func (b *breaker) close() {
	b.fire(eventSucceeded)
	b.coolDown, b.consecutive, b.results, b.failures = minCoolDown, 0, 0, 0
	b.retryAt.Store(0)
}

// countResult records a result in the closed state and reports whether the breaker must open.
func (b *breaker) countResult(ok bool) bool {
	if b.results >= resultWindow {
		b.results, b.failures = b.results/2, b.failures/2
	}
	b.results++
	if ok {
		b.consecutive = 0
		return false
	}
	b.consecutive++
	b.failures++
	return b.consecutive >= consecutiveFailureLimit ||
		b.results >= resultWindow/2 && float64(b.failures) > maxFailureShare*float64(b.results)
}

// open starts a cool-down, extended by a random jitter of up to half its length so that entries do not send their trials at the
// same time.
func (b *breaker) open(now time.Time, jitter float64) {
	b.opened++
	b.retryAt.Store(now.Add(b.coolDown + time.Duration(jitter*float64(b.coolDown)/2)).UnixNano())
}

func (b *breaker) state() interpreter.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.machine.State()
}
