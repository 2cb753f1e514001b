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

// fixture is one fake engine with its agent on an in-memory network.
type fixture struct {
	net    *enginefaker.Network
	engine *enginefaker.Engine
	agent  *agentserver.Server
	client *streamer.Client
}

// withFixture runs a test with a fixture in a synctest bubble.
func withFixture(t *testing.T, f func(t *testing.T, fx *fixture), opts ...agentserver.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fx := &fixture{net: enginefaker.NewNetwork(), engine: enginefaker.New(enginefaker.WithInterval(100 * time.Millisecond))}
		transport := &http.Transport{DialContext: fx.net.Dial}
		fx.agent = agentserver.New("upstream-1", engineAddress, append(opts, agentserver.WithTransport(transport))...)
		fx.client = streamer.NewClient(streamer.WithDial(fx.net.Dial))
		serve(t, fx.net, engineAddress, fx.engine)
		serve(t, fx.net, agentAddress, fx.agent)
		f(t, fx)
		// Lets the engine finish its last step.
		time.Sleep(time.Second)
		fx.client.Close()
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

// readToEnd reads up to the final frame and returns that frame and the number of token frames.
func readToEnd(t *testing.T, s *streamer.Stream) (streamer.Frame, int) {
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

func (fx *fixture) open(t *testing.T, o *streamer.Order) *streamer.Stream {
	t.Helper()
	s, err := fx.client.Open(t.Context(), agentAddress, o, []byte(body))
	must.NoError(t, err)
	return s
}
