package messenger_test

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"github.com/siskinfront/siskinfront/messenger"
)

// Guards against a black-holed connection that carries only notifications and is never detected: TCP_USER_TIMEOUT must bound
// the time for which data stays unacknowledged.
func TestDialBoundsUnacknowledgedData(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- messenger.Serve(ctx, l, messenger.NewMux()) }()
	var dialed net.Conn
	pool := messenger.NewPool(messenger.WithObserveDial(func(c net.Conn) { dialed = c }))
	_, err = pool.Conn(t.Context(), netip.MustParseAddrPort(l.Addr().String()))
	must.NoError(t, err)
	tcp, ok := dialed.(*net.TCPConn)
	must.True(t, ok)
	raw, err := tcp.SyscallConn()
	must.NoError(t, err)
	var milliseconds int
	must.NoError(t, raw.Control(func(fd uintptr) {
		milliseconds, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	must.NoError(t, err)
	must.Eq(t, 3000, milliseconds)
	pool.Close()
	cancel()
	must.NoError(t, <-served)
}
