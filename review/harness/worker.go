package harness

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/platform/standin"
)

// beatInterval is the time between two registrations of a worker.
const beatInterval = 1200 * time.Millisecond

// WorkerStart is when each worker started, in Unix milliseconds.
const WorkerStart = 1_700_000_000_000

// Worker is a sound worker of a plain service: it runs Slots requests at once, queues Queue more and sheds the others.
type Worker struct {
	Name, Service string
	Slots, Queue  int
	// Work is the time that a request runs, and Delay the time that a request and its answer take on their way.
	Work, Delay time.Duration
	// Born is when the worker started, in Unix milliseconds; 0 stands for WorkerStart.
	Born int64
	// At is the address at which the worker listens; without it, it takes a free port.
	At netip.AddrPort
	// OnRun is called when a request begins to run.
	OnRun func(r *http.Request)
	// OnArrival is called with each request, and may add headers to its answer.
	OnArrival func(r *http.Request, header http.Header)
	// ShedNamesID is set if a request that is shed is named in the answer.
	ShedNamesID bool
	// Extra returns whether a second copy of an answer follows, late: where the answer to the next request on the connection is expected.
	Extra func() bool
	// OnExtra is called when a copy is sent.
	OnExtra func(id string, status int)

	address  netip.AddrPort
	listener net.Listener
	store    *standin.Store
	slots    chan struct{}
	held     atomic.Int64
	stop     chan struct{}
	leaving  atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Start starts a worker and registers it.
func (w *Worker) Start(store *standin.Store) error {
	var lc net.ListenConfig
	at := "127.0.0.1:0"
	if w.At.IsValid() {
		at = w.At.String()
	}
	l, err := lc.Listen(context.Background(), "tcp", at)
	if err != nil {
		return err
	}
	w.listener, w.store, w.address = l, store, netip.MustParseAddrPort(l.Addr().String())
	w.slots, w.stop, w.conns = make(chan struct{}, w.Slots), make(chan struct{}), map[net.Conn]struct{}{}
	if w.Born == 0 {
		w.Born = WorkerStart
	}
	w.register(0)
	go func() {
		t := time.NewTicker(beatInterval)
		defer t.Stop()
		for n := 1; ; n++ {
			select {
			case <-w.stop:
				return
			case <-t.C:
				w.register(n)
			}
		}
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = struct{}{}
			w.mu.Unlock()
			go w.serve(c)
		}
	}()
	return nil
}

// Stop ends the worker.
func (w *Worker) Stop() {
	close(w.stop)
	_ = w.listener.Close()
}

// Leave registers the worker as one that leaves, which its answers say too. It goes on serving.
func (w *Worker) Leave() {
	w.leaving.Store(true)
	w.register(0)
}

// Exit ends the worker with its connections, and removes its registration.
func (w *Worker) Exit() {
	w.Stop()
	w.store.Remove("servers", w.Name)
	w.closeConns()
}

// Crash ends the worker with its connections.
func (w *Worker) Crash() {
	w.Stop()
	w.closeConns()
}

func (w *Worker) closeConns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
}

func (w *Worker) register(sequence int) {
	state := "ready"
	if w.leaving.Load() {
		state = "draining"
	}
	w.store.Put("servers", w.Name, map[string]any{
		"Service": w.Service, "Address": w.address.String(), "Zone": "dc-a", "Version": "v1", "Slots": w.Slots, "State": state,
		"ColdRemainingMs": 0, "Sequence": sequence, "born": w.Born,
	})
}

// workerConn is a connection.
type workerConn struct {
	net.Conn
	// extra is the copy of the last answer that is still to be sent, lastID the request that it answers and lastStatus its status.
	extra      []byte
	lastID     string
	lastStatus int
}

func (c *workerConn) send(b []byte) error {
	_, err := c.Write(b)
	return err
}

func (w *Worker) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.conns, conn)
	}()
	c := &workerConn{Conn: conn}
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(w.Delay)
		if err := w.sendExtra(c); err != nil {
			return
		}
		if err := w.answer(c, r, string(body)); err != nil {
			return
		}
	}
}

// answer answers one request; a connection has one request at a time.
func (w *Worker) answer(c *workerConn, r *http.Request, body string) error {
	id := r.Header.Get("X-Request-Id")
	h := http.Header{}
	if w.OnArrival != nil {
		w.OnArrival(r, h)
	}
	if w.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/siskinfront/report" {
		return c.send(encode(http.StatusOK, h, `{"Running":0,"Waiting":0,"Runs":[]}`))
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.Name {
		h.Set("X-Instance-Id", w.Name)
		return c.send(encode(http.StatusMisdirectedRequest, h, ""))
	}
	held := w.held.Add(1)
	defer w.held.Add(-1)
	if held > int64(w.Slots+w.Queue) {
		h.Set("X-Not-Executed", "1")
		if w.ShedNamesID {
			h.Set("X-Request-Id", id)
		}
		return w.sendTwice(c, id, http.StatusServiceUnavailable, encode(http.StatusServiceUnavailable, h, ""))
	}
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	if w.OnRun != nil {
		w.OnRun(r)
	}
	time.Sleep(w.Work)
	running := len(w.slots)
	h.Set("X-Request-Id", id)
	h.Set("X-Response-Stamp", w.Name+"."+id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", running, max(w.held.Load()-int64(running), 0), w.Slots))
	return w.sendTwice(c, id, http.StatusOK, encode(http.StatusOK, h, "answer to "+id+" "+body))
}

// sendTwice sends an answer and, if Extra says so, keeps a second copy for later.
func (w *Worker) sendTwice(c *workerConn, id string, status int, answer []byte) error {
	if err := c.send(answer); err != nil {
		return err
	}
	if w.Extra != nil && w.Extra() {
		c.extra, c.lastID, c.lastStatus = answer, id, status
	}
	return nil
}

// sendExtra sends the copy that is kept, if there is one.
func (w *Worker) sendExtra(c *workerConn) error {
	if c.extra == nil {
		return nil
	}
	if w.OnExtra != nil {
		w.OnExtra(c.lastID, c.lastStatus)
	}
	b := c.extra
	c.extra = nil
	return c.send(b)
}

func encode(status int, h http.Header, body string) []byte {
	b := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, values := range h {
		for _, v := range values {
			b = fmt.Appendf(b, "%s: %s\r\n", name, v)
		}
	}
	return fmt.Appendf(b, "Content-Length: %d\r\n\r\n%s", len(body), body)
}

// Address returns where the worker listens.
func (w *Worker) Address() netip.AddrPort {
	return w.address
}
