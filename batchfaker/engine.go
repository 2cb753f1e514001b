package batchfaker

import (
	"math"
	"slices"
	"time"
)

// SpeedProfile describes how an engine's speed depends on its batch.
type SpeedProfile struct {
	// Knee is the batch size from which on the engine's total token rate no longer grows.
	Knee int
	// Step is the time of one decoding step of an empty batch.
	Step time.Duration
	// Slope is the relative growth of the step time up to the knee.
	Slope float64
	// PrefillChunk is the number of prompt tokens read in one step.
	PrefillChunk int
}

// StepTime returns the time of one step with n sequences in the batch, in seconds.
func (s SpeedProfile) StepTime(n int) float64 {
	x := float64(n) / float64(s.Knee)
	return s.Step.Seconds() * (1 + s.Slope*min(x, 1)) * max(x, 1)
}

// Capacity returns the largest token rate in tokens per second.
func (s SpeedProfile) Capacity() float64 {
	return float64(s.Knee) / s.StepTime(s.Knee)
}

// Engine shares its token rate equally between the sequences of its batch. It computes in steps: progress is the number
// of steps that a sequence present from the beginning would have made.
type Engine struct {
	shape    SpeedProfile
	loop     *Loop
	progress float64
	at       time.Time
	batch    []*Sequence
	change   uint64
	tokens   float64
}

// Sequence is one request in the batch of an engine.
type Sequence struct {
	from    float64 // progress at which decoding begins
	first   float64 // progress at which the first token is ready
	end     float64 // progress at which the last token is ready
	started bool
	onFirst func()
	onDone  func()
}

// NewEngine returns an engine with an empty batch.
func NewEngine(l *Loop, s SpeedProfile) *Engine {
	return &Engine{shape: s, loop: l, at: l.Now()}
}

// Running returns the size of the batch.
func (e *Engine) Running() int {
	return len(e.batch)
}

// StepTime returns the time of one step of the present batch.
func (e *Engine) StepTime() time.Duration {
	return time.Duration(e.shape.StepTime(len(e.batch)) * float64(time.Second))
}

// Tokens returns the number of tokens decoded so far, over all sequences.
func (e *Engine) Tokens() float64 {
	e.advance()
	return e.tokens
}

// Start adds a sequence that reads a prompt and then decodes tokens; the functions are called from the event loop.
func (e *Engine) Start(prompt, tokens int, onFirst, onDone func()) *Sequence {
	e.advance()
	from := e.progress + math.Ceil(float64(prompt)/float64(e.shape.PrefillChunk))
	s := &Sequence{from: from, first: from + 1, end: from + float64(max(tokens, 1)), onFirst: onFirst, onDone: onDone}
	e.batch = append(e.batch, s)
	e.schedule()
	return s
}

// Stop takes a sequence out of the batch and returns the number of whole tokens it has decoded.
func (e *Engine) Stop(s *Sequence) int {
	e.advance()
	if i := slices.Index(e.batch, s); i >= 0 {
		e.batch = slices.Delete(e.batch, i, i+1)
	}
	e.schedule()
	return int(max(min(e.progress, s.end)-s.from, 0) + tolerance)
}

// tolerance absorbs rounding of times to nanoseconds, in steps.
const tolerance = 1e-6

func (e *Engine) advance() {
	now := e.loop.Now()
	dt := now.Sub(e.at).Seconds()
	e.at = now
	if len(e.batch) == 0 || dt <= 0 {
		return
	}
	before := e.progress
	e.progress += dt / e.shape.StepTime(len(e.batch))
	for _, s := range e.batch {
		e.tokens += max(min(e.progress, s.end)-max(before, s.from), 0)
	}
}

// schedule arranges the next first or last token; an older arrangement is void.
func (e *Engine) schedule() {
	e.change++
	if len(e.batch) == 0 {
		return
	}
	next := math.Inf(1)
	for _, s := range e.batch {
		if s.started {
			next = min(next, s.end)
		} else {
			next = min(next, s.first)
		}
	}
	change := e.change
	wait := max(next-e.progress, 0) * e.shape.StepTime(len(e.batch))
	e.loop.After(time.Duration(math.Ceil(wait*1e9)), func() {
		if e.change == change {
			e.fire()
		}
	})
}

func (e *Engine) fire() {
	e.advance()
	var calls []func()
	kept := e.batch[:0]
	for _, s := range e.batch {
		if !s.started && e.progress >= s.first-tolerance {
			s.started = true
			calls = append(calls, s.onFirst)
		}
		if e.progress >= s.end-tolerance {
			calls = append(calls, s.onDone)
			continue
		}
		kept = append(kept, s)
	}
	clear(e.batch[len(kept):])
	e.batch = kept
	e.schedule()
	for _, f := range calls {
		f()
	}
}

// SetSpeedProfile changes the speed of the engine from now on; the work of running sequences is kept.
func (e *Engine) SetSpeedProfile(s SpeedProfile) {
	e.advance()
	e.shape = s
	e.schedule()
}
