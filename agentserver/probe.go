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

// probeInterval is the time between two probes of a stalled engine, and the timeout of each.
const probeInterval = 5 * time.Second

// RunProbes sends probe requests to the engine while it is stalled and has no run, until ctx ends. Probes are used because
// requests of callers would reach their deadlines if the engine is still stalled. Target returns a version that the engine
// serves, if any.
func (s *Server) RunProbes(ctx context.Context, target func() (identifier.Target, bool)) error {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		if version, ok := target(); ok && s.progress.NeedsProbe(s.Now()) {
			s.counters.probes.Add(1)
			if err := s.probe(ctx, version); err != nil {
				s.counters.probesFailed.Add(1)
				continue
			}
			s.progress.MarkRecovered()
		}
	}
}

// probe requests one token from the engine.
func (s *Server) probe(ctx context.Context, target identifier.Target) error {
	ctx, cancel := context.WithTimeout(ctx, probeInterval)
	defer cancel()
	body, err := json.Marshal(map[string]any{
		"model": target.String(), "max_tokens": 1, "stream": true,
		"messages": []map[string]string{{"role": "user", "content": "."}},
	})
	if err != nil {
		return fmt.Errorf("agentserver: encode probe: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address.String()+"/v1/chat/completions",
		bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("agentserver: build probe: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := s.upstream.Do(r)
	if err != nil {
		return fmt.Errorf("agentserver: probe engine at %s: %w", s.address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("agentserver: probe engine at %s: status %d", s.address, resp.StatusCode)
	}
	lines := streamer.NewLineReader(resp.Body, maxEventBytes)
	for {
		line, err := lines.Next()
		if err != nil {
			return fmt.Errorf("agentserver: probe engine at %s: %w", s.address, err)
		}
		if data, ok := bytes.CutPrefix(line, []byte("data: ")); ok && json.Valid(data) {
			return nil
		}
	}
}
