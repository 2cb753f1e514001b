package agentserver

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// contentType is the type of a sequence of frames.
const contentType = "application/x-ndjson"

func (s *Server) handleRun(w http.ResponseWriter, r *http.Request) {
	order, payload, err := readOrder(w, r)
	if err != nil {
		w.Header().Set(streamer.HeaderOutcome, string(streamer.OutcomeNotRun))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run, fresh, err := s.begin(order, payload)
	var refusal *RefusalError
	var ended *endedError
	switch {
	case errors.As(err, &refusal):
		s.counters.refused.Add(1)
		s.answer(w, order, refusedFrame(refusal))
		return
	case errors.As(err, &ended):
		s.answer(w, order, streamer.Frame{Kind: streamer.KindFailed, Code: "run-ended", Outcome: ended.outcome})
		return
	}
	w.Header().Set("Content-Type", contentType)
	if fresh {
		s.counters.accepted.Add(1)
		s.serve(w, r, run)
		return
	}
	s.counters.attached.Add(1)
	s.follow(w, r, run, 0)
}

// serve executes a run on the goroutine of the request that brought it. The run goes on when that reader leaves.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, run *run) {
	detach := run.replay.ServeDirect(run.ctx, w, run.order.Deadline.Add(streamer.SilenceTimeout))
	left := make(chan struct{})
	stop := context.AfterFunc(r.Context(), func() {
		defer close(left)
		detach()
		run.detached(s.ResumeWindow)
	})
	s.execute(run)
	if !stop() {
		<-left
	}
	detach()
}

// answer sends a final frame as the only one.
func (s *Server) answer(w http.ResponseWriter, order *streamer.Order, f streamer.Frame) {
	w.Header().Set("Content-Type", contentType)
	load := s.CurrentLoad()
	f.Sequence, f.Request, f.Load = 1, order.Request, &load
	line, err := streamer.AppendFrame(nil, &f)
	if err != nil {
		http.Error(w, "agentserver: refused", http.StatusServiceUnavailable)
		return
	}
	// The entry may have gone; it learns nothing and sends the order elsewhere.
	_, _ = w.Write(line)
}

var (
	errNoOrder        = errors.New("agentserver: order line is missing")
	errMalformedOrder = errors.New("agentserver: order is malformed")
	errUnreadable     = errors.New("agentserver: body is unreadable")
)

func readOrder(w http.ResponseWriter, r *http.Request) (*streamer.Order, []byte, error) {
	body := bufio.NewReader(http.MaxBytesReader(w, r.Body, maxOrder))
	line, err := body.ReadBytes('\n')
	if err != nil {
		return nil, nil, errNoOrder
	}
	var order streamer.Order
	if err := json.Unmarshal(line, &order); err != nil || order.Request == "" {
		return nil, nil, errMalformedOrder
	}
	payload, err := io.ReadAll(body)
	if err != nil {
		return nil, nil, errUnreadable
	}
	return &order, payload, nil
}

// follow streams the frames after a sequence number. It ends with the run, the reader, or a newer reader.
func (s *Server) follow(w http.ResponseWriter, r *http.Request, run *run, after uint64) {
	err := run.attach(s.ResumeWindow, func() error { return run.replay.Follow(r.Context(), w, after) })
	if errors.Is(err, streamer.ErrReplayEvicted) {
		http.Error(w, "agentserver: frames are no longer kept", http.StatusGone)
	}
}

func pathKey(r *http.Request) runKey {
	attempt, err := strconv.Atoi(r.URL.Query().Get("attempt"))
	if err != nil {
		attempt = 1
	}
	return runKey{identifier.Request(r.PathValue("id")), attempt}
}

func (s *Server) handleResume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "agentserver: after must be a number", http.StatusBadRequest)
		return
	}
	run := s.find(pathKey(r))
	if run == nil || run.replay == nil {
		http.Error(w, "agentserver: no such run", http.StatusNotFound)
		return
	}
	s.counters.attached.Add(1)
	w.Header().Set("Content-Type", contentType)
	s.follow(w, r, run, after)
}

// handleCancel ends a run. An order that arrives after its cancellation is refused; its outcome stays unknown here,
// because an earlier process of this agent may have run it.
func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	key := pathKey(r)
	s.mu.Lock()
	run := s.runs[key]
	if run == nil && len(s.runs) < maxRuns {
		s.runs[key] = newEndedRun(key)
		time.AfterFunc(cancelMemory, func() { s.forget(key) })
	}
	s.mu.Unlock()
	outcome := streamer.OutcomeUnknown
	switch {
	case run == nil:
	case run.replay == nil:
		outcome = run.outcome
	default:
		outcome = run.cancelWith(errCancelled)
		s.counters.cancelled.Add(1)
	}
	w.Header().Set("Content-Type", "application/json")
	// The entry may have gone; the cancellation holds all the same.
	_ = json.NewEncoder(w).Encode(streamer.CancelReply{Outcome: outcome})
}

// cancelMemory is the time for which a cancellation without a run is remembered; orders do not travel for longer.
const cancelMemory = time.Minute

func newEndedRun(key runKey) *run {
	return &run{key: key, ended: true, outcome: streamer.OutcomeUnknown}
}
