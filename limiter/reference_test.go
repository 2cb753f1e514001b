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

// exactBucket is the expected bucket of one account: the tokens that its rate has earned, up to a burst of two seconds,
// less those that passed.
type exactBucket struct {
	level, rate float64
	updatedAt   time.Time
}

func (b *exactBucket) refill(now time.Time) {
	b.level = min(b.level+now.Sub(b.updatedAt).Seconds()*b.rate, 2*b.rate)
	b.updatedAt = now
}

// roundingTolerance, in tokens, absorbs the rounding of times to nanoseconds.
const roundingTolerance = 1e-3

// Guards against letting more tokens pass than the expected bucket of an account holds, also by an eviction that
// forgives the debt of a bucket; and, as long as no bucket is evicted, against denying tokens that the expected bucket
// holds.
func TestAccountsAgainstExactLevels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const accountCount = 6
		maxBuckets := rapid.IntRange(1, accountCount).Draw(t, "buckets kept")
		now := start
		a := limiter.NewClientAccounts(limiter.WithMaxAccounts(maxBuckets), limiter.WithNow(func() time.Time { return now }))
		accounts := make([]configurer.ClientAccount, accountCount)
		exactBuckets := make([]exactBucket, accountCount)
		for i := range accounts {
			rate := []float64{1000, 100, 10}[i%3]
			accounts[i] = configurer.ClientAccount{Name: identifier.ClientAccount(fmt.Sprint(i)), TokensPerSecond: rate}
			exactBuckets[i] = exactBucket{level: 2 * rate, rate: rate, updatedAt: start}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, accountCount-1).Draw(t, "account")
			tokens := rapid.IntRange(1, 3000).Draw(t, "tokens")
			exact := &exactBuckets[i]
			exact.refill(now)
			level := exact.level
			retryAt, ok := a.Allow(&accounts[i], tokens, now)
			switch {
			case ok && level < min(float64(tokens), 2*exact.rate)-roundingTolerance:
				t.Fatalf("account %d: %d tokens passed at an expected level of %.3f", i, tokens, level)
			case ok:
				exact.level -= float64(tokens)
			case maxBuckets == accountCount && level > min(float64(tokens), 2*exact.rate)+roundingTolerance:
				t.Fatalf("account %d: %d tokens denied at an expected level of %.3f", i, tokens, level)
			case !retryAt.After(now):
				t.Fatalf("retry time %v is not after %v", retryAt, now)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
	})
}
