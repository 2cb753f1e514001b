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

// engineRun is what an engine saw of one request.
type engineRun struct {
	nonce string
	// agents are those through which the request came.
	agents []string
}

// runLog notes which requests the engines began.
type runLog struct {
	mu   sync.Mutex
	byID map[identifier.Request]engineRun
}

// record notes the completions that reach an engine through an agent.
func (x *runLog) record(agent string, engine http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/chat/completions" {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return // The agent is gone, and the engine begins nothing.
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			id, nonce := identifier.Request(r.Header.Get(enginefaker.HeaderRequestID)), string(noncePattern.Find(body))
			// An agent that saw no token for seconds, as after a pause of its own, tries its engine with a run of no caller.
			if id != "" || nonce != "" {
				x.mu.Lock()
				x.byID[id] = engineRun{nonce, append(x.byID[id].agents, agent)}
				x.mu.Unlock()
			}
		}
		engine.ServeHTTP(w, r)
	})
}

// callResult is one request with what its caller saw.
type callResult struct {
	call
	answer answer
}

// startMixedRequests sends requests and streams, repeatable ones and orders with and without key, through the entries, and returns once
// an engine has begun each of them. The function that it returns waits for the answers.
func (b *deployment) startMixedRequests(name string, entries ...string) func() []*callResult {
	b.t.Helper()
	var list []*callResult
	var wg sync.WaitGroup
	for _, e := range entries {
		for _, c := range []call{
			{kind: "status-check"}, {kind: "status-check", stream: true},
			{kind: "refund-booking"}, {kind: "refund-booking", stream: true},
			{kind: "refund-booking", key: "k"}, {kind: "refund-booking", key: "k", stream: true},
		} {
			c.entry, c.nonce = e, fmt.Sprintf("nonce-%s-%d", name, len(list))
			if c.key != "" {
				c.key = c.nonce
			}
			x := &callResult{call: c}
			list = append(list, x)
			wg.Go(func() { x.answer = b.send(x.call) })
		}
	}
	b.eventually("all requests run", waitTimeout, func() bool {
		return !slices.ContainsFunc(list, func(c *callResult) bool { return b.startCounts.count(c.nonce) == 0 })
	})
	return func() []*callResult { wg.Wait(); return list }
}

// checkAnswer expects that the caller got its own whole answer or a truthful error. A caller of a dead entry has no answer.
func (b *deployment) checkAnswer(c *callResult, dead bool) {
	b.t.Helper()
	a, show := &c.answer, must.Sprintf("%s %s: %+v", c.nonce, c.kind, c.answer)
	if c.kind == "refund-booking" {
		must.LessEq(b.t, 1, b.startCounts.count(c.nonce), show)
	}
	switch {
	case a.ok(c.nonce):
	case dead && a.err != nil:
	case a.outcome == "not-run":
		must.EqOp(b.t, 0, b.startCounts.count(c.nonce), show)
	default:
		must.NoError(b.t, a.err, show)
		must.NotEq(b.t, "", a.code, show)
		must.True(b.t, a.status == http.StatusOK || a.outcome == "run" || a.outcome == "unknown", show)
	}
}

// stopAndCheckBills stops all processes that run and expects one bill for each run that a surviving process knew of, and none
// for any other request.
func (b *deployment) stopAndCheckBills(list []*callResult, dead []string) {
	b.t.Helper()
	for _, role := range []string{"entry", "agent"} {
		for _, p := range b.procs {
			if p.role == role {
				p.terminate()
			}
		}
	}
	byNonce := map[string]*callResult{}
	for _, c := range list {
		byNonce[c.nonce] = c
	}
	bills := b.bills()
	// An engine may still serve a request whose agent is gone.
	b.runs.mu.Lock()
	defer b.runs.mu.Unlock()
	for id, r := range b.runs.byID {
		c := byNonce[r.nonce]
		must.NotNil(b.t, c, must.Sprint(r.nonce))
		n := len(bills[id])
		delete(bills, id)
		must.LessEq(b.t, 1, n)
		agentLives := slices.ContainsFunc(r.agents, func(a string) bool { return !slices.Contains(dead, a) })
		// An entry knows of a run once it has passed on a token.
		entryKnows := !slices.Contains(dead, c.entry) && c.answer.text != ""
		if agentLives || entryKnows {
			must.EqOp(b.t, 1, n, must.Sprintf("bills of %s at %v: %+v", r.nonce, r.agents, c.answer))
		}
	}
	must.MapEmpty(b.t, bills)
}

// repeatKeyed sends each order with a key again through an entry, which must know its result or that it is unknown.
func (b *deployment) repeatKeyed(list []*callResult, entry string) {
	b.t.Helper()
	for _, c := range list {
		if c.key == "" {
			continue
		}
		again := &callResult{call: c.call}
		again.entry = entry
		again.answer = b.send(again.call)
		b.checkAnswer(again, false)
		must.EqOp(b.t, 1, b.startCounts.count(c.nonce), must.Sprintf("%s again: %+v", c.nonce, again.answer))
		if c.answer.ok(c.nonce) && again.answer.ok(c.nonce) {
			must.EqOp(b.t, c.answer.text, again.answer.text)
		}
	}
}

// Guards against lost, foreign or untruthful answers, double runs and wrong bills after processes die or freeze while
// requests and streams of all kinds run, up to a whole data centre at once.
func TestProcessFaults(t *testing.T) {
	t.Parallel()
	const interval = 150 * time.Millisecond
	for _, tc := range []struct {
		name    string
		centres map[string]string
		victims []string
		// frozen is the time after which stopped victims go on; 0 kills them.
		frozen time.Duration
	}{
		{"entry killed", nil, []string{"entry-1"}, 0},
		{"agent killed", nil, []string{"agent-1"}, 0},
		{"entry and agent killed", nil, []string{"entry-1", "agent-1"}, 0},
		{"both agents killed", nil, []string{"agent-1", "agent-2"}, 0},
		{"data centre killed", map[string]string{
			"entry-2": "pt-centro-2", "agent-2": "pt-centro-2", "agent-3": "pt-centro-2",
		}, []string{"entry-1", "agent-1"}, 0},
		// A lease is free 12 s after its holder froze.
		{"entry frozen", nil, []string{"entry-1"}, 13 * time.Second},
		{"agent frozen", nil, []string{"agent-1"}, 13 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			b := newDeployment(t, interval, func(b *deployment) {
				for name, c := range tc.centres {
					b.dataCentres[name] = c
				}
			})
			wait := b.startMixedRequests("mix", "entry-1", "entry-2")
			// Half of a run, so that the streams are in the middle.
			time.Sleep(12 * interval)
			began := time.Now()
			var dead []string
			for _, v := range tc.victims {
				if tc.frozen > 0 {
					b.procs[v].signal(syscall.SIGSTOP)
					continue
				}
				b.procs[v].signal(syscall.SIGKILL)
				dead = append(dead, v)
			}
			for _, v := range dead {
				must.Error(t, b.procs[v].wait())
			}
			extra := func() []*callResult { return nil }
			if !slices.Contains(dead, "agent-1") || !slices.Contains(dead, "agent-2") {
				extra = b.awaitRecovery("entry-2", began)
			}
			if tc.frozen > 0 {
				time.Sleep(tc.frozen - time.Since(began))
				for _, v := range tc.victims {
					b.procs[v].signal(syscall.SIGCONT)
				}
			}
			list := wait()
			cut := 0
			for _, c := range list {
				b.checkAnswer(c, slices.Contains(dead, c.entry))
				if !c.answer.ok(c.nonce) {
					cut++
				}
			}
			t.Logf("%d of %d requests got no whole answer", cut, len(list))
			b.repeatKeyed(list, "entry-2")
			for _, v := range dead {
				b.procs[v].start()
			}
			if len(dead) > 0 {
				b.awaitUpstreams("entry-1")
				b.awaitUpstreams("entry-2")
				b.repeatKeyed(list, "entry-1")
			}
			b.stopAndCheckBills(append(list, extra()...), dead)
		})
	}
}

// awaitRecovery sends urgent requests until one is served and logs the time without service. The function that it returns waits
// for the end of the last one and returns all of them.
func (b *deployment) awaitRecovery(entry string, began time.Time) func() []*callResult {
	b.t.Helper()
	var list []*callResult
	for time.Since(began) < waitTimeout {
		c := &callResult{call: call{entry: entry, kind: "status-check", stream: true, nonce: fmt.Sprintf("nonce-urgent-%d", len(list))}}
		first := make(chan struct{}, 1)
		done := make(chan struct{})
		c.onToken = func(n int) {
			if n == 0 {
				first <- struct{}{}
			}
		}
		go func() { c.answer = b.send(c.call); close(done) }()
		list = append(list, c)
		select {
		case <-first:
			b.t.Logf("urgent work was not served for %v, %d requests", time.Since(began), len(list))
			return func() []*callResult {
				<-done
				b.checkAnswer(c, false)
				return list
			}
		case <-done:
		}
		b.checkAnswer(c, false)
		time.Sleep(20 * time.Millisecond)
	}
	b.t.Fatalf("no urgent work is served after %v", time.Since(began))
	return nil
}

// relay forwards connections to one address until it is told to be silent; later connections are forwarded again.
type relay struct {
	listener net.Listener
	target   netip.AddrPort
	mu       sync.Mutex
	silent   []chan struct{}
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
	up, err := net.Dial("tcp", r.target.String())
	if err != nil {
		_ = c.Close()
		return
	}
	t.Cleanup(func() { _, _ = c.Close(), up.Close() })
	silent := make(chan struct{})
	r.mu.Lock()
	r.silent = append(r.silent, silent)
	r.mu.Unlock()
	pass := func(to, from net.Conn) {
		b := make([]byte, 32<<10)
		for {
			n, err := from.Read(b)
			select {
			case <-silent:
				// Bytes are dropped and an end is not told, and neither side learns why.
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
				_, _ = c.Close(), up.Close()
				return
			}
		}
	}
	go pass(c, up)
	pass(up, c)
}

// connectionCount returns the number of connections that would fall silent now.
func (r *relay) connectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.silent)
}

// silence makes all present connections forward nothing more, and returns their number.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.silent)
	for _, s := range r.silent {
		close(s)
	}
	r.silent = nil
	return n
}

// Guards against requests that hang, run twice or are cut when the connections of the entries to the agents go silent
// without being closed, while new ones work.
func TestConnectionsSilent(t *testing.T) {
	t.Parallel()
	const interval = 150 * time.Millisecond
	relays := map[netip.AddrPort]*relay{}
	b := newDeployment(t, interval, func(b *deployment) {
		b.listedAddress = func(a netip.AddrPort) netip.AddrPort {
			r := newRelay(t, a)
			relays[a] = r
			return netip.MustParseAddrPort(r.listener.Addr().String())
		}
	})
	wait := b.startMixedRequests("mix", "entry-1", "entry-2")
	time.Sleep(12 * interval)
	// On a slow machine the first orders may not have arrived by then.
	b.eventually("an order has a connection", waitTimeout, func() bool {
		n := 0
		for _, name := range []string{"agent-1", "agent-2"} {
			n += relays[b.procs[name].address("data")].connectionCount()
		}
		return n > 0
	})
	began, data := time.Now(), 0
	for _, name := range []string{"agent-1", "agent-2"} {
		data += relays[b.procs[name].address("data")].silence()
		relays[b.procs[name].address("control")].silence()
	}
	must.Positive(t, data)
	t.Logf("%d connections for orders are silent", data)
	extra := b.awaitRecovery("entry-2", began)
	list := wait()
	whole := 0
	for _, c := range list {
		b.checkAnswer(c, false)
		if c.answer.ok(c.nonce) {
			whole++
		}
	}
	t.Logf("%d of %d requests got a whole answer", whole, len(list))
	b.repeatKeyed(list, "entry-1")
	b.stopAndCheckBills(append(list, extra()...), nil)
}
