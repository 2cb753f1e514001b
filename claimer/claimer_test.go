package claimer_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/claimer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/platformfaker"
	"github.com/siskinfront/siskinfront/storer"
	"github.com/siskinfront/siskinfront/streamer"
)

var (
	print1 = [32]byte{1}
	print2 = [32]byte{2}
)

func newTable() (*platformfaker.Table, *storer.Table) {
	f := platformfaker.NewTable()
	return f, storer.New(netip.MustParseAddrPort("127.0.0.1:1"), storer.WithDo(platformfaker.RoundTripFunc(f)))
}

// Guards against a repeat that runs again or is told anything but the truth, through any instance.
func TestRepeatLearnsTheTruth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		_, tb := newTable()
		a, b := claimer.New(tb), claimer.New(tb)
		cl, err := a.Claim(ctx, "acc", "k", print1, "r1")
		must.NoError(t, err)
		must.Nil(t, cl.Previous)
		must.NoError(t, a.MarkStarted(ctx, cl))
		// A second start, at another agent after a lost reply, must not run.
		must.ErrorIs(t, b.MarkStarted(ctx, cl), claimer.ErrLost)
		rep, err := b.Claim(ctx, "acc", "k", print1, "r2")
		must.NoError(t, err)
		must.True(t, rep.Previous.Running)
		must.ErrorIs(t, b.MarkStarted(ctx, rep), claimer.ErrLost)
		_, err = b.Claim(ctx, "acc", "k", print2, "r3")
		must.ErrorIs(t, err, claimer.ErrMismatch)
		must.NoError(t, a.Finish(ctx, cl, claimer.Result{Outcome: streamer.OutcomeRun, Status: 200, Body: []byte("done")}))
		rep, err = b.Claim(ctx, "acc", "k", print1, "r4")
		must.NoError(t, err)
		must.Eq(t, "done", string(rep.Previous.Body))
		other, err := b.Claim(ctx, "acc2", "k", print2, "r5")
		must.NoError(t, err)
		must.Nil(t, other.Previous)
	})
}

// Guards against a claim of a dead owner that is run again; a late result replaces the unknown.
func TestOwnerDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		_, tb := newTable()
		c := claimer.New(tb)
		cl, err := c.Claim(ctx, "acc", "k", print1, "r1")
		must.NoError(t, err)
		must.NoError(t, c.MarkStarted(ctx, cl))
		time.Sleep(5 * time.Minute)
		for range 2 {
			rep, err := c.Claim(ctx, "acc", "k", print1, "r2")
			must.NoError(t, err)
			must.Eq(t, streamer.OutcomeUnknown, rep.Previous.Outcome)
			must.False(t, rep.Previous.Running)
		}
		must.NoError(t, c.Finish(ctx, cl, claimer.Result{Outcome: streamer.OutcomeRun}))
		rep, err := c.Claim(ctx, "acc", "k", print1, "r3")
		must.NoError(t, err)
		must.Eq(t, streamer.OutcomeRun, rep.Previous.Outcome)
		// A claim that never started is free after its bound, and its owner cannot start any more.
		cl, err = c.Claim(ctx, "acc", "k2", print1, "r4")
		must.NoError(t, err)
		time.Sleep(30 * time.Second)
		next, err := c.Claim(ctx, "acc", "k2", print1, "r5")
		must.NoError(t, err)
		must.Nil(t, next.Previous)
		must.ErrorIs(t, c.MarkStarted(ctx, cl), claimer.ErrLost)
		must.NoError(t, c.MarkStarted(ctx, next))
	})
}

// Guards against a run without a durable claim, a release that frees a run request, and keys kept for ever.
func TestOutageReleaseAndExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		f, tb := newTable()
		c := claimer.New(tb)
		cl, err := c.Claim(ctx, "acc", "k", print1, "r1")
		must.NoError(t, err)
		f.Unavailable = func(*http.Request) bool { return true }
		_, err = c.Claim(ctx, "acc", "k2", print1, "r2")
		must.ErrorIs(t, err, claimer.ErrUnavailable)
		must.ErrorIs(t, c.MarkStarted(ctx, cl), claimer.ErrUnavailable)
		f.Unavailable = nil
		must.NoError(t, c.Release(ctx, cl))
		must.ErrorIs(t, c.MarkStarted(ctx, cl), claimer.ErrLost)
		cl, err = c.Claim(ctx, "acc", "k", print2, "r3")
		must.NoError(t, err)
		must.NoError(t, c.MarkStarted(ctx, cl))
		must.NoError(t, c.Finish(ctx, cl, claimer.Result{Outcome: streamer.OutcomeRun, Body: make([]byte, 300<<10)}))
		must.NoError(t, c.Release(ctx, cl))
		must.Len(t, 1, f.Rows("claim/"))
		rep, err := c.Claim(ctx, "acc", "k", print2, "r4")
		must.NoError(t, err)
		must.True(t, rep.Previous.Truncated)
		time.Sleep(24 * time.Hour)
		n, err := c.Sweep(ctx)
		must.NoError(t, err)
		must.Eq(t, 1, n)
		must.Len(t, 0, f.Rows("claim/"))
	})
}

// oneKey is the sequential model of a key: at most one run, and one result.
type oneKey struct {
	runs    int
	running identifier.Request
	result  string
	refused map[identifier.Request]bool
}

// Guards against histories that no order of atomic operations explains, over random operations of three instances
// with lost replies, late starts and waits. The naive start shows that the model finds a second run.
func TestClaimModel(t *testing.T) {
	type operation struct{ kind, lost, pick, wait int }
	check := func(rt *rapid.T, t *testing.T, naive bool) (violation string) {
		operations := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) operation {
			return operation{
				rapid.IntRange(0, 4).Draw(rt, "kind"), rapid.IntRange(0, 6).Draw(rt, "lost"),
				rapid.IntRange(0, 7).Draw(rt, "pick"), rapid.IntRange(1, 400).Draw(rt, "wait"),
			}
		}), 5, 40).Draw(rt, "operations")
		synctest.Test(t, func(t *testing.T) {
			f, tb := newTable()
			c := claimer.New(tb)
			m := oneKey{refused: map[identifier.Request]bool{}}
			var held []claimer.Claim
			for step, op := range operations {
				lose := op.lost
				f.LoseReply = func(r *http.Request) bool { lose--; return lose >= 0 && r.Method == http.MethodPost }
				req := identifier.Request(fmt.Sprint("r", step))
				var cl claimer.Claim
				if len(held) > 0 {
					cl = held[op.pick%len(held)]
				}
				switch op.kind {
				case 0:
					got, err := c.Claim(t.Context(), "acc", "k", print1, req)
					switch {
					case err != nil:
						m.refused[req] = true
					case got.Previous == nil:
						held = append(held, got)
					case got.Previous.Outcome == streamer.OutcomeRun && got.Previous.Body != nil && identifier.Request(got.Previous.Body) != m.running:
						// A finish without a reply may have stored the result, so any stored one must be of the one run.
						violation = "another result than that of the run"
					}
				case 1:
					if len(held) == 0 {
						continue
					}
					err := c.MarkStarted(t.Context(), cl)
					if err == nil || naive {
						m.runs++
						m.running = cl.Request
						if m.refused[cl.Request] {
							violation = "ran after it was refused"
						}
					} else {
						m.refused[cl.Request] = m.running != cl.Request
					}
				case 2:
					if m.running == "" || m.result != "" {
						continue
					}
					r := claimer.Result{Outcome: streamer.OutcomeRun, Body: []byte(m.running)}
					run := claimer.Claim{Key: "claim/acc/k", Request: m.running}
					if c.Finish(t.Context(), run, r) == nil {
						m.result = string(m.running)
					}
				case 3:
					if len(held) > 0 && cl.Request != m.running {
						if c.Release(t.Context(), cl) == nil {
							m.refused[cl.Request] = true
						}
					}
				case 4:
					time.Sleep(time.Duration(op.wait) * time.Second)
				}
			}
			if m.runs > 1 {
				violation = fmt.Sprint(m.runs, " runs")
			}
		})
		return violation
	}
	t.Run("protected", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			if v := check(rt, t, false); v != "" {
				rt.Fatal(v)
			}
		})
	})
	t.Run("naive start is found", func(t *testing.T) {
		found := false
		rapid.Check(t, func(rt *rapid.T) { found = strings.HasSuffix(check(rt, t, true), "runs") || found })
		must.True(t, found)
	})
}
