package limiter

import (
	"container/list"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// bucket is a token bucket that may go into debt: a request larger than the burst passes when the bucket is full and
// its whole cost is paid back before the next one. rate.Limiter of x/time rejects such a request for ever.
type bucket struct {
	level     float64
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

// wait returns the time until tokens may pass; 0 means now.
func (b *bucket) wait(tokens float64) time.Duration {
	missing := min(tokens, b.burst) - b.level
	if missing <= levelTolerance {
		return 0
	}
	seconds := missing / b.rate
	if seconds > maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(seconds*float64(time.Second)) + 1
}

// maxWait bounds the advised retry time when the entry's share of a limit is close to zero.
const maxWait = time.Hour

type account struct {
	name   identifier.ClientAccount
	bucket bucket
}

// ClientAccounts limits the tokens of each client account and of the entry as a whole; it is safe for concurrent use.
type ClientAccounts struct {
	o options

	mu      sync.Mutex
	total   *bucket
	byName  map[identifier.ClientAccount]*list.Element
	recent  *list.List // front is the most recently used account
	evictAt time.Time  // last eviction of a bucket that was not full
	allowed int64
	denied  int64
	evicted int64
}

// NewAccounts returns limits whose buckets start full.
func NewAccounts(opts ...Option) *ClientAccounts {
	a := &ClientAccounts{
		o: newOptions(opts), byName: make(map[identifier.ClientAccount]*list.Element), recent: list.New(),
	}
	if a.o.total > 0 {
		burst := a.o.total * a.o.window.Seconds()
		a.total = &bucket{level: burst, rate: a.o.total, burst: burst, updatedAt: a.o.now()}
	}
	return a
}

// Allow takes tokens from the account's bucket and from the total, or from neither; retryAt is set on a denial.
func (a *ClientAccounts) Allow(acc *configurer.ClientAccount, tokens int, now time.Time) (retryAt time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	cost := float64(tokens)
	var own *bucket
	var wait time.Duration
	if acc.TokensPerSecond > 0 {
		if own, wait = a.bucketOf(acc, cost, now); own != nil {
			wait = own.wait(cost)
		}
	}
	if a.total != nil {
		a.total.refill(now)
		wait = max(wait, a.total.wait(cost))
	}
	if wait > 0 {
		a.denied++
		return now.Add(wait), false
	}
	if own != nil {
		own.level -= cost
	}
	if a.total != nil {
		a.total.level -= cost
	}
	a.allowed++
	return time.Time{}, true
}

// Return gives back tokens that an allowed request did not use.
func (a *ClientAccounts) Return(acc *configurer.ClientAccount, tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e, ok := a.byName[acc.Name]; ok {
		b := &e.Value.(*account).bucket
		b.level = min(b.level+float64(tokens), b.burst)
	}
	if a.total != nil {
		a.total.level = min(a.total.level+float64(tokens), a.total.burst)
	}
}

// bucketOf returns the bucket of an account, or nil and the time until there is room for it and its first cost.
func (a *ClientAccounts) bucketOf(acc *configurer.ClientAccount, cost float64, now time.Time) (*bucket, time.Duration) {
	rate := max(acc.TokensPerSecond*a.o.share(acc), minRate)
	burst := rate * a.o.window.Seconds()
	if e, ok := a.byName[acc.Name]; ok {
		a.recent.MoveToFront(e)
		b := &e.Value.(*account).bucket
		b.refill(now)
		b.rate, b.burst, b.level = rate, burst, min(b.level, burst)
		return b, 0
	}
	level := burst
	if !a.evictAt.IsZero() {
		// The account may be one whose bucket was evicted at that time, without debt but possibly empty.
		level = min(now.Sub(a.evictAt).Seconds()*rate, burst)
	}
	if a.recent.Len() >= a.o.maxAccounts {
		if wait := a.evict(now); wait > 0 {
			missing := max(min(cost, burst)-level, 0)
			return nil, max(wait, time.Duration(min(missing/rate, maxWait.Seconds())*float64(time.Second))+1)
		}
	}
	e := a.recent.PushFront(&account{name: acc.Name, bucket: bucket{level: level, rate: rate, burst: burst, updatedAt: now}})
	a.byName[acc.Name] = e
	return &e.Value.(*account).bucket, 0
}

// minRate in tokens per second keeps the arithmetic finite when the entry's share is zero.
const minRate = 1e-3

// evict drops the account used least recently of those without debt. If all are in debt, it drops none and returns the
// time until the first debt is paid, since dropping a bucket would forgive it.
func (a *ClientAccounts) evict(now time.Time) time.Duration {
	wait := maxWait
	for e := a.recent.Back(); e != nil; e = e.Prev() {
		last := e.Value.(*account)
		b := &last.bucket
		b.refill(now)
		if b.level < -levelTolerance {
			wait = min(wait, time.Duration(-b.level/b.rate*float64(time.Second))+1)
			continue
		}
		if b.level < b.burst {
			a.evictAt = now
		}
		a.recent.Remove(e)
		delete(a.byName, last.name)
		a.evicted++
		return 0
	}
	return wait
}

// Counters returns the monotonic counters of the limits.
func (a *ClientAccounts) Counters() map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return map[string]int64{"requests-allowed": a.allowed, "requests-limited": a.denied, "buckets-evicted": a.evicted}
}

// AccountsState is the state dump of Accounts: the level of each bucket in tokens, negative while in debt.
type AccountsState struct {
	Levels map[identifier.ClientAccount]float64 `json:"levels"`
}

// State returns an AccountsState.
func (a *ClientAccounts) State() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := AccountsState{Levels: make(map[identifier.ClientAccount]float64, len(a.byName))}
	for name, e := range a.byName {
		s.Levels[name] = e.Value.(*account).bucket.level
	}
	return s
}
