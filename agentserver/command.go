package agentserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// maxCommand bounds one command in bytes.
	maxCommand = 1 << 20
	// commandTime bounds one command at the engine.
	commandTime = 30 * time.Second
	// markTime bounds the question for the fencing mark, during which other commands wait.
	markTime = 3 * time.Second
)

// fence holds the highest fencing token seen and lets one command through at a time, so that a command with an older
// token cannot overtake a newer one on its way to an engine that ignores tokens.
type fence struct {
	busy sync.Mutex
	mu   sync.Mutex
	high uint64
	// restored is set once the mark from before the start of this process is known; busy guards it.
	restored bool
}

func (f *fence) token() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.high
}

// raise notes a token and reports whether it is current.
func (f *fence) raise(token uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if token < f.high {
		return false
	}
	f.high = token
	return true
}

// handleControl passes a command of a current lease holder to the engine.
func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	switch r.PathValue("command") {
	case "load", "unload", "role", "export", "import":
	default:
		http.NotFound(w, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCommand))
	if err != nil {
		http.Error(w, "agentserver: command is unreadable", http.StatusBadRequest)
		return
	}
	var c struct {
		Token *uint64 `json:"token"`
	}
	if err := json.Unmarshal(body, &c); err != nil || c.Token == nil {
		http.Error(w, "agentserver: command has no fencing token", http.StatusBadRequest)
		return
	}
	s.fence.busy.Lock()
	defer s.fence.busy.Unlock()
	if err := s.restoreFence(r.Context()); err != nil {
		http.Error(w, "agentserver: fencing mark is not known", http.StatusServiceUnavailable)
		return
	}
	if !s.fence.raise(*c.Token) {
		http.Error(w, "agentserver: fencing token is stale", http.StatusConflict)
		return
	}
	s.forward(w, r, body)
}

// restoreFence asks for the fencing mark before the first command. An agent that has just started would otherwise accept
// a stale token, which an engine that ignores tokens would then obey. s.fence.busy is held.
func (s *Server) restoreFence(ctx context.Context) error {
	if s.fence.restored {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, markTime)
	defer cancel()
	mark, err := s.Mark(ctx)
	if err != nil {
		return fmt.Errorf("agentserver: read fencing mark of %s: %w", s.Upstream, err)
	}
	s.fence.raise(mark)
	s.fence.restored = true
	return nil
}

func (s *Server) forward(w http.ResponseWriter, r *http.Request, body []byte) {
	ctx, cancel := context.WithTimeout(r.Context(), commandTime)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+s.address.String()+"/control/"+r.PathValue("command"), bytes.NewReader(body))
	if err != nil {
		http.Error(w, "agentserver: command is invalid", http.StatusBadRequest)
		return
	}
	hr.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(hr)
	if err != nil {
		http.Error(w, "agentserver: engine does not answer", http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	// The sender may have gone; commands are idempotent and it will repeat them.
	_, _ = io.Copy(w, io.LimitReader(resp.Body, maxCommand))
}
