package balancer

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// affinityFactor and affinityMargin are the excess load, relative to the mean and in requests, up to which a session or a
	// cached prefix as long as the mean prompt is worth more than the least loaded candidate. What a shorter prefix saves is less.
	affinityFactor = 0.5
	affinityMargin = 2
	// unknownShared is the length of a prefix, relative to the mean prompt, where it is unknown.
	unknownShared = 0.5
	// maxShared bounds the length for which a home may have more load, or the longest prompts wait where they meet.
	maxShared = 1.5
	// homes is the number of upstreams that share the requests of a prefix. With 4 the hit rate is the same within 0.01,
	// with 1 it is 0.09 lower.
	homes = 3
)

// affine replaces the best candidate by the one that served the session or by a home of the prefix, unless that is
// overloaded or the prefix is too frequent for its homes.
func (b *Balancer) affine(s *snapshot, p *pool, k *Query, session uint64, best option, mean float64, t time.Time,
	now int64,
) option {
	if session != 0 {
		if c := b.sessions.candidate(s, session, t); c != nil && slices.Contains(c.pools, p) && b.usable(c, k) {
			if o := b.option(p, k, c, mean, now); b.worth(o, best, unknownShared, mean) {
				return o
			}
		}
	}
	if k.Prefix == 0 || p.frequent(k.Prefix) {
		return best
	}
	shared := min(k.PrefixRatio, maxShared)
	if shared <= 0 {
		shared = unknownShared
	}
	for _, c := range p.homes(k.Prefix) {
		if c == nil || !b.usable(c, k) {
			continue
		}
		if o := b.option(p, k, c, mean, now); b.worth(o, best, shared, mean) {
			return o
		}
	}
	return best
}

// frequent reports whether the requests of a prefix alone are more than the mean traffic of its homes. Then they would crowd
// there, and every engine serves enough of them to keep the prefix cached.
func (p *pool) frequent(prefix uint64) bool {
	return p.prefixes.share(prefix)*float64(p.ends[sameRegion]) > homes
}

// worth reports whether affinity outweighs the load of a candidate that may have read a prefix of a relative length.
func (b *Balancer) worth(o, best option, shared, mean float64) bool {
	if o.doubtful && !best.doubtful || o.hot && !best.hot || o.full && !best.full ||
		o.load > best.load+shared*(mean*affinityFactor+affinityMargin) {
		b.counters.yielded.Add(1)
		return false
	}
	b.counters.affine.Add(1)
	return true
}

// homes returns the members of the subset, within the region, with the highest hashes of prefix and upstream. All entries
// agree on them but for the members of their subsets, so that no message about caches is needed.
func (p *pool) homes(prefix uint64) [homes]*candidate {
	var first [homes]*candidate
	var scores [homes]uint64
	for _, c := range p.near[:p.ends[sameRegion]] {
		x, score := c, mix(prefix^c.node.hash)
		for i := range first {
			if first[i] == nil || score > scores[i] {
				first[i], x = x, first[i]
				scores[i], score = score, scores[i]
			}
			if x == nil {
				break
			}
		}
	}
	return first
}

// mix is the finalizer of splitmix64, which spreads a change of any bit over all bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func sessionKey(s identifier.Session) uint64 {
	if s == "" {
		return 0
	}
	return xxhash.Sum64String(string(s))
}

const (
	// sessionSlots bounds the memory of the directory to 256 KB.
	sessionSlots = 1 << 14
	// sessionTime is the age after which the engine has probably evicted the session's prompt.
	sessionTime = 5 * time.Minute
)

// directory remembers which upstream served a session; newer records displace older ones of the same slot. It is
// lock-free: a slot is valid only if both halves belong together.
type directory struct {
	slots [sessionSlots]struct {
		check atomic.Uint64 // key xor value
		value atomic.Uint64 // node number and time in seconds
	}
}

func (d *directory) put(key uint64, node uint32, at time.Time) {
	s := &d.slots[key%sessionSlots]
	v := uint64(node)<<32 | uint64(uint32(at.Unix()))
	s.value.Store(v)
	s.check.Store(key ^ v)
}

// candidate returns the upstream recorded for the key, or nil.
func (d *directory) candidate(s *snapshot, key uint64, now time.Time) *candidate {
	x := &d.slots[key%sessionSlots]
	v := x.value.Load()
	if x.check.Load()^v != key || now.Unix()-int64(uint32(v)) > int64(sessionTime/time.Second) {
		return nil
	}
	if n := int(v >> 32); n < len(s.byNumber) {
		return s.byNumber[n]
	}
	return nil
}
