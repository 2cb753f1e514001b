package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/forwarder"
)

// Guards against an upstream whose response stays unread because its caller reads slowly, and against events of it that are lost, repeated
// or out of order.
func TestSlowCallerDoesNotStopReading(t *testing.T) {
	const n, size = 50, 4 << 10
	f := newFixture(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) {
		for id := 1; id <= n; id++ {
			_, _ = io.WriteString(w, largeEvent(id, size))
			w.(http.Flusher).Flush()
		}
	})
	f.serveSlowly()
	ends := f.countEnds()
	c := f.open("/stream/", "r1", 4000)
	await(t, "the end of the attempt", func() bool { return ends.Load() == 1 })
	time.Sleep(1500 * time.Millisecond)
	held := f.state()
	must.EqOp(t, 1, held.SlowCallers)
	must.Positive(t, held.BacklogBytes)
	must.EqOp(t, "r1", held.Slowest[0].Request)
	must.EqOp(t, "one", string(held.Slowest[0].Account))
	must.True(t, held.Slowest[0].IsRead)
	must.EqOp(t, held.BacklogBytes, int64(held.Slowest[0].HeldBytes))
	must.EqOp(t, 1, f.Active())
	body, err := c.body()
	must.NoError(t, err)
	must.EqOp(t, largeEvents(0, n, size), body)
	await(t, "the end of the request", func() bool { return f.Active() == 0 })
	must.EqOp(t, 0, f.state().BacklogBytes)
	must.EqOp(t, 0, f.state().SlowCallers)
	must.EqOp(t, 1, f.Counters()["slow-callers"])
	must.EqOp(t, 0, f.Counters()["reads-paused"])
	must.StrContains(t, f.log(), "slow-caller")
	must.SliceLen(t, 1, f.requests())
}

// Guards against a stream that is damaged when its caller falls behind and catches up several times, so that the reading is taken over
// and handed back.
func TestCallerFallsBehindRepeatedly(t *testing.T) {
	const rounds, n, extra, size = 3, 16, 3, 4 << 10
	next := make(chan struct{})
	f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request, _ int) {
		for id := 1; id <= rounds*n+extra; id++ {
			_, _ = io.WriteString(w, largeEvent(id, size))
			w.(http.Flusher).Flush()
			// The reading is handed back with the first of the last events that arrives when all before it is written.
			if id%n != 0 && id < rounds*n+extra {
				time.Sleep(time.Duration(id/(rounds*n)) * 20 * time.Millisecond)
				continue
			}
			select {
			case <-next:
			case <-r.Context().Done():
				return
			}
		}
	})
	f.serveSlowly()
	// The route has no watchdog, so that the pauses between the rounds do not matter.
	c := f.open("/unresumable/", "r1", 5000)
	br := bufio.NewReader(c)
	w, err := http.ReadResponse(br, nil)
	must.NoError(t, err)
	defer w.Body.Close()
	body := make([]byte, n*size)
	for round := range rounds {
		await(t, "a backlog", func() bool { return f.state().BacklogBytes > 0 })
		_, err := io.ReadFull(w.Body, body)
		must.NoError(t, err)
		must.EqOp(t, largeEvents(round*n, (round+1)*n, size), string(body))
		next <- struct{}{}
	}
	_, err = io.ReadFull(w.Body, body[:extra*size])
	must.NoError(t, err)
	must.EqOp(t, largeEvents(rounds*n, rounds*n+extra, size), string(body[:extra*size]))
	await(t, "the return of the reading", func() bool { return f.state().SlowCallers == 0 })
	must.EqOp(t, 1, f.Active())
	next <- struct{}{}
	rest, err := io.ReadAll(w.Body)
	must.NoError(t, err)
	must.SliceEmpty(t, rest)
	await(t, "the end of the request", func() bool { return f.Active() == 0 })
	must.EqOp(t, 0, f.state().BacklogBytes)
}

// Guards against a stream whose upstream waits for its slow caller to the end after one large event, because its buffer stays too large.
func TestSlowCallerAfterLargeEvent(t *testing.T) {
	const n, large, size = 300, 900 << 10, 4 << 10
	whole := largeEvent(1, large) + largeEvents(1, n, size)
	f := newFixture(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, whole) })
	f.serveSlowly()
	c := f.open("/unresumable/", "r1", 5000)
	must.NoError(t, c.SetReadBuffer(64<<10))
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	defer w.Body.Close()
	body := make([]byte, large)
	_, err = io.ReadFull(w.Body, body)
	must.NoError(t, err)
	await(t, "a backlog", func() bool { return f.state().BacklogBytes > 0 })
	must.LessEq(t, 256<<10, f.state().BacklogBytes)
	rest, err := io.ReadAll(w.Body)
	must.NoError(t, err)
	must.EqOp(t, whole, string(body)+string(rest))
	await(t, "the end of the request", func() bool { return f.Active() == 0 })
	must.EqOp(t, 0, f.state().BacklogBytes)
}

// Guards against callers that together take more memory than backlogs may have, and against streams that are damaged when it is used up.
func TestBacklogsAreBounded(t *testing.T) {
	const callers, bound, n, size = 24, 200 << 10, 300, 4 << 10
	f := newFixture(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, largeEvents(0, n, size)) })
	forwarder.WithMaxBacklogBytes(bound)(f.Forwarder)
	f.serveSlowly()
	var list []slowCaller
	for i := range callers {
		list = append(list, f.open("/unresumable/", fmt.Sprint("r", i), 5000))
	}
	await(t, "paused reads", func() bool { return f.Counters()["reads-paused"] >= callers/2 })
	bodies := make(chan error, callers)
	for _, c := range list {
		go func() {
			body, err := c.body()
			if err == nil && body != largeEvents(0, n, size) {
				err = fmt.Errorf("%d bytes of another stream", len(body))
			}
			bodies <- err
		}()
	}
	most := int64(0)
	for left := callers; left > 0; {
		select {
		case err := <-bodies:
			must.NoError(t, err)
			left--
		default:
			most = max(most, f.state().BacklogBytes)
			time.Sleep(time.Millisecond)
		}
	}
	must.Between(t, 1, most, bound)
	await(t, "the end of the requests", func() bool { return f.Active() == 0 })
	must.EqOp(t, 0, f.state().BacklogBytes)
}

// Guards against a stream that continues at the wrong event, or that looks complete, after its upstream has cut it while the backlog was full.
func TestUpstreamCutsUnreadStream(t *testing.T) {
	const n, size = 2000, 8 << 10
	for path, resumed := range map[string]bool{"/stream/": true, "/unresumable/": false} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			var cut atomic.Bool
			f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, k int) {
				if k == 1 {
					_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(700 * time.Millisecond))
				}
				for id := lastEventID(r) + 1; id <= n; id++ {
					if _, err := io.WriteString(w, largeEvent(id, size)); err != nil {
						cut.Store(true)
						abort()
					}
				}
			})
			f.serveSlowly()
			c := f.open(path, "r1", 5000)
			await(t, "the cut", cut.Load)
			must.Positive(t, f.Counters()["reads-paused"])
			must.LessEq(t, 256<<10, f.state().BacklogBytes)
			body, err := c.body()
			ids := eventIDs(body)
			if !resumed {
				must.Error(t, err)
				must.Less(t, n, len(ids))
				must.StrHasPrefix(t, body, largeEvents(0, n, size))
				return
			}
			must.NoError(t, err)
			must.EqOp(t, largeEvents(0, n, size), body)
			must.EqOp(t, 1, f.Counters()["streams-resumed"])
			must.Positive(t, lastEventID(&http.Request{Header: f.requests()[1].header}))
		})
	}
}

// Guards against a stream that is resumed only once its caller has read, or after the last event that the caller has read, and against one
// that looks complete because its upstream breaks it while the caller is behind.
func TestUpstreamBreaksStreamWithBacklog(t *testing.T) {
	const n, size = 50, 4 << 10
	for path, attempts := range map[string]int64{"/stream/": 2, "/unresumable/": 1} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, k int) {
				if k == 1 {
					_, _ = io.WriteString(w, largeEvents(0, n/2, size))
					w.(http.Flusher).Flush()
					time.Sleep(100 * time.Millisecond)
					abort()
				}
				_, _ = io.WriteString(w, largeEvents(lastEventID(r), n, size))
			})
			f.serveSlowly()
			ends := f.countEnds()
			c := f.open(path, "r1", 4000)
			await(t, "the end of all attempts", func() bool { return ends.Load() == attempts })
			body, err := c.body()
			if attempts == 1 {
				must.Error(t, err)
				must.EqOp(t, largeEvents(0, n/2, size), body)
				return
			}
			must.EqOp(t, strconv.Itoa(n/2), f.requests()[1].header.Get("Last-Event-Id"))
			must.NoError(t, err)
			must.EqOp(t, largeEvents(0, n, size), body)
		})
	}
}

// Guards against an upstream that works on for a caller that has left, and against its backlog that stays in memory.
func TestSlowCallerLeaves(t *testing.T) {
	closeAll, closeWrite := func(c slowCaller) error { return c.Close() }, func(c slowCaller) error { return c.CloseWrite() }
	// On the patient route an attempt is late only after the deadline, so no other one replaces it, which would end a second attempt.
	for name, x := range map[string]struct {
		path       string
		events     int
		leave      func(slowCaller) error
		isComplete bool
	}{
		"closed":                             {"/unresumable/", 50, closeAll, false},
		"closed for writing":                 {"/unresumable/", 50, closeWrite, false},
		"reading paused, closed":             {"/patient/", 2000, closeAll, false},
		"reading paused, closed for writing": {"/patient/", 2000, closeWrite, false},
		"whole response, closed":             {"/once/", 50, closeAll, true},
		"whole response, closed for writing": {"/once/", 50, closeWrite, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// Built before the request: with the race detector on a busy machine that takes over 0.8 s, after which an attempt is late.
			events := largeEvents(0, x.events, 4<<10)
			f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, _ int) {
				_, _ = io.WriteString(w, events)
				w.(http.Flusher).Flush()
				if !x.isComplete {
					<-r.Context().Done()
				}
			})
			f.serveSlowly()
			ends := f.countEnds()
			c := f.open(x.path, "r1", 5000)
			await(t, "a backlog", func() bool { return f.state().BacklogBytes > 64<<10 && x.isComplete == (ends.Load() == 1) })
			await(t, "a full backlog", func() bool { return x.events < 100 || f.Counters()["reads-paused"] > 0 })
			must.NoError(t, x.leave(c))
			left, stalled := time.Now(), stalls(t)
			await(t, "the end of the attempt", func() bool { return ends.Load() == 1 })
			await(t, "the end of the request", func() bool { return f.Active() == 0 })
			must.Less(t, 500*time.Millisecond, time.Since(left)-stalled())
			must.EqOp(t, 0, f.state().BacklogBytes)
			must.SliceLen(t, 1, f.requests())
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, r := range f.results {
				must.False(t, r.Failed)
			}
			must.EqOp(t, x.isComplete, len(f.results) == 1)
		})
	}
}

// Guards against a stream with a backlog that goes on after its deadline.
func TestSlowStreamEndsAtDeadline(t *testing.T) {
	for name, isComplete := range map[string]bool{"read to its end": true, "not read to its end": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, _ int) {
				_, _ = io.WriteString(w, largeEvents(0, 30, 4<<10))
				w.(http.Flusher).Flush()
				if !isComplete {
					<-r.Context().Done()
				}
			})
			f.serveSlowly()
			c := f.open("/unresumable/", "r1", 800)
			await(t, "a backlog", func() bool { return f.state().BacklogBytes > 64<<10 })
			time.Sleep(300 * time.Millisecond)
			must.EqOp(t, 1, f.Active())
			await(t, "the end of the request", func() bool { return f.Active() == 0 })
			must.EqOp(t, 0, f.state().BacklogBytes)
			_, err := c.body()
			must.Error(t, err)
		})
	}
}

// Guards against whole responses that hold their upstream while their callers read slowly, that are cut although they are ready, or that
// are damaged because they are larger than the backlog.
func TestWholeResponseToSlowCaller(t *testing.T) {
	for name, x := range map[string]struct {
		size, deadlineMs int
		endsEarly        bool
	}{
		"small, late":              {size: 60 << 10, deadlineMs: 500, endsEarly: true},
		"as large as backlog late": {size: 200 << 10, deadlineMs: 500, endsEarly: true},
		"larger than backlog":      {size: 500 << 10, deadlineMs: 5000},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var body strings.Builder
			for i := 0; body.Len() < x.size; i++ {
				fmt.Fprintf(&body, "%d,", i)
			}
			f := newFixture(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, body.String()) })
			f.serveSlowly()
			ends := f.countEnds()
			c := f.open("/once/", "r1", x.deadlineMs)
			if x.endsEarly {
				await(t, "the end of the attempt", func() bool { return ends.Load() == 1 })
			}
			time.Sleep(time.Second)
			must.LessEq(t, 256<<10, f.state().BacklogBytes)
			got, err := c.body()
			must.NoError(t, err)
			must.True(t, got == body.String())
			must.EqOp(t, !x.endsEarly, f.Counters()["reads-paused"] > 0)
		})
	}
}

// Guards against an upstream that counts as slow because its caller reads slowly.
func TestPaceOfSlowCaller(t *testing.T) {
	f := newFixture(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) {
		for id := 1; id <= 14; id++ {
			_, _ = io.WriteString(w, largeEvent(id, 16<<10))
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	})
	f.serveSlowly()
	paces := make(chan time.Duration, 1)
	f.OnPace = func(_ forwarder.Attempt, d time.Duration) { paces <- d }
	c := f.open("/stream/", "r1", 4000)
	time.Sleep(1200 * time.Millisecond)
	_, err := c.body()
	must.NoError(t, err)
	must.Between(t, 100*time.Millisecond, <-paces, 600*time.Millisecond)
}

// Guards against a panic in the second goroutine that ends the process.
func TestPanicWhileReadingOn(t *testing.T) {
	f := newFixture(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) {
		_, _ = io.WriteString(w, largeEvents(0, 30, 4<<10))
	})
	f.serveSlowly()
	f.OnAttemptEnd = func(forwarder.Attempt) { panic("test") }
	c := f.open("/stream/", "r1", 4000)
	await(t, "the panic", func() bool { return f.state().SlowCallers == 1 && f.state().Slowest[0].IsRead })
	_, err := c.body()
	must.Error(t, err)
	await(t, "the end of the request", func() bool { return f.Active() == 0 })
	must.EqOp(t, 1, f.Counters()["panics"])
	must.StrContains(t, f.log(), "relayEvents")
}
