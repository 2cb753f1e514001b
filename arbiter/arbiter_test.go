package arbiter_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/arbiter"
	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/storer"
)

const hold = time.Second

// fixture is an arbiter at a time.
type fixture struct {
	arbiter.Arbiter
	now time.Time
}

func newFixture() *fixture {
	return &fixture{arbiter.Arbiter{Hold: hold}, time.Unix(1000, 0)}
}

func candidate(revision, digest, era, version uint64) arbiter.Candidate {
	return arbiter.Candidate{
		Table: matcher.NewTable(revision, matcher.Limits{}), Digest: digest, At: storer.Position{Era: era, Version: version},
	}
}

func (f *fixture) offer(c arbiter.Candidate) arbiter.Decision {
	d, _ := f.Offer(c, f.now)
	return d
}

// Guards against a configuration of the copy that replaces the one in force while the operator has not written again.
func TestCopyIsIgnored(t *testing.T) {
	f := newFixture()
	must.EqOp(t, arbiter.InForce, f.offer(candidate(10, 1, 1, 80)))
	must.EqOp(t, arbiter.InForce, f.offer(candidate(12, 2, 1, 95)))
	old := candidate(10, 1, 2, 80)
	old.MayBeOld = true
	must.EqOp(t, arbiter.Ignored, f.offer(old))
	must.EqOp(t, arbiter.Ignored, f.offer(candidate(12, 2, 2, 92)))
	f.now = f.now.Add(time.Hour)
	must.Nil(t, f.Due(f.now))
}

// Guards against a lower revision that the operator has written in the new era and that is not in force in time, also if the revision was
// given out before.
func TestLowerRevisionOfLaterEra(t *testing.T) {
	for _, c := range []arbiter.Candidate{candidate(11, 5, 2, 92), candidate(12, 6, 2, 92)} {
		f := newFixture()
		f.offer(candidate(10, 1, 1, 80))
		f.offer(candidate(12, 2, 1, 95))
		d, at := f.Offer(c, f.now)
		must.EqOp(t, arbiter.Held, d)
		must.EqOp(t, hold, at.Sub(f.now))
		must.Nil(t, f.Due(f.now.Add(hold-1)))
		must.EqOp(t, c.Table, f.Due(at))
		must.EqOp(t, arbiter.InForce, f.offer(candidate(13, 7, 2, 99)))
		must.EqOp(t, arbiter.Ignored, f.offer(candidate(12, 8, 2, 100)))
	}
}

// Guards against a configuration that goes back while the operator writes again, in order, what the store has lost.
func TestRewrittenInOrder(t *testing.T) {
	f := newFixture()
	f.offer(candidate(10, 1, 1, 80))
	// Revision 11 was replaced before this entry read it.
	f.offer(candidate(12, 2, 1, 95))
	must.EqOp(t, arbiter.Held, f.offer(candidate(11, 3, 2, 91)))
	must.EqOp(t, arbiter.Ignored, f.offer(candidate(12, 2, 2, 92)))
	must.Nil(t, f.Due(f.now.Add(hold)))
}

// Guards against an entry that was cut off during the return and never follows the operator's new configuration, as the store shows it
// only in the first read.
func TestLowerRevisionOfFirstRead(t *testing.T) {
	f := newFixture()
	f.offer(candidate(12, 2, 1, 95))
	c := candidate(11, 5, 2, 92)
	c.MayBeOld = true
	d, at := f.Offer(c, f.now)
	must.EqOp(t, arbiter.Held, d)
	must.EqOp(t, arbiter.Ignored, f.offer(c))
	must.EqOp(t, 4*hold, at.Sub(f.now))
	must.EqOp(t, c.Table, f.Due(at))
}

// Guards against a late reply of an earlier era that changes anything.
func TestEarlierEraIsIgnored(t *testing.T) {
	f := newFixture()
	f.offer(candidate(12, 2, 2, 92))
	must.EqOp(t, arbiter.Ignored, f.offer(candidate(11, 3, 1, 95)))
	must.Nil(t, f.Due(f.now.Add(time.Hour)))
}

// Guards against a configuration in force that is not the last that the operator has written, whatever was lost and in which order the
// store shows the rest. In each era the operator writes revisions that rise, from what the store has kept.
func TestLastConfigurationIsInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		digests := map[*matcher.Table]uint64{}
		var inForce uint64
		offer := func(c arbiter.Candidate) {
			digests[c.Table] = c.Digest
			if f.offer(c) == arbiter.InForce {
				inForce = c.Digest
			}
		}
		wait := func(d time.Duration) {
			f.now = f.now.Add(d)
			if table := f.Due(f.now); table != nil {
				inForce = digests[table]
			}
		}
		digest, revision, version := uint64(0), uint64(0), uint64(0)
		for era := range uint64(4) {
			for range rapid.IntRange(1, 4).Draw(t, "writes") {
				digest++
				version += rapid.Uint64Range(1, 3).Draw(t, "versions")
				revision += rapid.Uint64Range(1, 3).Draw(t, "revisions")
				if rapid.Bool().Draw(t, "read") {
					offer(candidate(revision, digest, era, version))
					offer(candidate(revision, digest, era, version))
				}
				wait(time.Duration(rapid.IntRange(0, 2000).Draw(t, "milliseconds")) * time.Millisecond)
			}
			offer(candidate(revision, digest, era, version))
			wait(2 * hold)
			must.EqOp(t, digest, inForce)
			lost := rapid.Uint64Max(min(revision, version)).Draw(t, "lost")
			revision, version = revision-lost, version-lost
		}
	})
}
