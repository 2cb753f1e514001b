package reaper

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// lingerTime bounds the wait for the caller to close its side after the connection was ended. A connection that is closed
// while bytes arrive is reset, which can destroy a response that the caller has not read yet.
const lingerTime = 500 * time.Millisecond

// linger closes the writing side and waits until the caller has closed its side, at most for lingerTime. It reads nothing: a
// request that crosses the end of the connection stays unread, so that its caller may repeat it.
func (c *conn) linger() {
	deadline := time.Now().Add(lingerTime)
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || c.CloseWrite() != nil || c.Conn.SetReadDeadline(deadline) != nil {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	crossed := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		crossed = n > 0 && err == nil
		return !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
	})
	if err == nil && crossed {
		time.Sleep(time.Until(deadline))
	}
}
