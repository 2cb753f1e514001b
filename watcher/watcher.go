package watcher

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// Interval is the time between two calls of Poll.
	Interval = time.Second
	// pollTimeout bounds one request to the engine.
	pollTimeout = 2 * time.Second
	// maxFailedPolls is the number of consecutive failed polls at which the engine counts as unhealthy and gets no new work.
	maxFailedPolls = 3
)

// Watcher polls an engine for the versions that it has loaded and tracks whether it responds; it is safe for concurrent use.
type Watcher struct {
	address netip.AddrPort
	service identifier.Service
	client  *http.Client

	mu                  sync.Mutex
	loaded              []identifier.Target
	consecutiveFailures int
	// targetsKnown is set once a poll has succeeded.
	targetsKnown bool

	polls, failedPolls atomic.Int64
}

// New returns a watcher of the engine at address. A plain service has no load report, so it is never polled and always counts as
// healthy; its health shows only in the calls to it.
func New(address netip.AddrPort, service identifier.Service) *Watcher {
	return &Watcher{address: address, service: service, client: &http.Client{Timeout: pollTimeout}}
}

// Poll requests the load report of the engine once; it does nothing for a plain service.
func (w *Watcher) Poll(ctx context.Context) {
	if w.service != "" {
		return
	}
	w.polls.Add(1)
	loaded, err := w.fetchTargets(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failedPolls.Add(1)
		w.consecutiveFailures++
		return
	}
	w.loaded, w.consecutiveFailures, w.targetsKnown = loaded, 0, true
}

// loadReport has the fields of the engine's load report that are used.
type loadReport struct {
	Loaded []string `json:"loaded"`
}

func (w *Watcher) fetchTargets(ctx context.Context) ([]identifier.Target, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.address.String()+"/load", http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("watcher: create load request to engine: %w", err)
	}
	resp, err := w.client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("watcher: request load of engine at %s: %w", w.address, err)
	}
	defer resp.Body.Close()
	var report loadReport
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		return nil, fmt.Errorf("watcher: decode load report of engine at %s: %w", w.address, err)
	}
	targets := make([]identifier.Target, 0, len(report.Loaded))
	for _, name := range report.Loaded {
		if model, version, ok := strings.Cut(name, "@"); ok {
			targets = append(targets, identifier.Target{Model: identifier.Model(model), Version: identifier.Version(version)})
		}
	}
	return targets, nil
}

// Targets returns the versions that the engine had loaded at the last successful poll.
func (w *Watcher) Targets() []identifier.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.loaded)
}

// HashTargets returns a hash of the versions and their order, by which a change can be detected.
func HashTargets(targets []identifier.Target) uint64 {
	h := xxhash.New()
	for _, t := range targets {
		// Writes to a hash never fail.
		_, _ = h.WriteString(t.String() + "\n")
	}
	return h.Sum64()
}

// HasLoaded reports whether the engine had a version loaded at the last successful poll.
func (w *Watcher) HasLoaded(t identifier.Target) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.loaded, t)
}

// TargetsKnown reports whether any poll has succeeded, so that the loaded versions are known.
func (w *Watcher) TargetsKnown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.targetsKnown
}

// Healthy reports whether the engine may get new work, which it may until maxFailedPolls polls in a row have failed.
func (w *Watcher) Healthy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.consecutiveFailures < maxFailedPolls
}

// Counters returns the numbers of polls and of failed polls.
func (w *Watcher) Counters() map[string]int64 {
	return map[string]int64{"questions": w.polls.Load(), "questions-missed": w.failedPolls.Load()}
}

// State is the state dump of a watcher.
type State struct {
	Loaded  []identifier.Target `json:"loaded"`
	Healthy bool                `json:"healthy"`
}

// State returns a State.
func (w *Watcher) State() any {
	return State{Loaded: w.Targets(), Healthy: w.Healthy()}
}
