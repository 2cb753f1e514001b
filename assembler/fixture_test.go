package assembler_test

import (
	"bytes"
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
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/committer"
	"github.com/siskinfront/siskinfront/configurer"
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
	// waitTimeout bounds every wait that the design states no bound for.
	waitTimeout = 30 * time.Second
	// configurationTimeout is the stated bound for a configuration to take effect everywhere.
	configurationTimeout = 7 * time.Second
	account              = "aveiro-counter"
)

// deployment is a deployment of two entries, two engines and one plain service, whose entries and agents are processes of their
// own and whose platform and upstreams are stand-ins in the test process.
type deployment struct {
	t                *testing.T
	answers          *questioner.Answers
	cfg              *configurer.Configuration
	table            *platformfaker.Table
	instances        *platformfaker.Instances
	platform         string
	tableUnavailable atomic.Bool
	dir              string
	tls              string
	// adminTLS is the section admin of the entries.
	adminTLS string
	// dataCentres holds the data centres of processes outside the first one.
	dataCentres map[string]string
	// listedAddress returns the address under which the platform lists a listener, by default its own.
	listedAddress func(netip.AddrPort) netip.AddrPort

	engines     []*enginefaker.Engine
	service     *enginefaker.Service
	startCounts nonceCounter
	runs        runLog
	procs       map[string]*proc
	client      *http.Client
}

// nonceCounter counts by nonce how often upstreams began a request.
type nonceCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

var noncePattern = regexp.MustCompile(`nonce-[a-z]+-\d+`)

func (c *nonceCounter) add(text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[string(noncePattern.Find(text))]++
}

func (c *nonceCounter) count(nonce string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[nonce]
}

// newDeployment starts a deployment whose engines put the interval between tokens, and waits until both entries can use every
// upstream.
func newDeployment(t *testing.T, interval time.Duration, opts ...func(*deployment)) *deployment {
	t.Helper()
	b := &deployment{
		t: t, table: platformfaker.NewTable(), instances: platformfaker.NewInstances(time.Now), dir: t.TempDir(),
		service: enginefaker.NewService(), startCounts: nonceCounter{counts: map[string]int{}}, procs: map[string]*proc{},
		dataCentres: map[string]string{}, listedAddress: func(a netip.AddrPort) netip.AddrPort { return a },
		runs:   runLog{byID: map[identifier.Request]engineRun{}},
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
	_, err = committer.Commit(t.Context(), storer.New(b.address("table")), 0, b.cfg, "test")
	must.NoError(t, err)
	for range 2 {
		e := enginefaker.New(enginefaker.WithBatch(64, 0), enginefaker.WithTokens(24), enginefaker.WithInterval(interval))
		e.Text = func(prompt []byte, token int) string {
			if token == 0 {
				b.startCounts.add(prompt)
				return string(noncePattern.Find(prompt)) + " "
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

func (b *deployment) startPlatform() {
	b.table.Unavailable = func(*http.Request) bool { return b.tableUnavailable.Load() }
	rater := platformfaker.NewRatings(time.Now, rand.New(rand.NewPCG(1, 1)))
	rater.Quality = func(storer.Rating) float64 { return 0.9 }
	for name, h := range map[string]http.Handler{
		"table": b.table, "objects": platformfaker.NewObjects(), "ratings": rater, "instances": b.instances,
		"weights": platformfaker.NewWeights(&platformfaker.Faults{}, 1<<10, nil),
	} {
		b.platform += fmt.Sprintf("  %s: %s\n", name, b.serve(h))
	}
}

// address returns the address of a platform service.
func (b *deployment) address(service string) netip.AddrPort {
	_, rest, _ := strings.Cut(b.platform, service+": ")
	text, _, _ := strings.Cut(rest, "\n")
	return netip.MustParseAddrPort(text)
}

func (b *deployment) serve(h http.Handler) netip.AddrPort {
	s := httptest.NewServer(h)
	b.t.Cleanup(s.CloseClientConnections)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func (b *deployment) startProcesses() {
	var list []storer.Instance
	add := func(name, role, data, rest string) {
		p := b.newProc(name, role, rest)
		list = append(list, storer.Instance{
			Instance: identifier.Instance(name), DataCentre: identifier.DataCentre(b.dataCentre(name)), Region: "pt-centro", Role: role,
			Control: b.listedAddress(p.address("control")), Data: b.listedAddress(p.address(data)),
		})
	}
	for i, e := range b.engines {
		address := b.serve(b.runs.record(fmt.Sprintf("agent-%d", i+1), e))
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
		b.startCounts.add([]byte(r.URL.Path))
		b.service.ServeHTTP(w, r)
	}))
	add("agent-3", "agent", "data", fmt.Sprintf("upstream: {name: refunds-1, address: %s, service: refunds}\n", service))
	for _, name := range []string{"entry-1", "entry-2"} {
		add(name, "entry", "caller", "data-centres: ["+b.allDataCentres()+"]\n"+b.adminTLS)
	}
	b.instances.Set(list)
	for _, p := range b.procs {
		p.start()
	}
	for _, name := range []string{"entry-1", "entry-2"} {
		b.awaitUpstreams(name)
	}
}

// dataCentre returns the data centre of a process.
func (b *deployment) dataCentre(name string) string {
	if c := b.dataCentres[name]; c != "" {
		return c
	}
	return "pt-centro-1"
}

func (b *deployment) allDataCentres() string {
	list := []string{"pt-centro-1"}
	for _, c := range b.dataCentres {
		if !slices.Contains(list, c) {
			list = append(list, c)
		}
	}
	return strings.Join(list, ", ")
}

// awaitUpstreams waits until an entry can choose every upstream.
func (b *deployment) awaitUpstreams(entry string) {
	b.t.Helper()
	defer func() {
		for _, part := range []string{"balancer", "detector"} {
			var state json.RawMessage
			if b.t.Failed() {
				err := b.procs[entry].state(part, &state)
				b.t.Logf("%s of %s: %v %s", part, entry, err, state)
			}
		}
	}()
	b.eventually(entry+" knows all upstreams", waitTimeout, func() bool {
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

func (b *deployment) load(engine netip.AddrPort, target identifier.Target) {
	body, err := json.Marshal(enginefaker.Command{Token: 1, Target: target.String()})
	must.NoError(b.t, err)
	resp, err := http.Post("http://"+engine.String()+"/control/load", "application/json", bytes.NewReader(body))
	must.NoError(b.t, err)
	must.NoError(b.t, resp.Body.Close())
	must.EqOp(b.t, http.StatusOK, resp.StatusCode)
}

// processHosts numbers the loopback hosts of the processes of this test binary.
var processHosts atomic.Int32

// eventually polls a condition until it holds or the time is over.
func (b *deployment) eventually(what string, within time.Duration, condition func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(within)
	for !condition() {
		if time.Now().After(deadline) {
			b.t.Fatalf("not within %v: %s", within, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

var contentPattern = regexp.MustCompile(`"content":"([^"]*)"`)

var codePattern = regexp.MustCompile(`"code":"([^"]*)"`)

// bills returns the union of all durable bills by request.
func (b *deployment) bills() map[identifier.Request][]biller.Bill {
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

// isAddressFree reports whether an address can be listened on, which means that its process is gone.
func isAddressFree(a netip.AddrPort) bool {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return false
	}
	return l.Close() == nil
}
