package promoter

import (
	"errors"
	"fmt"
	"strings"
)

const (
	// maxCount bounds each count of a tally, so that the sum of the tallies of all entries does not overflow.
	maxCount = 1 << 40
	// maxSumCount bounds each count of a sum: that of 8,192 entries, and the largest number up to which JSON numbers are exact everywhere.
	maxSumCount = maxCount << 13
	// maxMillis bounds the times of a tally, in milliseconds.
	maxMillis = 1 << 53
)

// ErrInvalidTally is returned for a tally that no entry writes.
var ErrInvalidTally = errors.New("promoter: invalid tally")

// Sum returns the sum of the tallies on an order at a time of the store's clock in milliseconds, as one tally of that time, and the
// number of its parts; invalid tallies, whose counts could overflow the sum, are left out. Decide reaches the same state and exposure from the sum as from the tallies.
func Sum(tallies []Tally, o *RolloutOrder, storeNow int64) (Tally, int) {
	sum := Tally{
		To: o.To, Number: o.At.Version, At: storeNow, Exposure: 1, Candidate: map[string]VersionCounts{}, Stable: map[string]VersionCounts{},
	}
	parts := 0
	held := map[uint64]bool{}
	for i := range tallies {
		t := &tallies[i]
		if t.To != sum.To || t.Number != sum.Number || t.Validate() != nil {
			continue
		}
		parts++
		if t.Began > 0 && (sum.Began == 0 || t.Began < sum.Began) {
			sum.Began = t.Began
		}
		mergeCounts(sum.Candidate, t.Candidate)
		mergeCounts(sum.Stable, t.Stable)
		if !t.isFresh(storeNow) {
			continue
		}
		sum.Active += t.Active
		sum.Exposure = min(sum.Exposure, t.Exposure)
		for _, session := range t.HeldSessions {
			if !held[session] {
				held[session] = true
				sum.HeldSessions = append(sum.HeldSessions, session)
			}
		}
	}
	return sum, parts
}

// isFresh reports whether a tally still shows the current requests, exposure and sessions of its entry.
func (t *Tally) isFresh(storeNow int64) bool {
	return storeNow-t.At <= maxTallyAge.Milliseconds()
}

// Validate returns an ErrInvalidTally for the tally of one entry that cannot be written to the store.
func (t *Tally) Validate() error {
	switch {
	case t.Entry == "" || strings.Contains(string(t.Entry), "/"):
		// The keys of other rows than those of tallies contain slashes.
		return fmt.Errorf("%w: entry %.40q", ErrInvalidTally, string(t.Entry))
	case len(t.HeldSessions) > maxHeldSessions:
		return fmt.Errorf("%w: %d sessions", ErrInvalidTally, len(t.HeldSessions))
	}
	return t.validate(maxCount)
}

// ValidateSum returns an ErrInvalidTally for a sum that no tallies have.
func (t *Tally) ValidateSum() error {
	return t.validate(maxSumCount)
}

// validate returns an ErrInvalidTally if a value is out of its bounds. The begin is negative if the store's clock has started again since.
func (t *Tally) validate(limit int64) error {
	switch {
	case t.To == "" || t.Number == 0:
		return fmt.Errorf("%w: no order", ErrInvalidTally)
	case t.Began < -maxMillis || t.Began > maxMillis || t.At < 0 || t.At > maxMillis:
		return fmt.Errorf("%w: times %d, %d", ErrInvalidTally, t.Began, t.At)
	case !isCount(t.Active, limit):
		return fmt.Errorf("%w: %d active requests", ErrInvalidTally, t.Active)
	case !(t.Exposure >= 0 && t.Exposure <= 1):
		return fmt.Errorf("%w: exposure %v", ErrInvalidTally, t.Exposure)
	}
	for _, m := range []map[string]VersionCounts{t.Candidate, t.Stable} {
		for route, c := range m {
			if !c.isValid(limit) {
				return fmt.Errorf("%w: counts of route %.40q", ErrInvalidTally, route)
			}
		}
	}
	return nil
}

func isCount(n, limit int64) bool {
	return n >= 0 && n <= limit
}

func (c *VersionCounts) isValid(limit int64) bool {
	if !isCount(c.Started, limit) || !isCount(c.GoodAnswers, limit) || !isCount(c.BadAnswers, limit) || !c.LaterSpeed.isValid(limit) {
		return false
	}
	for _, speeds := range c.Speeds {
		for _, s := range speeds {
			if !s.isValid(limit) {
				return false
			}
		}
	}
	return true
}

func (s *Speed) isValid(limit int64) bool {
	for _, h := range []Histogram{s.Response.Known, s.Response.AtLeast, s.Pace.Known, s.Pace.AtLeast} {
		if len(h) > bucketCount {
			return false
		}
		for _, n := range h {
			if !isCount(n, limit) {
				return false
			}
		}
	}
	return true
}
