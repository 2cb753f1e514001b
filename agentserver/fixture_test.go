package agentserver_test

import (
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/agentserver"
	"github.com/siskinfront/siskinfront/enginefaker"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// bed is one engine with its agent on a network in memory.
type bed struct {
	net    *enginefaker.Network
	engine *enginefaker.Engine
	agent  *agentserver.Server
	client *streamer.Client
}

func run(t *testing.T, f func(t *testing.T, b *bed), opts ...agentserver.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &bed{net: enginefaker.NewNetwork(), engine: enginefaker.New(enginefaker.WithInterval(100 * time.Millisecond))}
		transport := &http.Transport{DialContext: b.net.Dial}
		b.agent = agentserver.New("upstream-1", engineAddress, append(opts, agentserver.WithTransport(transport))...)
		b.client = streamer.NewClient(streamer.WithDial(b.net.Dial))
		serve(t, b.net, engineAddress, b.engine)
		serve(t, b.net, agentAddress, b.agent)
		f(t, b)
		// The engine ends its last step.
		time.Sleep(time.Second)
		b.client.Close()
		transport.CloseIdleConnections()
	})
}

func serve(t *testing.T, n *enginefaker.Network, a netip.AddrPort, h http.Handler) {
	t.Helper()
	s := &http.Server{Handler: h}
	l := n.Listen(a)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
}

func order(id identifier.Request) *streamer.Order {
	return &streamer.Order{
		Request: id, Attempt: 1, ClientAccount: "galway-council", Rank: "normal", MaxTokens: 16, PromptTokens: 8,
		Target: identifier.Target{Model: "finch-small", Version: "v1"}, Deadline: time.Now().Add(time.Minute), Revision: 1,
	}
}

// finish reads to the final frame and returns it with the number of tokens.
func finish(t *testing.T, s *streamer.Stream) (streamer.Frame, int) {
	t.Helper()
	defer s.Close()
	tokens := 0
	for {
		f, err := s.Next(t.Context())
		must.NoError(t, err)
		if f.Kind == streamer.KindToken {
			tokens++
		}
		if f.Final() {
			f.Data = nil
			return f, tokens
		}
	}
}

func (b *bed) open(t *testing.T, o *streamer.Order) *streamer.Stream {
	t.Helper()
	s, err := b.client.Open(t.Context(), agentAddress, o, []byte(body))
	must.NoError(t, err)
	return s
}
