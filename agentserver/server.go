package agentserver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// maxOrder bounds the order and the caller's body in bytes.
const maxOrder = 8 << 20

// Server is the agent role in front of one engine.
type Server struct {
	// Upstream names the upstream that the agent stands beside.
	Upstream identifier.Upstream
	// Now returns the current time.
	Now func() time.Time

	engine netip.AddrPort
	client *http.Client
	mux    *http.ServeMux
}

// Option configures a Server.
type Option func(*Server)

// New returns an agent for the engine at an address.
func New(name identifier.Upstream, engine netip.AddrPort, opts ...Option) *Server {
	s := &Server{Upstream: name, Now: time.Now, engine: engine, client: &http.Client{}, mux: http.NewServeMux()}
	for _, opt := range opts {
		opt(s)
	}
	s.mux.HandleFunc("POST /run", s.handleRun)
	return s
}

// ServeHTTP serves the agent's side of the answer protocol.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Server) handleRun(w http.ResponseWriter, r *http.Request) {
	body := bufio.NewReader(http.MaxBytesReader(w, r.Body, maxOrder))
	line, err := body.ReadBytes('\n')
	if err != nil {
		http.Error(w, "agentserver: order line is missing", http.StatusBadRequest)
		return
	}
	var order streamer.Order
	if err := json.Unmarshal(line, &order); err != nil {
		http.Error(w, "agentserver: order is malformed", http.StatusBadRequest)
		return
	}
	payload, err := io.ReadAll(body)
	if err != nil {
		http.Error(w, "agentserver: body is unreadable", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	frames := streamer.NewWriter(flushWriter{w}, order.Request)
	if err := s.run(r.Context(), frames, order, payload); err != nil {
		// The entry is gone or has been told by a failed frame; either way the run is over.
		return
	}
}

// flushWriter sends each write at once, so that no token waits for the next.
type flushWriter struct {
	w http.ResponseWriter
}

// Write writes and flushes b.
func (f flushWriter) Write(b []byte) (int, error) {
	n, err := f.w.Write(b)
	if fl, ok := f.w.(http.Flusher); ok {
		fl.Flush()
	}
	return n, err
}

// run calls the engine and copies its events to frames.
func (s *Server) run(ctx context.Context, frames *streamer.Writer, order streamer.Order, payload []byte) error {
	if err := frames.Write(streamer.Frame{Kind: streamer.KindAccepted}); err != nil {
		return err
	}
	request, err := engineBody(payload, order)
	if err != nil {
		return s.fail(frames, "malformed-body", streamer.OutcomeNotRun, err)
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+s.engine.String()+"/v1/chat/completions", bytes.NewReader(request))
	if err != nil {
		return s.fail(frames, "internal", streamer.OutcomeNotRun, err)
	}
	hr.Header.Set("Content-Type", "application/json")
	hr.Header.Set("Siskinfront-Request-Id", string(order.Request))
	resp, err := s.client.Do(hr)
	if err != nil {
		return s.fail(frames, "engine-unreachable", streamer.OutcomeUnknown, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s.fail(frames, "engine-refused", streamer.OutcomeNotRun, fmt.Errorf("status %d", resp.StatusCode))
	}
	if err := frames.Write(streamer.Frame{Kind: streamer.KindStarted}); err != nil {
		return err
	}
	return s.copyEvents(resp.Body, frames)
}

func (s *Server) copyEvents(body io.Reader, frames *streamer.Writer) error {
	var usage *streamer.Usage
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return frames.Write(streamer.Frame{Kind: streamer.KindDone, Usage: usage, Outcome: streamer.OutcomeRun})
		}
		var c engineChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return s.fail(frames, "engine-malformed", streamer.OutcomeRun, err)
		}
		if c.Usage != nil {
			usage = c.Usage.usage()
			continue
		}
		if err := frames.Write(streamer.Frame{Kind: streamer.KindToken, Data: json.RawMessage(data)}); err != nil {
			return err
		}
	}
	return s.fail(frames, "engine-ended-early", streamer.OutcomeRun, scanner.Err())
}

func (s *Server) fail(frames *streamer.Writer, code string, outcome streamer.Outcome, cause error) error {
	if err := frames.Write(streamer.Frame{Kind: streamer.KindFailed, Code: code, Outcome: outcome}); err != nil {
		return err
	}
	return fmt.Errorf("agentserver: run at %s: %s: %w", s.Upstream, code, cause)
}

type engineChunk struct {
	Usage *engineUsage `json:"usage"`
}

type engineUsage struct {
	PromptTokens        int `json:"prompt_tokens"`
	CompletionTokens    int `json:"completion_tokens"`
	PromptTokensDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (u *engineUsage) usage() *streamer.Usage {
	return &streamer.Usage{
		PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens,
		CachedTokens: u.PromptTokensDetails.CachedTokens,
	}
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// engineBody rewrites the caller's body for the engine: the chosen version, always streamed, with usage.
func engineBody(payload []byte, order streamer.Order) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(payload, &fields); err != nil {
		return nil, fmt.Errorf("agentserver: decode body: %w", err)
	}
	for name, v := range map[string]any{
		"model": order.Target.String(), "stream": true, "max_tokens": order.MaxTokens,
		"stream_options": streamOptions{IncludeUsage: true},
	} {
		b, err := json.Marshal(v)
		if err != nil {
			return nil, fmt.Errorf("agentserver: encode %s: %w", name, err)
		}
		fields[name] = b
	}
	delete(fields, "max_completion_tokens")
	return json.Marshal(fields)
}
