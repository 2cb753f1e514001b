package promoter_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	testMaxExposure = 0.15
	testSessionTime = 5 * time.Second
)

var orderTime = time.Unix(1000, 0)

func testOrder() promoter.RolloutOrder {
	return promoter.RolloutOrder{Service: "drafting", To: "v2", Duration: 20 * time.Second, At: storer.Position{Version: 7}}
}

// rolloutGroup holds the timed roll-outs of several entries, which exchange their tallies.
type rolloutGroup struct {
	t        *testing.T
	rollouts []*promoter.TimedRollout
	active   int64
	attempts uint64
}

func newRolloutGroup(t *testing.T, n int) *rolloutGroup {
	g := &rolloutGroup{t: t}
	for i := range n {
		g.rollouts = append(g.rollouts, promoter.NewTimedRollout(
			testOrder(), identifier.Instance(strconv.Itoa(i)), promoter.ExposureBound{Share: testMaxExposure}, testSessionTime, orderTime,
		))
	}
	return g
}

// decideAt makes every entry write its tally and decide, ms milliseconds after the order, and returns the last entry's state.
func (g *rolloutGroup) decideAt(ms int64) string {
	g.t.Helper()
	now := orderTime.Add(time.Duration(ms) * time.Millisecond)
	var tallies []promoter.Tally
	for _, rollout := range g.rollouts {
		tallies = append(tallies, rollout.Tally(10_000+ms, g.active, now))
	}
	state := ""
	for _, rollout := range g.rollouts {
		s, _ := rollout.Decide(tallies, 10_000+ms, now)
		state = string(s)
	}
	return state
}

// observe records an answer whose response took a time.
func (g *rolloutGroup) observe(r *promoter.TimedRollout, candidate bool, route string, failed bool, response time.Duration) {
	g.attempts++
	r.BeginAttempt(g.attempts, candidate, route, "", orderTime)
	if !failed {
		r.AddResponse(g.attempts, response, orderTime)
	}
	r.AddAnswer(g.attempts, candidate, route, failed)
	r.EndAttempt(g.attempts, orderTime)
}

// newVersionShare returns the share of sessions that entry i sends to the new version.
func (g *rolloutGroup) newVersionShare(i int, now time.Time) float64 {
	n := 0
	const sessions = 20_000
	for s := range uint64(sessions) {
		if g.rollouts[i].UsesNewVersion(s*0x9e3779b97f4a7c15, now) {
			n++
		}
	}
	return float64(n) / sessions
}

// Guards against a roll-out of a good version that misses its deadline, and against success while requests still run on the
// former version, whose upstreams stop at once on success.
func TestTimedRolloutSucceeds(t *testing.T) {
	g := newRolloutGroup(t, 2)
	g.active = 3
	for ms := int64(0); ms < 10_000; ms += 1000 {
		must.EqOp(t, "canary", g.decideAt(ms))
		for _, rollout := range g.rollouts {
			for range 5 {
				g.observe(rollout, true, "report", false, 100*time.Millisecond)
				g.observe(rollout, false, "report", false, 100*time.Millisecond)
			}
		}
	}
	must.Between(t, 0.025, g.newVersionShare(0, orderTime.Add(9*time.Second)), 0.05)
	must.EqOp(t, "growing", g.decideAt(10_300))
	must.EqOp(t, "draining", func() string { g.decideAt(12_500); g.decideAt(12_600); return g.decideAt(12_700) }())
	must.EqOp(t, 1, g.newVersionShare(1, orderTime.Add(14*time.Second)))
	must.EqOp(t, "draining", g.decideAt(14_000))
	g.active = 0
	must.EqOp(t, "succeeded", g.decideAt(14_500))
}

// Guards against a bad version that stays in use because no entry alone has seen enough failures: the sum of the tallies decides.
func TestTimedRolloutRollsBack(t *testing.T) {
	g := newRolloutGroup(t, 3)
	g.decideAt(0)
	for _, rollout := range g.rollouts {
		for range 2 {
			g.observe(rollout, true, "report", true, 0)
			g.observe(rollout, true, "report", false, 100*time.Millisecond)
		}
		for range 50 {
			g.observe(rollout, false, "report", false, 100*time.Millisecond)
		}
		_, bad := rollout.DecideLocally(orderTime)
		must.False(t, bad)
	}
	must.EqOp(t, "rolled-back", g.decideAt(1000))
	must.EqOp(t, 0, g.newVersionShare(0, orderTime.Add(time.Second)))
}

// Guards against a version that stays in use although it fails on one route only, or answers several times slower.
func TestTimedRolloutRollsBackBadRouteAndSlowVersion(t *testing.T) {
	g := newRolloutGroup(t, 1)
	g.decideAt(0)
	for range 100 {
		g.observe(g.rollouts[0], true, "answer", false, 50*time.Millisecond)
		g.observe(g.rollouts[0], false, "answer", false, 50*time.Millisecond)
	}
	must.EqOp(t, "canary", g.decideAt(500))
	for range 5 {
		g.observe(g.rollouts[0], true, "report", true, 0)
		g.observe(g.rollouts[0], true, "report", false, 100*time.Millisecond)
	}
	must.EqOp(t, "rolled-back", g.decideAt(1000))

	g = newRolloutGroup(t, 1)
	g.decideAt(0)
	for range 20 {
		g.observe(g.rollouts[0], true, "report", false, 800*time.Millisecond)
		g.observe(g.rollouts[0], false, "report", false, 100*time.Millisecond)
	}
	must.EqOp(t, "rolled-back", g.decideAt(1000))
}

// Guards against a rollback for errors that both versions return at the same rate.
func TestTimedRolloutKeepsVersionWithUsualErrors(t *testing.T) {
	g := newRolloutGroup(t, 1)
	g.decideAt(0)
	for i := range 200 {
		g.observe(g.rollouts[0], true, "status", i%7 == 0, 30*time.Millisecond)
		g.observe(g.rollouts[0], false, "status", i%7 == 0, 30*time.Millisecond)
	}
	must.EqOp(t, "canary", g.decideAt(1000))
}

// Guards against a session in use that changes to the new version during the canary, also if another entry has served it: the
// users accept three such changes a day.
func TestTimedRolloutHoldsSessionsInUse(t *testing.T) {
	g := newRolloutGroup(t, 2)
	now := orderTime
	var inUse []uint64
	for s := range uint64(20_000) {
		inUse = append(inUse, s*0x9e3779b97f4a7c15)
	}
	g.rollouts[0].HoldSessions(inUse, now)
	g.decideAt(0)
	g.decideAt(1000)
	now = now.Add(1500 * time.Millisecond)
	for _, s := range inUse {
		must.False(t, g.rollouts[1].UsesNewVersion(s, now))
	}
	moved := 0
	for s := range uint64(20_000) {
		if g.rollouts[1].UsesNewVersion(s*0xbf58476d1ce4e5b9+3, now) {
			moved++
		}
	}
	must.Positive(t, moved)
}

// Guards against an entry that sends sessions to the new version while the tallies of other entries cannot be read.
func TestTimedRolloutNeedsTallies(t *testing.T) {
	g := newRolloutGroup(t, 1)
	for range 100 {
		g.observe(g.rollouts[0], true, "report", false, 100*time.Millisecond)
	}
	must.EqOp(t, 0, g.newVersionShare(0, orderTime.Add(15*time.Second)))
}

// Guards against an order that never ends: without enough good answers it is rolled back at its deadline.
func TestTimedRolloutEndsAtDeadline(t *testing.T) {
	g := newRolloutGroup(t, 1)
	g.decideAt(0)
	must.EqOp(t, "canary", g.decideAt(19_000))
	must.EqOp(t, "rolled-back", g.decideAt(20_500))
}

// Guards against a status of an earlier order that is taken for the final state of a later one to the same version.
func TestStatusEnds(t *testing.T) {
	o := testOrder()
	must.False(t, (&promoter.RolloutStatus{To: "v2", State: promoter.TimedRolloutRolledBack, At: storer.Position{Version: 5}}).Ends(&o))
	must.False(t, (&promoter.RolloutStatus{To: "v2", State: promoter.TimedRolloutCanary, At: storer.Position{Version: 9}}).Ends(&o))
	must.False(t, (&promoter.RolloutStatus{To: "v1", State: promoter.TimedRolloutSucceeded, At: storer.Position{Version: 9}}).Ends(&o))
	must.True(t, (&promoter.RolloutStatus{To: "v2", State: promoter.TimedRolloutSucceeded, At: storer.Position{Version: 9}}).Ends(&o))
}
