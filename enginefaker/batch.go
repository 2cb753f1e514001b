package enginefaker

import (
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// sequence is one stream in the batch; its fields are guarded by the engine's mutex.
type sequence struct {
	request  identifier.Request
	priority int
	arrival  uint64
	prefill  float64
	produced int
	limit    int
	blocks   []uint64
	// wake holds one value while there is progress that the handler has not seen.
	wake      chan struct{}
	cancelled bool
}

func (s *sequence) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// enqueue adds s to the queue and starts the batch loop if it is idle.
func (e *Engine) enqueue(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	s.arrival = e.arrivals
	e.wait(s)
	if !e.stepping {
		e.stepping = true
		go e.step()
	}
}

// wait inserts s behind all waiting sequences of its priority that arrived earlier.
func (e *Engine) wait(s *sequence) {
	i, _ := slices.BinarySearchFunc(e.waiting, s, func(a, b *sequence) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return int(int64(a.arrival) - int64(b.arrival))
	})
	e.waiting = slices.Insert(e.waiting, i, s)
}

// cancel removes the sequences of a request and reports whether there was one.
func (e *Engine) cancel(r identifier.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := false
	remove := func(s *sequence) bool {
		if s.request != r {
			return false
		}
		found, s.cancelled = true, true
		s.notify()
		return true
	}
	e.waiting = slices.DeleteFunc(e.waiting, remove)
	e.running = slices.DeleteFunc(e.running, remove)
	if found {
		e.cancelled++
	}
	return found
}

// step advances the batch by one token per stream until no stream is left.
func (e *Engine) step() {
	for {
		e.mu.Lock()
		e.fill()
		if len(e.running) == 0 {
			e.stepping = false
			e.mu.Unlock()
			return
		}
		d := e.stepTime()
		e.mu.Unlock()
		if d > 0 {
			time.Sleep(d)
		}
		e.mu.Lock()
		e.advance(d)
		e.mu.Unlock()
	}
}

// fill moves waiting sequences into the batch; an urgent one displaces the least urgent one that runs.
func (e *Engine) fill() {
	for len(e.waiting) > 0 {
		next := e.waiting[0]
		if len(e.running) < e.MaxBatch {
			e.waiting = e.waiting[1:]
			e.running = append(e.running, next)
			continue
		}
		victim := 0
		for i, s := range e.running {
			if s.priority >= e.running[victim].priority {
				victim = i
			}
		}
		if e.running[victim].priority <= next.priority {
			return
		}
		v := e.running[victim]
		e.waiting = e.waiting[1:]
		e.running[victim] = next
		e.wait(v)
		e.preempted++
	}
}

func (e *Engine) stepTime() time.Duration {
	d := e.Interval
	if e.TokenRate > 0 {
		d = max(d, time.Duration(float64(len(e.running))/e.TokenRate*float64(time.Second)))
	}
	if d == 0 && e.PrefillRate > 0 {
		// A step without a token rate still has to take time while a stream prefills.
		d = time.Millisecond
	}
	return d
}

func (e *Engine) advance(d time.Duration) {
	kept := e.running[:0]
	for _, s := range e.running {
		if s.prefill > 0 && e.PrefillRate > 0 {
			s.prefill -= e.PrefillRate * d.Seconds()
			kept = append(kept, s)
			continue
		}
		s.produced++
		e.produced++
		s.notify()
		if s.produced < s.limit {
			kept = append(kept, s)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}
