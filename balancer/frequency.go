package balancer

import "sync/atomic"

const (
	// prefixWindowSize is the number of first attempts over which the frequency of a prefix is counted.
	prefixWindowSize = 64
	// minShareBase is the smallest number of first attempts that a share is computed over, so that a prefix does not count as
	// frequent after its first request.
	minShareBase = 8
)

// prefixWindow is a ring buffer of the prefixes of the latest first attempts at a pool, 0 for a request without a prefix. It is
// lock-free; a share that is computed during concurrent choices may miss some of them.
type prefixWindow struct {
	slots [prefixWindowSize]atomic.Uint32
	next  atomic.Uint64
}

func (w *prefixWindow) add(prefix uint64) {
	w.slots[(w.next.Add(1)-1)%prefixWindowSize].Store(uint32(prefix))
}

// share returns the share of the latest first attempts that had the given prefix, which must not be 0.
func (w *prefixWindow) share(prefix uint64) float64 {
	n := 0
	for i := range w.slots {
		if w.slots[i].Load() == uint32(prefix) {
			n++
		}
	}
	return float64(n) / float64(min(max(w.next.Load(), minShareBase), prefixWindowSize))
}
