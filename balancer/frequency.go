package balancer

import "sync/atomic"

const (
	// recentPrefixes is the number of first attempts over which the frequency of a prefix is counted.
	recentPrefixes = 64
	// leastPrefixes is the number of first attempts that a share is at least taken of, so that the first request of a
	// prefix makes it no frequent one.
	leastPrefixes = 8
)

// prefixes holds the prefixes of the last first attempts at a pool, 0 for a request without one. It is lock-free; a share
// taken beside concurrent choices may miss some.
type prefixes struct {
	slots [recentPrefixes]atomic.Uint32
	next  atomic.Uint64
}

func (r *prefixes) add(prefix uint64) {
	r.slots[(r.next.Add(1)-1)%recentPrefixes].Store(uint32(prefix))
}

// share returns the part of the last first attempts that had a prefix other than 0.
func (r *prefixes) share(prefix uint64) float64 {
	n := 0
	for i := range r.slots {
		if r.slots[i].Load() == uint32(prefix) {
			n++
		}
	}
	return float64(n) / float64(min(max(r.next.Load(), leastPrefixes), recentPrefixes))
}
