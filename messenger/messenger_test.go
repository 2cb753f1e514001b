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

type payload struct {
	Text string `json:"text"`
}

var peerAddress = netip.MustParseAddrPort("10.0.0.1:7001")

func withServer(t *testing.T, f func(t *testing.T, n *enginefaker.Network, p *messenger.Pool)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := enginefaker.NewNetwork()
		m := messenger.NewMux()
		messenger.Handle(m, "echo", func(_ context.Context, _ messenger.Peer, q payload) (payload, error) { return q, nil })
		messenger.Handle(m, "fail", func(context.Context, messenger.Peer, payload) (payload, error) {
			return payload{}, &messenger.Error{Code: "not-owner", Message: "ask another"}
		})
		messenger.Handle(m, "hang", func(ctx context.Context, _ messenger.Peer, _ payload) (payload, error) {
			<-ctx.Done()
			return payload{}, ctx.Err()
		})
		messenger.Handle(m, "slow", func(context.Context, messenger.Peer, payload) (payload, error) {
			time.Sleep(10 * time.Second)
			return payload{}, nil
		})
		var notifications atomic.Int64
		messenger.Handle(m, "note", func(context.Context, messenger.Peer, payload) (struct{}, error) {
			notifications.Add(1)
			return struct{}{}, nil
		})
		messenger.Handle(m, "notes", func(context.Context, messenger.Peer, payload) (int64, error) { return notifications.Load(), nil })
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
	_, err = messenger.Call[payload, payload](t.Context(), c, "echo", payload{"hello"})
	return c, err
}

// Guards against lost results, against typed errors that lose their code, and against a call without a deadline that never ends.
func TestCalls(t *testing.T) {
	withServer(t, func(t *testing.T, _ *enginefaker.Network, p *messenger.Pool) {
		c, err := echo(t, p)
		must.NoError(t, err)
		_, err = messenger.Call[payload, payload](t.Context(), c, "fail", payload{})
		var handlerErr *messenger.Error
		must.True(t, errors.As(err, &handlerErr))
		must.Eq(t, "not-owner", handlerErr.Code)
		_, err = messenger.Call[payload, payload](t.Context(), c, "unknown", payload{})
		must.Error(t, err)
		_, err = messenger.Call[int, payload](t.Context(), c, "echo", 7)
		must.Error(t, err)
		begin := time.Now()
		_, err = messenger.Call[payload, payload](t.Context(), c, "hang", payload{})
		must.ErrorIs(t, err, context.DeadlineExceeded)
		must.Eq(t, 3*time.Second, time.Since(begin))
		must.Eq(t, 1, p.Counters()["connections-opened"])
	})
}

// Guards against a black-holed connection that stays in use, and against a healthy connection that is closed while in use.
func TestSilentConnection(t *testing.T) {
	withServer(t, func(t *testing.T, n *enginefaker.Network, p *messenger.Pool) {
		first, err := echo(t, p)
		must.NoError(t, err)
		time.Sleep(9 * time.Second)
		second, err := echo(t, p)
		must.NoError(t, err)
		must.True(t, first == second)
		n.BlackHole(peerAddress)
		begin := time.Now()
		// The deadline is longer than silenceTimeout, so only the detection of silence can end the call within 3 s.
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err = messenger.Call[payload, payload](ctx, first, "echo", payload{})
		must.Error(t, err)
		must.LessEq(t, 3*time.Second, time.Since(begin))
		third, err := echo(t, p)
		must.NoError(t, err)
		must.False(t, first == third)
		time.Sleep(11 * time.Second)
		mustBeClosed(t, third)
	})
}

func mustBeClosed(t *testing.T, c *messenger.Conn) {
	t.Helper()
	select {
	case <-c.Closed():
	default:
		t.Fatal("the connection is open")
	}
}

// Guards against a broken connection that the next call gets again after a call with a short deadline has timed out on it.
func TestTimeoutClosesConnection(t *testing.T) {
	withServer(t, func(t *testing.T, n *enginefaker.Network, p *messenger.Pool) {
		first, err := echo(t, p)
		must.NoError(t, err)
		n.BlackHole(peerAddress)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err = messenger.Call[payload, payload](ctx, first, "echo", payload{})
		must.ErrorIs(t, err, context.DeadlineExceeded)
		_, err = echo(t, p)
		must.NoError(t, err)
		must.Eq(t, 2, p.Counters()["connections-opened"])
	})
}

// Guards against a slow call to a healthy peer that fails, and against a listener that closes the connection as idle while
// slow calls are pending.
func TestSlowCall(t *testing.T) {
	withServer(t, func(t *testing.T, _ *enginefaker.Network, p *messenger.Pool) {
		c, err := p.Conn(t.Context(), peerAddress)
		must.NoError(t, err)
		for _, method := range []string{"slow", "slow", "echo"} {
			ctx, cancel := context.WithTimeout(t.Context(), 11*time.Second)
			_, err = messenger.Call[payload, payload](ctx, c, method, payload{})
			cancel()
			must.NoError(t, err)
		}
		must.Eq(t, 1, p.Counters()["connections-opened"])
	})
}

// Guards against lost notifications, and against a black-holed connection that stays open because only notifications use it.
func TestNotify(t *testing.T) {
	withServer(t, func(t *testing.T, n *enginefaker.Network, p *messenger.Pool) {
		var first *messenger.Conn
		for i := range 30 {
			c, err := p.Conn(t.Context(), peerAddress)
			must.NoError(t, err)
			if i == 0 {
				first = c
			}
			must.NoError(t, messenger.Notify(t.Context(), c, "note", payload{"hello"}))
			time.Sleep(time.Second)
		}
		must.Eq(t, 1, p.Counters()["connections-opened"])
		got, err := messenger.Call[payload, int](t.Context(), first, "notes", payload{})
		must.NoError(t, err)
		must.Eq(t, 30, got)
		n.BlackHole(peerAddress)
		// A notification triggers a ping, and the connection closes 3 s later. The step does not divide 3 s, so that no
		// notification is sent at the instant of the close, when its error would depend on goroutine scheduling.
		const step = 700 * time.Millisecond
		for range 14 * time.Second / step {
			c, err := p.Conn(t.Context(), peerAddress)
			must.NoError(t, err)
			must.NoError(t, messenger.Notify(t.Context(), c, "note", payload{}))
			time.Sleep(step)
		}
		mustBeClosed(t, first)
	})
}

// countedConn counts the bytes of both directions.
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

// Guards against control traffic above 3 KB/s per instance: 30 idle connections must send nothing, and one notification a second
// on each must stay within the limit.
func TestTraffic(t *testing.T) {
	const connections, limit = 30, 3000
	withServer(t, func(t *testing.T, n *enginefaker.Network, _ *messenger.Pool) {
		var bytes atomic.Int64
		pools := make([]*messenger.Pool, connections)
		forEachPool := func(f func(c *messenger.Conn) error) {
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
		forEachPool(func(c *messenger.Conn) error {
			_, err := messenger.Call[payload, payload](t.Context(), c, "echo", payload{})
			return err
		})
		before := bytes.Load()
		must.Positive(t, before)
		time.Sleep(9 * time.Second)
		must.Eq(t, before, bytes.Load())
		for range 10 {
			forEachPool(func(c *messenger.Conn) error { return messenger.Notify(t.Context(), c, "note", payload{}) })
			time.Sleep(time.Second)
		}
		rate := (bytes.Load() - before) / 10
		t.Logf("%d bytes/s with one notification a second on each of %d connections", rate, connections)
		must.Less(t, limit, rate)
	})
}
