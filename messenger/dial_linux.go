package messenger

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// dialer returns the default dial function. It sets TCP_USER_TIMEOUT, so that the kernel closes a connection whose data stays
// unacknowledged for silenceTimeout: notifications have no reply, so a missing reply can't reveal a black-holed connection.
func dialer() func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	return d.DialContext
}
