package assembler

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
	// engineInterval is how often the engine is asked for its load and its versions.
	engineInterval = time.Second
	// engineTimeout bounds one question.
	engineTimeout = 2 * time.Second
	// engineMisses is the number of questions without an answer after which the engine takes no new work.
	engineMisses = 3
)

// engineWatch knows which versions the engine has loaded and whether it answers.
type engineWatch struct {
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

func newEngineWatch(address netip.AddrPort, service identifier.Service) *engineWatch {
	return &engineWatch{address: address, service: service, client: &http.Client{Timeout: engineTimeout}}
}

func (w *engineWatch) run(ctx context.Context) error {
	return every(ctx, engineInterval, w.look)
}

// look asks the engine once. A plain service has no such report and is judged by its calls alone.
func (w *engineWatch) look(ctx context.Context) {
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

func (w *engineWatch) ask(ctx context.Context) ([]identifier.Target, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.address.String()+"/load", http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("assembler: build question to engine: %w", err)
	}
	resp, err := w.client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("assembler: ask engine at %s: %w", w.address, err)
	}
	defer resp.Body.Close()
	var report engineLoad
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		return nil, fmt.Errorf("assembler: decode load of engine at %s: %w", w.address, err)
	}
	targets := make([]identifier.Target, 0, len(report.Loaded))
	for _, name := range report.Loaded {
		if model, version, ok := strings.Cut(name, "@"); ok {
			targets = append(targets, identifier.Target{Model: identifier.Model(model), Version: identifier.Version(version)})
		}
	}
	return targets, nil
}

func (w *engineWatch) targets() []identifier.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.loaded)
}

// hashOf returns a value that changes when the versions do.
func hashOf(targets []identifier.Target) uint64 {
	h := xxhash.New()
	for _, t := range targets {
		// Writes to a hash never fail.
		_, _ = h.WriteString(t.String() + "\n")
	}
	return h.Sum64()
}

// has reports whether the engine has a version loaded as far as is known.
func (w *engineWatch) has(t identifier.Target) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.loaded, t)
}

// hasAnswered reports whether the loaded versions are known.
func (w *engineWatch) hasAnswered() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answered
}

func (w *engineWatch) healthy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.misses < engineMisses
}

// Counters returns the numbers of questions and of those without an answer.
func (w *engineWatch) Counters() map[string]int64 {
	return map[string]int64{"questions": w.asked.Load(), "questions-missed": w.missed.Load()}
}

// EngineState is what the agent knows about its engine.
type EngineState struct {
	Loaded  []identifier.Target `json:"loaded"`
	Healthy bool                `json:"healthy"`
}

// State returns an EngineState.
func (w *engineWatch) State() any {
	return EngineState{Loaded: w.targets(), Healthy: w.healthy()}
}
