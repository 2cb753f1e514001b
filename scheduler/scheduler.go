package scheduler

import (
	"container/heap"
	"errors"
	"iter"
	"math/rand/v2"
	"time"
)

// Scheduler is a virtual clock with processes that run one at a time, so that a seed determines the whole schedule.
type Scheduler struct {
	now    time.Time
	start  time.Time
	rand   *rand.Rand
	queue  eventQueue
	serial uint64
	// current is the process that runs; nil while an event callback runs.
	current *process
	blocked map[*process]struct{}
}

// Instance is what processes run on. A process ends when the life in which it began is over, and waits while it is paused.
type Instance struct {
	// Incarnation counts the restarts.
	Incarnation int
	// PausedUntil is the end of a pause; the zero value is none.
	PausedUntil time.Time
}

// process is one thread of control; it runs only between two waits of the virtual clock.
type process struct {
	host  *Instance
	life  int
	next  func() (struct{}, bool)
	stop  func()
	yield func(struct{}) bool
}

type event struct {
	at     time.Time
	serial uint64
	f      func()
	p      *process
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].serial < q[j].serial
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop is part of heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// New returns a scheduler whose random source is seeded.
func New(seed uint64) *Scheduler {
	start := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	return &Scheduler{
		now: start, start: start, rand: rand.New(rand.NewPCG(seed, 0x5157)),
		blocked: map[*process]struct{}{},
	}
}

// Now returns the virtual time.
func (s *Scheduler) Now() time.Time { return s.now }

// Elapsed returns the virtual time since the start.
func (s *Scheduler) Elapsed() time.Duration { return s.now.Sub(s.start) }

// Rand returns the random source of the schedule.
func (s *Scheduler) Rand() *rand.Rand { return s.rand }

// Skip moves the clock before anything is scheduled.
func (s *Scheduler) Skip(d time.Duration) { s.now = s.now.Add(d) }

func (s *Scheduler) push(e event) {
	s.serial++
	e.serial = s.serial
	heap.Push(&s.queue, e)
}

// After calls f at a later time; f must not wait.
func (s *Scheduler) After(d time.Duration, f func()) {
	s.push(event{at: s.now.Add(d), f: f})
}

// errKilled unwinds a process whose host has crashed or whose schedule has ended.
var errKilled = errors.New("scheduler: process killed")

// Spawn starts a process of a host, or of none if h is nil.
func (s *Scheduler) Spawn(h *Instance, f func()) {
	p := &process{host: h}
	if h != nil {
		p.life = h.Incarnation
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
	s.blocked[p] = struct{}{}
	s.push(event{at: s.now, p: p})
}

func (p *process) killed() bool {
	return p.host != nil && p.host.Incarnation != p.life
}

// Sleep makes the running process wait; a process of a crashed host never returns from it.
func (s *Scheduler) Sleep(d time.Duration) {
	p := s.current
	for {
		s.push(event{at: s.now.Add(d), p: p})
		if !p.yield(struct{}{}) || p.killed() {
			panic(errKilled)
		}
		if p.host == nil || !s.now.Before(p.host.PausedUntil) {
			return
		}
		d = p.host.PausedUntil.Sub(s.now)
	}
}

func (s *Scheduler) resume(p *process) {
	s.current = p
	if _, more := p.next(); !more {
		delete(s.blocked, p)
	}
	s.current = nil
}

// Run processes events for a time.
func (s *Scheduler) Run(d time.Duration) {
	until := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(until) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		if e.p != nil {
			s.resume(e.p)
			continue
		}
		e.f()
	}
	s.now = until
}

// Stop stops all processes.
func (s *Scheduler) Stop() {
	for p := range s.blocked {
		p.stop()
	}
}

// UniformDuration draws a duration evenly.
func (s *Scheduler) UniformDuration(low, high time.Duration) time.Duration {
	return UniformDuration(s.rand, low, high)
}

// UniformDuration draws a duration evenly.
func UniformDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
