package balancer

import (
	"context"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// probeUse is how long after its last choice a pool is still probed.
	probeUse = 30 * time.Second
	// probeGap is the smallest time between two probes of an upstream.
	probeGap = 250 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// probeParallel bounds the probes that wait for a reply.
	probeParallel = 16
	// stalledGap is the age of the sample of a stalled upstream from which it is probed before all others, because no
	// request's frame will tell that it works again.
	stalledGap = 10 * time.Second
)

// NextProbe returns the upstream whose sample is the oldest among the subsets in use, and records it as probed.
func (b *Balancer) NextProbe() (Upstream, bool) {
	s := b.current.Load()
	now := b.o.now().UnixNano()
	var best *candidate
	var bestAt int64
	for _, p := range s.pools {
		if now-p.usedAt.Load() > int64(probeUse) {
			continue
		}
		for _, c := range p.near {
			probed := c.node.probedAt.Load()
			if c.node.leaving.Load() || now-probed < int64(probeGap) {
				continue
			}
			// A probe without a reply counts as a sample here, so that a dead upstream does not take every probe.
			at := max(c.node.sampleAt.Load(), probed)
			if c.node.stalled.Load() && now-at > int64(stalledGap) {
				at = 0
			}
			if best == nil || at < bestAt {
				best, bestAt = c, at
			}
		}
	}
	if best == nil {
		return Upstream{}, false
	}
	best.node.probedAt.Store(now)
	b.counters.probes.Add(1)
	return best.upstream, true
}

// Run probes the upstreams in use until ctx ends.
func (b *Balancer) Run(ctx context.Context) error {
	if b.o.probe == nil || b.o.probeRate <= 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / b.o.probeRate))
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, probeParallel)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		u, ok := b.NextProbe()
		if !ok {
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			continue // black-holed upstreams hold all slots until their timeout
		}
		wg.Go(func() {
			defer func() { <-slots }()
			probing, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			l, err := b.o.probe(probing, u)
			if err != nil {
				b.counters.probeFailures.Add(1)
				return
			}
			b.Report(u.Name, l)
		})
	}
}

// Counters returns the monotonic counters of the balancer.
func (b *Balancer) Counters() map[string]int64 {
	c := &b.counters
	return map[string]int64{
		"chosen": c.chosen.Load(), "bound": c.bound.Load(), "affinity-kept": c.affine.Load(), "affinity-yielded": c.yielded.Load(),
		"other-data-centre": c.remote.Load(), "no-upstream": c.none.Load(),
		"probes": c.probes.Load(), "probe-failures": c.probeFailures.Load(),
	}
}

// State is the state dump of a Balancer.
type State struct {
	Upstreams []UpstreamState `json:"upstreams"`
}

// UpstreamState is the state dump of one upstream of the entry's subsets.
type UpstreamState struct {
	Upstream  identifier.Upstream `json:"upstream"`
	Distance  int                 `json:"distance"`
	Breaker   string              `json:"breaker"`
	Leaving   bool                `json:"leaving"`
	InFlight  int64               `json:"in-flight"`
	Load      int64               `json:"load"`
	SampleAge time.Duration       `json:"sample-age"`
}

// State returns a State; upstreams outside every subset are left out.
func (b *Balancer) State() any {
	s := b.current.Load()
	now := b.o.now().UnixNano()
	var st State
	for _, c := range s.byNumber {
		if c == nil || len(c.pools) == 0 && !c.node.leaving.Load() {
			continue
		}
		u := UpstreamState{
			Upstream: c.upstream.Name, Distance: c.distance, Breaker: string(c.node.breaker.state()),
			Leaving: c.node.leaving.Load(), InFlight: c.node.inFlight.Load(), Load: c.node.load.Load(),
		}
		if at := c.node.sampleAt.Load(); at != 0 {
			u.SampleAge = time.Duration(now - at)
		}
		st.Upstreams = append(st.Upstreams, u)
	}
	return st
}
