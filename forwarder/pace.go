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
	// evenLoadDecayTime is that time constant with WithEvenLoad. With 30 entries and 55 engines an entry sends an engine a request
	// every 6 s or so; with 6 s, the 99th percentile of whole responses is 4.7 s instead of 4.4 s (docs/design/even-load.md).
	evenLoadDecayTime = 30 * time.Second
	// reportedTTL is how long a figure that an upstream reported applies to the pauses measured there.
	reportedTTL = time.Second
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
	// decayTime is the time constant with which the samples of an upstream decay.
	decayTime time.Duration
}

// slowdown holds the time that an upstream took, the time expected for the same work, the number of samples and the sum of the
// figures that it reported at those samples, all of which decay exponentially.
type slowdown struct {
	took, expected, samples, reported float64
	decayedAt                         time.Time
	// current is how long work takes there according to the upstream, with 1 as usual, as of currentAt.
	current   float64
	currentAt time.Time
}

func newSlowdownTracker() *slowdownTracker {
	return &slowdownTracker{means: map[string]float64{}, upstreams: map[identifier.Upstream]*slowdown{}, decayTime: slowdownDecayTime}
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
	s := t.upstream(name, now)
	s.reported += s.reportedNow(now)
	s.took += took
	s.expected += mean
	s.samples++
}

// upstream returns the slowdown of an upstream, decayed until now. The mutex must be held.
func (t *slowdownTracker) upstream(name identifier.Upstream, now time.Time) *slowdown {
	s := t.upstreams[name]
	if s == nil {
		s = &slowdown{decayedAt: now}
		t.upstreams[name] = s
	}
	s.decay(now, t.decayTime)
	return s
}

// ratio returns the slowdown of an upstream and the factor by which it differs now according to the figure that the upstream
// reported with a response, 0 for none. An upstream that always reports the same figure has a factor near 1.
func (t *slowdownTracker) ratio(name identifier.Upstream, reported float64, now time.Time) (slowdown, correction float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstream(name, now)
	if reported > 0 {
		s.current, s.currentAt = reported, now
	}
	slowdown, correction = 1, 1
	if s.samples > 0 {
		mean := s.expected / s.samples
		slowdown = (s.took + minSlowdownSamples*mean) / (s.expected + minSlowdownSamples*mean)
	}
	if reported > 0 {
		correction = reported / s.meanReported()
	}
	return slowdown, correction
}

// tokenInterval returns the slowdown of an upstream as a token interval for the balancer, or 0 if it is not known.
func (t *slowdownTracker) tokenInterval(name identifier.Upstream, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[name]
	if s == nil {
		return 0
	}
	s.decay(now, t.decayTime)
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

// reportedNow returns the figure that the upstream reported, or the mean of its figures if the last one is too old.
func (s *slowdown) reportedNow(now time.Time) float64 {
	if s.current > 0 && now.Sub(s.currentAt) <= reportedTTL {
		return s.current
	}
	return s.meanReported()
}

// meanReported returns the mean of the figures that the upstream reported. A figure of 1 is added as one more sample: with more of
// them, an upstream that always reports a low figure would gain while few of its events are known.
func (s *slowdown) meanReported() float64 {
	return (s.reported + 1) / (s.samples + 1)
}

func (s *slowdown) decay(now time.Time, decayTime time.Duration) {
	if dt := now.Sub(s.decayedAt); dt > 0 {
		factor := math.Exp(-dt.Seconds() / decayTime.Seconds())
		s.took *= factor
		s.reported *= factor
		s.expected *= factor
		s.samples *= factor
		s.decayedAt = now
	}
}
