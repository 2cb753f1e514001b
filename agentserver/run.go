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

// run is one order from its arrival until it is removed from memory.
type run struct {
	key     runKey
	order   *streamer.Order
	payload []byte
	// replay is nil once the frames are discarded, and for a run that was cancelled before its order arrived.
	replay *streamer.ReplayBuffer
	ctx    context.Context //nolint:containedctx // a run outlives the request that brought it
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// sent is set just before the order is sent to the upstream.
	sent bool
	// responded is set once the upstream has responded, which proves that it ran the order.
	responded bool
	// outcome is set with ended.
	outcome streamer.Outcome
	ended   bool
	// abandonTimer cancels the run when the resume window has passed without a reader.
	abandonTimer *time.Timer
	tokens       int    // tokens passed on to the reader
	onFirstToken func() // called on the first token; may be nil
}

var (
	errCancelled = errors.New("agentserver: cancelled by the entry")
	errAbandoned = errors.New("agentserver: no reader within the resume window")
	errPreempted = errors.New("agentserver: preempted")
)

// markSent records that the order is about to be sent to the upstream. It returns ok as false if the run was cancelled
// before, and first as true if the order was never sent until now.
func (r *run) markSent() (first, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return false, false
	}
	first = !r.sent
	r.sent = true
	return first, true
}

// markResponded records that the upstream has responded to the order.
func (r *run) markResponded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responded = true
}

// markNotSent reverts markSent after the first attempt failed to connect to the upstream.
func (r *run) markNotSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = false
}

// currentOutcome returns the outcome that is certain so far.
func (r *run) currentOutcome() streamer.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.ended:
		return r.outcome
	case r.responded:
		return streamer.OutcomeRun
	case r.sent:
		return streamer.OutcomeUnknown
	}
	return streamer.OutcomeNotRun
}

// cancelWith ends the run and returns its outcome. It holds mu, so that markSent cannot succeed after a not-run outcome.
func (r *run) cancelWith(cause error) streamer.Outcome {
	r.mu.Lock()
	r.cancel(cause)
	r.mu.Unlock()
	return r.currentOutcome()
}

// findRun returns the run of key, or nil.
func (s *Server) findRun(key runKey) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// endedError reports that the run of the same request and attempt has ended and its frames were discarded.
type endedError struct {
	outcome streamer.Outcome
}

// Error returns the outcome.
func (e *endedError) Error() string {
	return "agentserver: run has ended: " + string(e.outcome)
}

// findOrCreateRun returns the run of the order's request and attempt, and whether it is new and must be executed. The
// error is a *RefusalError if the agent refuses the new order, or an *endedError.
func (s *Server) findOrCreateRun(order *streamer.Order, payload []byte) (*run, bool, error) {
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
	if len(s.runs) >= maxRetainedRuns {
		return nil, false, &RefusalError{Code: "too-many-runs", RetryAt: now.Add(retryDelay)}
	}
	if s.bills.full() {
		return nil, false, &RefusalError{Code: "bills-pending", RetryAt: now.Add(retryDelay)}
	}
	if err := s.validateOrder(order); err != nil {
		return nil, false, err
	}
	if s.unloading[order.Target] != nil && order.Service == "" {
		return nil, false, &RefusalError{Code: "version-not-loaded"}
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	r := &run{
		key: key, order: order, payload: payload, replay: streamer.NewReplayBuffer(order.Request), ctx: ctx, cancel: cancel,
	}
	s.runs[key] = r
	s.active++
	s.addActiveRuns(order.Target, 1)
	return r, true, nil
}

// validateOrder refuses an order for a version that its configuration forbids or that the engine has not loaded.
func (s *Server) validateOrder(order *streamer.Order) error {
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

// CheckOrder returns a *RefusalError if cfg forbids the order's version. It returns nil if cfg is nil or older than the
// configuration by which the entry chose the version.
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

// finishRun records the outcome, adds the final frame and schedules the removal of the run.
func (s *Server) finishRun(r *run, f streamer.Frame) {
	r.mu.Lock()
	r.ended, r.outcome = true, f.Outcome
	if r.abandonTimer != nil {
		r.abandonTimer.Stop()
	}
	r.mu.Unlock()
	load := s.CurrentLoad()
	f.Load = &load
	// Finish fails only on a second final frame, and finishRun is called once per run. The context is cancelled after it,
	// because the cancellation aborts a write in progress.
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
	s.addActiveRuns(r.order.Target, -1)
	if s.active == 0 && s.draining {
		close(s.drained)
	}
	s.mu.Unlock()
	s.scheduleRemoval(r)
}

// scheduleRemoval discards the frames after the resume window, and the run itself after the deadline of its order, when a
// late copy of the order would be refused anyway.
func (s *Server) scheduleRemoval(r *run) {
	keep := r.order.Deadline.Sub(s.Now())
	ended := &run{key: r.key, ended: true, outcome: r.currentOutcome()}
	time.AfterFunc(s.ResumeWindow, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if keep <= s.ResumeWindow {
			delete(s.runs, r.key)
			return
		}
		s.runs[r.key] = ended
		time.AfterFunc(keep-s.ResumeWindow, func() { s.removeRun(r.key) })
	})
}

func (s *Server) removeRun(key runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, key)
}

// attach serves the frames of r to one reader. The abandon timer is stopped before and started again afterwards.
func (r *run) attach(window time.Duration, follow func() error) error {
	r.mu.Lock()
	if r.abandonTimer != nil {
		r.abandonTimer.Stop()
		r.abandonTimer = nil
	}
	r.mu.Unlock()
	err := follow()
	r.startAbandonTimer(window)
	return err
}

// startAbandonTimer cancels the run after a window unless a reader attaches; it does nothing while r has a reader.
func (r *run) startAbandonTimer(window time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended && r.replay.Readers() == 0 && r.abandonTimer == nil {
		r.abandonTimer = time.AfterFunc(window, func() { r.cancelWith(errAbandoned) })
	}
}
