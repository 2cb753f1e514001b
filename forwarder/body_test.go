package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/forwarder"
)

// Guards against a process that runs out of memory, and loses all its requests, because bodies count only once they are whole.
func TestBodiesCountWhileTheyArrive(t *testing.T) {
	for name, body := range map[string]func(string) io.Reader{
		"known length":   func(s string) io.Reader { return strings.NewReader(s) },
		"unknown length": func(s string) io.Reader { return io.MultiReader(strings.NewReader(s)) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, respondOK)
			forwarder.WithMaxBodyBytes(1500)(f.Forwarder)
			slow, first := io.Pipe()
			result := make(chan reply, 1)
			go func() { result <- f.sendContext(t.Context(), "/once/", slow, "Id", "slow") }()
			_, err := io.WriteString(first, strings.Repeat("x", 900))
			must.NoError(t, err)
			for begin := time.Now(); !strings.Contains(f.stateText(), "BodyBytes:900") && time.Since(begin) < time.Second; {
				time.Sleep(time.Millisecond)
			}
			x := f.sendContext(t.Context(), "/once/", body(strings.Repeat("y", 800)))
			must.NoError(t, x.err)
			must.EqOp(t, 503, x.status)
			must.StrContains(t, x.body, "memory")
			must.NoError(t, first.Close())
			must.EqOp(t, 200, (<-result).status)
			must.EqOp(t, 200, f.sendContext(t.Context(), "/once/", body(strings.Repeat("y", 800))).status)
			must.StrContains(t, f.stateText(), "BodyBytes:0")
		})
	}
}

// Guards against a configuration without limits that refuses every request with a body.
func TestNoBodyLimit(t *testing.T) {
	f := newFixture(t, 1, respondOK)
	f.table.Limits.BodyBytes = 0
	must.EqOp(t, 200, f.send("/once/").status)
	must.EqOp(t, 200, f.sendContext(t.Context(), "/once/", io.MultiReader(strings.NewReader("body"))).status)
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against an upstream that does not read a request: the body must not take more memory than the budget counts, and the request must
// end at its deadline.
func TestUpstreamDoesNotReadBody(t *testing.T) {
	// More than the sockets take, so that the attempt is sending until it ends.
	const size = 8 << 20
	// With the race detector the body takes some 0.2 s to read, and several times that on a busy machine, and must be whole some time before
	// the deadline. That is earlier than the 3 s after which bytes that the upstream has not acknowledged end the connection.
	const deadline = 2500 * time.Millisecond
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	f := newFixture(t, 1, respondOK)
	for _, u := range f.upstreams {
		u.Address = netip.MustParseAddrPort(silent.Addr().String())
	}
	f.table.Limits.BodyBytes = size
	forwarder.WithMaxBodyBytes(size)(f.Forwarder)
	before := heapBytes()
	began, stalled := time.Now(), stalls(t)
	var took time.Duration
	result := make(chan reply, 1)
	go func() {
		x := f.sendContext(t.Context(), "/once/", io.LimitReader(zeros{}, size), "Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10), "Content-Length", "")
		took = time.Since(began)
		result <- x
	}()
	await(t, "the body", func() bool { return f.Counters()["attempts"] == 1 })
	time.Sleep(300 * time.Millisecond)
	must.EqOp(t, size, f.state().BodyBytes)
	must.Less(t, before+size*3/2, heapBytes())
	x := <-result
	must.EqOp(t, http.StatusGatewayTimeout, x.status)
	must.Between(t, deadline-100*time.Millisecond, took, deadline+time.Second+stalled())
	await(t, "the end of the request", func() bool { return f.Active() == 0 })
	must.EqOp(t, 0, f.state().BodyBytes)
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
