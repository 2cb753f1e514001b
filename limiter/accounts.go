package limiter

import (
	"container/list"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// bucket is a token bucket that may go into debt: a request larger than the burst passes when the bucket is full, and
// its whole cost must be paid back before the next request passes. In contrast, rate.Limiter of x/time always rejects
// such a request.
type bucket struct {
	level     float64 // tokens; negative while in debt
	rate      float64 // tokens per second
	burst     float64 // tokens
	updatedAt time.Time
}

func (b *bucket) refill(now time.Time) {
	if dt := now.Sub(b.updatedAt); dt > 0 {
		b.level = min(b.level+dt.Seconds()*b.rate, b.burst)
		b.updatedAt = now
	}
}

// waitFor returns the time until a request of some tokens may pass; 0 means now.
func (b *bucket) waitFor(tokens float64) time.Duration {
	missing := min(tokens, b.burst) - b.level
	if missing <= levelTolerance {
		return 0
	}
	seconds := missing / b.rate
	if seconds > maxRetryDelay.Seconds() {
		return maxRetryDelay
	}
	return time.Duration(seconds*float64(time.Second)) + 1
}

// maxRetryDelay bounds the advised time until a retry when the entry's share of a limit is close to zero.
const maxRetryDelay = time.Hour

type accountBucket struct {
	name   identifier.ClientAccount
	bucket bucket
}

// ClientAccounts limits the tokens of each client account and of the entry as a whole; it is safe for concurrent use.
type ClientAccounts struct {
	opts options

	mu                  sync.Mutex
	total               *bucket
	byName              map[identifier.ClientAccount]*list.Element
	lru                 *list.List // *accountBucket, the most recently used first
	lastLossyEvictionAt time.Time  // last eviction of a bucket that was not full
	requestsAllowed     int64
	requestsDenied      int64
	bucketsEvicted      int64
}

// NewClientAccounts returns limits whose buckets start full.
func NewClientAccounts(opts ...Option) *ClientAccounts {
	a := &ClientAccounts{
		opts: newOptions(opts), byName: make(map[identifier.ClientAccount]*list.Element), lru: list.New(),
	}
	if a.opts.totalTokensPerSecond > 0 {
		burst := a.opts.totalTokensPerSecond * a.opts.burstWindow.Seconds()
		a.total = &bucket{level: burst, rate: a.opts.totalTokensPerSecond, burst: burst, updatedAt: a.opts.now()}
	}
	return a
}

// Allow takes tokens from the bucket of an account and from the total, or from neither. If it denies the request,
// retryAt is when to try again.
func (a *ClientAccounts) Allow(acc *configurer.ClientAccount, tokens int, now time.Time) (retryAt time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	cost := float64(tokens)
	var b *bucket
	var wait time.Duration
	if acc.TokensPerSecond > 0 {
		if b, wait = a.bucketFor(acc, cost, now); b != nil {
			wait = b.waitFor(cost)
		}
	}
	if a.total != nil {
		a.total.refill(now)
		wait = max(wait, a.total.waitFor(cost))
	}
	if wait > 0 {
		a.requestsDenied++
		return now.Add(wait), false
	}
	if b != nil {
		b.level -= cost
	}
	if a.total != nil {
		a.total.level -= cost
	}
	a.requestsAllowed++
	return time.Time{}, true
}

// Return gives back the tokens that an allowed request did not use.
func (a *ClientAccounts) Return(acc *configurer.ClientAccount, tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e, ok := a.byName[acc.Name]; ok {
		b := &e.Value.(*accountBucket).bucket
		b.level = min(b.level+float64(tokens), b.burst)
	}
	if a.total != nil {
		a.total.level = min(a.total.level+float64(tokens), a.total.burst)
	}
}

// bucketFor returns the bucket of an account. If there is no room for another bucket, it returns nil and the time until
// there is room and the request may pass.
func (a *ClientAccounts) bucketFor(acc *configurer.ClientAccount, cost float64, now time.Time) (*bucket, time.Duration) {
	rate := max(acc.TokensPerSecond*a.opts.accountShare(acc), minTokensPerSecond)
	burst := rate * a.opts.burstWindow.Seconds()
	if e, ok := a.byName[acc.Name]; ok {
		a.lru.MoveToFront(e)
		b := &e.Value.(*accountBucket).bucket
		b.refill(now)
		b.rate, b.burst, b.level = rate, burst, min(b.level, burst)
		return b, 0
	}
	level := burst
	if !a.lastLossyEvictionAt.IsZero() {
		// The account may be the one whose bucket was evicted then, which was free of debt but possibly empty.
		level = min(now.Sub(a.lastLossyEvictionAt).Seconds()*rate, burst)
	}
	if a.lru.Len() >= a.opts.maxAccounts {
		if wait := a.evict(now); wait > 0 {
			missing := max(min(cost, burst)-level, 0)
			return nil, max(wait, time.Duration(min(missing/rate, maxRetryDelay.Seconds())*float64(time.Second))+1)
		}
	}
	e := a.lru.PushFront(&accountBucket{name: acc.Name, bucket: bucket{level: level, rate: rate, burst: burst, updatedAt: now}})
	a.byName[acc.Name] = e
	return &e.Value.(*accountBucket).bucket, 0
}

// minTokensPerSecond keeps the arithmetic finite when the entry's share is zero.
const minTokensPerSecond = 1e-3

// evict drops the least recently used bucket that is not in debt. If all are in debt, it drops none, since that would
// forgive the debt, and returns the time until the first debt is paid.
func (a *ClientAccounts) evict(now time.Time) time.Duration {
	wait := maxRetryDelay
	for e := a.lru.Back(); e != nil; e = e.Prev() {
		candidate := e.Value.(*accountBucket)
		b := &candidate.bucket
		b.refill(now)
		if b.level < -levelTolerance {
			wait = min(wait, time.Duration(-b.level/b.rate*float64(time.Second))+1)
			continue
		}
		if b.level < b.burst {
			a.lastLossyEvictionAt = now
		}
		a.lru.Remove(e)
		delete(a.byName, candidate.name)
		a.bucketsEvicted++
		return 0
	}
	return wait
}

// Counters returns the monotonic counters of the limits.
func (a *ClientAccounts) Counters() map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return map[string]int64{
		"requests-allowed": a.requestsAllowed, "requests-limited": a.requestsDenied, "buckets-evicted": a.bucketsEvicted,
	}
}

// ClientAccountsState is the state dump of ClientAccounts: the level of each bucket in tokens, negative while in debt.
type ClientAccountsState struct {
	Levels map[identifier.ClientAccount]float64 `json:"levels"`
}

// State returns the state dump, a ClientAccountsState.
func (a *ClientAccounts) State() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := ClientAccountsState{Levels: make(map[identifier.ClientAccount]float64, len(a.byName))}
	for name, e := range a.byName {
		s.Levels[name] = e.Value.(*accountBucket).bucket.level
	}
	return s
}
