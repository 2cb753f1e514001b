package balancer

import (
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// CacheEvent tells that an upstream has cached or evicted a prompt prefix. Events may be late, repeated or missing.
type CacheEvent struct {
	Upstream identifier.Upstream
	Prefix   uint64
	Evicted  bool
	At       time.Time
}

const (
	// affinitySlots bounds the memory of the directory to 256 KB.
	affinitySlots = 1 << 14
	// affinityTime is the age after which a record is no longer believed, since the event that ends it may be lost.
	affinityTime = 5 * time.Minute
)

// directory remembers which upstream holds a prefix or served a session; newer records displace older ones of the same
// slot. It is lock-free: a slot is valid only if both halves belong together.
type directory struct {
	slots [affinitySlots]struct {
		check atomic.Uint64 // key xor value
		value atomic.Uint64 // node number and time in seconds
	}
}

func pack(node uint32, at time.Time) uint64 {
	return uint64(node)<<32 | uint64(uint32(at.Unix()))
}

func (d *directory) put(key uint64, node uint32, at time.Time) {
	s := &d.slots[key%affinitySlots]
	v := pack(node, at)
	s.value.Store(v)
	s.check.Store(key ^ v)
}

// get returns the number of the node recorded for the key and when.
func (d *directory) get(key uint64, now time.Time) (node uint32, at int64, ok bool) {
	s := &d.slots[key%affinitySlots]
	v := s.value.Load()
	if s.check.Load()^v != key {
		return 0, 0, false
	}
	at = int64(uint32(v))
	if now.Unix()-at > int64(affinityTime/time.Second) {
		return 0, 0, false
	}
	return uint32(v >> 32), at, true
}

// remove forgets the key if the record names the node and is not newer than the event.
func (d *directory) remove(key uint64, node uint32, at, now time.Time) {
	if n, recorded, ok := d.get(key, now); ok && n == node && recorded <= at.Unix() {
		d.slots[key%affinitySlots].check.Store(0)
	}
}
