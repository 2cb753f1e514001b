package floodbencher

import "time"

// reference holds the longest time to the first token in runs without floods, in seconds, by the ID of the call.
type reference map[int]float64

const (
	// referenceRuns is the number of runs without floods; each has other random choices of engines.
	referenceRuns = 8
	// burstWindow is the time within which any call of a kind may be the one that waits in a burst.
	burstWindow = time.Second
)

// referenceOfFleet measures the base load on the fleet. The reference must come from a fleet and cover several runs and
// neighbouring calls: on engines of 8 slots chance decides which call of a burst waits. Compared with the times on a single
// engine of 32 slots, a fleet without any flood appears overloaded even 48 s after the time of the flood.
func referenceOfFleet(seed uint64) reference {
	ref := make(reference)
	for i := range uint64(referenceRuns) {
		ref.add(simulate(seed, variant{calls: baseLoad, fleet: true, lateBinding: true, routingSeed: i}), burstWindow)
	}
	return ref
}

// add adds the calls of a run, each with the longest time to the first token among the calls of its kind that were sent no more
// than window before or after it.
func (f reference) add(r *result, window time.Duration) {
	for k := range kinds() {
		calls := r.callsSent(k, 0, end)
		from := 0
		for _, c := range calls {
			for calls[from].sentAt.Before(c.sentAt.Add(-window)) {
				from++
			}
			for _, n := range calls[from:] {
				if n.sentAt.After(c.sentAt.Add(window)) {
					break
				}
				if !n.firstAt.IsZero() && (window > 0 || n.id == c.id) {
					f[c.id] = max(f[c.id], n.firstAt.Sub(n.sentAt).Seconds())
				}
			}
		}
	}
}
