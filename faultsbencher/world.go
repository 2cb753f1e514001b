package faultsbencher

import (
	"container/heap"
	"errors"
	"iter"
	"math/rand/v2"
	"time"
)

// world is a virtual clock with processes that run one at a time, so that a seed determines the whole schedule.
type world struct {
	now    time.Time
	start  time.Time
	rand   *rand.Rand
	queue  eventQueue
	serial uint64
	// current is the process that runs; nil while an event callback runs.
	current *process
	blocked map[*process]struct{}
}

// process is one thread of control of a node; it runs only between two waits of the virtual clock.
type process struct {
	node  *node
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

func newWorld(seed uint64) *world {
	start := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	return &world{
		now: start, start: start, rand: rand.New(rand.NewPCG(seed, 0x5157)),
		blocked: map[*process]struct{}{},
	}
}

func (w *world) push(e event) {
	w.serial++
	e.serial = w.serial
	heap.Push(&w.queue, e)
}

// after calls f at a later time; f must not wait.
func (w *world) after(d time.Duration, f func()) {
	w.push(event{at: w.now.Add(d), f: f})
}

// errKilled unwinds a process whose node has crashed or whose schedule has ended.
var errKilled = errors.New("faultsbencher: process killed")

// spawn starts a process of a node, or of none if n is nil.
func (w *world) spawn(n *node, f func()) {
	p := &process{node: n}
	if n != nil {
		p.life = n.life
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
	w.blocked[p] = struct{}{}
	w.push(event{at: w.now, p: p})
}

func (p *process) killed() bool {
	return p.node != nil && p.node.life != p.life
}

// sleep makes the running process wait; a process of a crashed node never returns from it.
func (w *world) sleep(d time.Duration) {
	p := w.current
	for {
		w.push(event{at: w.now.Add(d), p: p})
		if !p.yield(struct{}{}) || p.killed() {
			panic(errKilled)
		}
		if p.node == nil || !w.now.Before(p.node.pausedUntil) {
			return
		}
		d = p.node.pausedUntil.Sub(w.now)
	}
}

func (w *world) resume(p *process) {
	w.current = p
	if _, more := p.next(); !more {
		delete(w.blocked, p)
	}
	w.current = nil
}

// run processes events for a time.
func (w *world) run(d time.Duration) {
	until := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		if e.p != nil {
			w.resume(e.p)
			continue
		}
		e.f()
	}
	w.now = until
}

// end stops all processes.
func (w *world) end() {
	for p := range w.blocked {
		p.stop()
	}
}

// between draws a duration evenly.
func (w *world) between(low, high time.Duration) time.Duration {
	return between(w.rand, low, high)
}

// between draws a duration evenly.
func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
