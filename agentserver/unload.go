package agentserver

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// defaultUnloadWait is the time for which an unload waits for the runs of its version.
const defaultUnloadWait = 30 * time.Second

// WithUnloadWait sets the time for which an unload waits for the runs of its version.
func WithUnloadWait(d time.Duration) Option {
	return func(s *Server) { s.unloadWait = d }
}

func parseTarget(name string) identifier.Target {
	model, version, _ := strings.Cut(name, "@")
	return identifier.Target{Model: identifier.Model(model), Version: identifier.Version(version)}
}

// closeVersion refuses new orders for a version and returns once its accepted orders have ended. If they do not end in
// time, the version takes orders again.
func (s *Server) closeVersion(ctx context.Context, name string) error {
	t := parseTarget(name)
	if t.Model == "" || t.Version == "" {
		return &CommandError{http.StatusBadRequest, "target is not a model and a version"}
	}
	ctx, cancel := context.WithTimeout(ctx, s.unloadWait)
	defer cancel()
	s.mu.Lock()
	if idle := s.closed[t]; idle != nil && s.activeOf[t] > 0 {
		s.mu.Unlock()
		return &CommandError{http.StatusServiceUnavailable, "unload is in progress"}
	}
	idle := make(chan struct{})
	s.closed[t] = idle
	done := s.activeOf[t] == 0
	s.mu.Unlock()
	if done {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		s.openVersion(name)
		return &CommandError{http.StatusServiceUnavailable, "version still has runs"}
	}
}

// openVersion takes orders for a version again.
func (s *Server) openVersion(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.closed, parseTarget(name))
}

// IsUnloading reports whether orders for a version are refused because it is or was being unloaded.
func (s *Server) IsUnloading(t identifier.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed[t] != nil
}

// countRun changes the number of accepted orders of a version that have not ended; the caller holds mu.
func (s *Server) countRun(t identifier.Target, by int) {
	s.activeOf[t] += by
	if s.activeOf[t] > 0 {
		return
	}
	delete(s.activeOf, t)
	if idle := s.closed[t]; idle != nil && by < 0 {
		close(idle)
	}
}
