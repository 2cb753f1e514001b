package messenger_test

import (
	"context"
	"errors"
	"net/netip"
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

// Guards against a black-holed connection that stays in use, and against one that closes while its peer is healthy.
func TestSilentConnection(t *testing.T) {
	run(t, func(t *testing.T, n *enginefaker.Network, p *messenger.Pool) {
		first, err := echo(t, p)
		must.NoError(t, err)
		time.Sleep(10 * time.Second)
		again, err := echo(t, p)
		must.NoError(t, err)
		must.True(t, first == again)
		n.BlackHole(peerAddress)
		begin := time.Now()
		<-first.Closed()
		must.LessEq(t, 4*time.Second, time.Since(begin))
		time.Sleep(time.Second)
		next, err := echo(t, p)
		must.NoError(t, err)
		must.False(t, first == next)
		time.Sleep(time.Minute)
		select {
		case <-next.Closed():
		default:
			t.Fatal("an unused connection of a pool stays open")
		}
	})
}
