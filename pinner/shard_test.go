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

// region is a set of pinners over one fake table.
type region struct {
	cfg     *configurer.Configuration
	live    []identifier.Instance
	pinners map[identifier.Instance]*pinner.Pinner
	// mu guards the fields below, which reads and flushes in the background use.
	mu    sync.Mutex
	rows  map[int][]pinner.Pin
	out   bool
	reads int
}

func newRegion(names ...identifier.Instance) *region {
	r := &region{cfg: configuration(0.3), rows: map[int][]pinner.Pin{}, pinners: map[identifier.Instance]*pinner.Pinner{}}
	for _, name := range names {
		r.start(name)
	}
	return r
}

// start adds an instance without any memory.
func (r *region) start(name identifier.Instance) {
	r.live = append(r.live, name)
	r.pinners[name] = pinner.New(
		pinner.WithInstances(name, func() []identifier.Instance { return r.live }),
		pinner.WithConfiguration(func() *configurer.Configuration { return r.cfg }),
		pinner.WithAsk(func(ctx context.Context, owner identifier.Instance, q pinner.Question) (identifier.Target, error) {
			return r.pinners[owner].Answer(ctx, q)
		}),
		pinner.WithWrite(func(_ context.Context, batch []pinner.Pin) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.out {
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
			r.reads++
			if r.out {
				return nil, errDown
			}
			return slices.Clone(r.rows[n]), nil
		}))
}

// setTable takes the table out or brings it back, and restarts the count of its reads.
func (r *region) setTable(out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out, r.reads = out, 0
}

func (r *region) tableReads() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads
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

// begin starts sessions, writes their pins and makes a roll-out step.
func (r *region) begin(t *testing.T, sessions int) []identifier.Target {
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

// Guards against a session that changes its version when its owner dies, a roll-out step follows and the owner returns.
func TestSessionOutlivesItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion("e-1", "e-2", "e-3")
		first := r.begin(t, 300)
		r.stop("e-2")
		r.setTable(false)
		for i, want := range first {
			must.Eq(t, want, r.pin(t, "e-3", i, 2))
		}
		// Each shard is read once, although it has more than one session.
		must.LessEq(t, pinner.Shards, r.tableReads())
		r.start("e-2")
		for i, want := range first {
			must.Eq(t, want, r.pin(t, "e-1", i, 2))
		}
	})
}

// Guards against requests that wait for a table that is out, repeat its reads, and a session that stays on a derived
// version once the table answers.
func TestTableOutWhileOwnerDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion("e-1", "e-2")
		first := r.begin(t, 100)
		r.setTable(true)
		r.stop("e-2")
		r.pinners["e-1"] = nil
		r.live = nil
		r.start("e-3")
		began := time.Now()
		moved := 0
		for i, want := range first {
			if r.pin(t, "e-3", i, 2) != want {
				moved++
			}
		}
		must.Positive(t, moved)
		must.LessEq(t, 100, r.tableReads())
		must.LessEq(t, time.Second, time.Since(began))
		r.setTable(false)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- r.pinners["e-3"].Run(ctx) }()
		// At 4 shards per step, 256 shards take 64 s.
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

// Guards against a pin of a session in long use that its next owner takes for expired, and against an expired one that
// comes back.
func TestPinInUseIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion("e-1")
		first := r.begin(t, 40)
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

// Guards against flushes that run at the same time, as when a process stops during a flush: both wrote the same pins, and the
// later one dropped as many again, unwritten, or panicked.
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
