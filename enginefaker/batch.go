package enginefaker

import (
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// sequence is the decoding of one stream, in the queue or in the batch; the engine's mutex guards its fields.
type sequence struct {
	request  identifier.Request
	priority int
	arrival  uint64
	// prefillTokens is the number of prompt tokens still to prefill.
	prefillTokens float64
	produced      int
	maxTokens     int
	blocks        []uint64
	// wake holds a value while the handler has not yet seen a new token or a cancellation.
	wake      chan struct{}
	cancelled bool
}

func (s *sequence) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// enqueue adds s to the queue and starts the batch loop if it is not running.
func (e *Engine) enqueue(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	s.arrival = e.arrivals
	e.insertWaiting(s)
	if !e.batchRunning {
		e.batchRunning = true
		go e.runBatch()
	}
}

// insertWaiting inserts s into the queue, which is ordered by priority and then by arrival.
func (e *Engine) insertWaiting(s *sequence) {
	i, _ := slices.BinarySearchFunc(e.waiting, s, func(a, b *sequence) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return int(int64(a.arrival) - int64(b.arrival))
	})
	e.waiting = slices.Insert(e.waiting, i, s)
}

// cancel removes all sequences of a request from the queue and the batch, and reports whether there was one.
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

// runBatch advances the batch by one token per stream until the queue and the batch are empty.
func (e *Engine) runBatch() {
	for {
		e.mu.Lock()
		e.admitWaiting()
		if len(e.running) == 0 {
			e.batchRunning = false
			e.mu.Unlock()
			return
		}
		d := e.stepDuration()
		e.mu.Unlock()
		if d > 0 {
			time.Sleep(d)
		}
		e.mu.Lock()
		e.produceTokens(d)
		e.mu.Unlock()
	}
}

// admitWaiting moves waiting sequences into the batch; in a full batch a more urgent one preempts the least urgent one.
func (e *Engine) admitWaiting() {
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
		e.insertWaiting(v)
		e.preempted++
	}
}

func (e *Engine) stepDuration() time.Duration {
	d := e.Interval
	if e.TokenRate > 0 {
		d = max(d, time.Duration(float64(len(e.running))/e.TokenRate*float64(time.Second)))
	}
	if d == 0 && e.PrefillRate > 0 {
		// Prefill advances in proportion to the step's duration, so a step without a token rate needs one too.
		d = time.Millisecond
	}
	return d
}

func (e *Engine) produceTokens(d time.Duration) {
	kept := e.running[:0]
	for _, s := range e.running {
		if s.prefillTokens > 0 && e.PrefillRate > 0 {
			s.prefillTokens -= e.PrefillRate * d.Seconds()
			kept = append(kept, s)
			continue
		}
		s.produced++
		e.producedTokens++
		s.notify()
		if s.produced < s.maxTokens {
			kept = append(kept, s)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}
