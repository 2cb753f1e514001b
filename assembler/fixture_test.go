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

// binary is the path of the program, built by TestMain, that every process of the tests runs.
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
	// waitTimeout bounds every wait for which the design states no bound.
	waitTimeout = 30 * time.Second
	// configurationTimeout is the time within which the design states that a configuration is in force everywhere.
	configurationTimeout = 7 * time.Second
	account              = "aveiro-counter"
)

// deployment has two entries, two engines and one plain service. The entries and agents are separate processes; the platform
// and the upstreams are fakes in the test process.
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
	// adminTLS is the section admin of the entries' settings; it is empty without TLS.
	adminTLS string
	// dataCentres holds the data centres of the processes that are not in pt-centro-1, by process name.
	dataCentres map[string]string
	// listedAddress returns the address that the platform lists for a listener; by default it is the listener's own.
	listedAddress func(netip.AddrPort) netip.AddrPort

	engines     []*enginefaker.Engine
	service     *enginefaker.Service
	startCounts nonceCounter
	runs        runLog
	procs       map[string]*proc
	client      *http.Client
}

// nonceCounter counts for each nonce how often upstreams began its request.
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

// newDeployment starts a deployment whose engines send one token per interval, and waits until both entries can use every
// upstream.
func newDeployment(t *testing.T, interval time.Duration, opts ...func(*deployment)) *deployment {
	t.Helper()
	d := &deployment{
		t: t, table: platformfaker.NewTable(), instances: platformfaker.NewInstances(time.Now), dir: t.TempDir(),
		service: enginefaker.NewService(), startCounts: nonceCounter{counts: map[string]int{}}, procs: map[string]*proc{},
		dataCentres: map[string]string{}, listedAddress: func(a netip.AddrPort) netip.AddrPort { return a },
		runs:   runLog{byID: map[identifier.Request]engineRun{}},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	t.Cleanup(d.client.CloseIdleConnections)
	text, err := examples.Files.ReadFile("muleta-certa/answers.yaml")
	must.NoError(t, err)
	d.answers, err = questioner.Parse("answers.yaml", text)
	must.NoError(t, err)
	d.cfg, err = questioner.Configuration(d.answers)
	must.NoError(t, err)
	d.cfg.Version(identifier.Target{Model: "melro", Version: "v3"}).State = configurer.VersionServing
	d.startPlatform()
	_, err = committer.Commit(t.Context(), storer.NewTable(d.address("table")), 0, d.cfg, "test")
	must.NoError(t, err)
	for range 2 {
		e := enginefaker.New(enginefaker.WithBatch(64, 0), enginefaker.WithTokens(24), enginefaker.WithInterval(interval))
		e.Text = func(prompt []byte, token int) string {
			if token == 0 {
				d.startCounts.add(prompt)
				return string(noncePattern.Find(prompt)) + " "
			}
			return "word "
		}
		d.engines = append(d.engines, e)
	}
	for _, opt := range opts {
		opt(d)
	}
	d.startProcesses()
	return d
}

func (d *deployment) startPlatform() {
	d.table.Unavailable = func(*http.Request) bool { return d.tableUnavailable.Load() }
	rater := platformfaker.NewRatings(time.Now, rand.New(rand.NewPCG(1, 1)))
	rater.Quality = func(storer.Rating) float64 { return 0.9 }
	for name, h := range map[string]http.Handler{
		"table": d.table, "objects": platformfaker.NewObjects(), "ratings": rater, "instances": d.instances,
		"weights": platformfaker.NewWeights(&platformfaker.Faults{}, 1<<10, nil),
	} {
		d.platform += fmt.Sprintf("  %s: %s\n", name, d.serve(h))
	}
}

// address returns the address of a platform service.
func (d *deployment) address(service string) netip.AddrPort {
	_, rest, _ := strings.Cut(d.platform, service+": ")
	text, _, _ := strings.Cut(rest, "\n")
	return netip.MustParseAddrPort(text)
}

func (d *deployment) serve(h http.Handler) netip.AddrPort {
	s := httptest.NewServer(h)
	d.t.Cleanup(s.CloseClientConnections)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func (d *deployment) startProcesses() {
	var instances []storer.Instance
	add := func(name, role, data, extraSettings string) {
		p := d.newProc(name, role, extraSettings)
		instances = append(instances, storer.Instance{
			Instance: identifier.Instance(name), DataCentre: identifier.DataCentre(d.dataCentre(name)), Region: "pt-centro", Role: role,
			ControlAddress: d.listedAddress(p.address("control")), DataAddress: d.listedAddress(p.address(data)),
		})
	}
	for i, e := range d.engines {
		address := d.serve(d.runs.record(fmt.Sprintf("agent-%d", i+1), e))
		versions := 0
		for _, m := range d.cfg.Models {
			for _, v := range m.Versions {
				versions++
				d.load(address, identifier.Target{Model: m.Name, Version: v.Name})
			}
		}
		add(fmt.Sprintf("agent-%d", i+1), "agent", "data", fmt.Sprintf(
			"upstream: {name: engine-%d, address: %s, slots: 64, versions: %d}\n", i+1, address, versions))
	}
	service := d.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.startCounts.add([]byte(r.URL.Path))
		d.service.ServeHTTP(w, r)
	}))
	add("agent-3", "agent", "data", fmt.Sprintf("upstream: {name: refunds-1, address: %s, service: refunds}\n", service))
	for _, name := range []string{"entry-1", "entry-2"} {
		add(name, "entry", "caller", "data-centres: ["+d.allDataCentres()+"]\n"+d.adminTLS)
	}
	d.instances.Set(instances)
	for _, p := range d.procs {
		p.start()
	}
	for _, name := range []string{"entry-1", "entry-2"} {
		d.awaitUpstreams(name)
	}
}

// dataCentre returns the data centre of a process by its name.
func (d *deployment) dataCentre(name string) string {
	if c := d.dataCentres[name]; c != "" {
		return c
	}
	return "pt-centro-1"
}

func (d *deployment) allDataCentres() string {
	names := []string{"pt-centro-1"}
	for _, c := range d.dataCentres {
		if !slices.Contains(names, c) {
			names = append(names, c)
		}
	}
	return strings.Join(names, ", ")
}

// awaitUpstreams waits until an entry can choose every upstream.
func (d *deployment) awaitUpstreams(entry string) {
	d.t.Helper()
	defer func() {
		for _, part := range []string{"balancer", "detector"} {
			var state json.RawMessage
			if d.t.Failed() {
				err := d.procs[entry].state(part, &state)
				d.t.Logf("%s of %s: %v %s", part, entry, err, state)
			}
		}
	}()
	d.eventually(entry+" knows all upstreams", waitTimeout, func() bool {
		var state struct {
			Upstreams []struct {
				Leaving bool `json:"leaving"`
			} `json:"upstreams"`
		}
		if d.procs[entry].state("balancer", &state) != nil {
			return false
		}
		ready := 0
		for _, u := range state.Upstreams {
			if !u.Leaving {
				ready++
			}
		}
		return ready == len(d.engines)+1
	})
}

func (d *deployment) load(engine netip.AddrPort, target identifier.Target) {
	body, err := json.Marshal(enginefaker.Command{Token: 1, Target: target.String()})
	must.NoError(d.t, err)
	resp, err := http.Post("http://"+engine.String()+"/control/load", "application/json", bytes.NewReader(body))
	must.NoError(d.t, err)
	must.NoError(d.t, resp.Body.Close())
	must.EqOp(d.t, http.StatusOK, resp.StatusCode)
}

// processHosts counts the processes started by this test binary; each gets a loopback address of its own.
var processHosts atomic.Int32

// eventually polls a condition until it holds, and fails the test if it does not hold in time.
func (d *deployment) eventually(what string, within time.Duration, condition func() bool) {
	d.t.Helper()
	deadline := time.Now().Add(within)
	for !condition() {
		if time.Now().After(deadline) {
			d.t.Fatalf("not within %v: %s", within, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

var contentPattern = regexp.MustCompile(`"content":"([^"]*)"`)

var codePattern = regexp.MustCompile(`"code":"([^"]*)"`)

// bills returns the union of all durable bills by request.
func (d *deployment) bills() map[identifier.Request][]biller.Bill {
	d.t.Helper()
	var batches [][]biller.Bill
	for _, row := range d.table.Rows("bill/") {
		batch, err := biller.DecodeBatch(row.Value)
		must.NoError(d.t, err)
		batches = append(batches, batch)
	}
	byRequest := map[identifier.Request][]biller.Bill{}
	for _, x := range biller.Union(batches...) {
		byRequest[x.Request] = append(byRequest[x.Request], x)
	}
	return byRequest
}

// isAddressFree reports whether the test can listen on an address, which means that its process has closed the listener.
func isAddressFree(a netip.AddrPort) bool {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return false
	}
	return l.Close() == nil
}
