package selector_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/selector"
)

// Guards against quality that is given up while engines have room, and against the last model's answer being refused.
func TestLadderAccepts(t *testing.T) {
	l := selector.NewConfidenceCascades().ForRoute("route", 3)
	must.EqOp(t, 0, l.First())
	must.EqOp(t, 2, l.Next(0))
	must.False(t, l.Accept(0, 49, 1, 0, 1))
	must.True(t, l.Accept(0, 50, 1, 0, 1))
	must.True(t, l.Accept(2, 0, 1, 0, 1))
}

// Guards against an order of yielding that makes urgent or short requests give up quality before others.
func TestLadderYields(t *testing.T) {
	l := selector.NewConfidenceCascades().ForRoute("route", 2)
	// yieldsAt is the pressure from which any answer is accepted.
	yieldsAt := func(rank int, size float64) float64 {
		for p := 0.0; p < 4; p += 0.001 {
			if l.Accept(0, 0, rank, p, size) {
				return p
			}
		}
		return 4
	}
	must.Less(t, yieldsAt(0, 1), yieldsAt(1, 1))
	must.Less(t, yieldsAt(1, 1), yieldsAt(2, 1))
	must.Less(t, yieldsAt(1, 0.5), yieldsAt(1, 1))
	must.Less(t, yieldsAt(1, 1), yieldsAt(1, 3))
	must.EqOp(t, yieldsAt(1, 4), yieldsAt(1, 100))
}

// Guards against a burst in which every request is late: callers ask for twice the time that an engine has if half of the
// answers go on to a model of ten times the time. The test plays it on one queue and checks that requests wait for less than
// their objective, while without pressure they do not, and that quality returns after the burst.
func TestLadderInBurst(t *testing.T) {
	const (
		slots, small, large = 64, 0.01, 0.1
		objective           = 1.5
	)
	play := func(yielding bool) (late, escalated, after float64) {
		l, p := selector.NewConfidenceCascades().ForRoute("route", 2), &selector.Pressure{}
		r := rand.New(rand.NewPCG(1, 2))
		now, free := 0.0, 0.0
		n, afterAll := 0.0, 0.0
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
			if yielding {
				pressure = p.Value(at)
			}
			work := small
			more := !l.Accept(0, r.IntN(101), 1, pressure, 1)
			if more {
				work += large
			}
			free = max(free, now) + work
			switch {
			case now > 10 && now < 40:
				n++
				if wait > objective {
					late++
				}
				if more {
					escalated++
				}
			case now > 50:
				afterAll++
				if more {
					after++
				}
			}
		}
		return late / n, escalated / n, after / afterAll
	}
	late, _, _ := play(false)
	must.Greater(t, 0.9, late)
	late, escalated, after := play(true)
	must.Less(t, 0.01, late)
	must.Between(t, 0.05, escalated, 0.4)
	must.Greater(t, 0.35, after)
}

// Guards against one engine that speaks for all, and a pressure that outlives its cause.
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
