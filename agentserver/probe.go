package agentserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// trialInterval is the time between two trials of a stalled engine, and their deadline.
const trialInterval = 5 * time.Second

// RunProbes sends trials to the engine while it is stalled and has no run, until ctx ends. Requests of callers would end at
// their deadline there. Target returns a version that the engine serves.
func (s *Server) RunProbes(ctx context.Context, target func() (identifier.Target, bool)) error {
	t := time.NewTicker(trialInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		if x, ok := target(); ok && s.progress.NeedsProbe(s.Now()) {
			s.counters.trials.Add(1)
			if err := s.trial(ctx, x); err != nil {
				s.counters.trialsFailed.Add(1)
				continue
			}
			s.progress.MarkRecovered()
		}
	}
}

// trial asks the engine for one token.
func (s *Server) trial(ctx context.Context, target identifier.Target) error {
	ctx, cancel := context.WithTimeout(ctx, trialInterval)
	defer cancel()
	body, err := json.Marshal(map[string]any{
		"model": target.String(), "max_tokens": 1, "stream": true,
		"messages": []map[string]string{{"role": "user", "content": "."}},
	})
	if err != nil {
		return fmt.Errorf("agentserver: encode trial: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address.String()+"/v1/chat/completions",
		bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("agentserver: build trial: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(r)
	if err != nil {
		return fmt.Errorf("agentserver: try engine at %s: %w", s.address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("agentserver: try engine at %s: status %d", s.address, resp.StatusCode)
	}
	lines := streamer.NewLineReader(resp.Body, maxEvent)
	for {
		line, err := lines.Next()
		if err != nil {
			return fmt.Errorf("agentserver: try engine at %s: %w", s.address, err)
		}
		if data, ok := bytes.CutPrefix(line, []byte("data: ")); ok && json.Valid(data) {
			return nil
		}
	}
}
