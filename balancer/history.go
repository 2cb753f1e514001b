package balancer

import (
	"sync/atomic"
	"time"
)

const (
	historyBuckets     = 16
	historyBucketWidth = 125 * time.Millisecond
	// historyOffset is added to each count so that the stored number is not negative.
	historyOffset = 1 << 20
)

// history counts the requests begun minus those ended by this entry over the last 2 s, by period. A load sample describes the
// past, so the changes that this entry has made since then must be added to it.
type history struct {
	// Each bucket holds the number of its period in the upper 40 bits and the count plus historyOffset in the lower 24.
	buckets [historyBuckets]atomic.Uint64
}

func (h *history) add(n int64, now time.Time) {
	period := uint64(now.UnixNano()) / uint64(historyBucketWidth)
	b := &h.buckets[period%historyBuckets]
	for {
		v := b.Load()
		count := int64(historyOffset)
		if v>>24 == period&(1<<40-1) {
			count = int64(v & (1<<24 - 1))
		}
		if b.CompareAndSwap(v, period<<24|uint64(count+n)) {
			return
		}
	}
}

// since returns the count over the periods that began at the given time or later, at most over the last 2 s.
func (h *history) since(at time.Time) int64 {
	first := (uint64(at.UnixNano()) + uint64(historyBucketWidth) - 1) / uint64(historyBucketWidth)
	sum := int64(0)
	for i := range h.buckets {
		if v := h.buckets[i].Load(); v != 0 && v>>24 >= first&(1<<40-1) {
			sum += int64(v&(1<<24-1)) - historyOffset
		}
	}
	return sum
}
