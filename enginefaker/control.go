package enginefaker

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// Command is the body of a control call.
type Command struct {
	// Token is the fencing token of the sender's lease.
	Token uint64 `json:"token"`
	// Target is the model, adapter or version to load or unload.
	Target string `json:"target,omitempty"`
	// Role is the new role for the role command.
	Role string `json:"role,omitempty"`
	// Request selects the stream to cancel or export.
	Request identifier.Request `json:"request-id,omitempty"`
	// Blocks lists the hashes of the KV cache blocks to import.
	Blocks []uint64 `json:"blocks,omitempty"`
}

// Export is the reply to an export command: the state of one stream and the hashes of its KV cache blocks.
type Export struct {
	Request  identifier.Request `json:"request-id"`
	Produced int                `json:"produced"`
	Blocks   []uint64           `json:"blocks"`
}

// LoadReport is the engine's load at the time At.
type LoadReport struct {
	At        time.Time `json:"at"`
	Running   int       `json:"running"`
	Waiting   int       `json:"waiting"`
	TokenRate float64   `json:"token-rate"`
	Role      string    `json:"role"`
	Loaded    []string  `json:"loaded"`
}

type controlState struct {
	fencingToken uint64
	role         string
	loaded       map[string]bool
}

func (e *Engine) handleControl(w http.ResponseWriter, r *http.Request) {
	var c Command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, "enginefaker: malformed command", http.StatusBadRequest)
		return
	}
	switch name := r.PathValue("command"); name {
	case "load", "unload", "role":
		e.handleCommand(w, name, c)
	case "cancel":
		writeJSON(w, map[string]bool{"cancelled": e.cancel(c.Request)})
	case "export":
		e.handleExport(w, c)
	case "import":
		e.mu.Lock()
		e.storeBlocks(c.Blocks)
		e.mu.Unlock()
		writeJSON(w, struct{}{})
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) handleCommand(w http.ResponseWriter, name string, c Command) {
	e.mu.Lock()
	stale := c.Token < e.control.fencingToken
	if !stale || !e.CheckFencingToken {
		e.control.fencingToken = max(e.control.fencingToken, c.Token)
		switch name {
		case "load":
			e.control.loaded[c.Target] = true
		case "unload":
			delete(e.control.loaded, c.Target)
		case "role":
			e.control.role = c.Role
		}
	}
	e.mu.Unlock()
	if stale && e.CheckFencingToken {
		http.Error(w, "enginefaker: stale fencing token", http.StatusConflict)
		return
	}
	writeJSON(w, struct{}{})
}

func (e *Engine) handleExport(w http.ResponseWriter, c Command) {
	e.mu.Lock()
	var out *Export
	for _, s := range slices.Concat(e.running, e.waiting) {
		if s.request == c.Request {
			out = &Export{Request: s.request, Produced: s.produced, Blocks: s.blocks}
		}
	}
	e.mu.Unlock()
	if out == nil {
		http.Error(w, "enginefaker: no such stream", http.StatusNotFound)
		return
	}
	writeJSON(w, out)
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	now := e.Now()
	e.mu.Lock()
	if e.load.At.IsZero() || now.Sub(e.load.At) >= e.LoadReportMaxAge {
		e.load = LoadReport{
			At: now, Running: len(e.running), Waiting: len(e.waiting), TokenRate: e.TokenRate, Role: e.control.role,
			Loaded: slices.Sorted(maps.Keys(e.control.loaded)),
		}
	}
	report := e.load
	e.mu.Unlock()
	writeJSON(w, report)
}
