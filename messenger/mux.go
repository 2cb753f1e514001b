package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// handlerTime bounds the handling of one call.
	handlerTime = 10 * time.Second
	// maxConcurrent bounds the calls that one connection handles at the same time.
	maxConcurrent = 64
	// methodPing is the keepalive call, which every process answers.
	methodPing = "ping"
	// codeApplication is the JSON-RPC code of an Error; the range from -32099 to -32000 is free for servers.
	codeApplication = -32000
	codeBusy        = -32001
)

// Peer is the other end of a connection.
type Peer struct {
	Address netip.AddrPort
	// Name is the common name of the peer's certificate, empty without TLS.
	Name string
}

// Error is an error that a handler returns for the caller to act on.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Error returns the code and the message.
func (e *Error) Error() string {
	return "messenger: " + e.Code + ": " + e.Message
}

// ErrBusy is returned by Call when the peer handles too many calls of this connection.
var ErrBusy = errors.New("messenger: peer is busy")

type handler func(ctx context.Context, peer Peer, params json.RawMessage) (any, error)

// Mux maps methods to handlers; handlers are added before it is served.
type Mux struct {
	handlers map[string]handler
}

// NewMux returns a mux that answers keepalive pings only.
func NewMux() *Mux {
	m := &Mux{handlers: map[string]handler{}}
	Handle(m, methodPing, func(context.Context, Peer, struct{}) (struct{}, error) { return struct{}{}, nil })
	return m
}

// Handle sets the handler of a method and panics if there is one already. An *Error that f returns reaches the caller.
func Handle[P, R any](m *Mux, method string, f func(ctx context.Context, peer Peer, p P) (R, error)) {
	if m.handlers[method] != nil {
		panic("messenger: second handler for " + method)
	}
	m.handlers[method] = func(ctx context.Context, peer Peer, params json.RawMessage) (any, error) {
		var p P
		if len(params) > 0 {
			if err := json.Unmarshal(params, &p); err != nil {
				return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "malformed parameters of " + method}
			}
		}
		return f(ctx, peer, p)
	}
}

// dispatcher handles the calls of one connection.
type dispatcher struct {
	mux  *Mux
	peer Peer
	busy chan struct{}
}

// Handle runs one call on its own goroutine, so that a slow one does not delay pings.
func (d *dispatcher) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	select {
	case d.busy <- struct{}{}:
	default:
		d.reply(ctx, conn, r, nil, &jsonrpc2.Error{Code: codeBusy, Message: "too many calls"})
		return
	}
	go func() {
		defer func() { <-d.busy }()
		ctx, cancel := context.WithTimeout(ctx, handlerTime)
		defer cancel()
		h := d.mux.handlers[r.Method]
		if h == nil {
			d.reply(ctx, conn, r, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"})
			return
		}
		var params json.RawMessage
		if r.Params != nil {
			params = *r.Params
		}
		result, err := h(ctx, d.peer, params)
		d.reply(ctx, conn, r, result, err)
	}()
}

func (d *dispatcher) reply(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request, result any, err error) {
	if r.Notif {
		return
	}
	if err == nil {
		// A failed reply closes the connection, and the caller sees its deadline or the close.
		_ = conn.Reply(ctx, r.ID, result)
		return
	}
	var wire *jsonrpc2.Error
	var own *Error
	switch {
	case errors.As(err, &wire):
	case errors.As(err, &own):
		wire = &jsonrpc2.Error{Code: codeApplication, Message: own.Message}
		wire.SetError(own)
	default:
		wire = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	_ = conn.ReplyWithError(ctx, r.ID, wire)
}

// callError restores the error of a handler from its reply.
func callError(method string, peer netip.AddrPort, err error) error {
	var wire *jsonrpc2.Error
	if errors.As(err, &wire) {
		switch wire.Code {
		case codeBusy:
			return fmt.Errorf("%w: %s at %s", ErrBusy, method, peer)
		case codeApplication:
			own := &Error{}
			if wire.Data != nil && json.Unmarshal(*wire.Data, own) == nil && own.Code != "" {
				return own
			}
		}
	}
	return fmt.Errorf("messenger: call %s at %s: %w", method, peer, err)
}
