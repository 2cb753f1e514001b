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
	// tripConsecutive failures in a row open the breaker.
	tripConsecutive = 5
	// tripWindow is the number of results of which tripShare must have failed.
	tripWindow = 20
	tripShare  = 0.5

	minCoolDown = time.Second
	maxCoolDown = 30 * time.Second
	// trialTime is the time after which a trial without a result is given up and another one may start.
	trialTime = 10 * time.Second
)

// breaker is the circuit breaker of one upstream; blocked and claimTrial are on the path of each choice.
type breaker struct {
	// retryAt is 0 while closed, else the time in Unix nanoseconds from which one trial may pass.
	retryAt atomic.Int64

	mu          sync.Mutex
	machine     *interpreter.Machine
	coolDown    time.Duration
	consecutive int
	results     int
	failures    int
	opened      int64
}

func newBreaker(c *interpreter.Chart) *breaker {
	return &breaker{machine: interpreter.NewMachine(c), coolDown: minCoolDown}
}

// claimTrial lets one request through an open breaker whose cool-down has ended.
func (b *breaker) claimTrial(now time.Time) bool {
	at := b.retryAt.Load()
	if at == 0 || now.UnixNano() < at || !b.retryAt.CompareAndSwap(at, now.Add(trialTime).UnixNano()) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.machine.State() == breakerOpen {
		b.fire(eventCooledDown)
	}
	return true
}

// fire applies an event that the current state is known to react to.
func (b *breaker) fire(e interpreter.Event) {
	if err := b.machine.Fire(e); err != nil {
		panic("balancer: " + err.Error())
	}
}

func (b *breaker) record(ok bool, now time.Time, jitter float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch b.machine.State() {
	case breakerClosed:
		if b.count(ok) {
			b.fire(eventTripped)
			b.open(now, jitter)
		}
	case breakerOpen:
		// Requests that began before it opened end now; one success alone does not prove recovery, nor does a failure
		// prolong the cool-down.
	case breakerHalfOpen:
		if !ok {
			b.fire(eventFailed)
			b.coolDown = min(2*b.coolDown, maxCoolDown)
			b.open(now, jitter)
			return
		}
		b.fire(eventSucceeded)
		b.coolDown, b.consecutive, b.results, b.failures = minCoolDown, 0, 0, 0
		b.retryAt.Store(0)
	}
}

// count records a result while closed and reports whether the breaker must open.
func (b *breaker) count(ok bool) bool {
	if b.results >= tripWindow {
		b.results, b.failures = b.results/2, b.failures/2
	}
	b.results++
	if ok {
		b.consecutive = 0
		return false
	}
	b.consecutive++
	b.failures++
	return b.consecutive >= tripConsecutive ||
		b.results >= tripWindow/2 && float64(b.failures) > tripShare*float64(b.results)
}

// open starts a cool-down, lengthened at random by up to a half so that entries do not try at the same time.
func (b *breaker) open(now time.Time, jitter float64) {
	b.opened++
	b.retryAt.Store(now.Add(b.coolDown + time.Duration(jitter*float64(b.coolDown)/2)).UnixNano())
}

func (b *breaker) state() interpreter.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.machine.State()
}
