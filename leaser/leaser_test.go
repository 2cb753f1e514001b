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

const leaseName = "rollout/m"

func newTable() (*platformfaker.Table, *storer.Table) {
	f := platformfaker.NewTable()
	return f, storer.NewTable(netip.MustParseAddrPort("127.0.0.1:1"), storer.WithRoundTrip(platformfaker.RoundTripFunc(f)))
}

func newWrite(key string) storer.Transaction {
	return storer.Transaction{Writes: []storer.Write{{Key: key, Value: []byte("1")}}}
}

// takeOver acquires the lease of a holder that no longer renews it, after seeing its row unchanged for the term and margin.
func takeOver(t *testing.T, l *leaser.Leaser) *leaser.Lease {
	_, err := l.Acquire(t.Context(), leaseName)
	must.ErrorIs(t, err, leaser.ErrHeld)
	time.Sleep(13 * time.Second)
	le, err := l.Acquire(t.Context(), leaseName)
	must.NoError(t, err)
	return le
}

// Guards against a paused holder that resumes and writes under a term that has ended.
func TestPausedHolderIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, tb := newTable()
		a, b := leaser.New(tb, "a"), leaser.New(tb, "b")
		oldLease, err := a.Acquire(t.Context(), leaseName)
		must.NoError(t, err)
		must.NoError(t, oldLease.Transact(t.Context(), newWrite("x")))
		pauseNext := true
		f.Delay = func(r *http.Request) time.Duration {
			// The pause falls between the holder's own check and the write.
			if r.Method == http.MethodPost && pauseNext {
				pauseNext = false
				le := takeOver(t, b)
				must.Greater(t, oldLease.Token(), le.Token())
			}
			return 0
		}
		must.ErrorIs(t, oldLease.Transact(t.Context(), newWrite("y")), leaser.ErrLost)
		_, written := f.Row("y")
		must.False(t, written)
		must.False(t, oldLease.Valid())
		must.ErrorIs(t, oldLease.Renew(t.Context()), leaser.ErrLost)
	})
}

// Guards against a jump of the wall clock that ends or extends a term.
func TestClockStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, tb := newTable()
		clockStep := time.Duration(0)
		wall := leaser.WithWallClock(func() time.Time { return time.Now().Add(clockStep) })
		a, b := leaser.New(tb, "a", wall), leaser.New(tb, "b", wall)
		le, err := a.Acquire(t.Context(), leaseName)
		must.NoError(t, err)
		for _, clockStep = range []time.Duration{time.Hour, -time.Hour} {
			must.True(t, le.Valid())
			_, err = b.Acquire(t.Context(), leaseName)
			must.ErrorIs(t, err, leaser.ErrHeld)
		}
	})
}

// Guards against a lost reply that makes the holder lose the lease, and against a failed renewal that extends the term.
func TestLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, tb := newTable()
		l := leaser.New(tb, "a")
		startedAt := time.Now()
		f.LoseReply = func(r *http.Request) bool {
			return r.Method == http.MethodPost && time.Since(startedAt) < 100*time.Millisecond
		}
		le, err := l.Acquire(t.Context(), leaseName)
		must.NoError(t, err)
		oldDeadline := le.Deadline()
		f.Unavailable = func(*http.Request) bool { return true }
		must.ErrorIs(t, le.Renew(t.Context()), storer.ErrUnavailable)
		must.Eq(t, oldDeadline, le.Deadline())
		f.Unavailable = nil
		must.NoError(t, le.Renew(t.Context()))
		must.True(t, le.Deadline().After(oldDeadline))
	})
}

// Guards against a shutdown that does not release the lease, and against work that goes on after the lease was lost.
func TestRunWithLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, tb := newTable()
		var tableDown atomic.Bool
		f.Unavailable = func(*http.Request) bool { return tableDown.Load() }
		a, b := leaser.New(tb, "a"), leaser.New(tb, "b")
		ctx, stop := context.WithCancel(t.Context())
		result := make(chan error, 1)
		go func() {
			result <- a.RunWithLease(ctx, leaseName, func(ctx context.Context, _ *leaser.Lease) error {
				<-ctx.Done()
				return ctx.Err()
			})
		}()
		time.Sleep(time.Minute)
		must.Positive(t, a.Counters()["leases-renewed"])
		stop()
		must.NoError(t, <-result)
		// A released lease is free at once.
		le, err := b.Acquire(t.Context(), leaseName)
		must.NoError(t, err)
		must.Eq(t, 2, le.Token())
		le.Release(t.Context())

		leaseLost := make(chan struct{})
		ctx, stop = context.WithCancel(t.Context())
		go func() {
			result <- a.RunWithLease(ctx, leaseName, func(ctx context.Context, _ *leaser.Lease) error {
				tableDown.Store(true)
				<-ctx.Done()
				close(leaseLost)
				stop()
				return ctx.Err()
			})
		}()
		<-leaseLost
		must.NoError(t, <-result)
	})
}

// Guards against two valid holders at once, a token that does not grow and a write under an old token, in random operations
// of three leasers with lost replies. The model is one holder and the highest token.
func TestLeaseModel(t *testing.T) {
	type operation struct{ kind, instance, lostReplies, wait int }
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
			highestToken := uint64(0)
			for i := range leasers {
				leasers[i] = leaser.New(tb, "i")
			}
			for _, op := range operations {
				i, repliesToLose := op.instance, op.lostReplies
				f.LoseReply = func(r *http.Request) bool { repliesToLose--; return repliesToLose >= 0 && r.Method == http.MethodPost }
				switch op.kind {
				case 0:
					if le, err := leasers[i].Acquire(t.Context(), leaseName); err == nil {
						if le.Token() <= highestToken {
							violation = fmt.Sprintf("token %d after %d", le.Token(), highestToken)
						}
						highestToken, leases[i] = le.Token(), le
					}
				case 1:
					if leases[i] != nil {
						_ = leases[i].Renew(t.Context())
					}
				case 2:
					if leases[i] != nil && leases[i].Transact(t.Context(), newWrite("x")) == nil && leases[i].Token() != highestToken {
						violation = fmt.Sprintf("write under token %d after %d", leases[i].Token(), highestToken)
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
