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
	// engineBatch and engineRate are the batch and the tokens per second of one fake engine.
	engineBatch = 32
	engineRate  = 4000
	// engineTokens is the length of an answer in tokens.
	engineTokens = 24
	// engineInterval is the shortest time between two tokens of a stream.
	engineInterval = 2 * time.Millisecond
	// readyTime bounds the start of a deployment.
	readyTime = 15 * time.Second
	// versionsPerEngine is the number of versions that each engine has loaded.
	versionsPerEngine = 3
)

// shape is the size of a deployment.
type shape struct {
	name        string
	region      identifier.Region
	dataCentres int
	engines     int
	services    int
	// largeAccounts is the number of client accounts that send most of the requests.
	largeAccounts int
}

// deployment is a whole deployment on loopback: platform, engines, agents and entries.
type deployment struct {
	shape   shape
	cfg     *configurer.Configuration
	fakes   *platform
	engines []*enginefaker.Engine
	entries []*assembler.Entry
	agents  []*assembler.Agent
	starts  *starts

	cancelEntries, cancelAgents context.CancelFunc
	entriesDone, agentsDone     sync.WaitGroup
	mu                          sync.Mutex
	errs                        []error
}

// starts counts by nonce how often engines began an answer.
type starts struct {
	mu     sync.Mutex
	counts map[string]int
}

var noncePattern = regexp.MustCompile(`nonce-\d{6}`)

// text makes an answer repeat the nonce of its prompt, so that a misdelivered answer is seen.
func (s *starts) text(prompt []byte, token int) string {
	if token > 0 {
		return "word "
	}
	nonce := string(noncePattern.Find(prompt))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[nonce]++
	return nonce + " "
}

// count wraps a plain service and counts the calls by the nonce of their body.
func (s *starts) count(next http.Handler) http.Handler {
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

func (s *starts) of(nonce string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[nonce]
}

// start brings a deployment up and returns once every entry serves callers and knows the agents.
func start(ctx context.Context, sh shape, cfg *configurer.Configuration, seed uint64) (*deployment, error) {
	fakes, err := newPlatform(ctx, trueQuality(cfg), seed)
	if err != nil {
		return nil, err
	}
	d := &deployment{shape: sh, cfg: cfg, fakes: fakes, starts: &starts{counts: map[string]int{}}}
	if err := d.bringUp(ctx); err != nil {
		return nil, errors.Join(err, d.stop())
	}
	return d, nil
}

func (d *deployment) bringUp(ctx context.Context) error {
	if _, err := committer.Commit(ctx, storer.New(d.fakes.addresses.Table), 0, d.cfg, "demo"); err != nil {
		return fmt.Errorf("demonstrator: commit configuration: %w", err)
	}
	for i := range d.shape.engines {
		if err := d.addEngine(ctx, i); err != nil {
			return err
		}
	}
	for i := range d.shape.services {
		if err := d.addService(ctx, i); err != nil {
			return err
		}
	}
	var all []identifier.DataCentre
	for i := range d.shape.dataCentres {
		all = append(all, d.dataCentre(i))
	}
	for i := range d.shape.dataCentres {
		s := configurer.DefaultEntrySettings()
		s.ProcessSettings = d.process(fmt.Sprintf("entry-%d", i+1), i)
		s.DataCentres = all
		s.CallerAddress, s.AdminAddress = loopback(), loopback()
		e, err := assembler.NewEntry(ctx, s, quiet())
		if err != nil {
			return fmt.Errorf("demonstrator: entry %d: %w", i+1, err)
		}
		d.entries = append(d.entries, e)
	}
	d.list()
	return d.run(ctx)
}

func (d *deployment) dataCentre(i int) identifier.DataCentre {
	return identifier.DataCentre(fmt.Sprintf("%s-%d", d.shape.region, i%d.shape.dataCentres+1))
}

func (d *deployment) process(name string, i int) configurer.ProcessSettings {
	p := configurer.DefaultEntrySettings().ProcessSettings
	p.Instance, p.DataCentre, p.Region = identifier.Instance(name), d.dataCentre(i), d.shape.region
	p.ControlAddress, p.DebugAddress, p.Platform = loopback(), loopback(), d.fakes.addresses
	return p
}

func (d *deployment) addEngine(ctx context.Context, i int) error {
	engine := enginefaker.New(enginefaker.WithBatch(engineBatch, engineRate), enginefaker.WithTokens(engineTokens),
		enginefaker.WithInterval(engineInterval))
	engine.Text = d.starts.text
	d.engines = append(d.engines, engine)
	address, err := d.fakes.serve(ctx, engine)
	if err != nil {
		return err
	}
	// Consecutive versions land on engines of all data centres in turn.
	all := targets(d.cfg)
	for k := range min(versionsPerEngine, len(all)) {
		if err := load(ctx, address, all[(i+k)%len(all)]); err != nil {
			return err
		}
	}
	return d.addAgent(ctx, fmt.Sprintf("engine-%d", i+1), "", address, i)
}

func (d *deployment) addService(ctx context.Context, i int) error {
	address, err := d.fakes.serve(ctx, d.starts.count(enginefaker.NewService()))
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
	s.ProcessSettings = d.process("agent-"+name, i)
	s.DataAddress = loopback()
	s.Upstream.Name, s.Upstream.Address, s.Upstream.Service = identifier.Upstream(name), upstream, service
	s.Upstream.Slots = engineBatch
	s.Upstream.MaxVersions = versionsPerEngine
	a, err := assembler.NewAgent(ctx, s, quiet())
	if err != nil {
		return fmt.Errorf("demonstrator: agent of %s: %w", name, err)
	}
	d.agents = append(d.agents, a)
	return nil
}

// load orders an engine to load a version.
func load(ctx context.Context, engine netip.AddrPort, t identifier.Target) error {
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

// quiet leaves the state changes of the many processes out of the demo's output.
func quiet() assembler.Option {
	return assembler.WithLog(slog.New(slog.DiscardHandler))
}

// list puts every process on the platform's instance list.
func (d *deployment) list() {
	list := make([]storer.Instance, 0, len(d.entries)+len(d.agents))
	for i, e := range d.entries {
		a := e.Addresses()
		list = append(list, storer.Instance{
			Instance: identifier.Instance(fmt.Sprintf("entry-%d", i+1)), DataCentre: d.dataCentre(i), Region: d.shape.region,
			Role: "entry", Control: a.Control, Data: a.Caller,
		})
	}
	for _, a := range d.agents {
		x := a.Addresses()
		list = append(list, storer.Instance{
			Instance: a.Instance(), DataCentre: a.DataCentre(), Region: d.shape.region, Role: "agent",
			Control: x.Control, Data: x.Data,
		})
	}
	d.fakes.instances.Set(list)
}

// run starts the processes; agents stop after entries, so that entries can finish what is in progress.
func (d *deployment) run(ctx context.Context) error {
	entries, cancelEntries := context.WithCancel(context.WithoutCancel(ctx))
	agents, cancelAgents := context.WithCancel(context.WithoutCancel(ctx))
	d.cancelEntries, d.cancelAgents = cancelEntries, cancelAgents
	var ready sync.WaitGroup
	for _, a := range d.agents {
		ready.Add(1)
		d.agentsDone.Go(func() { d.fail(a.Run(agents, func(assembler.AgentAddresses) { ready.Done() })) })
	}
	for _, e := range d.entries {
		ready.Add(1)
		d.entriesDone.Go(func() { d.fail(e.Run(entries, func(assembler.EntryAddresses) { ready.Done() })) })
	}
	done := make(chan struct{})
	go func() { ready.Wait(); close(done) }()
	deadline := time.NewTimer(readyTime)
	defer deadline.Stop()
	select {
	case <-done:
	case <-deadline.C:
		return errors.New("demonstrator: processes did not become ready")
	case <-ctx.Done():
		return ctx.Err()
	}
	return d.awaitUpstreams(ctx)
}

// awaitUpstreams waits until every entry knows all upstreams of the deployment.
func (d *deployment) awaitUpstreams(ctx context.Context) error {
	deadline := time.Now().Add(readyTime)
	for _, e := range d.entries {
		for e.Upstreams() < len(d.agents) {
			if time.Now().After(deadline) {
				return fmt.Errorf("demonstrator: an entry knows %d of %d upstreams", e.Upstreams(), len(d.agents))
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

func (d *deployment) fail(err error) {
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

// stop shuts the entries down, then the agents, then the fakes, and returns what failed.
func (d *deployment) stop() error {
	if d.cancelEntries != nil {
		d.cancelEntries()
		d.entriesDone.Wait()
		d.cancelAgents()
		d.agentsDone.Wait()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return errors.Join(append(d.errs, d.fakes.stop())...)
}

// bills reads the union of all bills that became durable.
func (d *deployment) bills() ([]biller.Bill, error) {
	var batches [][]biller.Bill
	for _, row := range d.fakes.table.Rows("bill/") {
		batch, err := biller.DecodeBatch(row.Value)
		if err != nil {
			return nil, fmt.Errorf("demonstrator: decode %s: %w", row.Key, err)
		}
		batches = append(batches, batch)
	}
	return biller.Union(batches...), nil
}
