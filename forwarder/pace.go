package forwarder

import (
	"math"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// slowdownDecayTime is the time constant with which an upstream's samples decay. It spans several of the pauses of some 0.4 s
	// that an engine makes while it reads a long prompt.
	slowdownDecayTime = 1500 * time.Millisecond
	// workMeanWeight is the weight of a new sample in the moving mean of its kind of work, which spans some 200 events.
	workMeanWeight = 0.005
	// minSlowdownSamples is the number of samples, after decay, from which the slowdown of an upstream is known.
	minSlowdownSamples = 8
	// maxSampleRatio bounds one sample relative to the mean, so that a pause while the engine reads a long prompt does not
	// outweigh the other events.
	maxSampleRatio = 4
	// slowdownThreshold is the ratio of time taken to time expected from which an upstream counts as slow. The balancer's ratio
	// of 1.5 with unbounded samples classified engines that read long prompts as slow.
	slowdownThreshold = 2
	// baseTokenInterval is the token interval reported for an upstream that is not slow. Its length is arbitrary, because the
	// balancer only compares the intervals of upstreams.
	baseTokenInterval = time.Millisecond
)

// slowdownTracker compares the time that each upstream takes with the mean of the same kind of work, which distinguishes a slow
// upstream from one that got larger work; it is safe for concurrent use.
type slowdownTracker struct {
	mu        sync.Mutex
	means     map[string]float64
	upstreams map[identifier.Upstream]*slowdown
}

// slowdown holds the time that an upstream took, the time expected for the same work and the number of samples, all of which
// decay exponentially.
type slowdown struct {
	took, expected, samples float64
	decayedAt               time.Time
}

func newSlowdownTracker() *slowdownTracker {
	return &slowdownTracker{means: map[string]float64{}, upstreams: map[identifier.Upstream]*slowdown{}}
}

// observe adds the time that an upstream took for one step of a kind of work.
func (t *slowdownTracker) observe(name identifier.Upstream, kind string, d time.Duration, now time.Time) {
	took := d.Seconds()
	t.mu.Lock()
	defer t.mu.Unlock()
	mean, ok := t.means[kind]
	if !ok {
		mean = took
	}
	took = min(took, maxSampleRatio*mean)
	mean += (took - mean) * workMeanWeight
	t.means[kind] = mean
	s := t.upstreams[name]
	if s == nil {
		s = &slowdown{decayedAt: now}
		t.upstreams[name] = s
	}
	s.decay(now)
	s.took += took
	s.expected += mean
	s.samples++
}

// tokenInterval returns the slowdown of an upstream as a token interval for the balancer, or 0 if it is not known.
func (t *slowdownTracker) tokenInterval(name identifier.Upstream, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[name]
	if s == nil {
		return 0
	}
	s.decay(now)
	if s.samples < minSlowdownSamples || s.expected <= 0 {
		return 0
	}
	if ratio := s.took / s.expected; ratio >= slowdownThreshold {
		return time.Duration(ratio * float64(baseTokenInterval))
	}
	return baseTokenInterval
}

// retain drops the upstreams for which live returns false.
func (t *slowdownTracker) retain(live func(identifier.Upstream) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.upstreams {
		if !live(name) {
			delete(t.upstreams, name)
		}
	}
}

func (s *slowdown) decay(now time.Time) {
	if dt := now.Sub(s.decayedAt); dt > 0 {
		factor := math.Exp(-dt.Seconds() / slowdownDecayTime.Seconds())
		s.took *= factor
		s.expected *= factor
		s.samples *= factor
		s.decayedAt = now
	}
}
