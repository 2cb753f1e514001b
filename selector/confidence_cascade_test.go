package selector_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/selector"
)

// Guards against accepting an answer below the required confidence while engines have free slots, and against rejecting the
// answer of the last model.
func TestConfidenceCascadeAccepts(t *testing.T) {
	cascade := selector.NewConfidenceCascades().ForRoute("route", 3)
	must.EqOp(t, 0, cascade.First())
	must.EqOp(t, 2, cascade.Next(0))
	must.False(t, cascade.Accept(0, 49, 1, 0, 1))
	must.True(t, cascade.Accept(0, 50, 1, 0, 1))
	must.True(t, cascade.Accept(2, 0, 1, 0, 1))
}

// Guards against urgent or short requests that lose quality under less pressure than other requests.
func TestConfidenceCascadeUnderPressure(t *testing.T) {
	cascade := selector.NewConfidenceCascades().ForRoute("route", 2)
	// acceptAllPressure returns the pressure from which any answer is accepted.
	acceptAllPressure := func(rank int, size float64) float64 {
		for p := 0.0; p < 4; p += 0.001 {
			if cascade.Accept(0, 0, rank, p, size) {
				return p
			}
		}
		return 4
	}
	must.Less(t, acceptAllPressure(0, 1), acceptAllPressure(1, 1))
	must.Less(t, acceptAllPressure(1, 1), acceptAllPressure(2, 1))
	must.Less(t, acceptAllPressure(1, 0.5), acceptAllPressure(1, 1))
	must.Less(t, acceptAllPressure(1, 1), acceptAllPressure(1, 3))
	must.EqOp(t, acceptAllPressure(1, 4), acceptAllPressure(1, 100))
}

// Guards against a burst in which every request is late: callers ask for twice the time that an engine has if half of the
// requests are repeated on a model that takes ten times as long. The test simulates the burst on one queue. It checks that
// requests wait for less than their objective, which they do not when the pressure is ignored, and that quality recovers after
// the burst.
func TestConfidenceCascadeInBurst(t *testing.T) {
	// The times are in seconds.
	const (
		slots, small, large = 64, 0.01, 0.1
		objective           = 1.5
	)
	simulate := func(withPressure bool) (late, escalated, escalatedAfter float64) {
		cascade, p := selector.NewConfidenceCascades().ForRoute("route", 2), &selector.Pressure{}
		r := rand.New(rand.NewPCG(1, 2))
		now, free := 0.0, 0.0
		burstRequests, requestsAfter := 0.0, 0.0
		for now < 60 {
			rate := 10.0
			if now > 10 && now < 40 {
				rate = 40
			}
			now += r.ExpFloat64() / rate
			at := time.Unix(0, int64(now*1e9))
			wait := max(free-now, 0)
			p.Observe(int(wait*rate), slots, at)
			pressure := 0.0
			if withPressure {
				pressure = p.Value(at)
			}
			work := small
			escalate := !cascade.Accept(0, r.IntN(101), 1, pressure, 1)
			if escalate {
				work += large
			}
			free = max(free, now) + work
			switch {
			case now > 10 && now < 40:
				burstRequests++
				if wait > objective {
					late++
				}
				if escalate {
					escalated++
				}
			case now > 50:
				requestsAfter++
				if escalate {
					escalatedAfter++
				}
			}
		}
		return late / burstRequests, escalated / burstRequests, escalatedAfter / requestsAfter
	}
	late, _, _ := simulate(false)
	must.Greater(t, 0.9, late)
	late, escalated, escalatedAfter := simulate(true)
	must.Less(t, 0.01, late)
	must.Between(t, 0.05, escalated, 0.4)
	must.Greater(t, 0.35, escalatedAfter)
}

// Guards against a pressure that a single report determines, and against one that remains high after its cause has ended.
func TestPressure(t *testing.T) {
	p := &selector.Pressure{}
	now := time.Unix(1000, 0)
	must.EqOp(t, 0, p.Value(now))
	p.Observe(64, 64, now)
	must.LessEq(t, 0.5, p.Value(now))
	for range 100 {
		p.Observe(64, 64, now)
	}
	must.Greater(t, 0.9, p.Value(now))
	must.Less(t, 0.1, p.Value(now.Add(5*time.Second)))
	p.Observe(1, 0, now)
	must.EqOp(t, 1, p.RelativePromptSize(0))
	for range 1000 {
		p.RelativePromptSize(1000)
	}
	must.Between(t, 9, p.RelativePromptSize(10_000), 10)
}
