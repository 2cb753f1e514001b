package messenger_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/enginefaker"
	"github.com/siskinfront/siskinfront/messenger"
)

type question struct {
	Text string `json:"text"`
}

var peerAddress = netip.MustParseAddrPort("10.0.0.1:7001")

func run(t *testing.T, f func(t *testing.T, n *enginefaker.Network, p *messenger.Pool)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := enginefaker.NewNetwork()
		m := messenger.NewMux()
		messenger.Handle(m, "echo", func(_ context.Context, _ messenger.Peer, q question) (question, error) { return q, nil })
		messenger.Handle(m, "fail", func(context.Context, messenger.Peer, question) (question, error) {
			return question{}, &messenger.Error{Code: "not-owner", Message: "ask another"}
		})
		messenger.Handle(m, "hang", func(ctx context.Context, _ messenger.Peer, _ question) (question, error) {
			<-ctx.Done()
			return question{}, ctx.Err()
		})
		messenger.Handle(m, "slow", func(context.Context, messenger.Peer, question) (question, error) {
			time.Sleep(10 * time.Second)
			return question{}, nil
		})
		var notes atomic.Int64
		messenger.Handle(m, "note", func(context.Context, messenger.Peer, question) (struct{}, error) {
			notes.Add(1)
			return struct{}{}, nil
		})
		messenger.Handle(m, "notes", func(context.Context, messenger.Peer, question) (int64, error) { return notes.Load(), nil })
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan error, 1)
		l := n.Listen(peerAddress)
		go func() { served <- messenger.Serve(ctx, l, m) }()
		p := messenger.NewPool(messenger.WithDial(n.Dial))
		f(t, n, p)
		p.Close()
		cancel()
		must.NoError(t, <-served)
		time.Sleep(20 * time.Second)
	})
}

func echo(t *testing.T, p *messenger.Pool) (*messenger.Conn, error) {
	t.Helper()
	c, err := p.Conn(t.Context(), peerAddress)
	must.NoError(t, err)
	_, err = messenger.Call[question, question](t.Context(), c, "echo", question{"hello"})
	return c, err
}

// Guards against lost results and typed errors, and against a call without an end.
func TestCalls(t *testing.T) {
	run(t, func(t *testing.T, _ *enginefaker.Network, p *messenger.Pool) {
		c, err := echo(t, p)
		must.NoError(t, err)
		_, err = messenger.Call[question, question](t.Context(), c, "fail", question{})
		var own *messenger.Error
		must.True(t, errors.As(err, &own))
		must.Eq(t, "not-owner", own.Code)
		_, err = messenger.Call[question, question](t.Context(), c, "unknown", question{})
		must.Error(t, err)
		_, err = messenger.Call[int, question](t.Context(), c, "echo", 7)
		must.Error(t, err)
		begin := time.Now()
		_, err = messenger.Call[question, question](t.Context(), c, "hang", question{})
		must.ErrorIs(t, err, context.DeadlineExceeded)
		must.Eq(t, 3*time.Second, time.Since(begin))
		must.Eq(t, 1, p.Counters()["connections-opened"])
	})
}

// Guards against a black-holed connection that stays in use, and against one that closes while it is in use and healthy.
func TestSilentConnection(t *testing.T) {
	run(t, func(t *testing.T, n *enginefaker.Network, p *messenger.Pool) {
		first, err := echo(t, p)
		must.NoError(t, err)
		time.Sleep(9 * time.Second)
		again, err := echo(t, p)
		must.NoError(t, err)
		must.True(t, first == again)
		n.BlackHole(peerAddress)
		begin := time.Now()
		// The longer deadline shows that the silence ends the call.
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err = messenger.Call[question, question](ctx, first, "echo", question{})
		must.Error(t, err)
		must.LessEq(t, 3*time.Second, time.Since(begin))
		next, err := echo(t, p)
		must.NoError(t, err)
		must.False(t, first == next)
		time.Sleep(11 * time.Second)
		closed(t, next)
	})
}

func closed(t *testing.T, c *messenger.Conn) {
	t.Helper()
	select {
	case <-c.Closed():
	default:
		t.Fatal("the connection is open")
	}
}

// Guards against a call with a short deadline after which the next one meets the same broken connection.
func TestTimeoutClosesConnection(t *testing.T) {
	run(t, func(t *testing.T, n *enginefaker.Network, p *messenger.Pool) {
		first, err := echo(t, p)
		must.NoError(t, err)
		n.BlackHole(peerAddress)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err = messenger.Call[question, question](ctx, first, "echo", question{})
		must.ErrorIs(t, err, context.DeadlineExceeded)
		_, err = echo(t, p)
		must.NoError(t, err)
		must.Eq(t, 2, p.Counters()["connections-opened"])
	})
}

// Guards against the loss of a slow call whose peer is healthy, and against a listener that takes it for abandoned.
func TestSlowCall(t *testing.T) {
	run(t, func(t *testing.T, _ *enginefaker.Network, p *messenger.Pool) {
		c, err := p.Conn(t.Context(), peerAddress)
		must.NoError(t, err)
		for _, method := range []string{"slow", "slow", "echo"} {
			ctx, cancel := context.WithTimeout(t.Context(), 11*time.Second)
			_, err = messenger.Call[question, question](ctx, c, method, question{})
			cancel()
			must.NoError(t, err)
		}
		must.Eq(t, 1, p.Counters()["connections-opened"])
	})
}

// Guards against lost notifications, and against notifications that keep a black-holed connection in use.
func TestNotify(t *testing.T) {
	run(t, func(t *testing.T, n *enginefaker.Network, p *messenger.Pool) {
		var first *messenger.Conn
		for i := range 30 {
			c, err := p.Conn(t.Context(), peerAddress)
			must.NoError(t, err)
			if i == 0 {
				first = c
			}
			must.NoError(t, messenger.Notify(t.Context(), c, "note", question{"hello"}))
			time.Sleep(time.Second)
		}
		must.Eq(t, 1, p.Counters()["connections-opened"])
		got, err := messenger.Call[question, int](t.Context(), first, "notes", question{})
		must.NoError(t, err)
		must.Eq(t, 30, got)
		n.BlackHole(peerAddress)
		// A notification pings the peer, and the connection closes 3 s later. The step does not divide 3 s, so that no other
		// notification meets the close at the same instant, where its error depends on the scheduler.
		const step = 700 * time.Millisecond
		for range 14 * time.Second / step {
			c, err := p.Conn(t.Context(), peerAddress)
			must.NoError(t, err)
			must.NoError(t, messenger.Notify(t.Context(), c, "note", question{}))
			time.Sleep(step)
		}
		closed(t, first)
	})
}

// countedConn adds the bytes of both directions to a sum.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Guards against control traffic beyond 3 KB/s per node: 30 open connections cost nothing while they are idle, and one
// notification a second on each stays within the limit.
func TestTraffic(t *testing.T) {
	const connections, limit = 30, 3000
	run(t, func(t *testing.T, n *enginefaker.Network, _ *messenger.Pool) {
		var bytes atomic.Int64
		pools := make([]*messenger.Pool, connections)
		each := func(f func(c *messenger.Conn) error) {
			for i := range pools {
				c, err := pools[i].Conn(t.Context(), peerAddress)
				must.NoError(t, err)
				must.NoError(t, f(c))
			}
		}
		for i := range pools {
			pools[i] = messenger.NewPool(messenger.WithDial(func(ctx context.Context, network, a string) (net.Conn, error) {
				c, err := n.Dial(ctx, network, a)
				return countedConn{c, &bytes}, err
			}))
			defer pools[i].Close()
		}
		each(func(c *messenger.Conn) error {
			_, err := messenger.Call[question, question](t.Context(), c, "echo", question{})
			return err
		})
		before := bytes.Load()
		must.Positive(t, before)
		time.Sleep(9 * time.Second)
		must.Eq(t, before, bytes.Load())
		for range 10 {
			each(func(c *messenger.Conn) error { return messenger.Notify(t.Context(), c, "note", question{}) })
			time.Sleep(time.Second)
		}
		rate := (bytes.Load() - before) / 10
		t.Logf("%d bytes/s with one notification a second on each of %d connections", rate, connections)
		must.Less(t, limit, rate)
	})
}
