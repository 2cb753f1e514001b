package forwarder_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/platform/standin"
	"github.com/siskinfront/siskinfront/registrar"
)

// earnBudget sends requests that are answered, so that the retry budget is full.
func (f *fixture) earnBudget() {
	f.t.Helper()
	for range 10 {
		must.EqOp(f.t, 200, f.send("/repeat/").status)
	}
}

// Guards against a started stream that uses up the retry budget of its service and ends while no upstream is known for a second.
func TestStreamResumesOnceUpstreamReturns(t *testing.T) {
	var breaking atomic.Bool
	var gone atomic.Bool
	f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, _ int) {
		if breaking.CompareAndSwap(true, false) {
			gone.Store(true)
			time.AfterFunc(time.Second, func() { gone.Store(false) })
			writeEvents(w, r, 2, 0)
			abort()
		}
		writeEvents(w, r, 5, 0)
	})
	known := f.Upstream
	f.Upstream = func(n identifier.Upstream) *registrar.Upstream {
		if gone.Load() {
			return nil
		}
		return known(n)
	}
	f.earnBudget()
	breaking.Store(true)
	x := f.send("/stream/")
	t.Logf("events %v, budget refused %d", eventIDs(x.body), f.Counters()["retries-over-budget"])
	must.NoError(t, x.err)
	must.Eq(t, []int{1, 2, 3, 4, 5}, eventIDs(x.body))
	must.EqOp(t, 0, f.Counters()["retries-over-budget"])
	must.EqOp(t, 1, f.Counters()["streams-resumed"])
}

// Guards against a started stream that ends although its deadline is far, because three upstreams rejected its resumption.
func TestStreamResumesAfterRejections(t *testing.T) {
	f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
		switch {
		case n <= 10:
			writeEvents(w, r, 2, 0)
		case n == 11:
			writeEvents(w, r, 2, 0)
			abort()
		case n <= 14:
			respondNotRun(w, r, n)
		default:
			writeEvents(w, r, 5, 0)
		}
	})
	f.earnBudget()
	x := f.send("/stream/")
	t.Logf("events %v, requests %d", eventIDs(x.body), len(f.requests()))
	must.NoError(t, x.err)
	must.Eq(t, []int{1, 2, 3, 4, 5}, eventIDs(x.body))
}

// Guards against started streams that end long before their deadline because the retry budget was empty for a moment.
func TestStreamsResumeOnceBudgetAllows(t *testing.T) {
	const n = 60
	// On a slow machine some streams break more than once before the upstreams work again.
	s := newServiceWithAttempts(t, 3, 2*n, 10)
	s.deadline = "8000"
	for _, u := range s.upstreams {
		u.SetBehaviour(standin.Breaking)
	}
	var wg sync.WaitGroup
	ended := make(chan struct{})
	wg.Go(func() {
		for len(s.runs.Runs()) < n {
			time.Sleep(time.Millisecond)
		}
		for _, u := range s.upstreams {
			u.SetBehaviour(standin.Working)
		}
		// The budget holds at most 20 retries, so requests of one moment would not earn enough.
		for {
			select {
			case <-ended:
				return
			case <-time.After(time.Second):
				s.sendAll(t, "/plain/", n, standin.Body)
			}
		}
	})
	whole := s.sendAll(t, "/stream/", n, wholeStream)
	close(ended)
	wg.Wait()
	// A stream that arrives after the first failures opened the circuit breakers is refused and has not started.
	started := n - int(s.refusedStreams.Load())
	t.Logf("%d of %d whole", whole, started)
	must.EqOp(t, started, whole)
	must.Less(t, started, n/2)
}
