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
	// handlerTimeout is the deadline of the context that a handler gets for one call.
	handlerTimeout = 10 * time.Second
	// maxConcurrentCalls bounds the calls that one connection handles at the same time.
	maxConcurrentCalls = 64
	// methodPing is the keepalive method, which every mux handles.
	methodPing = "ping"
	// codeApplication is the JSON-RPC code of an Error; JSON-RPC leaves the range from -32099 to -32000 to servers.
	codeApplication = -32000
	// codeBusy is the JSON-RPC code of a call beyond maxConcurrentCalls.
	codeBusy = -32001
)

// Peer is the other end of a connection.
type Peer struct {
	Address netip.AddrPort
	// Name is the common name in the peer's certificate; it is empty without TLS.
	Name string
}

// Error is an error that a handler returns to the caller, with a code that the caller can act on.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Error returns the code and the message.
func (e *Error) Error() string {
	return "messenger: " + e.Code + ": " + e.Message
}

// ErrBusy is returned by Call when the peer already handles the maximum number of calls on this connection.
var ErrBusy = errors.New("messenger: peer is busy")

type handler func(ctx context.Context, peer Peer, params json.RawMessage) (any, error)

// Mux maps methods to handlers; all handlers must be added before the mux is served.
type Mux struct {
	handlers map[string]handler
}

// NewMux returns a mux that handles only keepalive pings.
func NewMux() *Mux {
	m := &Mux{handlers: map[string]handler{}}
	Handle(m, methodPing, func(context.Context, Peer, struct{}) (struct{}, error) { return struct{}{}, nil })
	return m
}

// Handle sets the handler of a method and panics if there already is one. If f returns an *Error, Call returns it at the peer.
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
	mux       *Mux
	peer      Peer
	callSlots chan struct{}
}

// Handle runs one call on its own goroutine, so that a slow one does not delay pings.
func (d *dispatcher) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	select {
	case d.callSlots <- struct{}{}:
	default:
		d.reply(ctx, conn, r, nil, &jsonrpc2.Error{Code: codeBusy, Message: "too many calls"})
		return
	}
	go func() {
		defer func() { <-d.callSlots }()
		ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
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
		// If sending the reply fails, the connection closes, and the caller's call ends with that or with its deadline.
		_ = conn.Reply(ctx, r.ID, result)
		return
	}
	var rpcErr *jsonrpc2.Error
	var handlerErr *Error
	switch {
	case errors.As(err, &rpcErr):
	case errors.As(err, &handlerErr):
		rpcErr = &jsonrpc2.Error{Code: codeApplication, Message: handlerErr.Message}
		rpcErr.SetError(handlerErr)
	default:
		rpcErr = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	_ = conn.ReplyWithError(ctx, r.ID, rpcErr)
}

// callError converts the error of a JSON-RPC call to ErrBusy or the handler's *Error, or else adds the method and the peer.
func callError(method string, peer netip.AddrPort, err error) error {
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		switch rpcErr.Code {
		case codeBusy:
			return fmt.Errorf("%w: %s at %s", ErrBusy, method, peer)
		case codeApplication:
			handlerErr := &Error{}
			if rpcErr.Data != nil && json.Unmarshal(*rpcErr.Data, handlerErr) == nil && handlerErr.Code != "" {
				return handlerErr
			}
		}
	}
	return fmt.Errorf("messenger: call %s at %s: %w", method, peer, err)
}
