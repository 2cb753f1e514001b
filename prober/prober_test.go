package prober_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/prober"
)

const (
	// maxPause and maxWait are the longest pause of the prober and the longest wait of the others.
	maxPause = 500 * time.Millisecond
	maxWait  = 2 * time.Second
)

// group is a group with three members and a clock that the test sets.
type group struct {
	*prober.Group
	clock            time.Time
	members          []*prober.Member
	losses, returns  []string
	returnedFromLoss time.Duration
}

func newGroup(opts ...prober.Option) *group {
	g := &group{clock: time.Unix(1000, 0)}
	g.Group = prober.New(append(opts, prober.WithNow(func() time.Time { return g.clock }),
		prober.WithOnLoss(func(member string) { g.losses = append(g.losses, member) }),
		prober.WithOnReturn(func(member string, since time.Time) {
			g.returns, g.returnedFromLoss = append(g.returns, member), g.clock.Sub(since)
		}))...)
	for _, name := range []string{"a", "b", "c"} {
		g.members = append(g.members, g.Join(name))
	}
	return g
}

// lose makes the members, after a success of each, lose the store 10 ms apart.
func (g *group) lose() {
	for _, m := range g.members {
		m.Succeeded()
	}
	for _, m := range g.members {
		m.Failed()
		g.clock = g.clock.Add(10 * time.Millisecond)
	}
}

// mayCall reports whether a member may call now; it then does.
func (g *group) mayCall(i int) bool {
	_, ok := g.members[i].Begin()
	return ok
}

// Guards against several members that probe, and against members that do not call for over 2 s.
func TestFirstProbes(t *testing.T) {
	g := newGroup()
	g.lose()
	began, calls := g.clock, [3]int{}
	lastCall := [3]time.Time{began, began, began}
	for g.clock.Sub(began) < 20*time.Second {
		for i, m := range g.members {
			if g.mayCall(i) {
				calls[i]++
				lastCall[i] = g.clock
				m.Failed()
			}
			must.LessEq(t, maxWait+20*time.Millisecond, g.clock.Sub(lastCall[i]))
		}
		g.clock = g.clock.Add(5 * time.Millisecond)
	}
	// The pauses are 0.05, 0.1, 0.2, 0.4 s and then 0.45 to 0.5 s, whoever calls.
	must.Between(t, 20*2, calls[0]+calls[1]+calls[2], 4+20*100/45+2)
	t.Logf("%d calls in 20 s, by member %v", calls[0]+calls[1]+calls[2], calls)
	must.Between(t, 9, calls[1], 13)
	must.Between(t, 9, calls[2], 13)
	must.Eq(t, []string{"a"}, g.losses)
	must.SliceEmpty(t, g.returns)
	must.EqOp(t, int64(calls[0]), g.Counters()["probes"])
	must.EqOp(t, int64(calls[1]+calls[2]), g.Counters()["own-calls"])
}

// Guards against members that wait on after the success of another one, and against an outage that is reported as over while some are out.
func TestSuccessLetsAllGoOn(t *testing.T) {
	for first := range 3 {
		g := newGroup()
		g.lose()
		for range 5 {
			g.clock = g.clock.Add(maxWait)
			must.True(t, g.mayCall(first))
			g.members[first].Failed()
		}
		g.clock = g.clock.Add(maxWait)
		must.True(t, g.mayCall(first))
		g.members[first].Succeeded()
		must.SliceEmpty(t, g.returns)
		for i, m := range g.members {
			if i != first {
				must.True(t, g.mayCall(i))
				m.Succeeded()
			}
		}
		must.SliceLen(t, 1, g.returns)
		must.EqOp(t, 6*maxWait+30*time.Millisecond, g.returnedFromLoss)
		must.EqOp(t, 2, g.Counters()["releases"])
		must.True(t, g.State().OutSince.IsZero())
		// The next loss is probed after the shortest pause again.
		g.members[1].Failed()
		must.EqOp(t, "b", g.State().Prober)
		g.clock = g.clock.Add(50 * time.Millisecond)
		must.True(t, g.mayCall(1))
	}
}

// Guards against a member that may call only at the next reading of a clock that runs, and never does.
func TestClockRuns(t *testing.T) {
	clock := time.Unix(1000, 0)
	g := prober.New(prober.WithNow(func() time.Time {
		clock = clock.Add(time.Nanosecond)
		return clock
	}))
	a, b := g.Join("a"), g.Join("b")
	for _, m := range []*prober.Member{a, b} {
		m.Succeeded()
		must.True(t, m.Failed())
	}
	a.Succeeded()
	_, ok := b.Begin()
	must.True(t, ok)
}

// Guards against a call that began before the store served again, fails after another member has succeeded, and leaves its member waiting.
func TestCallUnderWayAtReturn(t *testing.T) {
	g := newGroup()
	g.lose()
	g.clock = g.clock.Add(maxWait)
	must.True(t, g.mayCall(1))
	must.True(t, g.mayCall(2))
	g.members[2].Succeeded()
	select {
	case <-g.members[1].Released():
	default:
		t.Fatal("the member that calls does not learn of the success")
	}
	must.True(t, g.members[1].Failed())
	must.True(t, g.mayCall(1))
	must.True(t, g.mayCall(0))
}

// Guards against a member without a copy that waits, and thereby an entry that starts later than it could.
func TestMemberWithoutCopyDoesNotWait(t *testing.T) {
	g := newGroup()
	g.members[0].Succeeded()
	must.True(t, g.members[0].Failed())
	must.False(t, g.members[1].Failed())
	must.SliceLen(t, 1, g.losses)
	must.EqOp(t, "a", g.State().Prober)
	g.clock = g.clock.Add(time.Hour)
	must.False(t, g.Withhold(time.Second))
}

// Guards against a prober that waits for good for a member that does not take its turn.
func TestMissedTurn(t *testing.T) {
	g := newGroup()
	g.lose()
	g.clock = g.clock.Add(maxWait + time.Minute)
	must.True(t, g.mayCall(0))
	g.members[0].Failed()
	g.clock = g.clock.Add(2 * maxPause)
	must.True(t, g.mayCall(0))
}

// Guards against steps that begin although their calls would fail, and against steps that are withheld while the store serves a member.
func TestStepsAreWithheld(t *testing.T) {
	step := 1500 * time.Millisecond
	must.False(t, prober.New().Withhold(step))
	g := newGroup()
	g.lose()
	must.False(t, g.Withhold(step))
	g.clock = g.clock.Add(step)
	must.True(t, g.Withhold(step))
	must.EqOp(t, 1, g.Counters()["steps-withheld"])
	g.members[2].Succeeded()
	must.False(t, g.Withhold(step))
	g.clock = g.clock.Add(time.Minute)
	must.False(t, g.Withhold(step))
	g.members[2].Failed()
	must.True(t, g.Withhold(step))
}

// Guards, in any sequence of events, against a group in which nobody calls though some members are out, against members that wait beyond the
// bounds, and against a success after which a member that is out may not call.
func TestAnySequence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := newGroup(prober.WithDraw(func() float64 { return rapid.Float64Range(0, 1).Draw(rt, "draw") }))
		out, known, calling := [3]bool{}, [3]bool{}, [3]bool{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			i := rapid.IntRange(0, 2).Draw(rt, "member")
			switch rapid.SampledFrom([]string{"fail", "succeed", "begin", "begin", "wait"}).Draw(rt, "event") {
			case "fail":
				must.EqOp(rt, known[i], g.members[i].Failed())
				out[i], calling[i] = known[i], false
			case "succeed":
				wasOut := out[i]
				g.members[i].Succeeded()
				out[i], known[i], calling[i] = false, true, false
				for k := range g.members {
					if wasOut && out[k] && !calling[k] {
						must.True(rt, g.mayCall(k))
						calling[k] = true
					}
				}
			case "begin":
				calling[i] = calling[i] || g.mayCall(i)
			case "wait":
				g.clock = g.clock.Add(time.Duration(rapid.IntRange(1, 1000).Draw(rt, "wait")) * time.Millisecond)
			}
			g.mustBeLive(rt, out, calling)
		}
	})
}

// mustBeLive requires that a member calls, or will at a time within the longest pause of the prober, twice if another one missed its turn.
func (g *group) mustBeLive(rt *rapid.T, out, calling [3]bool) {
	soon, isOut, isCalling := false, false, false
	for i := range g.members {
		isOut = isOut || out[i]
		isCalling = isCalling || out[i] && calling[i]
	}
	if !isOut || isCalling {
		return
	}
	// Begin changes the group when it allows a call, so it is asked of members that may not call yet.
	for i, m := range g.members {
		if !out[i] {
			continue
		}
		at, ok := m.Begin()
		soon = soon || ok || !at.IsZero() && at.Sub(g.clock) <= 2*maxPause
		if ok {
			m.Failed()
			break
		}
	}
	must.True(rt, soon)
}
