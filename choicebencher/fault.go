package choicebencher

import (
	"errors"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/batchfaker"
)

// errNoRequestTaken is returned when the share of an engine is undefined because its version took no request.
var errNoRequestTaken = errors.New("choicebencher: no engine of the faulty version took a request; use a longer duration")

// tokenPollInterval is the time between two readings of an engine's token count; a real agent sees each token.
const tokenPollInterval = 100 * time.Millisecond

// scheduleFault slows one engine down at the end of the warm-up, if the scenario has a fault.
func (s *simulation) scheduleFault() {
	s.slowDownQuarter()
	if s.scenario.slowdown == 0 {
		return
	}
	s.faulty = s.serving[0][0]
	s.pollTokens()
	s.loop.After(s.measuredFrom.Sub(s.loop.Now()), func() {
		sh := speedProfile()
		sh.Step = time.Duration(float64(sh.Step) * s.scenario.slowdown)
		s.faulty.engine.SetSpeedProfile(sh)
	})
}

// slowDownQuarter slows down a quarter of the engines of each version, if the scenario has unequal engines.
func (s *simulation) slowDownQuarter() {
	if s.scenario.unequal == 0 {
		return
	}
	sh := speedProfile()
	sh.Step = time.Duration(float64(sh.Step) * s.scenario.unequal)
	for _, list := range s.serving {
		for i := 0; i < len(list); i += 4 {
			list[i].engine.SetSpeedProfile(sh)
		}
	}
}

// countSubmission counts a request that a worker takes into its queue, by the second since the fault.
func (s *simulation) countSubmission(w *worker) {
	if s.faulty == nil || s.loop.Now().Before(s.measuredFrom) || !slices.Contains(s.serving[0], w) {
		return
	}
	second := int(s.loop.Now().Sub(s.measuredFrom) / time.Second)
	for len(s.submissions) <= second {
		s.submissions = append(s.submissions, [2]int{})
	}
	s.submissions[second][1]++
	if w == s.faulty {
		s.submissions[second][0]++
	}
}

// faultyShare returns the requests that the faulty engine took in an interval, relative to the mean of the engines of its
// version. It returns errNoRequestTaken if the version took none, which would look like a faulty engine without traffic.
func (s *simulation) faultyShare(from, to time.Duration) (float64, error) {
	var own, all int
	for i, n := range s.submissions {
		if at := time.Duration(i) * time.Second; at >= from && at < to {
			own += n[0]
			all += n[1]
		}
	}
	if all == 0 {
		return 0, errNoRequestTaken
	}
	return float64(own) * float64(len(s.serving[0])) / float64(all), nil
}

// pollTokens keeps the progress of the engines of the faulty version up to date, as their agents do.
func (s *simulation) pollTokens() {
	s.loop.Every(tokenPollInterval, func() bool {
		for _, w := range s.serving[0] {
			w.recordTokens(s.loop.Now())
		}
		return true
	})
}

// recordTokens ends the waits of all running requests if the engine made a token since the last call, and begins a wait for
// each running request without one. Requests that ended without a token are taken to be the oldest.
func (w *worker) recordTokens(now time.Time) {
	if made := w.engine.Tokens(); made >= w.recordedTokens+1 {
		w.recordedTokens = made
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

// scheduleExpiry cancels a call when the deadline of the scenario passes.
func (r *request) scheduleExpiry(w *worker, c *batchfaker.Call) {
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
