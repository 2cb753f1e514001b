package batchfaker

import (
	"errors"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/admitter"
	"github.com/siskinfront/siskinfront/streamer"
)

// Call is one request to an agent; the functions are called from the event loop.
type Call struct {
	Order  *streamer.Order
	Cost   float64 // expected cost in tokens
	Prompt int     // tokens
	Tokens int     // tokens that the answer will have
	// OnFirst is called with the first token, OnDone with the last one, OnRefused if the call is not run, and OnBroken
	// if a paused call cannot continue.
	OnFirst, OnDone func()
	OnRefused       func(*admitter.Refusal)
	OnBroken        func()
}

// Agent runs calls on an engine through an admitter, as agentserver does.
type Agent struct {
	Engine   *Engine
	Admitter *admitter.Admitter
	// CannotPause is set when the engine cannot pause work.
	CannotPause bool

	loop    *Loop
	running map[*admitter.Ticket]*run
	order   []*run
}

type run struct {
	call      *Call
	ticket    *admitter.Ticket
	sequence  *Sequence
	preempted <-chan struct{}
	from      int // tokens produced by earlier runs
	stopping  bool
	started   bool
}

// pollInterval is the granularity at which the agent notices preemption and overdue work.
const pollInterval = 5 * time.Millisecond

// NewAgent returns an agent that polls until the end of the loop.
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
		prompt = 0 // the engine kept the state of the paused work
	}
	g.running[r.ticket] = r
	g.order = append(g.order, r)
	r.sequence = g.Engine.Start(prompt, r.call.Tokens-r.from, func() {
		if !r.started {
			r.started = true
			r.ticket.MarkFirstToken()
			r.call.OnFirst()
		}
	}, func() {
		g.forget(r)
		r.ticket.Finish(r.call.Tokens + r.steps(g.Engine))
		r.call.OnDone()
	})
}

// steps returns the steps of the prompt, which cost a slot as much as tokens do.
func (r *run) steps(e *Engine) int {
	return (r.call.Prompt + e.shape.PrefillChunk - 1) / e.shape.PrefillChunk
}

func (g *Agent) forget(r *run) {
	delete(g.running, r.ticket)
	kept := g.order[:0]
	for _, o := range g.order {
		if o != r {
			kept = append(kept, o)
		}
	}
	clear(g.order[len(kept):])
	g.order = kept
}

// poll lets preempted work leave the engine at the end of its step.
func (g *Agent) poll() {
	for _, r := range g.order {
		if r.stopping {
			continue
		}
		select {
		case <-r.preempted:
			r.stopping = true
			step := time.Duration(g.Engine.shape.StepTime(g.Engine.Running()) * float64(time.Second))
			g.loop.After(step, func() { g.pause(r) })
		default:
		}
	}
}

func (g *Agent) pause(r *run) {
	if g.running[r.ticket] != r || !r.stopping {
		return
	}
	r.from = min(r.from+g.Engine.Stop(r.sequence), r.call.Tokens-1)
	g.forget(r)
	r.ticket.Requeue(r.from, func(t *admitter.Ticket, err error) {
		if errors.Is(err, admitter.ErrPausedExpired) {
			r.call.OnBroken()
			return
		}
		r.ticket = t
		g.start(r)
	})
}

// FIFO runs calls first come, first served without bounds, as a comparison.
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
		f.running[c] = f.Engine.Start(c.Prompt, c.Tokens, c.OnFirst, func() {
			delete(f.running, c)
			c.OnDone()
			f.dispatch()
		})
	}
}

// Cancel removes a call and reports whether it had not ended.
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
