package pinner_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/pinner"
)

// region is a set of pinners that share one fake table.
type region struct {
	cfg     *configurer.Configuration
	live    []identifier.Instance
	pinners map[identifier.Instance]*pinner.Pinner
	// mu guards the fields below, which background reads and flushes use too.
	mu        sync.Mutex
	rows      map[int][]pinner.Pin
	tableDown bool
	readCount int
}

func newRegion(names ...identifier.Instance) *region {
	r := &region{cfg: configuration(0.3), rows: map[int][]pinner.Pin{}, pinners: map[identifier.Instance]*pinner.Pinner{}}
	for _, name := range names {
		r.start(name)
	}
	return r
}

// start adds an instance whose memory is empty.
func (r *region) start(name identifier.Instance) {
	r.live = append(r.live, name)
	r.pinners[name] = pinner.New(
		pinner.WithInstances(name, func() []identifier.Instance { return r.live }),
		pinner.WithConfiguration(func() *configurer.Configuration { return r.cfg }),
		pinner.WithAsk(func(ctx context.Context, owner identifier.Instance, q pinner.VersionRequest) (identifier.Target, error) {
			return r.pinners[owner].Answer(ctx, q)
		}),
		pinner.WithWrite(func(_ context.Context, batch []pinner.Pin) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.tableDown {
				return errDown
			}
			for _, x := range batch {
				n := pinner.Shard(x.ClientAccount, x.Session)
				r.rows[n] = append(r.rows[n], x)
			}
			return nil
		}),
		pinner.WithRead(func(_ context.Context, n int) ([]pinner.Pin, error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.readCount++
			if r.tableDown {
				return nil, errDown
			}
			return slices.Clone(r.rows[n]), nil
		}))
}

// setTableDown makes the table unavailable or available again, and resets the count of its reads.
func (r *region) setTableDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tableDown, r.readCount = down, 0
}

func (r *region) tableReads() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readCount
}

func (r *region) stop(name identifier.Instance) {
	r.live = slices.DeleteFunc(r.live, func(x identifier.Instance) bool { return x == name })
}

func (r *region) pin(t *testing.T, at identifier.Instance, i int, revision uint64) identifier.Target {
	t.Helper()
	got, err := r.pinners[at].Pin(t.Context(), "a", session(i), identifier.Target{Model: "finch", Version: "v1"}, revision)
	must.NoError(t, err)
	return got
}

// startSessions starts sessions, writes their pins and then raises the exposure of the candidate version. It returns the versions
// of the sessions.
func (r *region) startSessions(t *testing.T, sessions int) []identifier.Target {
	t.Helper()
	var first []identifier.Target
	for i := range sessions {
		first = append(first, r.pin(t, "e-1", i, 1))
	}
	for _, p := range r.pinners {
		must.NoError(t, p.Flush(t.Context()))
	}
	r.cfg = configuration(0.9)
	return first
}

// Guards against a session that changes its version when its owner stops, a roll-out step follows and the owner returns.
func TestSessionOutlivesItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion("e-1", "e-2", "e-3")
		first := r.startSessions(t, 300)
		r.stop("e-2")
		r.setTableDown(false)
		for i, want := range first {
			must.Eq(t, want, r.pin(t, "e-3", i, 2))
		}
		// Each shard is read once, although several sessions belong to it.
		must.LessEq(t, pinner.Shards, r.tableReads())
		r.start("e-2")
		for i, want := range first {
			must.Eq(t, want, r.pin(t, "e-1", i, 2))
		}
	})
}

// Guards against requests that wait for an unavailable table or repeat its reads, and against a session that stays on a derived
// version after the table is available again.
func TestTableOutWhileOwnerDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion("e-1", "e-2")
		first := r.startSessions(t, 100)
		r.setTableDown(true)
		r.stop("e-2")
		r.pinners["e-1"] = nil
		r.live = nil
		r.start("e-3")
		startedAt := time.Now()
		changed := 0
		for i, want := range first {
			if r.pin(t, "e-3", i, 2) != want {
				changed++
			}
		}
		must.Positive(t, changed)
		must.LessEq(t, 100, r.tableReads())
		must.LessEq(t, time.Second, time.Since(startedAt))
		r.setTableDown(false)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- r.pinners["e-3"].Run(ctx) }()
		// At 4 shards per second, 256 shards take 64 s.
		time.Sleep(70 * time.Second)
		kept := 0
		for i, want := range first {
			if r.pin(t, "e-3", i, 2) == want {
				kept++
			}
		}
		cancel()
		must.NoError(t, <-done)
		must.EqOp(t, len(first), kept)
	})
}

// Guards against a new owner that takes the pin of a long-running session for expired, and against an expired pin that is
// restored.
func TestPinInUseIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion("e-1")
		first := r.startSessions(t, 40)
		for range 6 {
			time.Sleep(10 * time.Minute)
			for i := range 20 {
				must.Eq(t, first[i], r.pin(t, "e-1", i, 2))
			}
			must.NoError(t, r.pinners["e-1"].Flush(t.Context()))
		}
		r.stop("e-1")
		r.start("e-2")
		renewed := 0
		for i, want := range first {
			got := r.pin(t, "e-2", i, 2)
			if i < 20 {
				must.Eq(t, want, got)
			} else if got != want {
				renewed++
			}
		}
		must.Positive(t, renewed)
	})
}

// Guards against overlapping flushes, which happen when a process stops during a flush: each wrote the same pins, and the later
// one then removed as many again without writing them, or panicked.
func TestFlushesDoNotOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		written := map[identifier.Session]int{}
		p := pinner.New(pinner.WithConfiguration(func() *configurer.Configuration { return configuration(0) }),
			pinner.WithWrite(func(_ context.Context, batch []pinner.Pin) error {
				time.Sleep(time.Second)
				mu.Lock()
				defer mu.Unlock()
				for _, x := range batch {
					written[x.Session]++
				}
				return nil
			}))
		const sessions = 40
		pin := func(i int) {
			_, err := p.Pin(t.Context(), "a", session(i), identifier.Target{Model: "finch", Version: "v1"}, 1)
			must.NoError(t, err)
		}
		for i := range sessions / 2 {
			pin(i)
		}
		errs := make(chan error, 2)
		for range 2 {
			go func() { errs <- p.Flush(t.Context()) }()
		}
		synctest.Wait()
		for i := range sessions / 2 {
			pin(sessions/2 + i)
		}
		must.NoError(t, errors.Join(<-errs, <-errs, p.Flush(t.Context())))
		must.MapLen(t, sessions, written)
		for _, n := range written {
			must.EqOp(t, 1, n)
		}
	})
}
