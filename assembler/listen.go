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

// readHeaderTimeout bounds the reading of request headers on every listener, and the shutdown in serveHTTP.
const readHeaderTimeout = 5 * time.Second

// serveHTTP serves h on l until ctx ends. It returns as soon as the shutdown begins and does not wait for requests in progress.
func serveHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readHeaderTimeout)
		defer cancel()
		// A request that outlasts the timeout comes from a debugging client.
		_ = server.Shutdown(shutdownCtx)
	})
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("assembler: serve %s: %w", l.Addr(), err)
	}
	return nil
}

// drainHTTP calls drain, waits for closeDelay and then shuts down s. It disables keep-alive first: a request that arrived on an
// idle connection during the shutdown would be lost unread, and its sender could no longer ask whether it ran.
func drainHTTP(ctx context.Context, s *http.Server, drain func(context.Context) error, closeDelay time.Duration) error {
	s.SetKeepAlivesEnabled(false)
	err := drain(ctx)
	_ = pause(ctx, closeDelay)
	return errors.Join(err, s.Shutdown(ctx))
}

// listen opens a TCP listener; the system chooses the port if it is 0.
func listen(ctx context.Context, a netip.AddrPort) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", a.String())
	if err != nil {
		return nil, fmt.Errorf("assembler: listen on %s: %w", a, err)
	}
	return l, nil
}

// addressOf returns the address of a TCP listener, or the zero address for other listeners.
func addressOf(l net.Listener) netip.AddrPort {
	if a, ok := l.Addr().(*net.TCPAddr); ok {
		return a.AddrPort()
	}
	return netip.AddrPort{}
}
