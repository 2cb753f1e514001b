package runner

// Register adds the counters of a component to the metrics; it must be called before Run.
func (r *Runner) Register(name string, counters func() map[string]int64) {
	r.meter.Register(name, counters)
}

// registerMetrics adds the counters and gauges of the parts of the entry to the metrics.
func (r *Runner) registerMetrics(calls *rolloutCalls) {
	for name, counters := range map[string]func() map[string]int64{
		"store-probe": r.storeProbe.Counters, "confirmations": r.confirmations.Counters, "follower-confirmer": r.confirmations.upstreams.Counters, "operator-confirmer": r.confirmations.operator.Counters,
		"forwarder": r.forwarder.Counters, "balancer": r.balancer.Counters, "connector": r.pool.Counters, "reaper": r.reaper.Counters,
		"quarantine": r.sharing.quarantine.Counters, "throttler": r.sharing.throttler.Counters, "limit-owner": r.sharing.owner.Counters, "broadcaster": r.sharing.broadcaster.Counters, "shared": r.sharing.follower.Counters,
		"evacuator": r.evacuator.Counters, "registrar": r.registrar.Counters, "follower": r.upstreams.Counters, "operator": r.operator.Counters, "store": r.platform.Counters, "rollouts": calls.Counters, "collector": r.tallies.Counters,
	} {
		r.meter.Register(name, counters)
	}
	r.meter.RegisterGauges("forwarder", r.forwarder.Gauges)
	r.meter.RegisterLabelledGauges("balancer", "service", r.balancer.ServiceGauges)
}
