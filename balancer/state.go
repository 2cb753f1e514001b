package balancer

import (
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// State is the state of a Balancer for the debugging interface.
type State struct {
	Upstreams []UpstreamState `json:"upstreams"`
	// Pools lists the pools with samples that are recent enough to be used.
	Pools []PoolState `json:"pools,omitempty"`
}

// PoolState tells how even the load of the upstreams of a target or service is, by the samples that are recent enough to be used.
type PoolState struct {
	Target  identifier.Target  `json:"target,omitzero"`
	Service identifier.Service `json:"service,omitempty"`
	// BusiestOverMean is the largest load relative to the mean, or 0 if there is no load.
	BusiestOverMean float64 `json:"busiest-over-mean"`
	// IdleWhileOthersWait is the number of upstreams without load while requests wait at others.
	IdleWhileOthersWait int `json:"idle-while-others-wait"`
}

// UpstreamState is the state of one upstream in State.
type UpstreamState struct {
	Upstream  identifier.Upstream `json:"upstream"`
	Distance  int                 `json:"distance"`
	Breaker   string              `json:"breaker"`
	Leaving   bool                `json:"leaving"`
	InFlight  int64               `json:"in-flight"`
	Load      int64               `json:"load"`
	SampleAge time.Duration       `json:"sample-age"`
	// ExpectedTime is the load that is compared with that of others, in requests at an upstream of mean speed.
	ExpectedTime float64 `json:"expected-time,omitempty"`
	// Slowdown is the time that work takes there relative to the others, and Correction the factor that the upstream reported with
	// its last sample; all are 0 without WithEvenLoad.
	Slowdown   float64 `json:"slowdown,omitempty"`
	Correction float64 `json:"correction,omitempty"`
}

// State returns a State with the upstreams that are leaving or in at least one subset.
func (b *Balancer) State() any {
	s := b.current.Load()
	now := b.opts.now().UnixNano()
	var st State
	for _, c := range s.byNumber {
		if c == nil || len(c.pools) == 0 && !c.tracked.isLeaving.Load() {
			continue
		}
		u := UpstreamState{
			Upstream: c.upstream.Name, Distance: c.distance, Breaker: string(c.tracked.breaker.state()),
			Leaving: c.tracked.isLeaving.Load(), InFlight: c.tracked.inFlight.Load(), Load: c.tracked.load.Load(),
		}
		if at := c.tracked.sampleAt.Load(); at != 0 {
			u.SampleAge = time.Duration(now - at)
		}
		if b.opts.evenLoad {
			if len(c.pools) > 0 {
				u.ExpectedTime = b.score(c.pools[0], &Query{}, c, c.pools[0].mean(), now).load
			}
			u.Slowdown, u.Correction = c.tracked.speed.slowdown(now), c.tracked.speed.correction()
		}
		st.Upstreams = append(st.Upstreams, u)
	}
	for service, p := range s.services {
		if x, ok := b.poolState(p, now); ok {
			x.Service = service
			st.Pools = append(st.Pools, x)
		}
	}
	for target, p := range s.targets {
		if x, ok := b.poolState(p, now); ok {
			x.Target = target
			st.Pools = append(st.Pools, x)
		}
	}
	return st
}

// ServiceGauges returns, by name and service, how even the load of the upstreams is: busiest-over-mean and idle-while-others-wait as in
// PoolState. Services without recent samples have none.
func (b *Balancer) ServiceGauges() map[string]map[string]float64 {
	busiest, idle := map[string]float64{}, map[string]float64{}
	now := b.opts.now().UnixNano()
	for service, p := range b.current.Load().services {
		if x, ok := b.poolState(p, now); ok {
			busiest[string(service)], idle[string(service)] = x.BusiestOverMean, float64(x.IdleWhileOthersWait)
		}
	}
	return map[string]map[string]float64{"busiest-over-mean": busiest, "idle-while-others-wait": idle}
}

// poolState returns the state of a pool, and whether it has a sample that is recent enough to be used.
func (b *Balancer) poolState(p *pool, nowNanos int64) (PoolState, bool) {
	var sum, most, n int64
	idle, waits := 0, false
	for _, c := range p.subset {
		if nowNanos-c.tracked.sampleAt.Load() > int64(b.opts.maxAge) {
			continue
		}
		load := c.tracked.load.Load()
		n, sum, most = n+1, sum+load, max(most, load)
		waits = waits || c.tracked.waitsInSample.Load()
		if load == 0 {
			idle++
		}
	}
	var x PoolState
	if sum > 0 {
		x.BusiestOverMean = float64(most) * float64(n) / float64(sum)
	}
	if waits {
		x.IdleWhileOthersWait = idle
	}
	return x, n > 0
}
