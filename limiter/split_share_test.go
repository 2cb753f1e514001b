package limiter_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/limiter"
)

// measurePassedShare sends 1.2 times the limit of an account through some of the entries for a minute and returns the
// part of the limit that passed.
func measurePassedShare(usedEntries int, share func(entry int) float64) float64 {
	acc := configurer.ClientAccount{Name: "a", TokensPerSecond: 33_000}
	const tokens, duration = 100, time.Minute
	passedTokens := 0
	interval := time.Duration(tokens / (1.2 * acc.TokensPerSecond) * float64(time.Second))
	now := start
	limits := make([]*limiter.ClientAccounts, usedEntries)
	for i := range limits {
		limits[i] = limiter.NewClientAccounts(limiter.WithShare(func(*configurer.ClientAccount) float64 { return share(i) }))
	}
	for n := 0; now.Before(start.Add(duration)); n++ {
		if _, ok := limits[n%usedEntries].Allow(&acc, tokens, now); ok {
			passedTokens += tokens
		}
		now = now.Add(interval)
	}
	return float64(passedTokens) / (acc.TokensPerSecond * duration.Seconds())
}

// Guards against shares by demand that lose a part of the limit, or exceed it by more than the bursts, when a caller
// sticks to few entries. With equal shares such a caller gets only the shares of the entries that it uses.
func TestSharesWhenCallersStick(t *testing.T) {
	const entries = 330
	const burstShare = 2.0 / 60 // two seconds in a minute
	for _, usedEntries := range []int{1, 3, 30, 330} {
		demands := make([]float64, entries)
		for i := range usedEntries {
			demands[i] = 1.2 * 33_000 / float64(usedEntries)
		}
		shares := limiter.SplitByDemand(33_000, demands)
		withEqualShares := measurePassedShare(usedEntries, func(int) float64 { return 1.0 / entries })
		withSharesByDemand := measurePassedShare(usedEntries, func(i int) float64 { return shares[i] / 33_000 })
		t.Logf("%d of %d entries used: equal shares pass %.3f of the limit, shares by demand %.3f",
			usedEntries, entries, withEqualShares, withSharesByDemand)
		must.Between(t, 0.98, withSharesByDemand, 1+burstShare+0.01)
		// Equal shares lose the part of the limit that belongs to entries which the caller does not use.
		must.True(t, math.Abs(withEqualShares-float64(usedEntries)/entries) < burstShare+0.01)
	}
}
