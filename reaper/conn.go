package reaper

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// arrivalTime is how long a connection that is ended may still deliver bytes that have arrived. A read takes them at once; the
// time has to be in the future only because a read does not begin after its deadline.
const arrivalTime = time.Millisecond

// phase is what a connection is doing.
type phase uint8

const (
	// phaseNew lasts from the opening of the connection until its first byte.
	phaseNew phase = iota
	// phaseHeader lasts from the first byte of a request until the server has read the headers.
	phaseHeader
	// phaseHandled lasts from then until the response is complete.
	phaseHandled
	// phaseIdle lasts from the end of a response until the first byte of the next request.
	phaseIdle
)

// conn is a connection that knows whether a byte of a request was handed to the server.
type conn struct {
	net.Conn
	reaper *Reaper

	mu    sync.Mutex
	phase phase
	// reading is set while a read is pending.
	reading bool
	// ending is set from the moment at which the reaper ends the pending read until the connection is closed or a request arrives.
	ending bool
	// closing is set once Close was called.
	closing bool
	// nextBegan is set if a byte of the next request was read before the response was complete.
	nextBegan bool
	// end is why reading ended.
	end End
	// since is when the phase began.
	since time.Time
	// deadline is the read deadline that the server set.
	deadline time.Time
}

// Read reads from the connection. Bytes win over the end of the connection that they cross: they are returned, and the connection
// goes on.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	if c.reaper.closeIdle.Load() {
		c.endIfDue()
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isEnding() {
		n, err = c.readArrived(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n > 0 {
		if c.ending && !c.closing {
			c.ending, c.end = false, EndNone
			c.reaper.requestsKept.Add(1)
			err = errors.Join(err, c.Conn.SetReadDeadline(c.deadline))
		}
		c.bytesRead(len(p))
	}
	if err != nil && !c.ending {
		c.end = endOf(err)
	}
	return n, err
}

// readArrived returns the bytes that have arrived although the deadline for them has passed.
func (c *conn) readArrived(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(arrivalTime)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// bytesRead changes the phase after a read into size bytes.
func (c *conn) bytesRead(size int) {
	switch c.phase {
	case phaseNew, phaseIdle:
		c.phase, c.since = phaseHeader, c.reaper.Now()
	case phaseHandled:
		// After the body, net/http reads a single byte, which belongs to the next request.
		c.nextBegan = c.nextBegan || size == 1
	case phaseHeader:
	}
}

// requestRead records that the server has read the headers of a request, or has failed to read them whole.
func (c *conn) requestRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = phaseHandled, c.reaper.Now()
	if !c.ending {
		c.end = EndNone
	}
}

// responseSent records that the response is complete.
func (c *conn) responseSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = phaseIdle, c.reaper.Now()
	if c.nextBegan {
		c.phase, c.nextBegan = phaseHeader, false
	}
}

// endIfDue ends the pending read if a limit or a stop requires it. The caller holds c.mu.
func (c *conn) endIfDue() {
	if !c.reading || c.ending {
		return
	}
	reason := c.reaper.currentRules().due(c.phase, c.reaper.Now().Sub(c.since))
	if reason == EndNone {
		return
	}
	c.ending, c.end = true, reason
	// Setting the deadline fails only if the connection has been closed meanwhile.
	_ = c.Conn.SetReadDeadline(time.Now())
}

// isEnding reports whether the connection is being ended but not closed yet.
func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending && !c.closing
}

// SetReadDeadline sets the read deadline of the server.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the read and write deadlines of the server.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite closes the writing side, which net/http does before it closes a connection with unread bytes.
func (c *conn) CloseWrite() error {
	if x, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return x.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close closes the connection. If the reaper ended it, Close first waits for the caller to close its side; another call of Close
// ends that wait.
func (c *conn) Close() error {
	c.mu.Lock()
	linger := c.ending && !c.closing && !c.reading
	if c.ending && !c.closing {
		c.reaper.count(c.end)
	}
	c.closing = true
	c.mu.Unlock()
	if linger {
		c.linger()
	}
	c.reaper.remove(c)
	return c.Conn.Close()
}

// unwrap returns the reaper's connection below one of the server, which may be one of TLS, or nil.
func unwrap(c net.Conn) *conn {
	for {
		switch x := c.(type) {
		case *conn:
			return x
		case interface{ NetConn() net.Conn }:
			c = x.NetConn()
		default:
			return nil
		}
	}
}
