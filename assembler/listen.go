package assembler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// readHeaderTime bounds the reading of request headers on every listener.
const readHeaderTime = 5 * time.Second

// serveHTTP serves h on l until ctx ends, without waiting for requests in progress for longer than a moment.
func serveHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTime}
	stop := context.AfterFunc(ctx, func() {
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), readHeaderTime)
		defer cancel()
		// What is still open after that is a debugging client.
		_ = server.Shutdown(last)
	})
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("assembler: serve %s: %w", l.Addr(), err)
	}
	return nil
}

// drainHTTP waits for drain and then for notice before it closes the listener of s. Idle connections end first: a request that
// arrived on one while the listener closes would be lost unread, and its sender could no longer ask whether it ran.
func drainHTTP(ctx context.Context, s *http.Server, drain func(context.Context) error, notice time.Duration) error {
	s.SetKeepAlivesEnabled(false)
	err := drain(ctx)
	_ = pause(ctx, notice)
	return errors.Join(err, s.Shutdown(ctx))
}

// listen opens a listener at an address of the settings; port 0 lets the system choose.
func listen(ctx context.Context, a netip.AddrPort) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", a.String())
	if err != nil {
		return nil, fmt.Errorf("assembler: listen on %s: %w", a, err)
	}
	return l, nil
}

// addressOf returns the address of a TCP listener.
func addressOf(l net.Listener) netip.AddrPort {
	if a, ok := l.Addr().(*net.TCPAddr); ok {
		return a.AddrPort()
	}
	return netip.AddrPort{}
}
