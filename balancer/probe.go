package balancer

import (
	"context"
	"sync"
	"time"
)

const (
	// probeIdleTimeout is the time without a choice after which a pool is no longer probed.
	probeIdleTimeout = 30 * time.Second
	// minProbeInterval is the minimum time between two probes of the same upstream.
	minProbeInterval = 250 * time.Millisecond
	// probeTimeout bounds the time of one probe.
	probeTimeout = time.Second
	// maxConcurrentProbes bounds the number of probes that wait for a reply.
	maxConcurrentProbes = 16
	// stalledProbeAge is the sample age from which a stalled upstream is probed before all others: it gets no requests, so no
	// answer will show that it works again.
	stalledProbeAge = 10 * time.Second
)

// NextProbe returns the upstream with the oldest sample in the subsets of pools in use, and records it as probed.
func (b *Balancer) NextProbe() (Upstream, bool) {
	s := b.current.Load()
	now := b.opts.now().UnixNano()
	var oldest *candidate
	var oldestAt int64
	for _, p := range s.pools {
		if now-p.usedAt.Load() > int64(probeIdleTimeout) {
			continue
		}
		for _, c := range p.subset {
			probed := c.tracked.probedAt.Load()
			if c.tracked.isLeaving.Load() || now-probed < int64(minProbeInterval) {
				continue
			}
			// A probe counts as a sample even without a reply; otherwise an unreachable upstream would get every probe.
			at := max(c.tracked.sampleAt.Load(), probed)
			if c.tracked.isStalled.Load() && now-at > int64(stalledProbeAge) {
				at = 0
			}
			if oldest == nil || at < oldestAt {
				oldest, oldestAt = c, at
			}
		}
	}
	if oldest == nil {
		return Upstream{}, false
	}
	oldest.tracked.probedAt.Store(now)
	b.counters.probes.Add(1)
	return oldest.upstream, true
}

// Run probes the upstreams in use until ctx ends.
func (b *Balancer) Run(ctx context.Context) error {
	if b.opts.probe == nil || b.opts.probeRate <= 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / b.opts.probeRate))
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	semaphore := make(chan struct{}, maxConcurrentProbes)
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
		case semaphore <- struct{}{}:
		default:
			continue // all concurrent probes wait for upstreams that do not reply, until their timeouts
		}
		wg.Go(func() {
			defer func() { <-semaphore }()
			probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			l, err := b.opts.probe(probeCtx, u)
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
		"chosen": c.chosen.Load(), "bound": c.startDeadlines.Load(),
		"affinity-kept": c.affinityKept.Load(), "affinity-yielded": c.affinityYielded.Load(),
		"other-data-centre": c.otherDataCentre.Load(), "no-upstream": c.noUpstream.Load(),
		"probes": c.probes.Load(), "probe-failures": c.probeFailures.Load(),
	}
}
