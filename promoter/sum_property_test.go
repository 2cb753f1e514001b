package promoter_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/storer"
)

// drawCounts draws the counts of one version on some routes.
func drawCounts(t *rapid.T, name string) map[string]promoter.VersionCounts {
	m := map[string]promoter.VersionCounts{}
	for _, route := range []string{"report", "answer"} {
		if !rapid.Bool().Draw(t, name+route) {
			continue
		}
		n := func(what string, most int64) int64 { return rapid.Int64Range(0, most).Draw(t, name+route+what) }
		c := promoter.VersionCounts{Started: n("started", 40), GoodAnswers: n("good", 20), BadAnswers: n("bad", 3)}
		times := promoter.Times{
			Known:   rapid.SliceOfN(rapid.Int64Range(0, 9), 0, 26).Draw(t, name+route+"known"),
			AtLeast: rapid.SliceOfN(rapid.Int64Range(0, 2), 0, 26).Draw(t, name+route+"at-least"),
		}
		switch rapid.IntRange(0, 2).Draw(t, name+route+"phase") {
		case 0:
			c.Speeds[0] = map[string]promoter.Speed{"m": {Response: times}}
		case 1:
			c.Speeds[1] = map[string]promoter.Speed{"": {Pace: times}}
		default:
			c.LaterSpeed = promoter.Speed{Response: times}
		}
		m[route] = c
	}
	return m
}

// Guards against entries that decide differently because they get the sum of the tallies and not the tallies: on the state, the exposure
// or the sessions that stay on the former version.
func TestSumGivesTheSameDecision(t *testing.T) {
	states := map[string]int{}
	var sessions []uint64
	for n := range uint64(40) {
		sessions = append(sessions, n<<54)
	}
	rapid.Check(t, func(t *rapid.T) {
		order := testOrder()
		newRollout := func() *promoter.TimedRollout {
			return promoter.NewTimedRollout(order, "e", promoter.ExposureBound{Share: testMaxExposure, Slack: 200}, testSessionTime, orderTime)
		}
		fromAll, fromSum := newRollout(), newRollout()
		at, steps := int64(0), rapid.IntRange(1, 12).Draw(t, "steps")
		for step := range steps {
			at += rapid.Int64Range(1, 4000).Draw(t, "elapsed")
			storeNow, now := 10_000+at, orderTime.Add(time.Duration(at)*time.Millisecond)
			var tallies []promoter.Tally
			for i := range rapid.IntRange(0, 5).Draw(t, "entries") {
				name := fmt.Sprint(step, "/", i)
				tally := promoter.Tally{
					Entry: identifier.Instance(fmt.Sprint(i)), To: order.To, Number: order.At.Version,
					Began:     rapid.SampledFrom([]int64{0, 10_000, 10_400, 9_700}).Draw(t, name+"began"),
					At:        storeNow - rapid.SampledFrom([]int64{0, 900, 3500, 3501, 9000}).Draw(t, name+"age"),
					Active:    rapid.Int64Range(0, 2).Draw(t, name+"active"),
					Exposure:  rapid.SampledFrom([]float64{0, 0.0375, 0.2, 0.45, 1, 1, 1, 1}).Draw(t, name+"exposure"),
					Candidate: drawCounts(t, name+"c"), Stable: drawCounts(t, name+"s"),
					HeldSessions: rapid.SliceOfN(rapid.SampledFrom(sessions), 0, 5).Draw(t, name+"held"),
				}
				switch rapid.IntRange(0, 9).Draw(t, name+"other") {
				case 0:
					tally.To = "v3"
				case 1:
					tally.Number++
				}
				tallies = append(tallies, tally)
			}
			sum, _ := promoter.Sum(tallies, &order, storeNow)
			must.NoError(t, sum.ValidateSum())
			b, err := json.Marshal(sum)
			must.NoError(t, err)
			var received promoter.Tally
			must.NoError(t, json.Unmarshal(b, &received))
			want, _ := fromAll.Decide(tallies, storeNow, now)
			got, _ := fromSum.Decide([]promoter.Tally{received}, storeNow, now)
			must.EqOp(t, want, got)
			states[string(want)]++
			_, wantExposure := fromAll.Stage()
			_, gotExposure := fromSum.Stage()
			must.EqOp(t, wantExposure, gotExposure)
			must.EqOp(t, fromAll.IsDeciding(storeNow), fromSum.IsDeciding(storeNow))
			for _, session := range sessions {
				if step < steps-1 {
					// An entry that is asked for a session holds it.
					break
				}
				must.EqOp(t, fromAll.UsesNewVersion(session, now), fromSum.UsesNewVersion(session, now))
			}
			must.EqOp(t, fromAll.Tally(storeNow, 0, now).Began, fromSum.Tally(storeNow, 0, now).Began)
			if promoter.IsFinal(want) {
				return
			}
		}
	})
	for _, state := range []string{"canary", "growing", "draining", "succeeded", "rolled-back"} {
		must.Positive(t, states[state], must.Sprint(state))
	}
}

// Guards against a sum that loses requests in flight or sessions in use of one entry, or counts those of an entry that is gone.
func TestSumOfTallies(t *testing.T) {
	o := testOrder()
	tally := func(age, active int64, exposure float64, held ...uint64) promoter.Tally {
		return promoter.Tally{
			Entry: "e", To: o.To, Number: o.At.Version, Began: 100 + active, At: 9000 - age, Active: active, Exposure: exposure, HeldSessions: held,
			Stable: map[string]promoter.VersionCounts{"r": {Started: 10, GoodAnswers: 8, BadAnswers: 2}},
		}
	}
	other := tally(0, 50, 0, 9)
	other.Number++
	sum, parts := promoter.Sum([]promoter.Tally{tally(0, 1, 0.5, 1, 2), tally(3500, 4, 0.4, 2, 3), tally(3501, 20, 0.1, 4), tally(10, 0, 1), other}, &o, 9000)
	must.EqOp(t, 4, parts)
	must.EqOp(t, 5, sum.Active)
	must.EqOp(t, 0.4, sum.Exposure)
	must.Eq(t, []uint64{1, 2, 3}, sum.HeldSessions)
	must.EqOp(t, 100, sum.Began)
	must.EqOp(t, 9000, sum.At)
	must.EqOp(t, 40, sum.Stable["r"].Started)
	must.EqOp(t, 8, sum.Stable["r"].BadAnswers)
	must.EqOp(t, 32, sum.Stable["r"].GoodAnswers)
	none, parts := promoter.Sum(nil, &o, 9000)
	must.EqOp(t, 0, parts)
	must.EqOp(t, 1, none.Exposure)
}

// Guards against a tally that breaks the decisions of all entries or overwrites another row: absent, empty, null, huge, negative and text
// values, and names with a slash.
func TestInvalidTallies(t *testing.T) {
	valid := `{"entry":"a","to":"v2","number":7,"began-ms":1,"at-ms":2,"active":0,"exposure":0.5,"candidate":{"r":{"started":1}},"stable":null,"held":[1]}`
	var tally promoter.Tally
	must.NoError(t, json.Unmarshal([]byte(valid), &tally))
	must.NoError(t, tally.Validate())
	for name, change := range map[string]func(*promoter.Tally){
		"no entry":             func(t *promoter.Tally) { t.Entry = "" },
		"key of a verdict":     func(t *promoter.Tally) { t.Entry = "/verdict/1" },
		"no version":           func(t *promoter.Tally) { t.To = "" },
		"no number":            func(t *promoter.Tally) { t.Number = 0 },
		"huge negative begin":  func(t *promoter.Tally) { t.Began = -1 << 60 },
		"huge begin":           func(t *promoter.Tally) { t.Began = 1 << 60 },
		"negative time":        func(t *promoter.Tally) { t.At = -1 },
		"huge time":            func(t *promoter.Tally) { t.At = 1 << 62 },
		"negative requests":    func(t *promoter.Tally) { t.Active = -1 },
		"huge requests":        func(t *promoter.Tally) { t.Active = 1 << 62 },
		"negative exposure":    func(t *promoter.Tally) { t.Exposure = -0.1 },
		"huge exposure":        func(t *promoter.Tally) { t.Exposure = 1.1 },
		"many sessions":        func(t *promoter.Tally) { t.HeldSessions = make([]uint64, 1001) },
		"negative count":       func(t *promoter.Tally) { t.Candidate["r"] = promoter.VersionCounts{BadAnswers: -1} },
		"huge count":           func(t *promoter.Tally) { t.Stable = map[string]promoter.VersionCounts{"r": {Started: 1 << 62}} },
		"negative good":        func(t *promoter.Tally) { t.Candidate["r"] = promoter.VersionCounts{GoodAnswers: -1} },
		"negative time counts": func(t *promoter.Tally) { t.Candidate["r"] = withHistogram(promoter.Histogram{-1}) },
		"many buckets":         func(t *promoter.Tally) { t.Candidate["r"] = withHistogram(make(promoter.Histogram, 27)) },
	} {
		changed := tally
		changed.Candidate = map[string]promoter.VersionCounts{}
		change(&changed)
		must.ErrorIs(t, changed.Validate(), promoter.ErrInvalidTally, must.Sprint(name))
	}
}

func withHistogram(h promoter.Histogram) promoter.VersionCounts {
	c := promoter.VersionCounts{LaterSpeed: promoter.Speed{Pace: promoter.Times{AtLeast: h}}}
	c.Speeds[1] = map[string]promoter.Speed{"m": {Response: promoter.Times{Known: h}}}
	return c
}

// Guards against calls that are refused after the store's clock has started again: the order began before that.
func TestBeginBeforeClockIsValid(t *testing.T) {
	tally := promoter.Tally{Entry: "a", To: "v2", Number: 7, Began: -4000, At: 2000, Exposure: 0.1}
	must.NoError(t, tally.Validate())
	must.NoError(t, tally.ValidateSum())
}

// Guards against valid tallies whose sum entries refuse, and against a row that makes the sum of all invalid.
func TestSumOfLargeTallies(t *testing.T) {
	o := promoter.RolloutOrder{To: "v2", At: storer.Position{Version: 7}}
	var tallies []promoter.Tally
	for _, name := range []identifier.Instance{"a", "b"} {
		tallies = append(tallies, promoter.Tally{
			Entry: name, To: "v2", Number: 7, At: 1, Active: 1 << 40, Exposure: 1,
			Candidate: map[string]promoter.VersionCounts{"r": {Started: 1 << 40}},
		})
		must.NoError(t, tallies[len(tallies)-1].Validate())
	}
	tallies = append(tallies, promoter.Tally{Entry: "c", To: "v2", Number: 7, At: 1, Active: 1 << 62, Exposure: 1})
	sum, parts := promoter.Sum(tallies, &o, 1)
	must.NoError(t, sum.ValidateSum())
	must.EqOp(t, 2, parts)
	must.EqOp(t, 1<<41, sum.Active)
}
