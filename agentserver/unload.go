package agentserver

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// defaultUnloadWait is the longest time that an unload waits for the runs of its version.
const defaultUnloadWait = 30 * time.Second

// WithUnloadWait sets the longest time that an unload waits for the runs of its version.
func WithUnloadWait(d time.Duration) Option {
	return func(s *Server) { s.unloadWait = d }
}

func parseTarget(name string) identifier.Target {
	model, version, _ := strings.Cut(name, "@")
	return identifier.Target{Model: identifier.Model(model), Version: identifier.Version(version)}
}

// drainVersion refuses new orders for a version and returns when its accepted orders have ended. If they do not end in
// time, it returns an error and new orders are accepted again.
func (s *Server) drainVersion(ctx context.Context, name string) error {
	t := parseTarget(name)
	if t.Model == "" || t.Version == "" {
		return &CommandError{http.StatusBadRequest, "target is not a model and a version"}
	}
	ctx, cancel := context.WithTimeout(ctx, s.unloadWait)
	defer cancel()
	s.mu.Lock()
	if lastRunEnded := s.unloading[t]; lastRunEnded != nil && s.activeByTarget[t] > 0 {
		s.mu.Unlock()
		return &CommandError{http.StatusServiceUnavailable, "unload is in progress"}
	}
	lastRunEnded := make(chan struct{})
	s.unloading[t] = lastRunEnded
	done := s.activeByTarget[t] == 0
	s.mu.Unlock()
	if done {
		return nil
	}
	select {
	case <-lastRunEnded:
		return nil
	case <-ctx.Done():
		s.reopenVersion(name)
		return &CommandError{http.StatusServiceUnavailable, "version still has runs"}
	}
}

// reopenVersion accepts orders for a version again.
func (s *Server) reopenVersion(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unloading, parseTarget(name))
}

// IsUnloading reports whether orders for a version are refused because it is being unloaded or has been unloaded.
func (s *Server) IsUnloading(t identifier.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unloading[t] != nil
}

// addActiveRuns adds delta to the number of active runs of a version; the caller holds mu.
func (s *Server) addActiveRuns(t identifier.Target, delta int) {
	s.activeByTarget[t] += delta
	if s.activeByTarget[t] > 0 {
		return
	}
	delete(s.activeByTarget, t)
	if lastRunEnded := s.unloading[t]; lastRunEnded != nil && delta < 0 {
		close(lastRunEnded)
	}
}
