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
	fingerprint1 = [32]byte{1}
	fingerprint2 = [32]byte{2}
)

func newTable() (*platformfaker.Table, *storer.Table) {
	f := platformfaker.NewTable()
	return f, storer.NewTable(netip.MustParseAddrPort("127.0.0.1:1"), storer.WithRoundTrip(platformfaker.RoundTripFunc(f)))
}

// Guards against a repeated request that runs again or gets another result than the first run, through any instance.
func TestRepeatGetsStoredResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		_, tb := newTable()
		a, b := claimer.New(tb), claimer.New(tb)
		cl, err := a.Claim(ctx, "acc", "k", fingerprint1, "r1")
		must.NoError(t, err)
		must.Nil(t, cl.Previous)
		must.NoError(t, a.MarkStarted(ctx, cl))
		// A second start, at another agent after a lost reply, must not run.
		must.ErrorIs(t, b.MarkStarted(ctx, cl), claimer.ErrLost)
		repeat, err := b.Claim(ctx, "acc", "k", fingerprint1, "r2")
		must.NoError(t, err)
		must.True(t, repeat.Previous.Running)
		must.ErrorIs(t, b.MarkStarted(ctx, repeat), claimer.ErrLost)
		_, err = b.Claim(ctx, "acc", "k", fingerprint2, "r3")
		must.ErrorIs(t, err, claimer.ErrMismatch)
		must.NoError(t, a.Finish(ctx, cl, claimer.Result{Outcome: streamer.OutcomeRun, Status: 200, Body: []byte("done")}))
		repeat, err = b.Claim(ctx, "acc", "k", fingerprint1, "r4")
		must.NoError(t, err)
		must.Eq(t, "done", string(repeat.Previous.Body))
		other, err := b.Claim(ctx, "acc2", "k", fingerprint2, "r5")
		must.NoError(t, err)
		must.Nil(t, other.Previous)
	})
}

// Guards against a request that runs again after its owner died; a late result replaces the unknown outcome.
func TestAbandonedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		_, tb := newTable()
		c := claimer.New(tb)
		cl, err := c.Claim(ctx, "acc", "k", fingerprint1, "r1")
		must.NoError(t, err)
		must.NoError(t, c.MarkStarted(ctx, cl))
		time.Sleep(5 * time.Minute)
		for range 2 {
			repeat, err := c.Claim(ctx, "acc", "k", fingerprint1, "r2")
			must.NoError(t, err)
			must.Eq(t, streamer.OutcomeUnknown, repeat.Previous.Outcome)
			must.False(t, repeat.Previous.Running)
		}
		must.NoError(t, c.Finish(ctx, cl, claimer.Result{Outcome: streamer.OutcomeRun}))
		repeat, err := c.Claim(ctx, "acc", "k", fingerprint1, "r3")
		must.NoError(t, err)
		must.Eq(t, streamer.OutcomeRun, repeat.Previous.Outcome)
		// A claim whose request did not start is free after the start timeout, and its owner can no longer start it.
		cl, err = c.Claim(ctx, "acc", "k2", fingerprint1, "r4")
		must.NoError(t, err)
		time.Sleep(30 * time.Second)
		next, err := c.Claim(ctx, "acc", "k2", fingerprint1, "r5")
		must.NoError(t, err)
		must.Nil(t, next.Previous)
		must.ErrorIs(t, c.MarkStarted(ctx, cl), claimer.ErrLost)
		must.NoError(t, c.MarkStarted(ctx, next))
	})
}

// Guards against a run without a durable claim, a release that frees the key of a request that ran, and claims that are
// never removed.
func TestOutageReleaseAndExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		f, tb := newTable()
		c := claimer.New(tb)
		cl, err := c.Claim(ctx, "acc", "k", fingerprint1, "r1")
		must.NoError(t, err)
		f.Unavailable = func(*http.Request) bool { return true }
		_, err = c.Claim(ctx, "acc", "k2", fingerprint1, "r2")
		must.ErrorIs(t, err, claimer.ErrUnavailable)
		must.ErrorIs(t, c.MarkStarted(ctx, cl), claimer.ErrUnavailable)
		f.Unavailable = nil
		must.NoError(t, c.Release(ctx, cl))
		must.ErrorIs(t, c.MarkStarted(ctx, cl), claimer.ErrLost)
		cl, err = c.Claim(ctx, "acc", "k", fingerprint2, "r3")
		must.NoError(t, err)
		must.NoError(t, c.MarkStarted(ctx, cl))
		must.NoError(t, c.Finish(ctx, cl, claimer.Result{Outcome: streamer.OutcomeRun, Body: make([]byte, 300<<10)}))
		must.NoError(t, c.Release(ctx, cl))
		must.Len(t, 1, f.Rows("claim/"))
		repeat, err := c.Claim(ctx, "acc", "k", fingerprint2, "r4")
		must.NoError(t, err)
		must.True(t, repeat.Previous.Truncated)
		time.Sleep(24 * time.Hour)
		n, err := c.Sweep(ctx)
		must.NoError(t, err)
		must.Eq(t, 1, n)
		must.Len(t, 0, f.Rows("claim/"))
	})
}

// keyModel is the sequential model of a key: at most one run, and one result.
type keyModel struct {
	runs           int
	startedRequest identifier.Request
	result         string
	// refused holds the requests that were told that they did not run.
	refused map[identifier.Request]bool
}

// Guards against results that no sequential order of the operations explains, in random operations with lost replies, late
// starts and waits. With starts that ignore errors, the model finds a second run.
func TestClaimModel(t *testing.T) {
	type operation struct{ kind, lostReplies, claimIndex, wait int }
	check := func(rt *rapid.T, t *testing.T, ignoreStartErrors bool) (violation string) {
		operations := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) operation {
			return operation{
				rapid.IntRange(0, 4).Draw(rt, "kind"), rapid.IntRange(0, 6).Draw(rt, "lost"),
				rapid.IntRange(0, 7).Draw(rt, "pick"), rapid.IntRange(1, 400).Draw(rt, "wait"),
			}
		}), 5, 40).Draw(rt, "operations")
		synctest.Test(t, func(t *testing.T) {
			f, tb := newTable()
			c := claimer.New(tb)
			model := keyModel{refused: map[identifier.Request]bool{}}
			var claims []claimer.Claim
			for step, op := range operations {
				repliesToLose := op.lostReplies
				f.LoseReply = func(r *http.Request) bool { repliesToLose--; return repliesToLose >= 0 && r.Method == http.MethodPost }
				req := identifier.Request(fmt.Sprint("r", step))
				var cl claimer.Claim
				if len(claims) > 0 {
					cl = claims[op.claimIndex%len(claims)]
				}
				switch op.kind {
				case 0:
					got, err := c.Claim(t.Context(), "acc", "k", fingerprint1, req)
					switch {
					case err != nil:
						model.refused[req] = true
					case got.Previous == nil:
						claims = append(claims, got)
					case got.Previous.Outcome == streamer.OutcomeRun && got.Previous.Body != nil &&
						identifier.Request(got.Previous.Body) != model.startedRequest:
						// A finish whose reply was lost may have stored the result, so a stored result must be that of the one run.
						violation = "result differs from that of the run"
					}
				case 1:
					if len(claims) == 0 {
						continue
					}
					err := c.MarkStarted(t.Context(), cl)
					if err == nil || ignoreStartErrors {
						model.runs++
						model.startedRequest = cl.Request
						if model.refused[cl.Request] {
							violation = "ran after it was refused"
						}
					} else {
						model.refused[cl.Request] = model.startedRequest != cl.Request
					}
				case 2:
					if model.startedRequest == "" || model.result != "" {
						continue
					}
					r := claimer.Result{Outcome: streamer.OutcomeRun, Body: []byte(model.startedRequest)}
					run := claimer.Claim{Key: "claim/acc/k", Request: model.startedRequest}
					if c.Finish(t.Context(), run, r) == nil {
						model.result = string(model.startedRequest)
					}
				case 3:
					if len(claims) > 0 && cl.Request != model.startedRequest {
						if c.Release(t.Context(), cl) == nil {
							model.refused[cl.Request] = true
						}
					}
				case 4:
					time.Sleep(time.Duration(op.wait) * time.Second)
				}
			}
			if model.runs > 1 {
				violation = fmt.Sprint(model.runs, " runs")
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
	t.Run("finds unprotected start", func(t *testing.T) {
		found := false
		rapid.Check(t, func(rt *rapid.T) { found = strings.HasSuffix(check(rt, t, true), "runs") || found })
		must.True(t, found)
	})
}
