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
	// Interval is how often the engine should be asked for its versions.
	Interval = time.Second
	// timeout bounds one question.
	timeout = 2 * time.Second
	// maxMisses is the number of questions without an answer after which the engine takes no new work.
	maxMisses = 3
)

// Watcher knows which versions an engine has loaded and whether it answers; it is safe for concurrent use.
type Watcher struct {
	address netip.AddrPort
	service identifier.Service
	client  *http.Client

	mu     sync.Mutex
	loaded []identifier.Target
	misses int
	// answered is set once the engine has reported its versions.
	answered bool

	asked, missed atomic.Int64
}

// New returns a watch of the engine at address. A plain service has no report and is judged by its calls alone.
func New(address netip.AddrPort, service identifier.Service) *Watcher {
	return &Watcher{address: address, service: service, client: &http.Client{Timeout: timeout}}
}

// Poll asks the engine once.
func (w *Watcher) Poll(ctx context.Context) {
	if w.service != "" {
		return
	}
	w.asked.Add(1)
	loaded, err := w.ask(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.missed.Add(1)
		w.misses++
		return
	}
	w.loaded, w.misses, w.answered = loaded, 0, true
}

// engineLoad is the part of the engine's load report that is used.
type engineLoad struct {
	Loaded []string `json:"loaded"`
}

func (w *Watcher) ask(ctx context.Context) ([]identifier.Target, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.address.String()+"/load", http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("watcher: build question to engine: %w", err)
	}
	resp, err := w.client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("watcher: ask engine at %s: %w", w.address, err)
	}
	defer resp.Body.Close()
	var report engineLoad
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		return nil, fmt.Errorf("watcher: decode load of engine at %s: %w", w.address, err)
	}
	targets := make([]identifier.Target, 0, len(report.Loaded))
	for _, name := range report.Loaded {
		if model, version, ok := strings.Cut(name, "@"); ok {
			targets = append(targets, identifier.Target{Model: identifier.Model(model), Version: identifier.Version(version)})
		}
	}
	return targets, nil
}

// Targets returns the versions that the engine has loaded as far as is known.
func (w *Watcher) Targets() []identifier.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.loaded)
}

// HashTargets returns a value that changes when the versions do.
func HashTargets(targets []identifier.Target) uint64 {
	h := xxhash.New()
	for _, t := range targets {
		// Writes to a hash never fail.
		_, _ = h.WriteString(t.String() + "\n")
	}
	return h.Sum64()
}

// HasLoaded reports whether the engine has a version loaded as far as is known.
func (w *Watcher) HasLoaded(t identifier.Target) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.loaded, t)
}

// TargetsKnown reports whether the loaded versions are known.
func (w *Watcher) TargetsKnown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answered
}

// Healthy reports whether the engine takes new work: it has answered one of the last questions.
func (w *Watcher) Healthy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.misses < maxMisses
}

// Counters returns the numbers of questions and of those without an answer.
func (w *Watcher) Counters() map[string]int64 {
	return map[string]int64{"questions": w.asked.Load(), "questions-missed": w.missed.Load()}
}

// State is what is known about an engine.
type State struct {
	Loaded  []identifier.Target `json:"loaded"`
	Healthy bool                `json:"healthy"`
}

// State returns a State.
func (w *Watcher) State() any {
	return State{Loaded: w.Targets(), Healthy: w.Healthy()}
}
