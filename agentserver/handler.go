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

// contentType is the media type of a stream of frames.
const contentType = "application/x-ndjson"

func (s *Server) handleRun(w http.ResponseWriter, r *http.Request) {
	order, payload, err := readOrder(w, r)
	if err != nil {
		w.Header().Set(streamer.HeaderOutcome, string(streamer.OutcomeNotRun))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run, isNew, err := s.findOrCreateRun(order, payload)
	var refusal *RefusalError
	var ended *endedError
	switch {
	case errors.As(err, &refusal):
		s.counters.refused.Add(1)
		s.writeOnlyFrame(w, order, refusedFrame(refusal))
		return
	case errors.As(err, &ended):
		s.writeOnlyFrame(w, order, streamer.Frame{Kind: streamer.KindFailed, Code: "run-ended", Outcome: ended.outcome})
		return
	}
	w.Header().Set("Content-Type", contentType)
	if isNew {
		s.counters.accepted.Add(1)
		s.executeAndServe(w, r, run)
		return
	}
	s.counters.attached.Add(1)
	s.follow(w, r, run, 0)
}

// executeAndServe executes a new run on the goroutine of its request and writes the frames to w. The run continues when
// that reader disconnects.
func (s *Server) executeAndServe(w http.ResponseWriter, r *http.Request, run *run) {
	detach := run.replay.ServeDirect(run.ctx, w, run.order.Deadline.Add(streamer.SilenceTimeout))
	readerLeft := make(chan struct{})
	stop := context.AfterFunc(r.Context(), func() {
		defer close(readerLeft)
		detach()
		run.startAbandonTimer(s.ResumeWindow)
	})
	s.execute(run)
	if !stop() {
		<-readerLeft
	}
	detach()
}

// writeOnlyFrame responds with a single, final frame.
func (s *Server) writeOnlyFrame(w http.ResponseWriter, order *streamer.Order, f streamer.Frame) {
	w.Header().Set("Content-Type", contentType)
	load := s.CurrentLoad()
	f.Sequence, f.Request, f.Load = 1, order.Request, &load
	line, err := streamer.AppendFrame(nil, &f)
	if err != nil {
		http.Error(w, "agentserver: refused", http.StatusServiceUnavailable)
		return
	}
	// A write fails if the entry has disconnected. Without a response, the entry sends the order to another agent.
	_, _ = w.Write(line)
}

var (
	errNoOrder        = errors.New("agentserver: order line is missing")
	errMalformedOrder = errors.New("agentserver: order is malformed")
	errUnreadable     = errors.New("agentserver: body is unreadable")
)

func readOrder(w http.ResponseWriter, r *http.Request) (*streamer.Order, []byte, error) {
	body := bufio.NewReader(http.MaxBytesReader(w, r.Body, maxOrderBytes))
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

// follow streams the frames after a sequence number until the run ends, the reader disconnects, or a newer reader takes over.
func (s *Server) follow(w http.ResponseWriter, r *http.Request, run *run, after uint64) {
	err := run.attach(s.ResumeWindow, func() error { return run.replay.Follow(r.Context(), w, after) })
	if errors.Is(err, streamer.ErrReplayEvicted) {
		http.Error(w, "agentserver: frames are no longer kept", http.StatusGone)
	}
}

func runKeyFromPath(r *http.Request) runKey {
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
	run := s.findRun(runKeyFromPath(r))
	if run == nil || run.replay == nil {
		http.Error(w, "agentserver: no such run", http.StatusNotFound)
		return
	}
	s.counters.attached.Add(1)
	w.Header().Set("Content-Type", contentType)
	s.follow(w, r, run, after)
}

// handleCancel ends a run. If the order has not arrived yet, it is refused when it does; the reported outcome is unknown
// then, because the agent may have run the order before a restart.
func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	key := runKeyFromPath(r)
	s.mu.Lock()
	run := s.runs[key]
	if run == nil && len(s.runs) < maxRetainedRuns {
		s.runs[key] = newEndedRun(key)
		time.AfterFunc(cancelRetention, func() { s.removeRun(key) })
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
	// A write fails if the entry has disconnected; the cancellation takes effect all the same.
	_ = json.NewEncoder(w).Encode(streamer.CancelReply{Outcome: outcome})
}

// cancelRetention is how long a cancellation that found no run is kept; an order in transit arrives within that time.
const cancelRetention = time.Minute

// newEndedRun returns a run without frames whose outcome is unknown, which makes the agent refuse a late order for key.
func newEndedRun(key runKey) *run {
	return &run{key: key, ended: true, outcome: streamer.OutcomeUnknown}
}
