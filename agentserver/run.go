package agentserver

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

type runKey struct {
	request identifier.Request
	attempt int
}

// run is one order from its arrival until it is forgotten.
type run struct {
	key     runKey
	order   *streamer.Order
	payload []byte
	// replay is nil once the frames are dropped, and for a run that was cancelled before its order arrived.
	replay *streamer.ReplayBuffer
	ctx    context.Context //nolint:containedctx // a run outlives the request that brought it
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// given is set just before the order is handed to the upstream.
	given bool
	// responded is set once the upstream answers, which proves that it ran the order.
	responded bool
	outcome   streamer.Outcome
	ended     bool
	gone      *time.Timer
	tokens    int
	begun     func() // told of the first token; may be nil
}

var (
	errCancelled = errors.New("agentserver: cancelled by the entry")
	errEntryGone = errors.New("agentserver: entry is gone")
	errPreempted = errors.New("agentserver: preempted")
)

// give marks the run as handed to the upstream. It returns false for ok if the run was cancelled before, and true for
// first if the upstream never had the order until now.
func (r *run) give() (first, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return false, false
	}
	first = !r.given
	r.given = true
	return first, true
}

// respond notes that the upstream answers the order.
func (r *run) respond() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responded = true
}

// retract notes that the first attempt to reach the upstream brought no connection.
func (r *run) retract() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.given = false
}

// outcomeNow returns what is certain about the run so far.
func (r *run) outcomeNow() streamer.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.ended:
		return r.outcome
	case r.responded:
		return streamer.OutcomeRun
	case r.given:
		return streamer.OutcomeUnknown
	}
	return streamer.OutcomeNotRun
}

// cancelWith ends the run and returns its outcome. Under the lock, a run that was not given never will be.
func (r *run) cancelWith(cause error) streamer.Outcome {
	r.mu.Lock()
	r.cancel(cause)
	r.mu.Unlock()
	return r.outcomeNow()
}

// find returns the run of key, or nil.
func (s *Server) find(key runKey) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// endedError tells that a run of the same request and attempt ended and its frames are gone.
type endedError struct {
	outcome streamer.Outcome
}

// Error returns the outcome.
func (e *endedError) Error() string {
	return "agentserver: run has ended: " + string(e.outcome)
}

// begin returns the run of the order's request and attempt, and whether it is new and must be executed. The error is a
// *RefusalError if the agent takes no new order, or an *endedError.
func (s *Server) begin(order *streamer.Order, payload []byte) (*run, bool, error) {
	key := runKey{order.Request, order.Attempt}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[key]; r != nil {
		if r.replay == nil {
			return nil, false, &endedError{outcome: r.outcome}
		}
		return r, false, nil
	}
	now := s.Now()
	if s.draining {
		return nil, false, &RefusalError{Code: streamer.CodeDraining, RetryAt: now}
	}
	if !order.Deadline.After(now) {
		return nil, false, &RefusalError{Code: "deadline-passed"}
	}
	if len(s.runs) >= maxRuns {
		return nil, false, &RefusalError{Code: "too-many-runs", RetryAt: now.Add(refusalWait)}
	}
	if s.bills.full() {
		return nil, false, &RefusalError{Code: "bills-pending", RetryAt: now.Add(refusalWait)}
	}
	if err := s.check(order); err != nil {
		return nil, false, err
	}
	if s.closed[order.Target] != nil && order.Service == "" {
		return nil, false, &RefusalError{Code: "version-not-loaded"}
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	r := &run{
		key: key, order: order, payload: payload, replay: streamer.NewReplayBuffer(order.Request), ctx: ctx, cancel: cancel,
	}
	s.runs[key] = r
	s.active++
	s.countRun(order.Target, 1)
	return r, true, nil
}

// check refuses an order whose decision contradicts what the agent knows for certain.
func (s *Server) check(order *streamer.Order) error {
	if order.Service != "" {
		return nil
	}
	if err := CheckOrder(s.Configuration(), order); err != nil {
		return err
	}
	if !s.Loaded(order.Target) {
		return &RefusalError{Code: "version-not-loaded"}
	}
	return nil
}

// CheckOrder returns a *RefusalError if the order's decision contradicts a configuration that is at least as new as
// it, and nil otherwise or without a configuration.
func CheckOrder(cfg *configurer.Configuration, order *streamer.Order) error {
	if cfg == nil || cfg.Revision < order.Revision {
		return nil
	}
	if v := cfg.Version(order.Target); v == nil || v.State == configurer.VersionWithdrawn {
		return &RefusalError{Code: "version-withdrawn"}
	}
	if a := cfg.ClientAccount(order.ClientAccount); a == nil || !a.Allows(order.Target) {
		return &RefusalError{Code: "version-not-allowed"}
	}
	return nil
}

// end records the outcome, adds the final frame and schedules the removal of the run.
func (s *Server) end(r *run, f streamer.Frame) {
	r.mu.Lock()
	r.ended, r.outcome = true, f.Outcome
	if r.gone != nil {
		r.gone.Stop()
	}
	r.mu.Unlock()
	load := s.CurrentLoad()
	f.Load = &load
	// Finish fails only on a second final frame, and end is called once per run. The context ends after it, because its
	// end aborts the write of a frame.
	_ = r.replay.Finish(f)
	r.cancel(nil)
	switch f.Kind {
	case streamer.KindDone:
		s.counters.done.Add(1)
	case streamer.KindRefused:
		s.counters.refused.Add(1)
	default:
		s.counters.failed.Add(1)
	}
	s.mu.Lock()
	s.active--
	s.countRun(r.order.Target, -1)
	if s.active == 0 && s.draining {
		close(s.idle)
	}
	s.mu.Unlock()
	s.forgetLater(r)
}

// forgetLater drops the frames after the resume window, and the run itself once a late copy of its order would be
// refused for its deadline.
func (s *Server) forgetLater(r *run) {
	keep := r.order.Deadline.Sub(s.Now())
	ended := &run{key: r.key, ended: true, outcome: r.outcomeNow()}
	time.AfterFunc(s.ResumeWindow, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if keep <= s.ResumeWindow {
			delete(s.runs, r.key)
			return
		}
		s.runs[r.key] = ended
		time.AfterFunc(keep-s.ResumeWindow, func() { s.forget(r.key) })
	})
}

func (s *Server) forget(key runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, key)
}

// attach serves the frames of r to one reader and watches for the time without a reader.
func (r *run) attach(window time.Duration, follow func() error) error {
	r.mu.Lock()
	if r.gone != nil {
		r.gone.Stop()
		r.gone = nil
	}
	r.mu.Unlock()
	err := follow()
	r.detached(window)
	return err
}

// detached watches for the time without a reader after one has left.
func (r *run) detached(window time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended && r.replay.Readers() == 0 && r.gone == nil {
		r.gone = time.AfterFunc(window, func() { r.cancelWith(errEntryGone) })
	}
}
