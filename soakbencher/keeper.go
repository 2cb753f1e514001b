package soakbencher

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/siskinfront/siskinfront/platform"
	"github.com/siskinfront/siskinfront/platform/standin"
)

// bodyTiming is when the body of a request is sent.
type bodyTiming int

// The times of a body: with the headers, in a packet of its own right after them, or some time later.
const (
	bodyTogether bodyTiming = iota
	bodyNext
	bodyLater
	bodyTimings
)

// initialIdleLimit is the limit of the first configuration on idle connections.
const initialIdleLimit = 2 * time.Second

// maxIdlePause bounds how long a caller keeps a connection idle to reach four fifths of the limit.
const maxIdlePause = 3 * time.Second

// keptConn is a connection of a caller that sends one request after the other on it, until the other end closes it.
type keptConn struct {
	conn     net.Conn
	buffered *bufio.Reader
	used     int
	open     bool
}

func (k *keptConn) close() {
	k.open = false
	_ = k.conn.Close()
}

// keep opens a connection to an entry, or returns nil.
func (s *soak) keep(ctx context.Context, e *entry) *keptConn {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(ctx, "tcp", e.address().String())
	if err != nil {
		return nil
	}
	return &keptConn{conn: c, buffered: bufio.NewReader(c), open: true}
}

// runKeeper sends requests on kept connections until ctx is done: at once after a response, after a short pause, or after four
// fifths of the idle limit.
func (s *soak) runKeeper(ctx context.Context, n int, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1000+uint64(n)))
	for i := 0; ctx.Err() == nil; {
		e := s.pickReadyEntry(r)
		var k *keptConn
		if e != nil {
			k = s.keep(ctx, e)
		}
		if k == nil {
			time.Sleep(callerPause)
			continue
		}
		for ; k.open && ctx.Err() == nil; i++ {
			c := &call{id: fmt.Sprintf("k%d-%d", n, i), entry: e, kind: callKinds[r.IntN(3)], account: accounts[r.IntN(len(accounts))]}
			if c.kind == standin.Stream {
				c.session = fmt.Sprintf("k%d-%d", n, i/8)
			}
			s.exchange(ctx, k, c, bodyTiming(r.IntN(int(bodyTimings))))
			s.record(c)
			if r.Float64() < 0.05 {
				k.close()
			}
			s.pauseKeeper(ctx, r)
		}
		k.close()
	}
}

func (s *soak) pauseKeeper(ctx context.Context, r *rand.Rand) {
	d := time.Duration(0)
	switch p := r.Float64(); {
	case p < 0.4:
	case p < 0.8:
		d = time.Duration(r.ExpFloat64() * float64(callerPause))
	default:
		d = min(s.idleLimit()*4/5, maxIdlePause)
	}
	sleep(ctx, d)
}

// exchange sends the request of c on a kept connection and reads the response.
func (s *soak) exchange(ctx context.Context, k *keptConn, c *call, timing bodyTiming) {
	const body = "work"
	names := platform.Headers()
	prefix, deadline := c.terms()
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer key-of-%s\r\nContent-Length: %d\r\n",
		prefix, c.id, standin.Host, names.RequestID, c.id, names.Deadline, deadline.Milliseconds(), c.account, len(body))
	if c.kind == standin.Stream {
		fmt.Fprintf(&head, "%s: a1:100,b%s:20\r\n%s: %s\r\n%s: small\r\n", names.Prefix, c.session, names.Session, c.session, names.Model)
	}
	head.WriteString("\r\n")
	c.kept, c.connected, c.sentAt = k.used > 0, true, time.Now()
	k.used++
	calmBefore, undisturbedBefore := s.noteStart(c), s.isUndisturbed(c.entry, c.sentAt)
	defer func() {
		c.endedAt = time.Now()
		c.calm = calmBefore && s.isSameProcess(c)
		c.undisturbed = undisturbedBefore && s.isUndisturbed(c.entry, c.endedAt) && ctx.Err() == nil
		if c.err != nil {
			k.close()
		}
	}()
	_ = k.conn.SetDeadline(c.sentAt.Add(deadline + time.Second))
	stop := context.AfterFunc(ctx, func() { _ = k.conn.SetDeadline(time.Now()) })
	defer stop()
	if c.err = k.write(head.String(), body, timing); c.err != nil {
		return
	}
	c.lastByteAt = time.Now()
	w, err := http.ReadResponse(k.buffered, &http.Request{Method: http.MethodPost})
	if err != nil {
		c.err, c.gaveUp = err, errors.Is(err, os.ErrDeadlineExceeded)
		return
	}
	defer w.Body.Close()
	c.status = w.StatusCode
	got, err := c.read(w.Body)
	c.complete, c.err, c.gaveUp = err == nil, err, errors.Is(err, os.ErrDeadlineExceeded)
	if w.Close {
		k.close()
	}
	c.setUpstream(w.Header.Get(names.Stamp))
	s.checkAnswer(c, w.Header.Get(names.RequestID), w.Header.Get(names.Stamp), string(got))
}

// write sends the headers and the body of a request.
func (k *keptConn) write(head, body string, timing bodyTiming) error {
	if timing == bodyTogether {
		_, err := io.WriteString(k.conn, head+body)
		return err
	}
	if _, err := io.WriteString(k.conn, head); err != nil {
		return err
	}
	if timing == bodyLater {
		time.Sleep(time.Duration(len(head)%10) * 20 * time.Millisecond)
	}
	_, err := io.WriteString(k.conn, body)
	return err
}

// noteStart records the process that gets a call and reports whether no fault affects it.
func (s *soak) noteStart(c *call) bool {
	incarnation, _, undisturbed := c.entry.state()
	c.incarnation = incarnation
	return undisturbed
}

// isSameProcess reports whether the process that got a call has not been started again, and no fault of it has begun.
func (s *soak) isSameProcess(c *call) bool {
	incarnation, _, undisturbed := c.entry.state()
	return incarnation == c.incarnation && undisturbed
}

// setUpstream takes the upstream of a response from its stamp.
func (c *call) setUpstream(stamp string) {
	c.upstream, _, _ = strings.Cut(stamp, ".")
}

// String describes a call in the report.
func (c *call) String() string {
	return c.id + " at " + c.entry.name + ": status " + strconv.Itoa(c.status) + ", ended after " + c.endedAt.Sub(c.sentAt).String() +
		fmt.Sprintf(", kept connection %v, error %v", c.kept, c.err)
}
