package promoter

import (
	"math"
	"time"
)

const (
	// bucketCount, bucketGrowth and firstBucketBound define the histograms of times, from 2 ms to about 50 s.
	bucketCount      = 26
	bucketGrowth     = 1.5
	firstBucketBound = 2 * time.Millisecond
)

// Histogram counts times in buckets whose bounds grow by a constant factor, without trailing zeros.
type Histogram []int64

func bucketOf(d time.Duration) int {
	if d <= firstBucketBound {
		return 0
	}
	return min(1+int(math.Log(float64(d)/float64(firstBucketBound))/math.Log(bucketGrowth)), bucketCount-1)
}

func (h Histogram) add(d time.Duration) Histogram {
	i := bucketOf(d)
	for len(h) <= i {
		h = append(h, 0)
	}
	h[i]++
	return h
}

// merge returns the sum of two histograms in new memory.
func (h Histogram) merge(o Histogram) Histogram {
	sum := make(Histogram, max(len(h), len(o)))
	copy(sum, h)
	for i, n := range o[:min(len(o), bucketCount)] {
		sum[i] += n
	}
	return sum
}

func (h Histogram) count() int64 {
	n := int64(0)
	for _, x := range h {
		n += x
	}
	return n
}

// median returns the upper bound of the bucket that holds the median, and the number of times.
func (h Histogram) median() (time.Duration, int64) {
	n, sum := h.count(), int64(0)
	for i, x := range h {
		if sum += x; 2*sum >= n && n > 0 {
			return time.Duration(float64(firstBucketBound) * math.Pow(bucketGrowth, float64(i))), n
		}
	}
	return 0, 0
}

// Times holds the times that one step of requests took, and the ages of those that have not taken or never took the step.
type Times struct {
	Known   Histogram `json:"known"`
	AtLeast Histogram `json:"at-least"`
}

func (t *Times) merge(o Times) {
	t.Known, t.AtLeast = t.Known.merge(o.Known), t.AtLeast.merge(o.AtLeast)
}

// Speed holds the times to the response, or to the first event of a stream, and those of the events after it.
type Speed struct {
	Response Times `json:"response"`
	Pace     Times `json:"pace"`
}

func (s *Speed) merge(o Speed) {
	s.Response.merge(o.Response)
	s.Pace.merge(o.Pace)
}
