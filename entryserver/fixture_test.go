package entryserver_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/agentserver"
	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/enginefaker"
	"github.com/siskinfront/siskinfront/entryserver"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

const (
	callerKey  = "caller-key"
	unaryBody  = `{"model":"auto","messages":[{"role":"user","content":"Summarise fault note 17."}]}`
	streamBody = `{"model":"auto","stream":true,"messages":[{"role":"user","content":"Summarise fault note 17."}]}`
)

// address returns the address 10.0.0.lastByte:port.
func address(lastByte, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(lastByte)}), uint16(port))
}

// fixture holds two entries, two upstreams with their agents and a plain service on an in-memory network. Upstream 1 is
// chosen first.
type fixture struct {
	network *enginefaker.Network
	engines []*enginefaker.Engine
	agents  []*agentserver.Server
	service *enginefaker.Service
	client  *http.Client
	claims  claims

	cfg        *configurer.Configuration
	mu         sync.Mutex
	bills      []biller.Bill
	allowRetry bool
	cleanups   []func()
}

func configuration() *configurer.Configuration {
	sum := sha256.Sum256([]byte(callerKey))
	return &configurer.Configuration{
		Revision: 1,
		Ranks:    []configurer.Rank{{Name: "urgent", Deadline: 10 * time.Second}, {Name: "batch", Deadline: 30 * time.Second}},
		WorkKinds: []configurer.WorkKind{
			{Name: "status-check", Rank: "urgent", MaxTokens: 64},
			{Name: "energisation-order", Rank: "urgent", MaxTokens: 64, NonIdempotent: true},
		},
		Models: []configurer.Model{
			{Name: "finch-small", Versions: []configurer.Version{{Name: "v1", State: configurer.VersionServing}}},
			{Name: "finch-large", Versions: []configurer.Version{{Name: "v1", State: configurer.VersionServing}}},
		},
		ClientAccounts: []configurer.ClientAccount{{
			Name: "galway-council", Keys: []configurer.Key{{Name: "first", SHA256: hex.EncodeToString(sum[:])}},
			Allowed:   []configurer.AllowedModel{{Model: "finch-small"}},
			WorkKinds: []identifier.WorkKind{"status-check", "energisation-order"}, Services: []identifier.Service{"refunds"},
		}},
		Services: []configurer.Service{
			{Name: "refunds", Rank: "urgent", NonIdempotent: []configurer.CallPattern{{Method: "POST", Path: "/bookings"}}},
			{Name: "other", Rank: "urgent"},
		},
	}
}

// withFixture runs f with a new fixture in a synctest bubble and closes the fixture afterwards.
func withFixture(t *testing.T, f func(t *testing.T, fx *fixture), opts ...entryserver.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fx := &fixture{network: enginefaker.NewNetwork(), cfg: configuration(), allowRetry: true, service: enginefaker.NewService()}
		fx.claims.results = map[string]*entryserver.StoredResponse{}
		transport := &http.Transport{DialContext: fx.network.Dial}
		for i := 1; i <= 2; i++ {
			engine := enginefaker.New(enginefaker.WithInterval(100 * time.Millisecond))
			fx.engines = append(fx.engines, engine)
			agent := agentserver.New(identifier.Upstream(fmt.Sprintf("upstream-%d", i)), address(i, 8000),
				agentserver.WithTransport(transport))
			fx.agents = append(fx.agents, agent)
			fx.serve(address(i, 8000), engine)
			fx.serve(address(i, 7000), agent)
		}
		fx.serve(address(3, 8000), fx.service)
		fx.serve(address(3, 7000), agentserver.New("refunds-1", address(3, 8000), agentserver.WithTransport(transport)))
		for i := range 2 {
			client := streamer.NewClient(streamer.WithDial(fx.network.Dial))
			fx.cleanups = append(fx.cleanups, client.Close)
			fx.serve(address(100+i, 80), entryserver.New(append([]entryserver.Option{
				entryserver.WithStreams(client), entryserver.WithChoose(fx.choose), entryserver.WithClaim(fx.claims.claim),
				entryserver.WithConfiguration(func() *configurer.Configuration { return fx.cfg }),
				entryserver.WithRecordBill(fx.recordBill),
				entryserver.WithRetry(func() bool { return fx.allowRetry }, func() bool { return fx.allowRetry }, func() {}),
			}, opts...)...))
		}
		callers := &http.Transport{DialContext: fx.network.Dial}
		fx.client = &http.Client{Transport: callers}
		f(t, fx)
		// Leaves time for the engines to end their last step and for cancellations in the background to arrive.
		time.Sleep(5 * time.Second)
		callers.CloseIdleConnections()
		transport.CloseIdleConnections()
		for _, cleanup := range fx.cleanups {
			cleanup()
		}
	})
}

func (fx *fixture) serve(a netip.AddrPort, h http.Handler) {
	s := &http.Server{Handler: h}
	l := fx.network.Listen(a)
	go func() { _ = s.Serve(l) }()
	fx.cleanups = append(fx.cleanups, func() { _ = s.Close() })
}

func (fx *fixture) recordBill(bill biller.Bill) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.bills = append(fx.bills, bill)
}

// recordedBills returns the bills that the entries have recorded.
func (fx *fixture) recordedBills() []biller.Bill {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return slices.Clone(fx.bills)
}

func (fx *fixture) choose(_ context.Context, c entryserver.ChoiceInput) (entryserver.Upstream, error) {
	if c.Service != "" {
		return entryserver.Upstream{Name: "refunds-1", Agent: address(3, 7000)}, nil
	}
	if i := len(c.Exclude); i < len(fx.agents) {
		return entryserver.Upstream{Name: fx.agents[i].Upstream, Agent: address(i+1, 7000)}, nil
	}
	return entryserver.Upstream{}, entryserver.ErrNoUpstream
}

// startedRuns returns the number of runs that the engines and the service have started.
func (fx *fixture) startedRuns() int {
	return int(fx.engines[0].Counters()["started"]+fx.engines[1].Counters()["started"]) + fx.service.Total()
}

type response struct {
	status int
	header http.Header
	body   string
}

// do sends a request to an entry, given by its index, and reads the complete response.
func (fx *fixture) do(ctx context.Context, entry int, method, path, body string, headers ...string) (response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address(100+entry, 80).String()+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	resp, err := fx.client.Do(r)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(data)}, err
}

// postCompletion sends a chat completion to the first entry.
func (fx *fixture) postCompletion(t *testing.T, body string, headers ...string) response {
	t.Helper()
	r, err := fx.do(t.Context(), 0, http.MethodPost, "/v1/chat/completions", body, headers...)
	must.NoError(t, err)
	return r
}

// claims is a fake claim table that all entries share, with one result and request fingerprint per idempotency key.
type claims struct {
	mu              sync.Mutex
	results         map[string]*entryserver.StoredResponse
	fingerprints    map[string][32]byte
	unavailable     bool
	failMarkStarted bool
	failFinish      bool
}

func (c *claims) claim(_ context.Context, _ identifier.ClientAccount, key string, fingerprint [32]byte, _ identifier.Request) (
	entryserver.Claim, error,
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unavailable {
		return entryserver.Claim{}, entryserver.ErrClaimUnavailable
	}
	if previous := c.results[key]; previous != nil {
		if c.fingerprints[key] != fingerprint {
			return entryserver.Claim{}, entryserver.ErrClaimMismatch
		}
		copied := *previous
		return entryserver.Claim{Previous: &copied}, nil
	}
	if c.fingerprints == nil {
		c.fingerprints = map[string][32]byte{}
	}
	c.results[key], c.fingerprints[key] = &entryserver.StoredResponse{}, fingerprint
	return entryserver.Claim{
		MarkStarted: func(context.Context) error {
			if c.failMarkStarted {
				return entryserver.ErrClaimUnavailable
			}
			return nil
		},
		Finish: func(_ context.Context, r entryserver.StoredResponse) error {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.failFinish {
				return entryserver.ErrClaimUnavailable
			}
			c.results[key] = &r
			return nil
		},
		Release: func(context.Context) error {
			c.mu.Lock()
			defer c.mu.Unlock()
			delete(c.results, key)
			return nil
		},
	}, nil
}

func newStreamClient(fx *fixture) *streamer.Client {
	c := streamer.NewClient(streamer.WithDial(fx.network.Dial))
	fx.cleanups = append(fx.cleanups, c.Close)
	return c
}
