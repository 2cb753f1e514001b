package selector_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/selector"
)

// burst is what callers got in a simulated burst at one queue.
type burst struct {
	requests, late, lowQuality, factorSum float64
}

// playBurst simulates a queue at which a larger model takes ten times the time of the first one, with a burst of twice the usual traffic in the
// middle. Half of the first answers lack confidence; a request is late if its first event comes after the target.
func playBurst(target time.Duration, withHeadroom bool) burst {
	const (
		slots        = 64
		small, large = 0.002, 0.02
	)
	cascade, p, h := selector.NewConfidenceCascades().ForRoute("route", 2), &selector.Pressure{}, selector.NewHeadroom()
	r := rand.New(rand.NewPCG(1, 2))
	var b burst
	now, free := 0.0, 0.0
	for now < 60 {
		rate := 60.0
		if now > 30 && now < 40 {
			rate = 120
		}
		now += r.ExpFloat64() / rate
		at := time.Unix(0, int64(now*1e9))
		wait := max(free-now, 0)
		p.Observe(int(wait*rate), slots, at)
		pressure := p.Value(at)
		if withHeadroom {
			pressure /= h.Factor()
		}
		confidence, work := r.IntN(101), small
		accepted := cascade.Accept(0, confidence, 1, pressure, 1)
		if !accepted {
			work += large
		}
		free = max(free, now) + work
		took := time.Duration((wait + work) * float64(time.Second))
		h.Observe(selector.IsAtRisk(took, target))
		if now < 20 {
			continue
		}
		b.requests++
		b.factorSum += h.Factor()
		if took > target {
			b.late++
		}
		if accepted && confidence < 50 {
			b.lowQuality++
		}
	}
	return b
}

// Guards against answers without confidence that callers get although the larger model's would come in a small part of the latency target,
// and against late answers of those whose target leaves no time for waiting.
func TestHeadroomInBurst(t *testing.T) {
	const ample, tight = 4 * time.Second, 60 * time.Millisecond
	before, with := playBurst(ample, false), playBurst(ample, true)
	must.Less(t, before.lowQuality*0.8, with.lowQuality)
	must.LessEq(t, 0.01*with.requests, with.late)
	before, with = playBurst(tight, false), playBurst(tight, true)
	must.LessEq(t, before.late+0.02*before.requests, with.late)
	must.Less(t, 2, with.factorSum/with.requests)
}

// Guards against a headroom that outlasts the time in which answers are at risk, and against one that no calm raises again.
func TestHeadroomFollowsRisk(t *testing.T) {
	h := selector.NewHeadroom()
	must.EqOp(t, 1, h.Factor())
	for range 1000 {
		h.Observe(false)
	}
	must.EqOp(t, 4, h.Factor())
	for range 14 {
		h.Observe(true)
	}
	must.EqOp(t, 1, h.Factor())
	must.EqOp(t, 14, h.AtRisk())
	h.Observe(false)
	must.Greater(t, 1, h.Factor())
}

// Guards against a missing target or pause that counts as at risk, or against one at the bound that does not.
func TestAtRisk(t *testing.T) {
	must.True(t, selector.IsAtRisk(time.Second, 3*time.Second))
	must.False(t, selector.IsAtRisk(time.Second, 4*time.Second))
	must.False(t, selector.IsPauseAtRisk(time.Second, 0))
	must.False(t, selector.IsPauseAtRisk(time.Second, 2*time.Second))
	must.True(t, selector.IsPauseAtRisk(time.Second+1, 2*time.Second))
}
