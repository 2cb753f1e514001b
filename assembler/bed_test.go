package assembler_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/distributor"
	"github.com/siskinfront/siskinfront/dumper"
	"github.com/siskinfront/siskinfront/enginefaker"
	"github.com/siskinfront/siskinfront/examples"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/platformfaker"
	"github.com/siskinfront/siskinfront/questioner"
	"github.com/siskinfront/siskinfront/storer"
)

// binary is the program that every process of the tests runs.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "siskinfront")
	if err != nil {
		log.Print(err)
		return 1
	}
	defer func() {
		if err := os.RemoveAll(dir); err != nil {
			log.Print(err)
		}
	}()
	binary = filepath.Join(dir, "siskinfront")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "github.com/siskinfront/siskinfront")
	if out, err := build.CombinedOutput(); err != nil {
		log.Printf("build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

const (
	// patience bounds every wait that the design states no bound for.
	patience = 30 * time.Second
	// inForce is the stated bound for a configuration to take effect everywhere.
	inForce = 7 * time.Second
	account = "aveiro-counter"
)

// bed is a deployment of two entries, two engines and one plain service, whose entries and agents are processes of their
// own and whose platform and upstreams are stand-ins in the test process.
type bed struct {
	t         *testing.T
	answers   *questioner.Answers
	cfg       *configurer.Configuration
	table     *platformfaker.Table
	instances *platformfaker.Instances
	platform  string
	tableOut  atomic.Bool
	dir       string
	tls       string

	engines []*enginefaker.Engine
	service *enginefaker.Service
	starts  counter
	procs   map[string]*proc
	client  *http.Client
}

// counter counts by nonce how often upstreams began a request.
type counter struct {
	mu     sync.Mutex
	counts map[string]int
}

var nonces = regexp.MustCompile(`nonce-[a-z]+-\d+`)

func (c *counter) add(text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[string(nonces.Find(text))]++
}

func (c *counter) of(nonce string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[nonce]
}

// proc is one process of the program with the addresses of its settings.
type proc struct {
	t        *testing.T
	name     string
	role     string
	settings string
	host     string
	cmd      *exec.Cmd
	log      bytes.Buffer
	done     chan error
}

// newBed starts a deployment whose engines put the interval between tokens, and waits until both entries can use every
// upstream.
func newBed(t *testing.T, interval time.Duration, opts ...func(*bed)) *bed {
	t.Helper()
	b := &bed{
		t: t, table: platformfaker.NewTable(), instances: platformfaker.NewInstances(time.Now), dir: t.TempDir(),
		service: enginefaker.NewService(), starts: counter{counts: map[string]int{}}, procs: map[string]*proc{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	t.Cleanup(b.client.CloseIdleConnections)
	text, err := examples.Files.ReadFile("muleta-certa/answers.yaml")
	must.NoError(t, err)
	b.answers, err = questioner.Parse("answers.yaml", text)
	must.NoError(t, err)
	b.cfg, err = questioner.Configuration(b.answers)
	must.NoError(t, err)
	b.cfg.Version(identifier.Target{Model: "melro", Version: "v3"}).State = configurer.VersionServing
	b.startPlatform()
	_, err = distributor.Commit(t.Context(), storer.New(b.address("table")), 0, b.cfg, "test")
	must.NoError(t, err)
	for range 2 {
		e := enginefaker.New(enginefaker.WithBatch(64, 0), enginefaker.WithTokens(24), enginefaker.WithInterval(interval))
		e.Text = func(prompt []byte, token int) string {
			if token == 0 {
				b.starts.add(prompt)
				return string(nonces.Find(prompt)) + " "
			}
			return "word "
		}
		b.engines = append(b.engines, e)
	}
	for _, opt := range opts {
		opt(b)
	}
	b.startProcesses()
	return b
}

func (b *bed) startPlatform() {
	b.table.Out = func(*http.Request) bool { return b.tableOut.Load() }
	rater := platformfaker.NewRater(time.Now, rand.New(rand.NewPCG(1, 1)))
	rater.Quality = func(storer.Rating) float64 { return 0.9 }
	for name, h := range map[string]http.Handler{
		"table": b.table, "objects": platformfaker.NewObjects(), "ratings": rater, "instances": b.instances,
		"weights": platformfaker.NewWeights(&platformfaker.Faults{}, 1<<10, nil),
	} {
		b.platform += fmt.Sprintf("  %s: %s\n", name, b.serve(h))
	}
}

// address returns the address of a platform service.
func (b *bed) address(service string) netip.AddrPort {
	_, rest, _ := strings.Cut(b.platform, service+": ")
	text, _, _ := strings.Cut(rest, "\n")
	return netip.MustParseAddrPort(text)
}

func (b *bed) serve(h http.Handler) netip.AddrPort {
	s := httptest.NewServer(h)
	b.t.Cleanup(s.CloseClientConnections)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func (b *bed) startProcesses() {
	var list []storer.Instance
	add := func(name, role, data, rest string) {
		p := b.newProc(name, role, rest)
		list = append(list, storer.Instance{
			Instance: identifier.Instance(name), DataCentre: "pt-centro-1", Region: "pt-centro", Role: role,
			Control: p.at("control"), Data: p.at(data),
		})
	}
	for i, e := range b.engines {
		address := b.serve(e)
		versions := 0
		for _, m := range b.cfg.Models {
			for _, v := range m.Versions {
				versions++
				b.load(address, identifier.Target{Model: m.Name, Version: v.Name})
			}
		}
		add(fmt.Sprintf("agent-%d", i+1), "agent", "data", fmt.Sprintf(
			"upstream: {name: engine-%d, address: %s, slots: 64, versions: %d}\n", i+1, address, versions))
	}
	service := b.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.starts.add([]byte(r.URL.Path))
		b.service.ServeHTTP(w, r)
	}))
	add("agent-3", "agent", "data", fmt.Sprintf("upstream: {name: refunds-1, address: %s, service: refunds}\n", service))
	for _, name := range []string{"entry-1", "entry-2"} {
		add(name, "entry", "caller", "data-centres: [pt-centro-1]\n")
	}
	b.instances.Set(list)
	for _, p := range b.procs {
		p.start()
	}
	for _, name := range []string{"entry-1", "entry-2"} {
		b.awaitUpstreams(name)
	}
}

// awaitUpstreams waits until an entry can choose every upstream.
func (b *bed) awaitUpstreams(entry string) {
	b.t.Helper()
	b.eventually(entry+" knows all upstreams", patience, func() bool {
		var state struct {
			Upstreams []struct {
				Leaving bool `json:"leaving"`
			} `json:"upstreams"`
		}
		if b.procs[entry].state("balancer", &state) != nil {
			return false
		}
		ready := 0
		for _, u := range state.Upstreams {
			if !u.Leaving {
				ready++
			}
		}
		return ready == len(b.engines)+1
	})
}

func (b *bed) load(engine netip.AddrPort, target identifier.Target) {
	body, err := json.Marshal(enginefaker.Command{Token: 1, Target: target.String()})
	must.NoError(b.t, err)
	resp, err := http.Post("http://"+engine.String()+"/control/load", "application/json", bytes.NewReader(body))
	must.NoError(b.t, err)
	must.NoError(b.t, resp.Body.Close())
	must.EqOp(b.t, http.StatusOK, resp.StatusCode)
}

// hosts numbers the loopback hosts of the processes of this test binary.
var hosts atomic.Int32

// newProc writes the settings of a process. Each process has a loopback host of its own, from which the system never
// takes the port of an outgoing connection, so that the ports are free again after a restart.
func (b *bed) newProc(name, role, rest string) *proc {
	n := hosts.Add(1)
	p := &proc{
		t: b.t, name: name, role: role, settings: filepath.Join(b.dir, name+".yaml"),
		host: fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250, n),
	}
	text := fmt.Sprintf("instance: %s\ndata-centre: pt-centro-1\nregion: pt-centro\nplatform:\n%s%s%s", name, b.platform, rest, b.tls)
	listeners := map[string][]string{"entry": {"control", "debug", "caller", "admin"}, "agent": {"control", "debug", "data"}}
	for _, l := range listeners[role] {
		text += fmt.Sprintf("%s-address: %s\n", l, p.at(l))
	}
	must.NoError(b.t, os.WriteFile(p.settings, []byte(text), 0o600))
	b.procs[name] = p
	return p
}

// at returns the address of a listener.
func (p *proc) at(listener string) netip.AddrPort {
	ports := map[string]uint16{"control": 20001, "debug": 20002, "caller": 20003, "admin": 20004, "data": 20005}
	return netip.AddrPortFrom(netip.MustParseAddr(p.host), ports[listener])
}

func (p *proc) start() {
	p.t.Helper()
	p.cmd = exec.Command(binary, p.role, "--settings", p.settings, "--log-level", "warn")
	p.log.Reset()
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	// Without this, processes would outlive a test binary that is killed at its time limit.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must.NoError(p.t, p.cmd.Start())
	done := make(chan error, 1)
	p.done = done
	cmd := p.cmd
	go func() { done <- cmd.Wait(); close(done) }()
	p.t.Cleanup(func() {
		// The process may have ended already.
		_ = cmd.Process.Kill()
		if err := <-done; err != nil && p.t.Failed() {
			p.t.Logf("%s: %v", p.name, err)
		}
		if p.t.Failed() {
			p.t.Logf("%s:\n%s", p.name, p.log.String())
		}
	})
}

func (p *proc) signal(s syscall.Signal) {
	p.t.Helper()
	must.NoError(p.t, p.cmd.Process.Signal(s))
}

// wait returns the error with which the process ended.
func (p *proc) wait() error {
	p.t.Helper()
	select {
	case err := <-p.done:
		return err
	case <-time.After(patience):
		p.t.Fatalf("%s did not end", p.name)
		return nil
	}
}

// terminate stops the process and expects that it drained.
func (p *proc) terminate() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	must.NoError(p.t, p.wait(), must.Sprint(p.name))
}

// state reads one part of the state dump.
func (p *proc) state(part string, v any) error {
	ctx, cancel := context.WithTimeout(p.t.Context(), 5*time.Second)
	defer cancel()
	d, err := dumper.Fetch(ctx, p.at("debug"))
	if err != nil {
		return err
	}
	return json.Unmarshal(d.Parts[part], v)
}

// revision returns the revision in force, or 0 while the process does not answer.
func (p *proc) revision() uint64 {
	var s struct {
		Revision uint64 `json:"revision"`
	}
	if p.state("distributor", &s) != nil {
		return 0
	}
	return s.Revision
}

// eventually polls a condition until it holds or the time is over.
func (b *bed) eventually(what string, within time.Duration, condition func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(within)
	for !condition() {
		if time.Now().After(deadline) {
			b.t.Fatalf("not within %v: %s", within, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// call is one request of a caller.
type call struct {
	entry, kind, model, key, nonce string
	stream                         bool
	// onToken is called with the number of each token of a stream.
	onToken func(n int)
}

// answer is what the caller saw.
type answer struct {
	status  int
	code    string
	outcome string
	request identifier.Request
	version string
	text    string
	// complete is set when the answer or the error ended as the API says it ends.
	complete bool
	err      error
	took     time.Duration
}

// send sends a request and reads the whole response; it is safe for concurrent use.
func (b *bed) send(c call) answer {
	if c.model == "" {
		c.model = "pardal"
	}
	begin := time.Now()
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":24,"stream":%t}`, c.model, c.nonce, c.stream)
	r, err := http.NewRequest(http.MethodPost, "http://"+b.procs[c.entry].at("caller").String()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+questioner.ExampleKey(b.answers.Team, account))
	r.Header.Set("Siskinfront-Work-Kind", c.kind)
	if c.key != "" {
		r.Header.Set("Idempotency-Key", c.key)
	}
	resp, err := b.client.Do(r)
	if err != nil {
		return answer{err: err, took: time.Since(begin)}
	}
	defer resp.Body.Close()
	a := answer{
		status: resp.StatusCode, outcome: resp.Header.Get("Siskinfront-Outcome"), version: resp.Header.Get("Siskinfront-Version"),
		request: identifier.Request(resp.Header.Get("Siskinfront-Request-Id")),
	}
	a.read(resp, c.onToken)
	a.took = time.Since(begin)
	return a
}

var contents = regexp.MustCompile(`"content":"([^"]*)"`)
var codes = regexp.MustCompile(`"code":"([^"]*)"`)

func (a *answer) read(resp *http.Response, onToken func(int)) {
	var all bytes.Buffer
	part, tokens := make([]byte, 4096), 0
	for {
		n, err := resp.Body.Read(part)
		all.Write(part[:n])
		if onToken != nil {
			for ; tokens < len(contents.FindAll(all.Bytes(), -1)); tokens++ {
				onToken(tokens)
			}
		}
		if err != nil {
			if err.Error() != "EOF" {
				a.err = err
			}
			break
		}
	}
	for _, m := range contents.FindAllSubmatch(all.Bytes(), -1) {
		a.text += string(m[1])
	}
	if m := codes.FindSubmatch(all.Bytes()); m != nil {
		a.code = string(m[1])
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.complete = a.err == nil && bytes.HasSuffix(bytes.TrimSpace(all.Bytes()), []byte("[DONE]")) && a.code == ""
	} else {
		a.complete = a.err == nil && json.Valid(all.Bytes())
	}
}

// good reports whether the caller got its own complete answer.
func (a *answer) good(nonce string) bool {
	return a.status == http.StatusOK && a.complete && strings.Contains(a.text, nonce)
}

// bills returns the union of all durable bills by request.
func (b *bed) bills() map[identifier.Request][]biller.Bill {
	b.t.Helper()
	var batches [][]biller.Bill
	for _, row := range b.table.Rows("bill/") {
		batch, err := biller.DecodeBatch(row.Value)
		must.NoError(b.t, err)
		batches = append(batches, batch)
	}
	byRequest := map[identifier.Request][]biller.Bill{}
	for _, x := range biller.Union(batches...) {
		byRequest[x.Request] = append(byRequest[x.Request], x)
	}
	return byRequest
}

// load sends requests in turn to entries at a rate until stop is called, which returns what their callers saw.
type traffic struct {
	b       *bed
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	answers map[string]answer
}

func (b *bed) traffic(interval time.Duration, name string, calls ...call) *traffic {
	x := &traffic{b: b, stop: make(chan struct{}), answers: map[string]answer{}}
	x.wg.Go(func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for n := 0; ; n++ {
			c := calls[n%len(calls)]
			c.nonce = fmt.Sprintf("nonce-%s-%d", name, n)
			x.wg.Go(func() {
				a := b.send(c)
				x.mu.Lock()
				defer x.mu.Unlock()
				x.answers[c.nonce] = a
			})
			select {
			case <-t.C:
			case <-x.stop:
				return
			}
		}
	})
	return x
}

// end stops sending and returns all answers by nonce.
func (x *traffic) end() map[string]answer {
	close(x.stop)
	x.wg.Wait()
	return x.answers
}

// freeListener reports whether an address can be listened on, which means that its process is gone.
func freeListener(a netip.AddrPort) bool {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return false
	}
	return l.Close() == nil
}
