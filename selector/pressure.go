package selector

import (
	"math"
	"sync"
	"time"
)

// pressureTime is the time constant of the mean of samples; engines report on each response, some ten times a second.
const pressureTime = 700 * time.Millisecond

// Pressure is the mean number of requests that wait at an engine, as a part of its slots, over the recent samples; it is safe
// for concurrent use.
type Pressure struct {
	mu    sync.Mutex
	value float64
	// weight is that of the samples in value; both decay.
	weight float64
	at     time.Time
	// size is the mean length of prompts in tokens.
	size float64
}

// sizeWeight is that of the newest prompt in the mean length, some 100 requests.
const sizeWeight = 0.01

// RelativePromptSize returns the length of a prompt in tokens relative to the mean of the recent ones, which it joins.
func (p *Pressure) RelativePromptSize(tokens int) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if tokens <= 0 {
		return 1
	}
	if p.size == 0 {
		p.size = float64(tokens)
	}
	p.size += (float64(tokens) - p.size) * sizeWeight
	return float64(tokens) / p.size
}

// Observe adds what one engine reports.
func (p *Pressure) Observe(waiting, slots int, now time.Time) {
	if slots <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	p.value += float64(waiting) / float64(slots)
	p.weight++
}

// Value returns the mean, 0 without samples. A few samples that are not there yet count as idle engines, so that one engine
// does not speak for all.
func (p *Pressure) Value(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	return p.value / (p.weight + 1)
}

func (p *Pressure) decay(now time.Time) {
	if dt := now.Sub(p.at); dt > 0 {
		f := math.Exp(-dt.Seconds() / pressureTime.Seconds())
		p.value *= f
		p.weight *= f
		p.at = now
	}
}
