package reaper

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
)

// End is why the reading of a connection ended.
type End string

// Reasons for the end of reading.
const (
	// EndNone means that reading has not ended.
	EndNone End = ""
	// EndCallerClosed means that the caller closed the connection, and EndCallerReset that it, or the network, reset it.
	EndCallerClosed End = "caller-closed"
	EndCallerReset  End = "caller-reset"
	// EndDeadline means that the server's own read deadline passed.
	EndDeadline End = "read-deadline"
	// EndHeaderLimit and EndIdleLimit mean that the reaper enforced a limit, EndStop that it ended the connection for a stop.
	EndHeaderLimit End = "header-limit"
	EndIdleLimit   End = "idle-limit"
	EndStop        End = "stop"
	// EndClosed means that the server closed the connection during a read.
	EndClosed End = "closed"
)

// ByCaller reports whether the caller ended the connection.
func (e End) ByCaller() bool {
	return e == EndCallerClosed || e == EndCallerReset
}

// endOf returns the reason for an error of a read.
func endOf(err error) End {
	switch {
	case err == nil:
		return EndNone
	case errors.Is(err, io.EOF):
		return EndCallerClosed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return EndDeadline
	case errors.Is(err, net.ErrClosed):
		return EndClosed
	default:
		return EndCallerReset
	}
}

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// EndOf returns why the reading of the connection of a request ended, or EndNone; ctx is the context of the request.
func EndOf(ctx context.Context) End {
	c, ok := ctx.Value(connectionKey{}).(*conn)
	if !ok {
		return EndNone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end
}
