package batchfaker

import (
	"errors"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/admitter"
	"github.com/siskinfront/siskinfront/streamer"
)

// Call is one request to an agent or a FIFO; the event loop calls its functions.
type Call struct {
	Order  *streamer.Order
	Cost   float64 // expected cost in tokens
	Prompt int     // tokens
	Tokens int     // tokens that the answer will have
	// OnFirstToken is called at the first token, OnDone at the last one, OnRefused if the admitter rejects the call, and
	// OnPauseExpired if a paused call expires before it resumes.
	OnFirstToken, OnDone func()
	OnRefused            func(*admitter.Refusal)
	OnPauseExpired       func()
}

// Agent runs calls on an engine through an admitter, as package agentserver does.
type Agent struct {
	Engine   *Engine
	Admitter *admitter.Admitter
	// CannotPause is set when the engine cannot pause and resume a call.
	CannotPause bool

	loop     *Loop
	running  map[*admitter.Ticket]*run
	runOrder []*run
}

type run struct {
	call          *Call
	ticket        *admitter.Ticket
	sequence      *Sequence
	preempted     <-chan struct{}
	decodedTokens int // tokens produced by earlier runs
	stopping      bool
	started       bool
}

// pollInterval is the interval at which the agent checks for preempted calls; the admitter checks for overdue work at every
// 20th poll.
const pollInterval = 5 * time.Millisecond

// NewAgent returns an agent that polls its calls for as long as the loop runs, and calls the admitter's Tick at every 20th
// poll.
func NewAgent(l *Loop, e *Engine, a *admitter.Admitter) *Agent {
	g := &Agent{Engine: e, Admitter: a, loop: l, running: make(map[*admitter.Ticket]*run)}
	polls := 0
	l.Every(pollInterval, func() bool {
		if polls++; polls%20 == 0 {
			a.Tick()
		}
		g.poll()
		return true
	})
	return g
}

// Submit hands a call to the admitter.
func (g *Agent) Submit(c *Call) {
	_, err := g.Admitter.Enqueue(admitter.QueuedOrder{Order: c.Order, Cost: c.Cost, Resumable: !g.CannotPause}, func(t *admitter.Ticket, err error) {
		if err != nil {
			c.OnRefused(admitter.AsRefusal(err))
			return
		}
		g.start(&run{call: c, ticket: t})
	})
	if err != nil {
		c.OnRefused(admitter.AsRefusal(err))
	}
	g.poll()
}

func (g *Agent) start(r *run) {
	r.preempted = r.ticket.Preempted()
	r.stopping = false
	prompt := r.call.Prompt
	if r.started {
		prompt = 0 // the engine kept the KV cache of the paused call
	}
	g.running[r.ticket] = r
	g.runOrder = append(g.runOrder, r)
	r.sequence = g.Engine.Start(prompt, r.call.Tokens-r.decodedTokens, func() {
		if !r.started {
			r.started = true
			r.ticket.MarkFirstToken()
			r.call.OnFirstToken()
		}
	}, func() {
		g.remove(r)
		r.ticket.Finish(r.call.Tokens + r.prefillSteps(g.Engine))
		r.call.OnDone()
	})
}

// prefillSteps returns the number of steps that prefill the prompt; each takes a slot for as long as a token does.
func (r *run) prefillSteps(e *Engine) int {
	return (r.call.Prompt + e.profile.PrefillChunk - 1) / e.profile.PrefillChunk
}

func (g *Agent) remove(r *run) {
	delete(g.running, r.ticket)
	kept := g.runOrder[:0]
	for _, o := range g.runOrder {
		if o != r {
			kept = append(kept, o)
		}
	}
	clear(g.runOrder[len(kept):])
	g.runOrder = kept
}

// poll pauses each preempted call at the end of the engine's present step.
func (g *Agent) poll() {
	for _, r := range g.runOrder {
		if r.stopping {
			continue
		}
		select {
		case <-r.preempted:
			r.stopping = true
			step := time.Duration(g.Engine.profile.StepTime(g.Engine.Running()) * float64(time.Second))
			g.loop.After(step, func() { g.pause(r) })
		default:
		}
	}
}

func (g *Agent) pause(r *run) {
	if g.running[r.ticket] != r || !r.stopping {
		return
	}
	r.decodedTokens = min(r.decodedTokens+g.Engine.Stop(r.sequence), r.call.Tokens-1)
	g.remove(r)
	r.ticket.Requeue(r.decodedTokens, func(t *admitter.Ticket, err error) {
		if errors.Is(err, admitter.ErrPausedExpired) {
			r.call.OnPauseExpired()
			return
		}
		r.ticket = t
		g.start(r)
	})
}

// FIFO runs calls in the order of their arrival with an unbounded queue, as the baseline of experiments.
type FIFO struct {
	Engine *Engine
	Slots  int

	queue   []*Call
	running map[*Call]*Sequence
}

// Submit queues a call.
func (f *FIFO) Submit(c *Call) {
	f.queue = append(f.queue, c)
	f.dispatch()
}

func (f *FIFO) dispatch() {
	for f.Engine.Running() < f.Slots && len(f.queue) > 0 {
		c := f.queue[0]
		f.queue[0] = nil
		f.queue = f.queue[1:]
		if f.running == nil {
			f.running = make(map[*Call]*Sequence)
		}
		f.running[c] = f.Engine.Start(c.Prompt, c.Tokens, c.OnFirstToken, func() {
			delete(f.running, c)
			c.OnDone()
			f.dispatch()
		})
	}
}

// Cancel removes a call from the queue or the engine and reports whether it was still there.
func (f *FIFO) Cancel(c *Call) bool {
	if i := slices.Index(f.queue, c); i >= 0 {
		f.queue = slices.Delete(f.queue, i, i+1)
		return true
	}
	s, ok := f.running[c]
	if ok {
		f.Engine.Stop(s)
		delete(f.running, c)
		f.dispatch()
	}
	return ok
}

// Waiting returns the number of waiting calls.
func (f *FIFO) Waiting() int {
	return len(f.queue)
}
