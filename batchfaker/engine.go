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
	// Step is the duration of one decoding step, extrapolated to an empty batch.
	Step time.Duration
	// Slope is the relative growth of the step time from an empty batch to the knee.
	Slope float64
	// PrefillChunk is the number of prompt tokens prefilled in one step.
	PrefillChunk int
}

// StepTime returns the time of one step with n sequences in the batch, in seconds.
func (s SpeedProfile) StepTime(n int) float64 {
	x := float64(n) / float64(s.Knee)
	return s.Step.Seconds() * (1 + s.Slope*min(x, 1)) * max(x, 1)
}

// Capacity returns the largest token rate, which is reached at the knee, in tokens per second.
func (s SpeedProfile) Capacity() float64 {
	return float64(s.Knee) / s.StepTime(s.Knee)
}

// Engine shares its token rate equally between the sequences of its batch. It measures progress in steps, including
// fractions; each step prefills one chunk or decodes one token of every sequence in the batch.
type Engine struct {
	profile SpeedProfile
	loop    *Loop
	// steps is the number of steps that a sequence present from the beginning would have made.
	steps            float64
	updatedAt        time.Time
	batch            []*Sequence
	scheduleRevision uint64
	tokens           float64
}

// Sequence is one request in the batch of an engine.
type Sequence struct {
	decodeStep     float64 // step at which prefill ends and decoding begins
	firstTokenStep float64 // step at which the first token is ready
	lastTokenStep  float64 // step at which the last token is ready
	started        bool
	onFirst        func()
	onDone         func()
}

// NewEngine returns an engine with an empty batch.
func NewEngine(l *Loop, s SpeedProfile) *Engine {
	return &Engine{profile: s, loop: l, updatedAt: l.Now()}
}

// Running returns the size of the batch.
func (e *Engine) Running() int {
	return len(e.batch)
}

// StepTime returns the time of one step of the present batch.
func (e *Engine) StepTime() time.Duration {
	return time.Duration(e.profile.StepTime(len(e.batch)) * float64(time.Second))
}

// Tokens returns the number of tokens decoded so far, over all sequences.
func (e *Engine) Tokens() float64 {
	e.advance()
	return e.tokens
}

// Start adds a sequence that prefills a prompt and then decodes tokens; the event loop calls the functions.
func (e *Engine) Start(prompt, tokens int, onFirst, onDone func()) *Sequence {
	e.advance()
	from := e.steps + math.Ceil(float64(prompt)/float64(e.profile.PrefillChunk))
	s := &Sequence{
		decodeStep: from, firstTokenStep: from + 1, lastTokenStep: from + float64(max(tokens, 1)),
		onFirst: onFirst, onDone: onDone,
	}
	e.batch = append(e.batch, s)
	e.schedule()
	return s
}

// Stop removes a sequence from the batch and returns the number of whole tokens that it has decoded.
func (e *Engine) Stop(s *Sequence) int {
	e.advance()
	if i := slices.Index(e.batch, s); i >= 0 {
		e.batch = slices.Delete(e.batch, i, i+1)
	}
	e.schedule()
	return int(max(min(e.steps, s.lastTokenStep)-s.decodeStep, 0) + stepTolerance)
}

// stepTolerance is the error, in steps, that rounding of times to nanoseconds may cause.
const stepTolerance = 1e-6

func (e *Engine) advance() {
	now := e.loop.Now()
	dt := now.Sub(e.updatedAt).Seconds()
	e.updatedAt = now
	if len(e.batch) == 0 || dt <= 0 {
		return
	}
	before := e.steps
	e.steps += dt / e.profile.StepTime(len(e.batch))
	for _, s := range e.batch {
		e.tokens += max(min(e.steps, s.lastTokenStep)-max(before, s.decodeStep), 0)
	}
}

// schedule schedules the event of the next first or last token; events of earlier calls do nothing.
func (e *Engine) schedule() {
	e.scheduleRevision++
	if len(e.batch) == 0 {
		return
	}
	next := math.Inf(1)
	for _, s := range e.batch {
		if s.started {
			next = min(next, s.lastTokenStep)
		} else {
			next = min(next, s.firstTokenStep)
		}
	}
	revision := e.scheduleRevision
	wait := max(next-e.steps, 0) * e.profile.StepTime(len(e.batch))
	e.loop.After(time.Duration(math.Ceil(wait*1e9)), func() {
		if e.scheduleRevision == revision {
			e.deliverTokens()
		}
	})
}

func (e *Engine) deliverTokens() {
	e.advance()
	var calls []func()
	kept := e.batch[:0]
	for _, s := range e.batch {
		if !s.started && e.steps >= s.firstTokenStep-stepTolerance {
			s.started = true
			calls = append(calls, s.onFirst)
		}
		if e.steps >= s.lastTokenStep-stepTolerance {
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
	e.profile = s
	e.schedule()
}
