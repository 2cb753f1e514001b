package choicebencher

import (
	"errors"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/batchfaker"
)

// errNothingTaken is returned for the share of an engine in no traffic at all.
var errNothingTaken = errors.New("choicebencher: no engine of the faulty version took a request; use a longer duration")

// lookInterval is the time between two looks at the tokens of an engine; an agent sees each token.
const lookInterval = 100 * time.Millisecond

// fault slows one engine down at the end of the warm-up.
func (s *simulation) fault() {
	if s.scenario.slowdown == 0 {
		return
	}
	s.faulty = s.serving[0][0]
	s.watch()
	s.loop.After(s.from.Sub(s.loop.Now()), func() {
		sh := shape()
		sh.Step = time.Duration(float64(sh.Step) * s.scenario.slowdown)
		s.faulty.engine.SetSpeedProfile(sh)
	})
}

// submitted counts the requests that a worker takes into its queue, by the second since the fault.
func (s *simulation) submitted(w *worker) {
	if s.faulty == nil || s.loop.Now().Before(s.from) || !slices.Contains(s.serving[0], w) {
		return
	}
	second := int(s.loop.Now().Sub(s.from) / time.Second)
	for len(s.taken) <= second {
		s.taken = append(s.taken, [2]int{})
	}
	s.taken[second][1]++
	if w == s.faulty {
		s.taken[second][0]++
	}
}

// faultyShare returns the requests that the faulty engine took in an interval relative to the mean of its version, or
// errNothingTaken if the version took none, which would look like a faulty engine without traffic.
func (s *simulation) faultyShare(from, to time.Duration) (float64, error) {
	var own, all int
	for i, n := range s.taken {
		if at := time.Duration(i) * time.Second; at >= from && at < to {
			own += n[0]
			all += n[1]
		}
	}
	if all == 0 {
		return 0, errNothingTaken
	}
	return float64(own) * float64(len(s.serving[0])) / float64(all), nil
}

// watch tells the progress of the engines of the faulty version what an agent sees.
func (s *simulation) watch() {
	s.loop.Every(lookInterval, func() bool {
		for _, w := range s.serving[0] {
			w.look(s.loop.Now())
		}
		return true
	})
}

// look renews the waits of the running requests after a token; those that ended without one are the oldest.
func (w *worker) look(now time.Time) {
	if made := w.engine.Tokens(); made >= w.tokens+1 {
		w.tokens = made
		for _, x := range w.waits {
			w.progress.RecordToken(x, now)
		}
		w.waits = w.waits[:0]
	}
	for len(w.waits) > w.engine.Running() {
		w.progress.EndWait(w.waits[0], now)
		w.waits = w.waits[1:]
	}
	for len(w.waits) < w.engine.Running() {
		w.waits = append(w.waits, w.progress.BeginWait(now))
	}
}

// expire ends a call at its deadline.
func (r *request) expire(w *worker, c *batchfaker.Call) {
	if r.scenario.deadline == 0 {
		return
	}
	r.loop.After(r.sent.Add(r.scenario.deadline).Sub(r.loop.Now()), func() {
		if !w.queue.Cancel(c) {
			return
		}
		r.expired++
		if b := r.entry.balancer; b != nil {
			b.End(w.upstream.Name, balancer.ResultCanceled)
			r.sample(r.entry, w)
		}
	})
}
