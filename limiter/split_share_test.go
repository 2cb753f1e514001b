package limiter_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/limiter"
)

// served sends 1.2 times the limit of an account through some of the entries for a minute and returns the part of the
// limit that passed.
func served(used int, share func(entry int) float64) float64 {
	acc := configurer.ClientAccount{Name: "a", TokensPerSecond: 33_000}
	const tokens, duration = 100, time.Minute
	passed := 0
	gap := time.Duration(tokens / (1.2 * acc.TokensPerSecond) * float64(time.Second))
	now := start
	limits := make([]*limiter.ClientAccounts, used)
	for i := range limits {
		limits[i] = limiter.NewAccounts(limiter.WithShare(func(*configurer.ClientAccount) float64 { return share(i) }))
	}
	for n := 0; now.Before(start.Add(duration)); n++ {
		if _, ok := limits[n%used].Allow(&acc, tokens, now); ok {
			passed += tokens
		}
		now = now.Add(gap)
	}
	return float64(passed) / (acc.TokensPerSecond * duration.Seconds())
}

// Guards against shares by demand that lose a part of the limit, or exceed it beyond the bursts, when a caller sticks to
// few entries; equal shares leave such a caller only the part of its entries.
func TestSharesWhenCallersStick(t *testing.T) {
	const entries = 330
	const bursts = 2.0 / 60 // two seconds of the limit
	for _, used := range []int{1, 3, 30, 330} {
		demands := make([]float64, entries)
		for i := range used {
			demands[i] = 1.2 * 33_000 / float64(used)
		}
		shares := limiter.Split(33_000, demands)
		equal := served(used, func(int) float64 { return 1.0 / entries })
		byDemand := served(used, func(i int) float64 { return shares[i] / 33_000 })
		t.Logf("%d of %d entries used: equal shares pass %.3f of the limit, shares by demand %.3f", used, entries, equal, byDemand)
		must.Between(t, 0.98, byDemand, 1+bursts+0.01)
		// The measured loss of equal shares is the part of the entries that the caller does not use.
		must.True(t, math.Abs(equal-float64(used)/entries) < bursts+0.01)
	}
}
