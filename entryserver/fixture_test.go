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
	callerKey = "caller-key"
	question  = `{"model":"auto","messages":[{"role":"user","content":"Summarise fault note 17."}]}`
	asStream  = `{"model":"auto","stream":true,"messages":[{"role":"user","content":"Summarise fault note 17."}]}`
)

func address(host, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(host)}), uint16(port))
}

// bed is two entries before two upstreams on a network in memory; upstream 1 is chosen first.
type bed struct {
	net     *enginefaker.Network
	engines []*enginefaker.Engine
	agents  []*agentserver.Server
	service *enginefaker.Service
	http    *http.Client
	claims  claims

	cfg   *configurer.Configuration
	mu    sync.Mutex
	bills []biller.Bill
	retry bool
	stop  []func()
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

func run(t *testing.T, f func(t *testing.T, b *bed), opts ...entryserver.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &bed{net: enginefaker.NewNetwork(), cfg: configuration(), retry: true, service: enginefaker.NewService()}
		b.claims.held = map[string]*entryserver.Result{}
		transport := &http.Transport{DialContext: b.net.Dial}
		for i := 1; i <= 2; i++ {
			engine := enginefaker.New(enginefaker.WithInterval(100 * time.Millisecond))
			b.engines = append(b.engines, engine)
			agent := agentserver.New(identifier.Upstream(fmt.Sprintf("upstream-%d", i)), address(i, 8000),
				agentserver.WithTransport(transport))
			b.agents = append(b.agents, agent)
			b.serve(address(i, 8000), engine)
			b.serve(address(i, 7000), agent)
		}
		b.serve(address(3, 8000), b.service)
		b.serve(address(3, 7000), agentserver.New("refunds-1", address(3, 8000), agentserver.WithTransport(transport)))
		for i := range 2 {
			client := streamer.NewClient(streamer.WithDial(b.net.Dial))
			b.stop = append(b.stop, client.Close)
			b.serve(address(100+i, 80), entryserver.New(append([]entryserver.Option{
				entryserver.WithStreams(client), entryserver.WithChoose(b.choose), entryserver.WithClaim(b.claims.claim),
				entryserver.WithConfiguration(func() *configurer.Configuration { return b.cfg }),
				entryserver.WithRecordBill(b.record),
				entryserver.WithRetry(func() bool { return b.retry }, func() bool { return b.retry }, func() {}),
			}, opts...)...))
		}
		callers := &http.Transport{DialContext: b.net.Dial}
		b.http = &http.Client{Transport: callers}
		f(t, b)
		// The engines end their last step, and cancellations in the background arrive.
		time.Sleep(5 * time.Second)
		callers.CloseIdleConnections()
		transport.CloseIdleConnections()
		for _, stop := range b.stop {
			stop()
		}
	})
}

func (b *bed) serve(a netip.AddrPort, h http.Handler) {
	s := &http.Server{Handler: h}
	l := b.net.Listen(a)
	go func() { _ = s.Serve(l) }()
	b.stop = append(b.stop, func() { _ = s.Close() })
}

func (b *bed) record(bill biller.Bill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bills = append(b.bills, bill)
}

// recorded returns the bills that the entries have taken.
func (b *bed) recorded() []biller.Bill {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.bills)
}

func (b *bed) choose(_ context.Context, c entryserver.ChoiceInput) (entryserver.Upstream, error) {
	if c.Service != "" {
		return entryserver.Upstream{Name: "refunds-1", Agent: address(3, 7000)}, nil
	}
	if i := len(c.Exclude); i < len(b.agents) {
		return entryserver.Upstream{Name: b.agents[i].Upstream, Agent: address(i+1, 7000)}, nil
	}
	return entryserver.Upstream{}, entryserver.ErrNoUpstream
}

// started returns the runs that any engine or service began.
func (b *bed) started() int {
	return int(b.engines[0].Counters()["started"]+b.engines[1].Counters()["started"]) + b.service.Total()
}

type reply struct {
	status int
	header http.Header
	body   string
}

// call sends a request to one of the entries and reads the whole response.
func (b *bed) call(ctx context.Context, entry int, method, path, body string, headers ...string) (reply, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address(100+entry, 80).String()+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	resp, err := b.http.Do(r)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(data)}, err
}

func (b *bed) ask(t *testing.T, body string, headers ...string) reply {
	t.Helper()
	r, err := b.call(t.Context(), 0, http.MethodPost, "/v1/chat/completions", body, headers...)
	must.NoError(t, err)
	return r
}

// claims is a claim table that both entries share.
type claims struct {
	mu       sync.Mutex
	held     map[string]*entryserver.Result
	prints   map[string][32]byte
	down     bool
	noStart  bool
	noFinish bool
}

func (c *claims) claim(_ context.Context, _ identifier.ClientAccount, key string, print [32]byte, _ identifier.Request) (
	entryserver.Claim, error,
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return entryserver.Claim{}, entryserver.ErrClaimUnavailable
	}
	if p := c.held[key]; p != nil {
		if c.prints[key] != print {
			return entryserver.Claim{}, entryserver.ErrClaimMismatch
		}
		copied := *p
		return entryserver.Claim{Previous: &copied}, nil
	}
	if c.prints == nil {
		c.prints = map[string][32]byte{}
	}
	c.held[key], c.prints[key] = &entryserver.Result{}, print
	return entryserver.Claim{
		MarkStarted: func(context.Context) error {
			if c.noStart {
				return entryserver.ErrClaimUnavailable
			}
			return nil
		},
		Finish: func(_ context.Context, r entryserver.Result) error {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.noFinish {
				return entryserver.ErrClaimUnavailable
			}
			c.held[key] = &r
			return nil
		},
		Release: func(context.Context) error {
			c.mu.Lock()
			defer c.mu.Unlock()
			delete(c.held, key)
			return nil
		},
	}, nil
}

func newClient(b *bed) *streamer.Client {
	c := streamer.NewClient(streamer.WithDial(b.net.Dial))
	b.stop = append(b.stop, c.Close)
	return c
}
