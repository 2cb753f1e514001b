package evacuator_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/evacuator"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
)

const hold = 5 * time.Second

// fixture is an evacuator at a time, with its events.
type fixture struct {
	*evacuator.Evacuator
	now    time.Time
	events []evacuator.Event
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	f.Evacuator = evacuator.New(hold, evacuator.WithNow(func() time.Time { return f.now }),
		evacuator.WithOnEvent(func(x evacuator.Event) { f.events = append(f.events, x) }))
	return f
}

// at returns a position.
func at(era, version uint64) storer.Position {
	return storer.Position{Era: era, Version: version}
}

// readAll applies all rows of the table, each written at the position of the read.
func (f *fixture) readAll(p storer.Position, returned bool, names ...identifier.DataCentre) {
	b := evacuator.Batch{At: p, All: true, Returned: returned}
	for _, name := range names {
		b.Changes = append(b.Changes, evacuator.Change{DataCentre: name, At: p})
	}
	f.Apply(b)
}

// changed applies one change.
func (f *fixture) changed(p storer.Position, name identifier.DataCentre, withdrawn bool) {
	f.Apply(evacuator.Batch{At: p, Changes: []evacuator.Change{{DataCentre: name, At: p, Withdrawn: withdrawn}}})
}

// transitions returns the transitions so far.
func (f *fixture) transitions() []evacuator.Transition {
	var list []evacuator.Transition
	for _, x := range f.events {
		list = append(list, x.Transition)
	}
	return list
}

// Guards against an order that has no effect, one that outlives its withdrawal, one that takes another data centre out of service, and
// events that come twice.
func TestOrderAndWithdrawal(t *testing.T) {
	f := newFixture()
	f.readAll(at(0, 1), false)
	must.False(t, f.IsEvacuated("a"))
	f.changed(at(0, 2), "a", false)
	f.changed(at(0, 3), "a", false)
	must.True(t, f.IsEvacuated("a"))
	must.False(t, f.IsEvacuated("b"))
	f.changed(at(0, 4), "b", false)
	f.changed(at(0, 5), "a", true)
	f.changed(at(0, 6), "a", true)
	must.False(t, f.IsEvacuated("a"))
	must.True(t, f.IsEvacuated("b"))
	must.Eq(t, []evacuator.Transition{evacuator.Started, evacuator.Started, evacuator.Ended}, f.transitions())
	must.EqOp(t, at(0, 5), f.events[2].At)
}

// Guards against an order for an unnamed data centre, which would match upstreams whose data centre is not known.
func TestUnnamedDataCentre(t *testing.T) {
	f := newFixture()
	f.readAll(at(0, 1), false, "")
	f.Learn([]evacuator.Claim{{Era: 1, Version: 9}})
	must.False(t, f.IsEvacuated(""))
	must.SliceEmpty(t, f.events)
}

// Guards against an order whose row was removed while the history of changes was dropped, and that holds for ever.
func TestRowGoneWithHistory(t *testing.T) {
	f := newFixture()
	f.readAll(at(1, 1), false, "a", "b")
	f.readAll(at(1, 5), false, "b")
	must.False(t, f.IsEvacuated("a"))
	must.True(t, f.IsEvacuated("b"))
}

// Guards against requests to an evacuated data centre whose order the store has lost with its last seconds, before the operator has written
// it again, and against a lost order that holds for ever.
func TestRowMissingAfterReturn(t *testing.T) {
	for name, x := range map[string]struct {
		then func(f *fixture)
		// ends is set if the order ends once the hold is over.
		ends bool
	}{
		"not written again":         {func(*fixture) {}, true},
		"written again":             {func(f *fixture) { f.changed(at(2, 8), "a", false) }, false},
		"history dropped meanwhile": {func(f *fixture) { f.readAll(at(2, 8), false) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.readAll(at(1, 9), false, "a")
			f.readAll(at(2, 7), true)
			x.then(f)
			f.now = f.now.Add(hold - 1)
			f.EndHolds(f.now)
			must.True(t, f.IsEvacuated("a"))
			f.now = f.now.Add(1)
			f.EndHolds(f.now)
			must.EqOp(t, x.ends, !f.IsEvacuated("a"))
			must.EqOp(t, 1, f.Counters()["orders-held"])
		})
	}
}

// Guards against an order that ends because its hold is over while the store cannot be read: the operator may have written it again.
func TestHoldInOutage(t *testing.T) {
	f := newFixture()
	f.readAll(at(1, 9), false, "a")
	f.readAll(at(2, 7), true)
	read := f.now.Add(hold / 2)
	f.now = f.now.Add(time.Hour)
	f.EndHolds(read)
	must.True(t, f.IsEvacuated("a"))
	f.EndHolds(f.now)
	must.False(t, f.IsEvacuated("a"))
}

// Guards against a held order that outlives its withdrawal, and against one that ends early because the store has come back twice.
func TestHeldOrder(t *testing.T) {
	f := newFixture()
	f.readAll(at(1, 9), false, "a", "b")
	f.readAll(at(2, 7), true)
	f.changed(at(2, 8), "a", true)
	must.False(t, f.IsEvacuated("a"))
	f.now = f.now.Add(hold - 1)
	f.readAll(at(3, 7), true)
	f.now = f.now.Add(hold - 1)
	f.EndHolds(f.now)
	must.True(t, f.IsEvacuated("b"))
	f.now = f.now.Add(1)
	f.EndHolds(f.now)
	must.False(t, f.IsEvacuated("b"))
}

// Guards against an order that is not obeyed because it was withdrawn before the store came back from a copy that has it.
func TestRowBackAfterReturn(t *testing.T) {
	f := newFixture()
	f.readAll(at(1, 5), false, "a")
	f.changed(at(1, 9), "a", true)
	f.readAll(at(2, 7), true, "a")
	must.True(t, f.IsEvacuated("a"))
	f.now = f.now.Add(hold)
	f.EndHolds(f.now)
	must.True(t, f.IsEvacuated("a"))
}

// Guards against an entry that starts after a return and does not know the order that the store has lost, against one that takes over an
// order that was withdrawn since, and against a time of another entry that makes an order hold longer than one of its own.
func TestLearn(t *testing.T) {
	for name, x := range map[string]struct {
		claim evacuator.Claim
		// holds is how long the order holds, 0 if it is not taken over.
		holds time.Duration
	}{
		"return not known to the other":  {evacuator.Claim{Era: 1, Version: 9}, hold},
		"held by the other":              {evacuator.Claim{Era: 1, Version: 9, Left: 2 * time.Second}, 2 * time.Second},
		"return not known to this entry": {evacuator.Claim{Era: 3, Version: 2}, hold},
		"written since the read":         {evacuator.Claim{Era: 2, Version: 8}, hold},
		"withdrawn":                      {evacuator.Claim{Era: 2, Version: 6}, 0},
		"negative time":                  {evacuator.Claim{Era: 1, Version: 9, Left: -time.Hour}, hold},
		"huge time":                      {evacuator.Claim{Era: 1, Version: 9, Left: 1<<63 - 1}, hold},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.readAll(at(2, 7), false)
			x.claim.DataCentre = "a"
			f.Learn([]evacuator.Claim{x.claim, x.claim})
			must.EqOp(t, x.holds > 0, f.IsEvacuated("a"))
			if x.holds == 0 {
				return
			}
			must.SliceLen(t, 1, f.events)
			f.now = f.now.Add(x.holds - 1)
			f.EndHolds(f.now)
			must.True(t, f.IsEvacuated("a"))
			f.now = f.now.Add(1)
			f.EndHolds(f.now)
			must.False(t, f.IsEvacuated("a"))
		})
	}
}

// Guards against an entry that passes an order on for longer than it holds itself, so that it never ends in a fleet whose entries start one
// after the other, and against a statement that has no room for the orders which the store may have lost.
func TestClaims(t *testing.T) {
	f := newFixture()
	f.readAll(at(1, 9), false, "a", "z")
	f.readAll(at(2, 7), true, "a")
	f.now = f.now.Add(3 * time.Second)
	must.Eq(t, []evacuator.Claim{{DataCentre: "z", Era: 1, Version: 9, Left: 2 * time.Second}}, f.Claims(1))
	must.SliceLen(t, 2, f.Claims(5))
	must.SliceEmpty(t, f.Claims(0))
	other := newFixture()
	other.readAll(at(2, 7), false)
	other.Learn(f.Claims(5))
	must.Eq(t, []evacuator.Claim{{DataCentre: "z", Era: 1, Version: 9, Left: 2 * time.Second}}, other.Claims(1))
	f.now = f.now.Add(time.Hour)
	must.EqOp(t, time.Duration(1), f.Claims(1)[0].Left)
}

// Guards against a claim of another entry that is read as an order although a field is of another type, and against a panic on one.
func TestInvalidClaims(t *testing.T) {
	for _, text := range []string{
		`{"data-centre":1}`, `{"data-centre":"a","era":-1}`, `{"data-centre":"a","era":"1"}`, `{"data-centre":"a","version":1e99}`,
		`{"data-centre":"a","left":"5s"}`, `{"data-centre":"a","left":9223372036854775808}`,
	} {
		var c evacuator.Claim
		must.Error(t, json.Unmarshal([]byte(text), &c), must.Sprint(text))
	}
	f := newFixture()
	f.readAll(at(2, 7), false)
	for _, text := range []string{`null`, `{}`, `{"data-centre":""}`, `{"data-centre":null,"era":null}`, `{"left":-1}`} {
		var c evacuator.Claim
		must.NoError(t, json.Unmarshal([]byte(text), &c))
		f.Learn([]evacuator.Claim{c})
	}
	must.SliceEmpty(t, f.events)
}

// Guards against a state dump that does not say since when a data centre is evacuated and whether the store may have lost the order.
func TestState(t *testing.T) {
	f := newFixture()
	began := f.now
	f.readAll(at(1, 9), false, "b", "a")
	f.now = f.now.Add(time.Second)
	f.readAll(at(2, 7), true, "b")
	s := f.State()
	must.SliceLen(t, 2, s)
	must.EqOp(t, "a", string(s[0].DataCentre))
	must.EqOp(t, "1/9", s[0].At)
	must.True(t, s[0].Since.Equal(began))
	must.True(t, s[0].HeldUntil.Equal(f.now.Add(hold)))
	must.EqOp(t, "2/7", s[1].At)
	must.Nil(t, s[1].HeldUntil)
}
