package forwarder

import (
	"math"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// paceTime is the time constant of the pace of an upstream. An engine that reads a long prompt pauses for some 0.4 s.
	paceTime = 1500 * time.Millisecond
	// paceWeight is that of the newest time in the mean of its kind, some 200 events.
	paceWeight = 0.005
	// leastPace is the number of times from which the pace of an upstream is known.
	leastPace = 8
	// maxPace bounds one time relative to the mean, so that a pause while the engine reads a long prompt does not outweigh the
	// other events.
	maxPace = 4
	// slowPace is the pace from which an upstream counts as slow. With the balancer's 1.5 and times without a bound, engines that
	// read long prompts were taken for slow ones.
	slowPace = 2
	// paceUnit is the step of an upstream of the mean pace, as it is given to the balancer, which compares steps only.
	paceUnit = time.Millisecond
)

// paces compares the times that upstreams take with the mean of the same kind of work, so that a slow upstream is told from one
// that got larger work; it is safe for concurrent use.
type paces struct {
	mu        sync.Mutex
	kinds     map[string]float64
	upstreams map[identifier.Upstream]*pace
}

// pace is the time that an upstream took and the time that was to be expected, both of which decay.
type pace struct {
	took, expected, count float64
	at                    time.Time
}

func newPaces() *paces {
	return &paces{kinds: map[string]float64{}, upstreams: map[identifier.Upstream]*pace{}}
}

// observe adds a time that an upstream took for a kind of work.
func (p *paces) observe(name identifier.Upstream, kind string, d time.Duration, now time.Time) {
	took := d.Seconds()
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, ok := p.kinds[kind]
	if !ok {
		mean = took
	}
	took = min(took, maxPace*mean)
	mean += (took - mean) * paceWeight
	p.kinds[kind] = mean
	u := p.upstreams[name]
	if u == nil {
		u = &pace{at: now}
		p.upstreams[name] = u
	}
	u.decay(now)
	u.took += took
	u.expected += mean
	u.count++
}

// step returns the pace of an upstream as the time of a step, or 0 if it is not known.
func (p *paces) step(name identifier.Upstream, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[name]
	if u == nil {
		return 0
	}
	u.decay(now)
	if u.count < leastPace || u.expected <= 0 {
		return 0
	}
	if x := u.took / u.expected; x >= slowPace {
		return time.Duration(x * float64(paceUnit))
	}
	return paceUnit
}

// forget drops the upstreams that are not live.
func (p *paces) forget(live func(identifier.Upstream) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.upstreams {
		if !live(name) {
			delete(p.upstreams, name)
		}
	}
}

func (u *pace) decay(now time.Time) {
	if dt := now.Sub(u.at); dt > 0 {
		f := math.Exp(-dt.Seconds() / paceTime.Seconds())
		u.took *= f
		u.expected *= f
		u.count *= f
		u.at = now
	}
}
