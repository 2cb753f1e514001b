package messenger

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// dialer returns the default function that connects to peers. The kernel closes a connection whose data stays
// unacknowledged for silentAfter: a notification has no reply whose absence would show a black-holed connection.
func dialer() func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentAfter.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return set
	}}
	return d.DialContext
}
