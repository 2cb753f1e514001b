package redirector_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/redirector"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newPool(account string, rank int) redirector.Pool {
	return redirector.Pool{
		ClientAccount: identifier.ClientAccount(account), Target: identifier.Target{Model: "finch", Version: "1"}, Rank: rank,
	}
}

// shareOf returns the share that the state dump shows for p.
func shareOf(r *redirector.Redirector, p redirector.Pool) float64 {
	rows, _ := r.State().([]redirector.PoolState)
	for _, row := range rows {
		if row.Pool == p {
			return row.Share
		}
	}
	return 1
}

// Guards against a pool that is still offered most requests although it refuses all of them, at high and at low rates, and
// against one that is offered too few after it has recovered.
func TestShareFollowsRefusals(t *testing.T) {
	for _, rate := range []int{1, 10, 100, 1000} {
		t.Run(strconv.Itoa(rate), func(t *testing.T) {
			now, rng := startTime, rand.New(rand.NewPCG(1, uint64(rate)))
			r := redirector.New(redirector.WithNow(func() time.Time { return now }), redirector.WithRand(rng.Float64))
			allowed := 0.0
			const seconds = 60
			for range seconds * rate {
				now = now.Add(time.Second / time.Duration(rate))
				if r.Allow(newPool("a", 0)) {
					allowed++
					r.RecordRefusal(newPool("a", 0))
				}
			}
			must.Less(t, 0.5, allowed/float64(seconds*rate))
			must.Positive(t, allowed)
			now = now.Add(10 * time.Second)
			must.True(t, r.Allow(newPool("a", 0)))
			must.Eq(t, 1.0, shareOf(r, newPool("a", 0)))
		})
	}
}

// Guards against refusals of one client account or rank that redirect the work of another, for instance when an account
// that exceeds its fair share is refused, and against shares outside 0 to 1.
func TestPoolsAreIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := startTime
		r := redirector.New(redirector.WithNow(func() time.Time { return now }), redirector.WithRand(func() float64 { return 0 }))
		refused := map[redirector.Pool]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			p := newPool(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"), rapid.IntRange(0, 2).Draw(t, "rank"))
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if r.Allow(p) && rapid.Bool().Draw(t, "refused") {
				before := shareOf(r, p)
				r.RecordRefusal(p)
				refused[p] = true
				if after := shareOf(r, p); after < 0 || after >= before {
					t.Fatalf("share %v after a refusal at %v", after, before)
				}
			}
			for _, account := range []string{"a", "b"} {
				for rank := range 3 {
					if p := newPool(account, rank); !refused[p] && shareOf(r, p) != 1 {
						t.Fatalf("share %v of %v, which refused nothing", shareOf(r, p), p)
					}
				}
			}
		}
	})
}

// Guards against memory that grows with the number of client accounts ever seen, and against a new pool that is never
// tracked because pools with a share of 1 take all places.
func TestPoolsAreBounded(t *testing.T) {
	now := startTime
	r := redirector.New(redirector.WithNow(func() time.Time { return now }), redirector.WithRand(func() float64 { return 0 }))
	const maxPools = 1 << 14
	for i := range 2 * maxPools {
		r.Allow(newPool(strconv.Itoa(i), 0))
		r.RecordRefusal(newPool(strconv.Itoa(i), 0))
	}
	rows, _ := r.State().([]redirector.PoolState)
	must.LessEq(t, maxPools, len(rows))
	must.Positive(t, r.Counters()["pools-ignored"])
	now = now.Add(20 * time.Second)
	r.RecordRefusal(newPool("new", 0))
	must.Less(t, 1, shareOf(r, newPool("new", 0)))
}
