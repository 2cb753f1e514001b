package promoter_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/promoter"
)

const (
	trialShare   = 0.15
	trialSession = 5 * time.Second
)

var trialStart = time.Unix(1000, 0)

func trialOrder() promoter.RolloutOrder {
	return promoter.RolloutOrder{Service: "drafting", To: "v2", Duration: 20 * time.Second, Number: 7}
}

// fleet is the trials of several entries, which exchange their tallies.
type fleet struct {
	t      *testing.T
	trials []*promoter.TimedRollout
	active int64
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t}
	for i := range n {
		f.trials = append(f.trials, promoter.NewTimedRollout(trialOrder(), identifier.Instance(strconv.Itoa(i)), trialShare, trialSession, trialStart))
	}
	return f
}

// at lets every entry write its tally and judge, so many milliseconds after the order, and returns the last state.
func (f *fleet) at(ms int64) string {
	f.t.Helper()
	now := trialStart.Add(time.Duration(ms) * time.Millisecond)
	var tallies []promoter.Tally
	for _, x := range f.trials {
		tallies = append(tallies, x.Tally(10_000+ms, f.active, now))
	}
	state := ""
	for _, x := range f.trials {
		s, _ := x.Decide(tallies, 10_000+ms, now)
		state = string(s)
	}
	return state
}

// share returns the part of sessions that go to the new version.
func (f *fleet) share(i int, now time.Time) float64 {
	n := 0
	const sessions = 20_000
	for s := range uint64(sessions) {
		if f.trials[i].UsesNewVersion(s*0x9e3779b97f4a7c15, now) {
			n++
		}
	}
	return float64(n) / sessions
}

// Guards against a good version that is not moved in time, and against a success while requests run on the former one,
// whose upstreams stop at once.
func TestTrialSucceeds(t *testing.T) {
	f := newFleet(t, 2)
	f.active = 3
	for ms := int64(0); ms < 10_000; ms += 1000 {
		must.EqOp(t, "canary", f.at(ms))
		for _, x := range f.trials {
			for range 5 {
				x.Observe(true, "report", false, 100*time.Millisecond)
				x.Observe(false, "report", false, 100*time.Millisecond)
			}
		}
	}
	must.Between(t, 0.025, f.share(0, trialStart.Add(9*time.Second)), 0.05)
	must.EqOp(t, "growing", f.at(10_300))
	must.EqOp(t, "draining", func() string { f.at(12_500); f.at(12_600); return f.at(12_700) }())
	must.EqOp(t, 1, f.share(1, trialStart.Add(14*time.Second)))
	must.EqOp(t, "draining", f.at(14_000))
	f.active = 0
	must.EqOp(t, "succeeded", f.at(14_500))
}

// Guards against a bad version that stays in use: the sum of the tallies decides although no entry alone has seen enough.
func TestTrialRollsBack(t *testing.T) {
	f := newFleet(t, 3)
	f.at(0)
	for _, x := range f.trials {
		for range 2 {
			x.Observe(true, "report", true, 0)
			x.Observe(true, "report", false, 100*time.Millisecond)
		}
		for range 50 {
			x.Observe(false, "report", false, 100*time.Millisecond)
		}
		_, bad := x.DecideLocally()
		must.False(t, bad)
	}
	must.EqOp(t, "rolled-back", f.at(1000))
	must.EqOp(t, 0, f.share(0, trialStart.Add(time.Second)))
}

// Guards against a version that is bad on one route only, and against one that answers several times slower.
func TestTrialOneRouteAndSlow(t *testing.T) {
	f := newFleet(t, 1)
	f.at(0)
	for range 100 {
		f.trials[0].Observe(true, "answer", false, 50*time.Millisecond)
		f.trials[0].Observe(false, "answer", false, 50*time.Millisecond)
	}
	must.EqOp(t, "canary", f.at(500))
	for range 5 {
		f.trials[0].Observe(true, "report", true, 0)
		f.trials[0].Observe(true, "report", false, 100*time.Millisecond)
	}
	must.EqOp(t, "rolled-back", f.at(1000))

	f = newFleet(t, 1)
	f.at(0)
	for range 20 {
		f.trials[0].Observe(true, "report", false, 800*time.Millisecond)
		f.trials[0].Observe(false, "report", false, 100*time.Millisecond)
	}
	must.EqOp(t, "rolled-back", f.at(1000))
}

// Guards against errors that both versions have counting against the new one.
func TestTrialKeepsVersionWithUsualErrors(t *testing.T) {
	f := newFleet(t, 1)
	f.at(0)
	for i := range 200 {
		f.trials[0].Observe(true, "status", i%7 == 0, 30*time.Millisecond)
		f.trials[0].Observe(false, "status", i%7 == 0, 30*time.Millisecond)
	}
	must.EqOp(t, "canary", f.at(1000))
}

// Guards against a session in use on the former version that changes to the new one during the canary, also when another
// entry has served it: the users allow three such changes a day.
func TestTrialHoldsSessionsInUse(t *testing.T) {
	f := newFleet(t, 2)
	now := trialStart
	var inUse []uint64
	for s := range uint64(20_000) {
		inUse = append(inUse, s*0x9e3779b97f4a7c15)
	}
	f.trials[0].HoldSessions(inUse, now)
	f.at(0)
	f.at(1000)
	now = now.Add(1500 * time.Millisecond)
	for _, s := range inUse {
		must.False(t, f.trials[1].UsesNewVersion(s, now))
	}
	taken := 0
	for s := range uint64(20_000) {
		if f.trials[1].UsesNewVersion(s*0xbf58476d1ce4e5b9+3, now) {
			taken++
		}
	}
	must.Positive(t, taken)
}

// Guards against exposure that grows while the tallies of other entries cannot be read.
func TestTrialNeedsTallies(t *testing.T) {
	f := newFleet(t, 1)
	for range 100 {
		f.trials[0].Observe(true, "report", false, 100*time.Millisecond)
	}
	must.EqOp(t, 0, f.share(0, trialStart.Add(15*time.Second)))
}

// Guards against an order that nobody ends: without enough evidence it is rolled back at its deadline.
func TestTrialEndsAtDeadline(t *testing.T) {
	f := newFleet(t, 1)
	f.at(0)
	must.EqOp(t, "canary", f.at(19_000))
	must.EqOp(t, "rolled-back", f.at(20_500))
}

// Guards against a status of an earlier order that is taken for the verdict on a later one to the same version.
func TestStatusEnds(t *testing.T) {
	o := trialOrder()
	must.False(t, (&promoter.RolloutStatus{To: "v2", State: promoter.TimedRolloutRolledBack, Number: 5}).Ends(&o))
	must.False(t, (&promoter.RolloutStatus{To: "v2", State: promoter.TimedRolloutCanary, Number: 9}).Ends(&o))
	must.False(t, (&promoter.RolloutStatus{To: "v1", State: promoter.TimedRolloutSucceeded, Number: 9}).Ends(&o))
	must.True(t, (&promoter.RolloutStatus{To: "v2", State: promoter.TimedRolloutSucceeded, Number: 9}).Ends(&o))
}
