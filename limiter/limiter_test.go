package limiter_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/limiter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func half(*configurer.ClientAccount) float64 { return 0.5 }

// Guards against retry storms: retries beyond 10% of successes, the floor, and the one retry held at the start.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		b := limiter.NewBudget(limiter.WithNow(func() time.Time { return now }))
		successes, allowed := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				b.Success()
				successes++
			case 1:
				if b.Allow() {
					allowed++
				}
			default:
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			}
		}
		limit := 1 + 0.1*float64(successes) + 0.2*now.Sub(start).Seconds()
		if float64(allowed) > limit+1e-6 {
			t.Fatalf("%d retries allowed, limit %.2f", allowed, limit)
		}
	})
}

// Guards against attempts that are given up early and leave no retry for those that failed.
func TestBudgetKeepsOneForFailures(t *testing.T) {
	now := start
	b := limiter.NewBudget(limiter.WithNow(func() time.Time { return now }))
	must.False(t, b.AllowEarly())
	for range 20 {
		b.Success()
	}
	early := 0
	for b.AllowEarly() {
		early++
	}
	must.Eq(t, 2, early)
	must.True(t, b.Allow())
	must.False(t, b.Allow())
}

// Guards against a budget that denies earned retries.
func TestBudgetEarnsRetries(t *testing.T) {
	b := limiter.NewBudget(limiter.WithNow(func() time.Time { return start }))
	must.True(t, b.Allow())
	must.False(t, b.Allow())
	for range 10 {
		b.Success()
	}
	must.True(t, b.Allow())
	must.False(t, b.Allow())
}

// Guards against a retry time at which the account is denied again, and against growth of memory.
func TestAccountsRetryTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := limiter.NewAccounts(limiter.WithShare(half),
			limiter.WithMaxAccounts(2), limiter.WithNow(func() time.Time { return start }))
		accounts := []configurer.ClientAccount{
			{Name: "a", TokensPerSecond: 1000}, {Name: "b", TokensPerSecond: 100}, {Name: "c", TokensPerSecond: 10},
		}
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			acc := &accounts[rapid.IntRange(0, 2).Draw(t, "account")]
			tokens := rapid.IntRange(1, 500).Draw(t, "tokens")
			retryAt, ok := a.Allow(acc, tokens, now)
			if !ok {
				if _, again := a.Allow(acc, tokens, retryAt); !again {
					t.Fatalf("denied again at its retry time")
				}
				now = retryAt
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
		}
		if n := len(a.State().(limiter.AccountsState).Levels); n > 2 {
			t.Fatalf("%d buckets kept", n)
		}
	})
}

// Guards against a long-run rate above the entry's share and against a total that the sum of accounts exceeds.
func TestAccountsHierarchy(t *testing.T) {
	now := start
	a := limiter.NewAccounts(limiter.WithTotal(100), limiter.WithShare(half), limiter.WithNow(func() time.Time { return now }))
	one := configurer.ClientAccount{Name: "one", TokensPerSecond: 160}
	free := configurer.ClientAccount{Name: "free"}
	used := map[identifier.ClientAccount]int{}
	for range 10_000 {
		for _, acc := range []*configurer.ClientAccount{&one, &free} {
			if _, ok := a.Allow(acc, 3, now); ok {
				used[acc.Name] += 3
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	must.Between(t, 90*100, used["one"]+used["free"], 100*100+200+6)
	must.LessEq(t, 80*100+160+3, used["one"])
}

// Guards against shares that exceed the deployment-wide limit or starve an entry below an equal part it asks for.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1e4), 1, 50).Draw(t, "demands")
		const limit = 1000.0
		shares := limiter.Split(limit, demands)
		sum := 0.0
		for i, s := range shares {
			sum += s
			if s < min(demands[i], limit/float64(len(demands)))-1e-6 {
				t.Fatalf("entry %d gets %.2f", i, s)
			}
		}
		if math.Abs(sum-limit) > 1e-6 {
			t.Fatalf("shares add up to %.6f", sum)
		}
	})
}

func BenchmarkBorrowerUse(b *testing.B) {
	shares := limiter.NewBorrower("entry", func() int { return 330 }, func() time.Time { return start })
	a := limiter.NewAccounts(limiter.WithShare(shares.Share))
	acc := configurer.ClientAccount{Name: "a", TokensPerSecond: 1e9}
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		shares.RecordDemand(&acc, 10, now)
		a.Allow(&acc, 10, now)
	}
}

func BenchmarkAccountsAllow(b *testing.B) {
	a := limiter.NewAccounts()
	acc := configurer.ClientAccount{Name: "a", TokensPerSecond: 1e9}
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		a.Allow(&acc, 10, now)
	}
}
