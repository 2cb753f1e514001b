package leaser_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/leaser"
	"github.com/siskinfront/siskinfront/platformfaker"
	"github.com/siskinfront/siskinfront/storer"
)

const name = "rollout/m"

func newTable() (*platformfaker.Table, *storer.Table) {
	f := platformfaker.NewTable()
	return f, storer.New(netip.MustParseAddrPort("127.0.0.1:1"), storer.WithDo(platformfaker.RoundTripFunc(f)))
}

func write(key string) storer.Transaction {
	return storer.Transaction{Writes: []storer.Write{{Key: key, Value: []byte("1")}}}
}

// take acquires after the observation time that a silent holder's row needs.
func take(t *testing.T, l *leaser.Leaser) *leaser.Lease {
	_, err := l.Acquire(t.Context(), name)
	must.ErrorIs(t, err, leaser.ErrHeld)
	time.Sleep(13 * time.Second)
	le, err := l.Acquire(t.Context(), name)
	must.NoError(t, err)
	return le
}

// Guards against a paused holder that resumes and writes under a term that has ended.
func TestPausedHolderIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, tb := newTable()
		a, b := leaser.New(tb, "a"), leaser.New(tb, "b")
		old, err := a.Acquire(t.Context(), name)
		must.NoError(t, err)
		must.NoError(t, old.Transact(t.Context(), write("x")))
		paused := true
		f.Delay = func(r *http.Request) time.Duration {
			// The pause falls between the holder's own check and the write.
			if r.Method == http.MethodPost && paused {
				paused = false
				le := take(t, b)
				must.Greater(t, old.Token(), le.Token())
			}
			return 0
		}
		must.ErrorIs(t, old.Transact(t.Context(), write("y")), leaser.ErrLost)
		_, written := f.Row("y")
		must.False(t, written)
		must.False(t, old.Valid())
		must.ErrorIs(t, old.Renew(t.Context()), leaser.ErrLost)
	})
}

// Guards against a step of the wall clock that ends or extends a term.
func TestClockStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, tb := newTable()
		step := time.Duration(0)
		wall := leaser.WithWall(func() time.Time { return time.Now().Add(step) })
		a, b := leaser.New(tb, "a", wall), leaser.New(tb, "b", wall)
		le, err := a.Acquire(t.Context(), name)
		must.NoError(t, err)
		for _, step = range []time.Duration{time.Hour, -time.Hour} {
			must.True(t, le.Valid())
			_, err = b.Acquire(t.Context(), name)
			must.ErrorIs(t, err, leaser.ErrHeld)
		}
	})
}

// Guards against a lost reply that costs the lease, and against a renewal that extends a term without being applied.
func TestLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, tb := newTable()
		l := leaser.New(tb, "a")
		began := time.Now()
		f.LoseReply = func(r *http.Request) bool {
			return r.Method == http.MethodPost && time.Since(began) < 100*time.Millisecond
		}
		le, err := l.Acquire(t.Context(), name)
		must.NoError(t, err)
		before := le.Deadline()
		f.Unavailable = func(*http.Request) bool { return true }
		must.ErrorIs(t, le.Renew(t.Context()), storer.ErrUnavailable)
		must.Eq(t, before, le.Deadline())
		f.Unavailable = nil
		must.NoError(t, le.Renew(t.Context()))
		must.True(t, le.Deadline().After(before))
	})
}

// Guards against a shutdown that leaves the lease to its term, and work that outlives a lost lease.
func TestKeep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, tb := newTable()
		var down atomic.Bool
		f.Unavailable = func(*http.Request) bool { return down.Load() }
		a, b := leaser.New(tb, "a"), leaser.New(tb, "b")
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			ended <- a.RunWithLease(ctx, name, func(ctx context.Context, _ *leaser.Lease) error {
				<-ctx.Done()
				return ctx.Err()
			})
		}()
		time.Sleep(time.Minute)
		must.Positive(t, a.Counters()["leases-renewed"])
		stop()
		must.NoError(t, <-ended)
		// A released lease is free at once.
		le, err := b.Acquire(t.Context(), name)
		must.NoError(t, err)
		must.Eq(t, 2, le.Token())
		le.Release(t.Context())

		lost := make(chan struct{})
		ctx, stop = context.WithCancel(t.Context())
		go func() {
			ended <- a.RunWithLease(ctx, name, func(ctx context.Context, _ *leaser.Lease) error {
				down.Store(true)
				<-ctx.Done()
				close(lost)
				stop()
				return ctx.Err()
			})
		}()
		<-lost
		must.NoError(t, <-ended)
	})
}

// Guards against two valid holders or a token that does not grow, over random operations of three instances; the
// model is one holder and the highest token.
func TestLeaseModel(t *testing.T) {
	type operation struct{ kind, instance, lost, wait int }
	rapid.Check(t, func(rt *rapid.T) {
		operations := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) operation {
			return operation{
				rapid.IntRange(0, 4).Draw(rt, "kind"), rapid.IntRange(0, 2).Draw(rt, "instance"),
				rapid.IntRange(0, 4).Draw(rt, "lost"), rapid.IntRange(1, 14).Draw(rt, "wait"),
			}
		}), 5, 40).Draw(rt, "operations")
		violation := ""
		synctest.Test(t, func(t *testing.T) {
			f, tb := newTable()
			var leasers [3]*leaser.Leaser
			var leases [3]*leaser.Lease
			highest := uint64(0)
			for i := range leasers {
				leasers[i] = leaser.New(tb, "i")
			}
			for _, op := range operations {
				i, lose := op.instance, op.lost
				f.LoseReply = func(r *http.Request) bool { lose--; return lose >= 0 && r.Method == http.MethodPost }
				switch op.kind {
				case 0:
					if le, err := leasers[i].Acquire(t.Context(), name); err == nil {
						if le.Token() <= highest {
							violation = fmt.Sprintf("token %d after %d", le.Token(), highest)
						}
						highest, leases[i] = le.Token(), le
					}
				case 1:
					if leases[i] != nil {
						_ = leases[i].Renew(t.Context())
					}
				case 2:
					if leases[i] != nil && leases[i].Transact(t.Context(), write("x")) == nil && leases[i].Token() != highest {
						violation = fmt.Sprintf("write under token %d after %d", leases[i].Token(), highest)
					}
				case 3:
					if leases[i] != nil {
						leases[i].Release(t.Context())
					}
				case 4:
					time.Sleep(time.Duration(op.wait) * time.Second)
				}
				valid := 0
				for _, le := range leases {
					if le != nil && le.Valid() {
						valid++
					}
				}
				if valid > 1 {
					violation = fmt.Sprintf("%d valid holders", valid)
				}
			}
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}
