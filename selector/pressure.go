package selector

import (
	"math"
	"sync"
	"time"
)

// pressureTimeConstant is the time constant of the exponentially weighted mean; engines report with each response, about ten
// times a second.
const pressureTimeConstant = 700 * time.Millisecond

// Pressure is the mean ratio of waiting requests to slots of the engines over the recent samples; it is safe for concurrent use.
type Pressure struct {
	mu sync.Mutex
	// weightedSum is the sum of the weighted samples, and weight that of their weights; both decay exponentially.
	weightedSum float64
	weight      float64
	decayedAt   time.Time
	// meanPromptTokens is the exponentially weighted mean length of prompts in tokens.
	meanPromptTokens float64
}

// promptWeight is the weight of the newest prompt in the mean length, which averages over about 100 requests.
const promptWeight = 0.01

// RelativePromptSize returns the length of a prompt in tokens relative to the mean of the recent prompts, and adds it to that
// mean.
func (p *Pressure) RelativePromptSize(tokens int) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if tokens <= 0 {
		return 1
	}
	if p.meanPromptTokens == 0 {
		p.meanPromptTokens = float64(tokens)
	}
	p.meanPromptTokens += (float64(tokens) - p.meanPromptTokens) * promptWeight
	return float64(tokens) / p.meanPromptTokens
}

// Observe adds a sample: the waiting requests and the slots that one engine reports.
func (p *Pressure) Observe(waiting, slots int, now time.Time) {
	if slots <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	p.weightedSum += float64(waiting) / float64(slots)
	p.weight++
}

// Value returns the mean, or 0 without samples. It includes one additional sample of an idle engine, so that a single report does
// not determine the value.
func (p *Pressure) Value(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	return p.weightedSum / (p.weight + 1)
}

func (p *Pressure) decay(now time.Time) {
	if dt := now.Sub(p.decayedAt); dt > 0 {
		factor := math.Exp(-dt.Seconds() / pressureTimeConstant.Seconds())
		p.weightedSum *= factor
		p.weight *= factor
		p.decayedAt = now
	}
}
