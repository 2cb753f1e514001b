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
	// maxCommandBytes limits a command and the engine's reply to it.
	maxCommandBytes = 1 << 20
	// commandTimeout limits one command to the engine.
	commandTimeout = 30 * time.Second
	// restoreTimeout limits the call of HighestFencingToken, during which other commands wait.
	restoreTimeout = 3 * time.Second
)

// fencingState holds the highest fencing token seen and serialises commands: an engine that ignores tokens must not receive
// a command with an older token after one with a newer token.
type fencingState struct {
	// commandMu is held while a command is sent to the engine.
	commandMu sync.Mutex
	mu        sync.Mutex
	highest   uint64
	// restored is set once the highest token issued before this process started is known; commandMu guards it.
	restored bool
}

func (f *fencingState) token() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highest
}

// advance records a token and reports whether it is current, that is, not lower than the highest one.
func (f *fencingState) advance(token uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if token < f.highest {
		return false
	}
	f.highest = token
	return true
}

// CommandError is returned for a command that the agent refuses or that the engine does not answer, with its HTTP status.
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
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Command sends a command of the current lease holder to the engine. Before an unload, it refuses new orders for the
// version and waits for the version's runs to end, for at most the time set by WithUnloadWait. The error is a
// *CommandError if the agent refuses the command or the engine does not answer.
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
		// The token is checked before the wait, so that a command with a stale token does not block new orders, and again
		// after it, because a newer token may have arrived.
		if err := s.checkToken(ctx, *c.Token); err != nil {
			return CommandReply{}, err
		}
		if err := s.drainVersion(ctx, c.Target); err != nil {
			return CommandReply{}, err
		}
	}
	reply, err := s.forwardFenced(ctx, name, *c.Token, body)
	switch ok := err == nil && reply.Status == http.StatusOK; {
	case name == "unload" && !ok, name == "load" && ok:
		s.reopenVersion(c.Target)
	}
	return reply, err
}

// checkToken refuses a stale token.
func (s *Server) checkToken(ctx context.Context, token uint64) error {
	s.fencing.commandMu.Lock()
	defer s.fencing.commandMu.Unlock()
	return s.advanceToken(ctx, token)
}

// advanceToken records a token or refuses a stale one; the caller holds fencing.commandMu.
func (s *Server) advanceToken(ctx context.Context, token uint64) error {
	if err := s.restoreHighestToken(ctx); err != nil {
		return &CommandError{http.StatusServiceUnavailable, "fencing mark is not known"}
	}
	if !s.fencing.advance(token) {
		return &CommandError{http.StatusConflict, "fencing token is stale"}
	}
	return nil
}

// forwardFenced sends a command to the engine if its token is current.
func (s *Server) forwardFenced(ctx context.Context, name string, token uint64, body []byte) (CommandReply, error) {
	s.fencing.commandMu.Lock()
	defer s.fencing.commandMu.Unlock()
	if err := s.advanceToken(ctx, token); err != nil {
		return CommandReply{}, err
	}
	return s.forward(ctx, name, body)
}

// handleControl serves a command that was sent over HTTP.
func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCommandBytes))
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
	w.Header().Set("Content-Type", reply.ContentType)
	w.WriteHeader(reply.Status)
	// A write fails if the sender has disconnected. It repeats the command then, which is safe because commands are idempotent.
	_, _ = w.Write(reply.Body)
}

// restoreHighestToken reads the highest fencing token issued before this process started, before the first command. A
// restarted agent would otherwise accept a stale token, and an engine that ignores tokens would execute the command. The
// caller holds fencing.commandMu.
func (s *Server) restoreHighestToken(ctx context.Context) error {
	if s.fencing.restored {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	token, err := s.HighestFencingToken(ctx)
	if err != nil {
		return fmt.Errorf("agentserver: read fencing mark of %s: %w", s.Upstream, err)
	}
	s.fencing.advance(token)
	s.fencing.restored = true
	return nil
}

func (s *Server) forward(ctx context.Context, name string, body []byte) (CommandReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address.String()+"/control/"+name,
		bytes.NewReader(body))
	if err != nil {
		return CommandReply{}, &CommandError{http.StatusBadRequest, "command is invalid"}
	}
	hr.Header.Set("Content-Type", "application/json")
	resp, err := s.upstream.Do(hr)
	if err != nil {
		return CommandReply{}, &CommandError{http.StatusBadGateway, "engine does not answer"}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxCommandBytes))
	if err != nil {
		return CommandReply{}, &CommandError{http.StatusBadGateway, "engine does not answer"}
	}
	return CommandReply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: b}, nil
}
