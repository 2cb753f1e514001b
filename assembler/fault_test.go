package assembler_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/enginefaker"
	"github.com/siskinfront/siskinfront/identifier"
)

// engineRun is what the engines received of one request.
type engineRun struct {
	nonce string
	// agents are the agents through which the request arrived, one for each arrival.
	agents []string
}

// runLog records which requests reached the engines.
type runLog struct {
	mu   sync.Mutex
	byID map[identifier.Request]engineRun
}

// record returns a handler that records the completion requests of an agent before it passes them to its engine.
func (x *runLog) record(agent string, engine http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/chat/completions" {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return // The agent has closed the connection, so the engine receives no request.
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			request, nonce := identifier.Request(r.Header.Get(enginefaker.HeaderRequestID)), string(noncePattern.Find(body))
			// An agent that has received no token for seconds, for instance because it was paused, sends its engine a probe request
			// that belongs to no caller. It has neither an ID nor a nonce.
			if request != "" || nonce != "" {
				x.mu.Lock()
				x.byID[request] = engineRun{nonce, append(x.byID[request].agents, agent)}
				x.mu.Unlock()
			}
		}
		engine.ServeHTTP(w, r)
	})
}

// callResult is one request with the answer that its caller received.
type callResult struct {
	call
	answer answer
}

// startMixedRequests sends requests of all kinds through the entries: streamed or not, idempotent or not, with and without
// an idempotency key. It returns when an upstream has begun each of them; the returned function waits for the answers.
func (d *deployment) startMixedRequests(name string, entries ...string) func() []*callResult {
	d.t.Helper()
	var results []*callResult
	var wg sync.WaitGroup
	for _, e := range entries {
		for _, c := range []call{
			{kind: "status-check"}, {kind: "status-check", stream: true},
			{kind: "refund-booking"}, {kind: "refund-booking", stream: true},
			{kind: "refund-booking", key: "k"}, {kind: "refund-booking", key: "k", stream: true},
		} {
			c.entry, c.nonce = e, fmt.Sprintf("nonce-%s-%d", name, len(results))
			if c.key != "" {
				c.key = c.nonce
			}
			result := &callResult{call: c}
			results = append(results, result)
			wg.Go(func() { result.answer = d.send(result.call) })
		}
	}
	d.eventually("all requests have begun at an engine", waitTimeout, func() bool {
		return !slices.ContainsFunc(results, func(c *callResult) bool { return d.startCounts.count(c.nonce) == 0 })
	})
	return func() []*callResult { wg.Wait(); return results }
}

// checkAnswer expects that the caller received its own complete answer or an error with the correct outcome. Only the caller
// of a killed entry may receive no answer.
func (d *deployment) checkAnswer(c *callResult, killed bool) {
	d.t.Helper()
	a, show := &c.answer, must.Sprintf("%s %s: %+v", c.nonce, c.kind, c.answer)
	if c.kind == "refund-booking" {
		must.LessEq(d.t, 1, d.startCounts.count(c.nonce), show)
	}
	switch {
	case a.ok(c.nonce):
	case killed && a.err != nil:
	case a.outcome == "not-run":
		must.EqOp(d.t, 0, d.startCounts.count(c.nonce), show)
	default:
		must.NoError(d.t, a.err, show)
		must.NotEq(d.t, "", a.code, show)
		must.True(d.t, a.status == http.StatusOK || a.outcome == "run" || a.outcome == "unknown", show)
	}
}

// stopAndCheckBills drains all processes and expects exactly one bill for each run that a surviving process knew of, at most
// one for any other run, and none for a request that did not run.
func (d *deployment) stopAndCheckBills(results []*callResult, killed []string) {
	d.t.Helper()
	for _, role := range []string{"entry", "agent"} {
		for _, p := range d.procs {
			if p.role == role {
				p.terminate()
			}
		}
	}
	byNonce := map[string]*callResult{}
	for _, c := range results {
		byNonce[c.nonce] = c
	}
	bills := d.bills()
	// The lock is needed because an engine may still serve a request whose agent was killed.
	d.runs.mu.Lock()
	defer d.runs.mu.Unlock()
	for id, r := range d.runs.byID {
		c := byNonce[r.nonce]
		must.NotNil(d.t, c, must.Sprint(r.nonce))
		n := len(bills[id])
		delete(bills, id)
		must.LessEq(d.t, 1, n)
		agentLives := slices.ContainsFunc(r.agents, func(a string) bool { return !slices.Contains(killed, a) })
		// An entry knows of a run when it has forwarded a token of it.
		entryKnows := !slices.Contains(killed, c.entry) && c.answer.text != ""
		if agentLives || entryKnows {
			must.EqOp(d.t, 1, n, must.Sprintf("bills of %s at %v: %+v", r.nonce, r.agents, c.answer))
		}
	}
	must.MapEmpty(d.t, bills)
}

// repeatKeyed repeats each request that has an idempotency key through an entry. The entry must not run it again: it returns
// the stored result or reports that the outcome is unknown.
func (d *deployment) repeatKeyed(results []*callResult, entry string) {
	d.t.Helper()
	for _, c := range results {
		if c.key == "" {
			continue
		}
		again := &callResult{call: c.call}
		again.entry = entry
		again.answer = d.send(again.call)
		d.checkAnswer(again, false)
		must.EqOp(d.t, 1, d.startCounts.count(c.nonce), must.Sprintf("%s again: %+v", c.nonce, again.answer))
		if c.answer.ok(c.nonce) && again.answer.ok(c.nonce) {
			must.EqOp(d.t, c.answer.text, again.answer.text)
		}
	}
}

// Guards against lost or mixed-up answers, wrong outcomes, non-idempotent requests that run twice, and missing or duplicate
// bills when processes are killed or paused while requests of all kinds run, up to a whole data centre at once.
func TestProcessFaults(t *testing.T) {
	t.Parallel()
	const interval = 150 * time.Millisecond
	for _, tc := range []struct {
		name        string
		dataCentres map[string]string
		faulty      []string
		// pausedFor is the time after which paused processes resume; with 0 the processes are killed instead.
		pausedFor time.Duration
	}{
		{"entry killed", nil, []string{"entry-1"}, 0},
		{"agent killed", nil, []string{"agent-1"}, 0},
		{"entry and agent killed", nil, []string{"entry-1", "agent-1"}, 0},
		{"both agents killed", nil, []string{"agent-1", "agent-2"}, 0},
		{"data centre killed", map[string]string{
			"entry-2": "pt-centro-2", "agent-2": "pt-centro-2", "agent-3": "pt-centro-2",
		}, []string{"entry-1", "agent-1"}, 0},
		// The pause outlasts a lease, which is free 12 s after its holder stops renewing it.
		{"entry frozen", nil, []string{"entry-1"}, 13 * time.Second},
		{"agent frozen", nil, []string{"agent-1"}, 13 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, interval, func(d *deployment) {
				for name, c := range tc.dataCentres {
					d.dataCentres[name] = c
				}
			})
			wait := d.startMixedRequests("mix", "entry-1", "entry-2")
			// The faults occur after half of the 24 tokens, in the middle of the streams.
			time.Sleep(12 * interval)
			began := time.Now()
			var killed []string
			for _, v := range tc.faulty {
				if tc.pausedFor > 0 {
					d.procs[v].signal(syscall.SIGSTOP)
					continue
				}
				d.procs[v].signal(syscall.SIGKILL)
				killed = append(killed, v)
			}
			for _, v := range killed {
				must.Error(t, d.procs[v].wait())
			}
			awaitUrgent := func() []*callResult { return nil }
			if !slices.Contains(killed, "agent-1") || !slices.Contains(killed, "agent-2") {
				awaitUrgent = d.awaitRecovery("entry-2", began)
			}
			if tc.pausedFor > 0 {
				time.Sleep(tc.pausedFor - time.Since(began))
				for _, v := range tc.faulty {
					d.procs[v].signal(syscall.SIGCONT)
				}
			}
			results := wait()
			incomplete := 0
			for _, c := range results {
				d.checkAnswer(c, slices.Contains(killed, c.entry))
				if !c.answer.ok(c.nonce) {
					incomplete++
				}
			}
			t.Logf("%d of %d requests received no complete answer", incomplete, len(results))
			d.repeatKeyed(results, "entry-2")
			for _, v := range killed {
				d.procs[v].start()
			}
			if len(killed) > 0 {
				d.awaitUpstreams("entry-1")
				d.awaitUpstreams("entry-2")
				d.repeatKeyed(results, "entry-1")
			}
			d.stopAndCheckBills(append(results, awaitUrgent()...), killed)
		})
	}
}

// awaitRecovery sends urgent requests until one receives a token, and logs the time without service. The returned function
// waits for the end of the last request and returns all of them.
func (d *deployment) awaitRecovery(entry string, began time.Time) func() []*callResult {
	d.t.Helper()
	var results []*callResult
	for time.Since(began) < waitTimeout {
		c := &callResult{call: call{entry: entry, kind: "status-check", stream: true, nonce: fmt.Sprintf("nonce-urgent-%d", len(results))}}
		firstToken := make(chan struct{}, 1)
		done := make(chan struct{})
		c.onToken = func(n int) {
			if n == 0 {
				firstToken <- struct{}{}
			}
		}
		go func() { c.answer = d.send(c.call); close(done) }()
		results = append(results, c)
		select {
		case <-firstToken:
			d.t.Logf("no urgent request was served for %v, in which %d were sent", time.Since(began), len(results))
			return func() []*callResult {
				<-done
				d.checkAnswer(c, false)
				return results
			}
		case <-done:
		}
		d.checkAnswer(c, false)
		time.Sleep(20 * time.Millisecond)
	}
	d.t.Fatalf("no urgent request is served after %v", time.Since(began))
	return nil
}

// relay is a TCP proxy to one address. The method silence makes it drop all data of the open connections without closing them;
// later connections are forwarded normally.
type relay struct {
	listener net.Listener
	target   netip.AddrPort
	mu       sync.Mutex
	silenced []chan struct{}
}

func newRelay(t *testing.T, target netip.AddrPort) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r := &relay{listener: l, target: target}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.forward(t, c)
		}
	}()
	return r
}

func (r *relay) forward(t *testing.T, c net.Conn) {
	upstream, err := net.Dial("tcp", r.target.String())
	if err != nil {
		_ = c.Close()
		return
	}
	t.Cleanup(func() { _, _ = c.Close(), upstream.Close() })
	silenced := make(chan struct{})
	r.mu.Lock()
	r.silenced = append(r.silenced, silenced)
	r.mu.Unlock()
	copyData := func(to, from net.Conn) {
		b := make([]byte, 32<<10)
		for {
			n, err := from.Read(b)
			select {
			case <-silenced:
				// Data is dropped and an end of the connection is not passed on, so neither side notices the fault.
				if err != nil {
					return
				}
				continue
			default:
			}
			if n > 0 {
				if _, werr := to.Write(b[:n]); werr != nil {
					err = werr
				}
			}
			if err != nil {
				_, _ = c.Close(), upstream.Close()
				return
			}
		}
	}
	go copyData(c, upstream)
	copyData(upstream, c)
}

// connectionCount returns the number of connections that silence would affect now.
func (r *relay) connectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.silenced)
}

// silence stops forwarding on all open connections without closing them, and returns their number.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.silenced)
	for _, s := range r.silenced {
		close(s)
	}
	r.silenced = nil
	return n
}

// Guards against requests that hang, run twice or are cut off when the open connections from the entries to the agents lose
// all data without being closed, while new connections work.
func TestConnectionsSilent(t *testing.T) {
	t.Parallel()
	const interval = 150 * time.Millisecond
	relays := map[netip.AddrPort]*relay{}
	d := newDeployment(t, interval, func(d *deployment) {
		d.listedAddress = func(a netip.AddrPort) netip.AddrPort {
			r := newRelay(t, a)
			relays[a] = r
			return netip.MustParseAddrPort(r.listener.Addr().String())
		}
	})
	// Every tenth heartbeat of an agent carries its own address, which entries use instead of the relay's until they read the
	// platform's list again. All orders may bypass the relays meanwhile, so more are sent until one uses a relay.
	var waits []func() []*callResult
	d.eventually("an order has a connection", waitTimeout, func() bool {
		waits = append(waits, d.startMixedRequests(fmt.Sprint("mix", string(rune('a'+len(waits)))), "entry-1", "entry-2"))
		time.Sleep(12 * interval)
		n := 0
		for _, name := range []string{"agent-1", "agent-2"} {
			n += relays[d.procs[name].address("data")].connectionCount()
		}
		return n > 0
	})
	began, data := time.Now(), 0
	for _, name := range []string{"agent-1", "agent-2"} {
		data += relays[d.procs[name].address("data")].silence()
		relays[d.procs[name].address("control")].silence()
	}
	must.Positive(t, data)
	t.Logf("%d connections for orders lose all data from now on", data)
	extra := d.awaitRecovery("entry-2", began)
	var list []*callResult
	for _, wait := range waits {
		list = append(list, wait()...)
	}
	whole := 0
	for _, c := range list {
		d.checkAnswer(c, false)
		if c.answer.ok(c.nonce) {
			whole++
		}
	}
	t.Logf("%d of %d requests received a complete answer", whole, len(list))
	d.repeatKeyed(list, "entry-1")
	d.stopAndCheckBills(append(list, extra()...), nil)
}
