package redirector

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// releaseTime is the time in which a share rises from 0 to 1.
	releaseTime = 8 * time.Second
	// rateTime is the time constant of the rate of offers. A refusal lowers the share by its part of the offers of that time,
	// so that a pool that refuses everything loses its share within it, and one that refuses a tenth loses a tenth.
	rateTime = time.Second
	// leastOffers bounds what one refusal takes from the share to a half.
	leastOffers = 2
)

// MaxPools bounds the pools that a Redirector remembers. When it is reached, open ones are forgotten, at most once in the release
// time; a pool beyond it counts as open.
const MaxPools = 16384

// Pool is the upstreams of one version as the work of one client account and rank finds them: a lower rank and an account
// beyond its fair share are refused earlier.
type Pool struct {
	ClientAccount identifier.ClientAccount `json:"client-account"`
	Target        identifier.Target        `json:"target"`
	// Rank is the position of the rank, 0 being the most urgent.
	Rank int `json:"rank"`
}

// share is the part of the requests that a pool may be offered.
type share struct {
	value float64
	// offers is the decaying number of offers of the last rateTime.
	offers float64
	// at is when value and offers were current.
	at time.Time
}

// Redirector holds the share of requests that each pool may be offered; it is safe for concurrent use.
type Redirector struct {
	now   func() time.Time
	draw  func() float64
	mu    sync.Mutex
	pools map[Pool]*share
	// evictAt is the time before which no eviction is worth another pass over the pools.
	evictAt time.Time

	refused, redirected, ignored int64
}

// Option configures a Redirector.
type Option func(*Redirector)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(r *Redirector) { r.now = now } }

// WithRand sets the source of random numbers from 0 to 1.
func WithRand(draw func() float64) Option { return func(r *Redirector) { r.draw = draw } }

// New returns a redirector to which every pool is open.
func New(opts ...Option) *Redirector {
	r := &Redirector{now: time.Now, draw: rand.Float64, pools: map[Pool]*share{}}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Allow reports whether the next request may be offered to p. A false return counts as a redirection.
func (r *Redirector) Allow(p Pool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.pool(p)
	if s == nil {
		return true
	}
	if s.value < 1 && r.draw() >= s.value {
		r.redirected++
		return false
	}
	s.offers++
	return true
}

// RecordRefusal notes that p refused a request that it was offered, or that none of its upstreams could be reached.
func (r *Redirector) RecordRefusal(p Pool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.pool(p)
	if s == nil {
		return
	}
	r.refused++
	s.value *= 1 - 1/max(s.offers, leastOffers)
}

// pool returns the share of p as of now, or nil beyond the limit; r.mu is held.
func (r *Redirector) pool(p Pool) *share {
	now := r.now()
	s := r.pools[p]
	if s == nil {
		if len(r.pools) >= MaxPools && !r.evict(now) {
			r.ignored++
			return nil
		}
		s = &share{value: 1, at: now}
		r.pools[p] = s
	}
	if d := now.Sub(s.at); d > 0 {
		s.value = min(1, s.value+float64(d)/float64(releaseTime))
		s.offers *= math.Exp(-float64(d) / float64(rateTime))
		s.at = now
	}
	return s
}

// evict forgets the pools that are open and reports whether there is room now.
func (r *Redirector) evict(now time.Time) bool {
	if now.Before(r.evictAt) {
		return false
	}
	r.evictAt = now.Add(releaseTime)
	maps.DeleteFunc(r.pools, func(_ Pool, s *share) bool {
		return s.value+float64(now.Sub(s.at))/float64(releaseTime) >= 1
	})
	return len(r.pools) < MaxPools
}

// Counters returns monotonic counters.
func (r *Redirector) Counters() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]int64{"pool-refusals": r.refused, "redirections": r.redirected, "pools-ignored": r.ignored}
}

// PoolState is one row of the state dump.
type PoolState struct {
	Pool
	// Share is the part of the requests that the pool is offered.
	Share float64 `json:"share"`
}

// State returns []PoolState of the pools that are not open, ordered by client account, target and rank.
func (r *Redirector) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := make([]PoolState, 0, len(r.pools))
	for p := range r.pools {
		if s := r.pool(p); s.value < 1 {
			rows = append(rows, PoolState{Pool: p, Share: s.value})
		}
	}
	slices.SortFunc(rows, func(a, b PoolState) int {
		return cmp.Or(cmp.Compare(a.ClientAccount, b.ClientAccount), strings.Compare(a.Target.String(), b.Target.String()), cmp.Compare(a.Rank, b.Rank))
	})
	return rows
}
