package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/limiter"
)

// reference is the exact level of one account: what its rate has earned up to a burst of two seconds, less what passed.
type reference struct {
	level, rate float64
	at          time.Time
}

func (r *reference) refill(now time.Time) {
	r.level = min(r.level+now.Sub(r.at).Seconds()*r.rate, 2*r.rate)
	r.at = now
}

// slack absorbs rounding of times to nanoseconds, in tokens.
const slack = 1e-3

// Guards against tokens that pass beyond the exact account of each client account, also after evictions of buckets in
// debt, and, while no bucket is evicted, against a denial that the exact account does not justify.
func TestAccountsAgainstExactLevels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const names = 6
		most := rapid.IntRange(1, names).Draw(t, "buckets kept")
		now := start
		a := limiter.NewAccounts(limiter.WithMaxAccounts(most), limiter.WithNow(func() time.Time { return now }))
		accounts := make([]configurer.ClientAccount, names)
		levels := make([]reference, names)
		for i := range accounts {
			rate := []float64{1000, 100, 10}[i%3]
			accounts[i] = configurer.ClientAccount{Name: identifier.ClientAccount(fmt.Sprint(i)), TokensPerSecond: rate}
			levels[i] = reference{level: 2 * rate, rate: rate, at: start}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, names-1).Draw(t, "account")
			tokens := rapid.IntRange(1, 3000).Draw(t, "tokens")
			r := &levels[i]
			r.refill(now)
			before := r.level
			retryAt, ok := a.Allow(&accounts[i], tokens, now)
			switch {
			case ok && before < min(float64(tokens), 2*r.rate)-slack:
				t.Fatalf("account %d: %d tokens passed at a level of %.3f", i, tokens, before)
			case ok:
				r.level -= float64(tokens)
			case most == names && before > min(float64(tokens), 2*r.rate)+slack:
				t.Fatalf("account %d: %d tokens denied at a level of %.3f", i, tokens, before)
			case !retryAt.After(now):
				t.Fatalf("retry time %v is not after %v", retryAt, now)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
	})
}
