package promoter

import (
	"fmt"
	"maps"
	"math"
	"time"
)

const (
	// bucketCount, bucketGrowth and firstBucketBound define the histogram of times to the first event, from 2 ms to about 50 s.
	bucketCount      = 26
	bucketGrowth     = 1.5
	firstBucketBound = 2 * time.Millisecond

	// minBadAnswers is the number of failures on a route from which a version can be bad.
	minBadAnswers = 5
	// maxBadShare is the share of failures that a version may have beyond twice that of the former version.
	maxBadShare = 0.15
	// minTimedAnswers is the number of answers of each version on a route from which their medians are compared.
	minTimedAnswers = 12
	// maxMedianRatio is the ratio to the median of the former version from which a version is too slow. By the operators'
	// definition a version is bad if it is several times slower.
	maxMedianRatio = 2.5
	// minSlowMedian is the median below which a version is never too slow, because single steps of the engine dominate the time.
	minSlowMedian = 25 * time.Millisecond
)

// VersionCounts counts the answers of one version on one route.
type VersionCounts struct {
	GoodAnswers int64 `json:"good"`
	BadAnswers  int64 `json:"bad"`
	// FirstEventCounts is the histogram of the times to the first event, without trailing zeros.
	FirstEventCounts []int64 `json:"first"`
}

func (c *VersionCounts) add(failed bool, firstEvent time.Duration) {
	if failed {
		c.BadAnswers++
		return
	}
	c.GoodAnswers++
	if firstEvent <= 0 {
		return
	}
	i := 0
	if firstEvent > firstBucketBound {
		i = min(1+int(math.Log(float64(firstEvent)/float64(firstBucketBound))/math.Log(bucketGrowth)), bucketCount-1)
	}
	for len(c.FirstEventCounts) <= i {
		c.FirstEventCounts = append(c.FirstEventCounts, 0)
	}
	c.FirstEventCounts[i]++
}

func (c *VersionCounts) merge(o VersionCounts) {
	c.GoodAnswers += o.GoodAnswers
	c.BadAnswers += o.BadAnswers
	counts := make([]int64, max(len(c.FirstEventCounts), len(o.FirstEventCounts)))
	copy(counts, c.FirstEventCounts)
	for i, n := range o.FirstEventCounts {
		counts[i] += n
	}
	c.FirstEventCounts = counts
}

// median returns the upper bound of the bucket that holds the median, and the number of recorded times.
func (c *VersionCounts) median() (time.Duration, int64) {
	n := int64(0)
	for _, x := range c.FirstEventCounts {
		n += x
	}
	sum := int64(0)
	for i, x := range c.FirstEventCounts {
		if sum += x; 2*sum >= n && n > 0 {
			return time.Duration(float64(firstBucketBound) * math.Pow(bucketGrowth, float64(i))), n
		}
	}
	return 0, 0
}

// tallySums is the sum of the tallies of all entries; exposure is the smallest one.
type tallySums struct {
	candidate, stable map[string]VersionCounts
	active            int64
	exposure          float64
}

func cloneCounts(m map[string]VersionCounts) map[string]VersionCounts {
	c := make(map[string]VersionCounts, len(m))
	mergeCounts(c, m)
	return c
}

func mergeCounts(to, from map[string]VersionCounts) {
	for route, c := range from {
		x := to[route]
		x.merge(c)
		to[route] = x
	}
}

func sumRoutes(m map[string]VersionCounts) VersionCounts {
	var sum VersionCounts
	for c := range maps.Values(m) {
		sum.merge(c)
	}
	return sum
}

// findRegression reports whether the candidate is bad on one route or on all together, and why.
func findRegression(candidate, stable map[string]VersionCounts) (string, bool) {
	candidateTotal, stableTotal := sumRoutes(candidate), sumRoutes(stable)
	if reason, bad := compareRoute("all routes", candidateTotal, stableTotal); bad {
		return reason, true
	}
	for route, c := range candidate {
		if reason, bad := compareRoute(route, c, stable[route]); bad {
			return reason, true
		}
	}
	return "", false
}

// compareRoute reports whether the candidate fails more or is slower than the former version on a route, and why.
func compareRoute(route string, candidate, stable VersionCounts) (string, bool) {
	if candidate.BadAnswers >= minBadAnswers {
		share := float64(candidate.BadAnswers) / float64(candidate.GoodAnswers+candidate.BadAnswers)
		stableShare := 0.0
		if n := stable.GoodAnswers + stable.BadAnswers; n > 0 {
			stableShare = float64(stable.BadAnswers) / float64(n)
		}
		if share > maxBadShare+2*stableShare {
			return fmt.Sprintf("%s: %d of %d failed, before %.3f", route, candidate.BadAnswers, candidate.GoodAnswers+candidate.BadAnswers, stableShare), true
		}
	}
	median, timed := candidate.median()
	stableMedian, stableTimed := stable.median()
	if timed >= minTimedAnswers && stableTimed >= minTimedAnswers && median >= minSlowMedian &&
		float64(median) >= maxMedianRatio*float64(stableMedian) {
		return fmt.Sprintf("%s: median %v, before %v", route, median, stableMedian), true
	}
	return "", false
}
