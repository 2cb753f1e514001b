package announcer

import (
	"math"
	"sync"
	"time"
)

const (
	// speedDecay is the weight that the earlier samples of a model lose with each further one, so that some 2,000 count. One in a
	// hundred prompts is long, and their lengths tell the speed.
	speedDecay = 0.0005
	// minSamples is the number of samples from which the speed of reading is known.
	minSamples = 20
	// minConfidence is how many times its standard error the time for a token must be.
	minConfidence = 2
	// maxSample bounds the time of a sample, so that an upstream that hangs does not outweigh the others.
	maxSample = 20 * time.Second
	// maxSampleTokens bounds the tokens of a sample, and its time in proportion. Callers state the lengths of prompts, and a single
	// untrue one of 1,000,000 tokens outweighed 8,000 others.
	maxSampleTokens = 64_000
	// maxDeviations bounds the distance of a sample from the line, in standard deviations, once there are minLineSamples.
	maxDeviations  = 3
	minLineSamples = 100
	// maxSlopeChange bounds the part by which a sample changes a slope that is known from minSlopeSamples, so that ten untrue lengths
	// change it by less than a third. Bounded from the first samples on, a wrong slope was corrected too slowly: after 3,000 prompts
	// 20 of 300 simulated ones were wrong by more than a third, and none with 1,000 samples.
	maxSlopeChange  = 0.03
	minSlopeSamples = 1000
	// maxModels bounds the models whose speed is learned.
	maxModels = 64
	// usesKept is the part of the uses that models keep as another one is evicted, so that models that are no longer served are
	// evicted in the end although they have many samples.
	usesKept = 0.9
)

// Speeds learns the time that engines of mean speed take to read a token of each model, from the first events of prompts of different
// length: the slope of a regression, since waits behind other prompts do not depend on the length of the own one. It is safe for
// concurrent use.
type Speeds struct {
	mu     sync.Mutex
	models map[uint64]*regression
}

// regression holds the moments of a linear regression of y on x about their means, with weights that decay.
type regression struct {
	n, meanX, meanY, xx, xy, yy float64
	// uses is the number of samples, with a lower weight for those before evictions.
	uses float64
}

// bound returns y, moved towards the line to within maxDeviations and maxSlopeChange.
func (r *regression) bound(x, y float64) float64 {
	if r.n < minLineSamples || r.xx <= 0 {
		return y
	}
	slope, known := r.slope()
	line := r.meanY + slope*(x-r.meanX)
	margin := maxDeviations * math.Sqrt(max(r.yy-slope*r.xy, 0)/r.n)
	if known && r.n >= minSlopeSamples {
		margin = min(margin, maxSlopeChange*r.xy/math.Abs(x-r.meanX))
	}
	return min(max(y, line-margin), line+margin)
}

func (r *regression) add(x, y float64) {
	const keep = 1 - speedDecay
	r.n, r.xx, r.xy, r.yy = r.n*keep+1, r.xx*keep, r.xy*keep, r.yy*keep
	dx, dy := x-r.meanX, y-r.meanY
	r.meanX += dx / r.n
	r.meanY += dy / r.n
	r.xx += dx * (x - r.meanX)
	r.xy += dx * (y - r.meanY)
	r.yy += dy * (y - r.meanY)
}

// slope returns the slope if it is positive by minConfidence times its standard error.
func (r *regression) slope() (float64, bool) {
	if r.n < minSamples || r.xx <= 0 {
		return 0, false
	}
	slope := r.xy / r.xx
	variance := max(r.yy-slope*r.xy, 0) / (r.n - 2) / r.xx
	return slope, slope > 0 && slope*slope > minConfidence*minConfidence*variance
}

// Observe adds a prompt of a model, and the time from sending it to its first event. Tokens that a slower engine read count as more.
func (s *Speeds) Observe(model uint64, tokens, slowdown float64, took time.Duration) {
	if tokens <= 0 || tokens > MaxTokens || took < 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.models == nil {
		s.models = map[uint64]*regression{}
	}
	r := s.models[model]
	if r == nil {
		if len(s.models) >= maxModels {
			s.evict()
		}
		r = &regression{}
		s.models[model] = r
	}
	r.uses++
	x, y := tokens*slowdown, min(took, maxSample).Seconds()
	if x > maxSampleTokens {
		x, y = maxSampleTokens, y*maxSampleTokens/x
	}
	r.add(x, r.bound(x, y))
}

// evict drops the model with the fewest uses. Callers state the names of models, so that a new name must not drop a model in use, and
// names without further requests must not keep one out.
func (s *Speeds) evict() {
	var least uint64
	fewest := math.Inf(1)
	for model, r := range s.models {
		if r.uses < fewest {
			least, fewest = model, r.uses
		}
		r.uses *= usesKept
	}
	delete(s.models, least)
}

// Time returns the time that an engine takes to read a prompt, or false if the speed is not known yet.
func (s *Speeds) Time(model uint64, tokens, slowdown float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.models[model]
	if r == nil {
		return 0, false
	}
	slope, ok := r.slope()
	// A prompt of MaxTokens at the longest time for a token stays within the range of time.Duration.
	return time.Duration(slope * tokens * slowdown * float64(time.Second)), ok
}
