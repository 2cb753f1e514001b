package assembler

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/agentserver"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/enginefaker"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/placer"
	"github.com/siskinfront/siskinfront/streamer"
)

var (
	versionOne = identifier.Target{Model: "finch", Version: "v1"}
	versionTwo = identifier.Target{Model: "finch", Version: "v2"}
)

// placementFixture is a data centre of fake engines and their agents on an in-memory network.
type placementFixture struct {
	cfg     *configurer.Configuration
	network *enginefaker.Network
	engines map[identifier.Upstream]*enginefaker.Engine
	agents  map[identifier.Upstream]*agentserver.Server

	mu   sync.Mutex
	errs []error
}

func newPlacementFixture(t *testing.T, names ...identifier.Upstream) *placementFixture {
	t.Helper()
	p := &placementFixture{
		cfg: &configurer.Configuration{Models: []configurer.Model{{Name: "finch", Versions: []configurer.Version{
			{Name: "v1", State: configurer.VersionServing}, {Name: "v2", State: configurer.VersionCandidate},
		}}}},
		network: enginefaker.NewNetwork(), engines: map[identifier.Upstream]*enginefaker.Engine{},
		agents: map[identifier.Upstream]*agentserver.Server{},
	}
	transport := &http.Transport{DialContext: p.network.Dial}
	t.Cleanup(transport.CloseIdleConnections)
	for i, name := range names {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 8000)
		p.engines[name] = enginefaker.New(enginefaker.WithInterval(100*time.Millisecond), enginefaker.WithTokens(100))
		s := &http.Server{Handler: p.engines[name]}
		l := p.network.Listen(address)
		go func() { _ = s.Serve(l) }()
		t.Cleanup(func() { _ = s.Close() })
		p.agents[name] = agentserver.New(name, address, agentserver.WithTransport(transport))
		_, err := p.agents[name].Command(t.Context(), "load", []byte(`{"token":1,"target":"finch@v1"}`))
		must.NoError(t, err)
	}
	return p
}

func (p *placementFixture) loaded(name identifier.Upstream) []identifier.Target {
	w := httptest.NewRecorder()
	p.engines[name].ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/load", http.NoBody))
	var report struct {
		Loaded []string `json:"loaded"`
	}
	_ = json.Unmarshal(w.Body.Bytes(), &report)
	var list []identifier.Target
	for _, x := range report.Loaded {
		model, version, _ := strings.Cut(x, "@")
		list = append(list, identifier.Target{Model: identifier.Model(model), Version: identifier.Version(version)})
	}
	return list
}

// count returns the number of engines that have a version loaded.
func (p *placementFixture) count(t identifier.Target) int {
	n := 0
	for name := range p.engines {
		if slices.Contains(p.loaded(name), t) {
			n++
		}
	}
	return n
}

// leaseHolder returns the placement of a lease holder with a fencing token.
func (p *placementFixture) leaseHolder(token uint64) *placement {
	return &placement{
		configuration: func() *configurer.Configuration { return p.cfg },
		engines: func() []placer.Engine {
			var list []placer.Engine
			for name := range p.engines {
				list = append(list, placer.Engine{Upstream: name, Loaded: p.loaded(name), MaxVersions: 2})
			}
			return list
		},
		usage:        func() map[identifier.Target]float64 { return map[identifier.Target]float64{versionOne: 100} },
		leaseValid:   func() bool { return true },
		fencingToken: token,
		sendOrder: func(ctx context.Context, o placer.Order, token uint64) error {
			body, err := json.Marshal(engineOrder{Token: token, Target: o.Target.String()})
			if err == nil {
				_, err = p.agents[o.Upstream].Command(ctx, string(o.Action), body)
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.errs = append(p.errs, err)
			return err
		},
	}
}

// Guards against a long unload that is canceled when its control call ends, a control call that waits longer than
// commandReplyTimeout, and an unbounded number of commands in progress.
func TestCommandContinuesAfterCallTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended atomic.Int64
		c := newCommandRunner(func(ctx context.Context, _ EngineCommand) error {
			err := pause(ctx, 30*time.Second)
			if err == nil {
				ended.Add(1)
			}
			return err
		})
		for range maxCommands {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), commandReplyTimeout)
				defer cancel()
				_ = c.run(ctx, EngineCommand{})
			}()
		}
		synctest.Wait()
		must.ErrorIs(t, c.run(t.Context(), EngineCommand{}), errTooManyCommands)
		must.NoError(t, c.running.Wait())
		must.EqOp(t, maxCommands, ended.Load())
		began := time.Now()
		must.ErrorIs(t, c.run(t.Context(), EngineCommand{}), errCommandRunning)
		must.EqOp(t, commandReplyTimeout, time.Since(began))
		must.NoError(t, c.running.Wait())
	})
}

// Guards against a candidate version that no engine loads, a planned unload that cuts off a run, and a former lease holder
// whose commands still change the loaded versions after its successor's.
func TestPlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlacementFixture(t, "engine-1", "engine-2", "engine-3")
		formerHolder, currentHolder := p.leaseHolder(2), p.leaseHolder(3)
		formerHolder.step(t.Context())
		formerHolder.step(t.Context())
		must.GreaterEq(t, 2, p.count(versionTwo))
		var engine identifier.Upstream
		for name := range p.agents {
			if slices.Contains(p.loaded(name), versionTwo) {
				engine = name
			}
		}
		response := make(chan string, 1)
		go func() {
			order, _ := json.Marshal(streamer.Order{
				Request: "r-1", Attempt: 1, Target: versionTwo, MaxTokens: 50, Deadline: time.Now().Add(time.Minute),
			})
			w := httptest.NewRecorder()
			p.agents[engine].ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/run",
				strings.NewReader(string(order)+"\n"+`{"messages":[]}`)))
			response <- w.Body.String()
		}()
		synctest.Wait()
		p.cfg.Models[0].Versions[1].State = configurer.VersionWithdrawn
		go currentHolder.step(t.Context())
		time.Sleep(time.Second)
		must.SliceContains(t, p.loaded(engine), versionTwo)
		must.StrContains(t, <-response, `"kind":"done"`)
		time.Sleep(time.Second)
		must.SliceNotContains(t, p.loaded(engine), versionTwo)
		currentHolder.step(t.Context())
		must.EqOp(t, 0, p.count(versionTwo))
		for _, err := range p.errs {
			must.NoError(t, err)
		}

		p.cfg.Models[0].Versions[1].State = configurer.VersionCandidate
		p.errs = nil
		formerHolder.step(t.Context())
		must.SliceNotEmpty(t, p.errs)
		for _, err := range p.errs {
			var refused *agentserver.CommandError
			must.True(t, errors.As(err, &refused))
			must.EqOp(t, http.StatusConflict, refused.Status)
		}
		must.EqOp(t, 0, p.count(versionTwo))
		currentHolder.step(t.Context())
		must.GreaterEq(t, 2, p.count(versionTwo))
		time.Sleep(time.Minute)
	})
}
