package assembler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/siskinfront/siskinfront/reaper"
)

// readHeaderTimeout bounds the reading of request headers on every listener, and the shutdown in serveHTTP.
const readHeaderTimeout = 5 * time.Second

// serveHTTP serves h on l until ctx ends. It returns as soon as the shutdown begins and does not wait for requests in progress.
func serveHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	connections := reaper.New(reaper.NoLimits)
	attached := connections.Attach(server, l)
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readHeaderTimeout)
		defer cancel()
		// A request that outlasts the timeout comes from a debugging client.
		_ = connections.Shutdown(shutdownCtx)
	})
	defer stop()
	if err := server.Serve(attached); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("assembler: serve %s: %w", l.Addr(), err)
	}
	return nil
}

// drainHTTP calls drain, waits for closeDelay and then shuts down the server of the connections. It ends idle connections first,
// so that orders arrive on new ones; an order that was read before the connection could be ended is answered.
func drainHTTP(
	ctx context.Context, connections *reaper.Reaper, drain func(context.Context) error, closeDelay time.Duration,
) error {
	connections.CloseIdle()
	err := drain(ctx)
	_ = pause(ctx, closeDelay)
	return errors.Join(err, connections.Shutdown(ctx))
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
