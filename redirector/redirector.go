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
	// recoveryTime is the time in which a share rises from 0 to 1.
	recoveryTime = 8 * time.Second
	// offerDecayTime is the time constant with which past offers decay. A refusal lowers the share by its fraction of the
	// offers of that time, so a pool that refuses everything loses its share within it, and one that refuses a tenth loses
	// a tenth.
	offerDecayTime = time.Second
	// minOffers is the least number of recent offers against which one refusal counts, so that it takes at most half of the
	// share.
	minOffers = 2
)

// MaxPools is the largest number of pools that a Redirector tracks. When it is reached, pools with a share of 1 are evicted,
// at most once per recoveryTime; a pool beyond the limit is not tracked and has a share of 1.
const MaxPools = 16384

// Pool is the upstreams of one version, seen from the work of one client account and rank. Each has its own share, because
// upstreams refuse a lower rank and an account beyond its fair share earlier.
type Pool struct {
	ClientAccount identifier.ClientAccount `json:"client-account"`
	Target        identifier.Target        `json:"target"`
	// Rank is the position of the rank, 0 being the most urgent.
	Rank int `json:"rank"`
}

// share is the fraction of the requests that may be offered to a pool.
type share struct {
	value float64
	// recentOffers is the number of offers, decayed with the time constant offerDecayTime.
	recentOffers float64
	// updatedAt is the time for which value and recentOffers were last computed.
	updatedAt time.Time
}

// Redirector holds the share of requests that may be offered to each pool; it is safe for concurrent use.
type Redirector struct {
	now    func() time.Time
	random func() float64
	mu     sync.Mutex
	pools  map[Pool]*share
	// nextEvictionAt is the earliest time of the next eviction; an earlier pass over all pools is not worth its cost.
	nextEvictionAt time.Time

	refusals, redirections, poolsIgnored int64
}

// Option configures a Redirector.
type Option func(*Redirector)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(r *Redirector) { r.now = now } }

// WithRand sets the source of random numbers in [0, 1).
func WithRand(random func() float64) Option { return func(r *Redirector) { r.random = random } }

// New returns a Redirector in which every pool has a share of 1.
func New(opts ...Option) *Redirector {
	r := &Redirector{now: time.Now, random: rand.Float64, pools: map[Pool]*share{}}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Allow reports whether the next request may be offered to p. If not, the request counts as redirected.
func (r *Redirector) Allow(p Pool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.currentShare(p)
	if s == nil {
		return true
	}
	if s.value < 1 && r.random() >= s.value {
		r.redirections++
		return false
	}
	s.recentOffers++
	return true
}

// RecordRefusal records that p refused a request that was offered to it, or that none of its upstreams could be reached.
func (r *Redirector) RecordRefusal(p Pool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.currentShare(p)
	if s == nil {
		return
	}
	r.refusals++
	s.value *= 1 - 1/max(s.recentOffers, minOffers)
}

// currentShare returns the share of p brought up to the present time, or nil if p is beyond MaxPools; r.mu is held.
func (r *Redirector) currentShare(p Pool) *share {
	now := r.now()
	s := r.pools[p]
	if s == nil {
		if len(r.pools) >= MaxPools && !r.evict(now) {
			r.poolsIgnored++
			return nil
		}
		s = &share{value: 1, updatedAt: now}
		r.pools[p] = s
	}
	if d := now.Sub(s.updatedAt); d > 0 {
		s.value = min(1, s.value+float64(d)/float64(recoveryTime))
		s.recentOffers *= math.Exp(-float64(d) / float64(offerDecayTime))
		s.updatedAt = now
	}
	return s
}

// evict removes the pools whose share has recovered to 1 and reports whether there is room for another pool; r.mu is held.
func (r *Redirector) evict(now time.Time) bool {
	if now.Before(r.nextEvictionAt) {
		return false
	}
	r.nextEvictionAt = now.Add(recoveryTime)
	maps.DeleteFunc(r.pools, func(_ Pool, s *share) bool {
		return s.value+float64(now.Sub(s.updatedAt))/float64(recoveryTime) >= 1
	})
	return len(r.pools) < MaxPools
}

// Counters returns the numbers of refusals, of redirections and of calls for a pool beyond MaxPools.
func (r *Redirector) Counters() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]int64{"pool-refusals": r.refusals, "redirections": r.redirections, "pools-ignored": r.poolsIgnored}
}

// PoolState is one row of the state dump.
type PoolState struct {
	Pool
	// Share is the fraction of the requests that is offered to the pool.
	Share float64 `json:"share"`
}

// State returns a []PoolState of the pools with a share below 1, ordered by client account, target and rank.
func (r *Redirector) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := make([]PoolState, 0, len(r.pools))
	for p := range r.pools {
		if s := r.currentShare(p); s.value < 1 {
			rows = append(rows, PoolState{Pool: p, Share: s.value})
		}
	}
	slices.SortFunc(rows, func(a, b PoolState) int {
		return cmp.Or(cmp.Compare(a.ClientAccount, b.ClientAccount), strings.Compare(a.Target.String(), b.Target.String()),
			cmp.Compare(a.Rank, b.Rank))
	})
	return rows
}
