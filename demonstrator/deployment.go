package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"regexp"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/assembler"
	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/committer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/enginefaker"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	// engineBatch is the largest batch of one fake engine; engineRate is its output in tokens per second.
	engineBatch = 32
	engineRate  = 4000
	// engineTokens is the length of an answer in tokens.
	engineTokens = 24
	// engineInterval is the shortest time between two tokens of a stream.
	engineInterval = 2 * time.Millisecond
	// startTimeout bounds the wait until all entries and agents are ready, and then the wait until entries know all upstreams.
	startTimeout = 15 * time.Second
	// versionsPerEngine is the number of model versions that each engine loads at the start.
	versionsPerEngine = 3
)

// deploymentSpec holds the name, the region and the size of a deployment.
type deploymentSpec struct {
	name        string
	region      identifier.Region
	dataCentres int
	engines     int
	services    int
	// largeAccounts is the number of client accounts that send most of the requests.
	largeAccounts int
}

// deployment runs all parts of a deployment in this process on loopback addresses: platform, engines, agents and entries.
type deployment struct {
	spec       deploymentSpec
	cfg        *configurer.Configuration
	platform   *platform
	engines    []*enginefaker.Engine
	entries    []*assembler.Entry
	agents     []*assembler.Agent
	executions *executionCounter

	cancelEntries, cancelAgents context.CancelFunc
	entriesDone, agentsDone     sync.WaitGroup
	mu                          sync.Mutex
	errs                        []error
}

// executionCounter counts by nonce how often engines and plain services began to run a request.
type executionCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

var noncePattern = regexp.MustCompile(`nonce-\d{6}`)

// answerToken returns one token of an answer. The first repeats the nonce of the prompt, by which a misdelivered answer is
// detected, and counts the execution.
func (s *executionCounter) answerToken(prompt []byte, token int) string {
	if token > 0 {
		return "word "
	}
	nonce := string(noncePattern.Find(prompt))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[nonce]++
	return nonce + " "
}

// countCalls wraps a plain service and counts each call under the nonce in its body.
func (s *executionCounter) countCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, "demonstrator: unreadable body", http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.counts[string(noncePattern.Find(body))]++
		s.mu.Unlock()
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

func (s *executionCounter) executions(nonce string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[nonce]
}

// startDeployment starts a deployment and returns once every entry serves callers and knows all upstreams.
func startDeployment(ctx context.Context, spec deploymentSpec, cfg *configurer.Configuration, seed uint64) (*deployment, error) {
	p, err := newPlatform(ctx, trueQuality(cfg), seed)
	if err != nil {
		return nil, err
	}
	d := &deployment{spec: spec, cfg: cfg, platform: p, executions: &executionCounter{counts: map[string]int{}}}
	if err := d.startInstances(ctx); err != nil {
		return nil, errors.Join(err, d.stop())
	}
	return d, nil
}

func (d *deployment) startInstances(ctx context.Context) error {
	if _, err := committer.Commit(ctx, storer.NewTable(d.platform.addresses.Table), 0, d.cfg, "demo"); err != nil {
		return fmt.Errorf("demonstrator: commit configuration: %w", err)
	}
	for i := range d.spec.engines {
		if err := d.addEngine(ctx, i); err != nil {
			return err
		}
	}
	for i := range d.spec.services {
		if err := d.addService(ctx, i); err != nil {
			return err
		}
	}
	var all []identifier.DataCentre
	for i := range d.spec.dataCentres {
		all = append(all, d.dataCentre(i))
	}
	for i := range d.spec.dataCentres {
		s := configurer.DefaultEntrySettings()
		s.ProcessSettings = d.processSettings(fmt.Sprintf("entry-%d", i+1), i)
		s.DataCentres = all
		s.CallerAddress, s.AdminAddress = loopback(), loopback()
		e, err := assembler.NewEntry(ctx, s, discardLog())
		if err != nil {
			return fmt.Errorf("demonstrator: entry %d: %w", i+1, err)
		}
		d.entries = append(d.entries, e)
	}
	d.publishInstances()
	return d.runInstances(ctx)
}

func (d *deployment) dataCentre(i int) identifier.DataCentre {
	return identifier.DataCentre(fmt.Sprintf("%s-%d", d.spec.region, i%d.spec.dataCentres+1))
}

func (d *deployment) processSettings(name string, i int) configurer.ProcessSettings {
	p := configurer.DefaultEntrySettings().ProcessSettings
	p.Instance, p.DataCentre, p.Region = identifier.Instance(name), d.dataCentre(i), d.spec.region
	p.ControlAddress, p.DebugAddress, p.Platform = loopback(), loopback(), d.platform.addresses
	return p
}

func (d *deployment) addEngine(ctx context.Context, i int) error {
	engine := enginefaker.New(enginefaker.WithBatch(engineBatch, engineRate), enginefaker.WithTokens(engineTokens),
		enginefaker.WithInterval(engineInterval))
	engine.Text = d.executions.answerToken
	d.engines = append(d.engines, engine)
	address, err := d.platform.serve(ctx, engine)
	if err != nil {
		return err
	}
	// Each engine starts with the next version, so that every version is loaded in several data centres.
	all := targets(d.cfg)
	for k := range min(versionsPerEngine, len(all)) {
		if err := loadVersion(ctx, address, all[(i+k)%len(all)]); err != nil {
			return err
		}
	}
	return d.addAgent(ctx, fmt.Sprintf("engine-%d", i+1), "", address, i)
}

func (d *deployment) addService(ctx context.Context, i int) error {
	address, err := d.platform.serve(ctx, d.executions.countCalls(enginefaker.NewService()))
	if err != nil {
		return err
	}
	name := d.cfg.Services[i%len(d.cfg.Services)].Name
	return d.addAgent(ctx, fmt.Sprintf("application-%d", i+1), name, address, i)
}

func (d *deployment) addAgent(
	ctx context.Context, name string, service identifier.Service, upstream netip.AddrPort, i int,
) error {
	s := configurer.DefaultAgentSettings()
	s.ProcessSettings = d.processSettings("agent-"+name, i)
	s.DataAddress = loopback()
	s.Upstream.Name, s.Upstream.Address, s.Upstream.Service = identifier.Upstream(name), upstream, service
	s.Upstream.Slots = engineBatch
	s.Upstream.MaxVersions = versionsPerEngine
	a, err := assembler.NewAgent(ctx, s, discardLog())
	if err != nil {
		return fmt.Errorf("demonstrator: agent of %s: %w", name, err)
	}
	d.agents = append(d.agents, a)
	return nil
}

// loadVersion orders an engine to load a version.
func loadVersion(ctx context.Context, engine netip.AddrPort, t identifier.Target) error {
	body, err := json.Marshal(enginefaker.Command{Token: 1, Target: t.String()})
	if err != nil {
		return fmt.Errorf("demonstrator: encode command: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+engine.String()+"/control/load", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("demonstrator: build command: %w", err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("demonstrator: load %s: %w", t, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("demonstrator: load %s: status %d", t, resp.StatusCode)
	}
	return nil
}

// discardLog discards the logs of entries and agents, which would drown the progress lines.
func discardLog() assembler.Option {
	return assembler.WithLog(slog.New(slog.DiscardHandler))
}

// publishInstances sets the platform's instance list to all entries and agents.
func (d *deployment) publishInstances() {
	list := make([]storer.Instance, 0, len(d.entries)+len(d.agents))
	for i, e := range d.entries {
		a := e.Addresses()
		list = append(list, storer.Instance{
			Instance: identifier.Instance(fmt.Sprintf("entry-%d", i+1)), DataCentre: d.dataCentre(i), Region: d.spec.region,
			Role: "entry", ControlAddress: a.Control, DataAddress: a.Caller,
		})
	}
	for _, a := range d.agents {
		x := a.Addresses()
		list = append(list, storer.Instance{
			Instance: a.Instance(), DataCentre: a.DataCentre(), Region: d.spec.region, Role: "agent",
			ControlAddress: x.Control, DataAddress: x.Data,
		})
	}
	d.platform.instances.Set(list)
}

// runInstances runs the entries and agents and waits until they are ready. Agents have a context of their own, so that
// stop can end them after the entries, which still need them for the requests in flight.
func (d *deployment) runInstances(ctx context.Context) error {
	entryCtx, cancelEntries := context.WithCancel(context.WithoutCancel(ctx))
	agentCtx, cancelAgents := context.WithCancel(context.WithoutCancel(ctx))
	d.cancelEntries, d.cancelAgents = cancelEntries, cancelAgents
	var ready sync.WaitGroup
	for _, a := range d.agents {
		ready.Add(1)
		d.agentsDone.Go(func() { d.recordError(a.Run(agentCtx, func(assembler.AgentAddresses) { ready.Done() })) })
	}
	for _, e := range d.entries {
		ready.Add(1)
		d.entriesDone.Go(func() { d.recordError(e.Run(entryCtx, func(assembler.EntryAddresses) { ready.Done() })) })
	}
	done := make(chan struct{})
	go func() { ready.Wait(); close(done) }()
	deadline := time.NewTimer(startTimeout)
	defer deadline.Stop()
	select {
	case <-done:
	case <-deadline.C:
		return errors.New("demonstrator: entries and agents were not ready within the start timeout")
	case <-ctx.Done():
		return ctx.Err()
	}
	return d.awaitUpstreams(ctx)
}

// awaitUpstreams waits until every entry has discovered all upstreams of the deployment.
func (d *deployment) awaitUpstreams(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for _, e := range d.entries {
		for e.Upstreams() < len(d.agents) {
			if time.Now().After(deadline) {
				return fmt.Errorf("demonstrator: timed out while an entry knew %d of %d upstreams", e.Upstreams(), len(d.agents))
			}
			select {
			case <-time.After(20 * time.Millisecond):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

func (d *deployment) recordError(err error) {
	if err == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.errs = append(d.errs, err)
}

// callers returns the caller addresses of all entries.
func (d *deployment) callers() []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(d.entries))
	for _, e := range d.entries {
		list = append(list, e.Addresses().Caller)
	}
	return list
}

// stop drains the entries, then the agents, closes the fakes of the platform and the engines, and returns all errors.
func (d *deployment) stop() error {
	if d.cancelEntries != nil {
		d.cancelEntries()
		d.entriesDone.Wait()
		d.cancelAgents()
		d.agentsDone.Wait()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return errors.Join(append(d.errs, d.platform.stop())...)
}

// bills reads all bills that were written durably to the table, without duplicates.
func (d *deployment) bills() ([]biller.Bill, error) {
	var batches [][]biller.Bill
	for _, row := range d.platform.table.Rows("bill/") {
		batch, err := biller.DecodeBatch(row.Value)
		if err != nil {
			return nil, fmt.Errorf("demonstrator: decode %s: %w", row.Key, err)
		}
		batches = append(batches, batch)
	}
	return biller.Union(batches...), nil
}
