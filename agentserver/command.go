package agentserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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

// CommandError is the refusal of a command by the agent, with the status that answers it over HTTP.
type CommandError struct {
	Status int
	Reason string
}

// Error returns the reason.
func (c *CommandError) Error() string {
	return "agentserver: " + c.Reason
}

// CommandReply is the reply of the engine to a command.
type CommandReply struct {
	Status int    `json:"status"`
	Type   string `json:"content-type,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// Command passes a command of a current lease holder to the engine. Before an unload it refuses new orders for the
// version and waits for its runs, for at most the time of WithUnloadWait. The error is a *CommandError if the agent
// refuses the command or the engine does not answer.
func (s *Server) Command(ctx context.Context, name string, body []byte) (CommandReply, error) {
	switch name {
	case "load", "unload", "role", "export", "import":
	default:
		return CommandReply{}, &CommandError{http.StatusNotFound, "command is unknown"}
	}
	var c struct {
		Token  *uint64 `json:"token"`
		Target string  `json:"target"`
	}
	if err := json.Unmarshal(body, &c); err != nil || c.Token == nil {
		return CommandReply{}, &CommandError{http.StatusBadRequest, "command has no fencing token"}
	}
	if name == "unload" {
		// The token is checked before the wait, so that a stale one stops no work, and again after it.
		if err := s.checkToken(ctx, *c.Token); err != nil {
			return CommandReply{}, err
		}
		if err := s.closeVersion(ctx, c.Target); err != nil {
			return CommandReply{}, err
		}
	}
	reply, err := s.fenced(ctx, name, *c.Token, body)
	switch ok := err == nil && reply.Status == http.StatusOK; {
	case name == "unload" && !ok, name == "load" && ok:
		s.openVersion(c.Target)
	}
	return reply, err
}

func (s *Server) checkToken(ctx context.Context, token uint64) error {
	s.fence.busy.Lock()
	defer s.fence.busy.Unlock()
	return s.raise(ctx, token)
}

// raise refuses a stale token; s.fence.busy is held.
func (s *Server) raise(ctx context.Context, token uint64) error {
	if err := s.restoreFence(ctx); err != nil {
		return &CommandError{http.StatusServiceUnavailable, "fencing mark is not known"}
	}
	if !s.fence.raise(token) {
		return &CommandError{http.StatusConflict, "fencing token is stale"}
	}
	return nil
}

// fenced sends a command to the engine if its token is current.
func (s *Server) fenced(ctx context.Context, name string, token uint64, body []byte) (CommandReply, error) {
	s.fence.busy.Lock()
	defer s.fence.busy.Unlock()
	if err := s.raise(ctx, token); err != nil {
		return CommandReply{}, err
	}
	return s.forward(ctx, name, body)
}

// handleControl passes a command that came over HTTP on.
func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCommand))
	if err != nil {
		http.Error(w, "agentserver: command is unreadable", http.StatusBadRequest)
		return
	}
	reply, err := s.Command(r.Context(), r.PathValue("command"), body)
	var refused *CommandError
	switch {
	case errors.As(err, &refused):
		http.Error(w, err.Error(), refused.Status)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", reply.Type)
	w.WriteHeader(reply.Status)
	// The sender may have gone; commands are idempotent and it will repeat them.
	_, _ = w.Write(reply.Body)
}

// restoreFence asks for the fencing mark before the first command. An agent that has just started would otherwise accept
// a stale token, which an engine that ignores tokens would then obey. s.fence.busy is held.
func (s *Server) restoreFence(ctx context.Context) error {
	if s.fence.restored {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, markTime)
	defer cancel()
	mark, err := s.HighestFencingToken(ctx)
	if err != nil {
		return fmt.Errorf("agentserver: read fencing mark of %s: %w", s.Upstream, err)
	}
	s.fence.raise(mark)
	s.fence.restored = true
	return nil
}

func (s *Server) forward(ctx context.Context, name string, body []byte) (CommandReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTime)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address.String()+"/control/"+name,
		bytes.NewReader(body))
	if err != nil {
		return CommandReply{}, &CommandError{http.StatusBadRequest, "command is invalid"}
	}
	hr.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(hr)
	if err != nil {
		return CommandReply{}, &CommandError{http.StatusBadGateway, "engine does not answer"}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxCommand))
	if err != nil {
		return CommandReply{}, &CommandError{http.StatusBadGateway, "engine does not answer"}
	}
	return CommandReply{Status: resp.StatusCode, Type: resp.Header.Get("Content-Type"), Body: b}, nil
}
