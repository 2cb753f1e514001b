package promoter

import (
	"fmt"
	"maps"
	"math"
	"time"
)

const (
	// firstBuckets and bucketGrowth divide the times to the first event into buckets from 2 ms to about 50 s.
	firstBuckets = 26
	bucketGrowth = 1.5
	firstBucket  = 2 * time.Millisecond

	// leastBad failures of a route, beyond what the former version shows, make a version bad.
	leastBad = 5
	// badShare is the share of failures from which a version is bad, above twice that of the former version.
	badShare = 0.15
	// leastSlow answers of a route are compared for their time.
	leastSlow = 12
	// slowFactor times the median of the former version makes a version slow; several times is what the operators call bad.
	slowFactor = 2.5
	// slowFloor is the median below which a difference does not count, because single steps of the engine decide it.
	slowFloor = 25 * time.Millisecond
)

// VersionCounts counts the answers of one version on one route.
type VersionCounts struct {
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
	// FirstEventCounts is the histogram of the times to the first event, without trailing zeros.
	FirstEventCounts []int64 `json:"first"`
}

func (s *VersionCounts) add(failed bool, first time.Duration) {
	if failed {
		s.Bad++
		return
	}
	s.Good++
	if first <= 0 {
		return
	}
	i := 0
	if first > firstBucket {
		i = min(1+int(math.Log(float64(first)/float64(firstBucket))/math.Log(bucketGrowth)), firstBuckets-1)
	}
	for len(s.FirstEventCounts) <= i {
		s.FirstEventCounts = append(s.FirstEventCounts, 0)
	}
	s.FirstEventCounts[i]++
}

func (s *VersionCounts) merge(o VersionCounts) {
	s.Good += o.Good
	s.Bad += o.Bad
	first := make([]int64, max(len(s.FirstEventCounts), len(o.FirstEventCounts)))
	copy(first, s.FirstEventCounts)
	for i, n := range o.FirstEventCounts {
		first[i] += n
	}
	s.FirstEventCounts = first
}

// median returns the upper bound of the bucket that holds the median, and the number of times.
func (s *VersionCounts) median() (time.Duration, int64) {
	n := int64(0)
	for _, x := range s.FirstEventCounts {
		n += x
	}
	sum := int64(0)
	for i, x := range s.FirstEventCounts {
		if sum += x; 2*sum >= n && n > 0 {
			return time.Duration(float64(firstBucket) * math.Pow(bucketGrowth, float64(i))), n
		}
	}
	return 0, 0
}

// sums is the sum of the tallies of all entries.
type sums struct {
	candidate, stable map[string]VersionCounts
	active            int64
	exposure          float64
}

func cloneSides(m map[string]VersionCounts) map[string]VersionCounts {
	c := make(map[string]VersionCounts, len(m))
	mergeSides(c, m)
	return c
}

func mergeSides(to, from map[string]VersionCounts) {
	for route, s := range from {
		x := to[route]
		x.merge(s)
		to[route] = x
	}
}

func total(m map[string]VersionCounts) VersionCounts {
	var t VersionCounts
	for s := range maps.Values(m) {
		t.merge(s)
	}
	return t
}

// doubt reports whether a version is bad on one route or on all, and why.
func doubt(candidate, stable map[string]VersionCounts) (string, bool) {
	all, former := total(candidate), total(stable)
	if reason, bad := worse("all routes", all, former); bad {
		return reason, true
	}
	for route, s := range candidate {
		if reason, bad := worse(route, s, stable[route]); bad {
			return reason, true
		}
	}
	return "", false
}

func worse(route string, s, former VersionCounts) (string, bool) {
	if s.Bad >= leastBad {
		share := float64(s.Bad) / float64(s.Good+s.Bad)
		before := 0.0
		if n := former.Good + former.Bad; n > 0 {
			before = float64(former.Bad) / float64(n)
		}
		if share > badShare+2*before {
			return fmt.Sprintf("%s: %d of %d failed, before %.3f", route, s.Bad, s.Good+s.Bad, before), true
		}
	}
	slow, n := s.median()
	before, m := former.median()
	if n >= leastSlow && m >= leastSlow && slow >= slowFloor && float64(slow) >= slowFactor*float64(before) {
		return fmt.Sprintf("%s: median %v, before %v", route, slow, before), true
	}
	return "", false
}
