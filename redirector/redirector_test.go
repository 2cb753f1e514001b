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

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func pool(account string, rank int) redirector.Pool {
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

// Guards against a pool that keeps most requests although it refuses all of them, at much and at little traffic, and against
// one that stays closed after it has recovered.
func TestShareFollowsRefusals(t *testing.T) {
	for _, rate := range []int{1, 10, 100, 1000} {
		t.Run(strconv.Itoa(rate), func(t *testing.T) {
			now, rng := start, rand.New(rand.NewPCG(1, uint64(rate)))
			r := redirector.New(redirector.WithNow(func() time.Time { return now }), redirector.WithRand(rng.Float64))
			offered := 0.0
			const seconds = 60
			for range seconds * rate {
				now = now.Add(time.Second / time.Duration(rate))
				if r.Allow(pool("a", 0)) {
					offered++
					r.RecordRefusal(pool("a", 0))
				}
			}
			must.Less(t, 0.5, offered/float64(seconds*rate))
			must.Positive(t, offered)
			now = now.Add(10 * time.Second)
			must.True(t, r.Allow(pool("a", 0)))
			must.Eq(t, 1.0, shareOf(r, pool("a", 0)))
		})
	}
}

// Guards against refusals of one client account or rank that move the work of another, as when a large account is refused for
// its share, and against shares outside 0 to 1.
func TestPoolsAreIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		r := redirector.New(redirector.WithNow(func() time.Time { return now }), redirector.WithRand(func() float64 { return 0 }))
		refused := map[redirector.Pool]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			p := pool(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"), rapid.IntRange(0, 2).Draw(t, "rank"))
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
					if p := pool(account, rank); !refused[p] && shareOf(r, p) != 1 {
						t.Fatalf("share %v of %v, which refused nothing", shareOf(r, p), p)
					}
				}
			}
		}
	})
}

// Guards against memory that grows with the client accounts that have ever been seen, and against a new pool that is never
// followed because open ones fill the memory.
func TestPoolsAreBounded(t *testing.T) {
	now := start
	r := redirector.New(redirector.WithNow(func() time.Time { return now }), redirector.WithRand(func() float64 { return 0 }))
	const most = 1 << 14
	for i := range 2 * most {
		r.Allow(pool(strconv.Itoa(i), 0))
		r.RecordRefusal(pool(strconv.Itoa(i), 0))
	}
	rows, _ := r.State().([]redirector.PoolState)
	must.LessEq(t, most, len(rows))
	must.Positive(t, r.Counters()["pools-ignored"])
	now = now.Add(20 * time.Second)
	r.RecordRefusal(pool("new", 0))
	must.Less(t, 1, shareOf(r, pool("new", 0)))
}
