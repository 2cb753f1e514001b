package scheduler

import (
	"container/heap"
	"errors"
	"iter"
	"math/rand/v2"
	"time"
)

// Scheduler runs simulated processes one at a time on a virtual clock, so that a seed determines the whole schedule. It is not
// safe for concurrent use.
type Scheduler struct {
	now     time.Time
	start   time.Time
	rand    *rand.Rand
	queue   eventQueue
	lastSeq uint64
	// current is the running process; nil while a callback of After runs.
	current *process
	live    map[*process]struct{}
}

// Instance is a simulated instance on which processes run. A process ends once the incarnation in which it was spawned is over,
// and does not run while its instance is paused.
type Instance struct {
	// Incarnation is incremented by a restart.
	Incarnation int
	// PausedUntil is the end of a pause; zero means not paused.
	PausedUntil time.Time
}

// process is a simulated process, run as a coroutine that is suspended while it sleeps.
type process struct {
	instance    *Instance
	incarnation int
	next        func() (struct{}, bool)
	stop        func()
	yield       func(struct{}) bool
}

type event struct {
	at       time.Time
	seq      uint64
	callback func()
	process  *process
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// New returns a scheduler with a random source seeded from seed.
func New(seed uint64) *Scheduler {
	start := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	return &Scheduler{
		now: start, start: start, rand: rand.New(rand.NewPCG(seed, 0x5157)),
		live: map[*process]struct{}{},
	}
}

// Now returns the virtual time.
func (s *Scheduler) Now() time.Time { return s.now }

// Elapsed returns the virtual time since the start.
func (s *Scheduler) Elapsed() time.Duration { return s.now.Sub(s.start) }

// Rand returns the scheduler's random source.
func (s *Scheduler) Rand() *rand.Rand { return s.rand }

// Advance moves the clock without running events; it must be called before anything is scheduled.
func (s *Scheduler) Advance(d time.Duration) { s.now = s.now.Add(d) }

func (s *Scheduler) push(e event) {
	s.lastSeq++
	e.seq = s.lastSeq
	heap.Push(&s.queue, e)
}

// After calls f once d has passed; f must not sleep.
func (s *Scheduler) After(d time.Duration, f func()) {
	s.push(event{at: s.now.Add(d), callback: f})
}

// errKilled is the panic value that unwinds a process whose instance has crashed or whose scheduler has been stopped.
var errKilled = errors.New("scheduler: process killed")

// Spawn starts a process on an instance, or on none if instance is nil.
func (s *Scheduler) Spawn(instance *Instance, f func()) {
	p := &process{instance: instance}
	if instance != nil {
		p.incarnation = instance.Incarnation
	}
	p.next, p.stop = iter.Pull(func(yield func(struct{}) bool) {
		defer func() {
			v := recover()
			if err, ok := v.(error); v != nil && (!ok || !errors.Is(err, errKilled)) {
				panic(v)
			}
		}()
		p.yield = yield
		if !p.killed() {
			f()
		}
	})
	s.live[p] = struct{}{}
	s.push(event{at: s.now, process: p})
}

func (p *process) killed() bool {
	return p.instance != nil && p.instance.Incarnation != p.incarnation
}

// Sleep suspends the running process for d, and beyond that while its instance is paused. It never returns if the instance has
// crashed meanwhile.
func (s *Scheduler) Sleep(d time.Duration) {
	p := s.current
	for {
		s.push(event{at: s.now.Add(d), process: p})
		if !p.yield(struct{}{}) || p.killed() {
			panic(errKilled)
		}
		if p.instance == nil || !s.now.Before(p.instance.PausedUntil) {
			return
		}
		d = p.instance.PausedUntil.Sub(s.now)
	}
}

func (s *Scheduler) resume(p *process) {
	s.current = p
	if _, running := p.next(); !running {
		delete(s.live, p)
	}
	s.current = nil
}

// Run runs the events of the next d of virtual time.
func (s *Scheduler) Run(d time.Duration) {
	until := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(until) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		if e.process != nil {
			s.resume(e.process)
			continue
		}
		e.callback()
	}
	s.now = until
}

// Stop ends all processes.
func (s *Scheduler) Stop() {
	for p := range s.live {
		p.stop()
	}
}

// UniformDuration draws a uniformly distributed duration from low to high, both included, from the scheduler's random source.
func (s *Scheduler) UniformDuration(low, high time.Duration) time.Duration {
	return UniformDuration(s.rand, low, high)
}

// UniformDuration draws a uniformly distributed duration from low to high, both included, from r.
func UniformDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
