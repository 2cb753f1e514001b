package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/registrar"
)

// Guards against an upstream that counts as started anew because its registration states its start in another way (issue 26).
func TestStartOfLapsedRegistration(t *testing.T) {
	// listed is in Unix milliseconds when the fixture first lists the upstream.
	const listed = 1_000_000
	for name, c := range map[string]struct {
		first, second int64
		isSame        bool
	}{
		"as it was":                      {5, 5, true},
		"not stated":                     {5, 0, true},
		"never stated":                   {0, 0, true},
		"stated later":                   {0, listed - 1, true},
		"started after it was listed":    {0, listed + 1, false},
		"later start":                    {5, 6, false},
		"earlier start, clock went back": {5, 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.Apply([]registrar.Change{put("a", c.first, false)}, true)
			incarnation := f.list[0].Incarnation()
			f.AnnounceLeaving(&f.list[0])
			f.Apply([]registrar.Change{removed("a")}, false)
			f.now = f.now.Add(800 * time.Millisecond)
			f.Apply([]registrar.Change{put("a", c.second, false)}, false)
			must.EqOp(t, c.isSame, f.list[0].Incarnation() == incarnation)
			must.EqOp(t, c.isSame, f.list[0].Leaving)
			if !c.isSame {
				return
			}
			f.Apply([]registrar.Change{put("a", listed+5000, false)}, false)
			must.Eq(t, []string{"a"}, f.available(), must.Sprint("a start after that is available"))
		})
	}
}

// Guards against requests to an upstream under an earlier start after the store has come back from an older copy (issue 26).
func TestEarlierStartIsOutdated(t *testing.T) {
	f := newFixture()
	f.Apply([]registrar.Change{put("a", 1, false)}, true)
	f.Apply([]registrar.Change{put("a", 2, false)}, false)
	f.announce("a", 2)
	for _, all := range []bool{true, false} {
		f.Apply([]registrar.Change{put("a", 1, false)}, all)
		must.EqOp(t, identifier.Upstream("a/2"), f.list[0].Incarnation())
		must.Nil(t, f.available())
	}
	f.Apply([]registrar.Change{removed("a")}, false)
	f.Apply([]registrar.Change{put("a", 1, false)}, false)
	must.Nil(t, f.names())
	must.EqOp(t, 3, f.Counters()["outdated"])
	f.Apply([]registrar.Change{put("a", 3, false)}, false)
	must.Eq(t, []string{"a"}, f.available())
	f.Apply([]registrar.Change{removed("a")}, false)
	f.now = f.now.Add(2 * time.Hour)
	f.RemoveExpired()
	f.Apply([]registrar.Change{put("a", 1, false)}, false)
	must.Eq(t, []string{"a"}, f.available())
}

// Guards against an upstream whose registrations are ignored, also that it leaves, because a store that came back from an older copy showed a start
// of it that this entry had not seen (review case 4).
func TestOlderStartOfCopyIsNotTaken(t *testing.T) {
	f := newFixture()
	f.Apply([]registrar.Change{put("a", 9, false)}, true)
	f.MarkStoreReturned()
	f.Apply([]registrar.Change{put("a", 5, false)}, true)
	must.EqOp(t, identifier.Upstream("a/9"), f.list[0].Incarnation())
	f.now = f.now.Add(time.Second)
	f.Apply([]registrar.Change{put("a", 9, false)}, false)
	f.Apply([]registrar.Change{put("a", 9, true)}, false)
	must.Nil(t, f.available())
	f.now = f.now.Add(time.Minute)
	f.RemoveExpired()
	must.EqOp(t, identifier.Upstream("a/9"), f.list[0].Incarnation())
	must.Nil(t, f.available())
}

// Guards against an upstream that is never used again because its clock went back and its first registration came just after a return of the
// store.
func TestEarlierTimeAfterReturnIsTakenLater(t *testing.T) {
	f := newFixture()
	f.Apply([]registrar.Change{put("a", 9, false)}, true)
	f.MarkStoreReturned()
	f.Apply([]registrar.Change{put("a", 5, false)}, true)
	f.now = f.now.Add(4 * time.Second)
	f.RemoveExpired()
	must.EqOp(t, identifier.Upstream("a/9"), f.list[0].Incarnation())
	f.now = f.now.Add(2 * time.Second)
	f.RemoveExpired()
	must.EqOp(t, identifier.Upstream("a/5"), f.list[0].Incarnation())
	must.Eq(t, []string{"a"}, f.available())
}

// Guards against an upstream whose own registrations are ignored because another writer left a complete one with another start under its name
// (issue 35).
func TestReplacedStartIsRestored(t *testing.T) {
	for _, foreign := range []int64{4, 9} {
		f := newFixture()
		f.Apply([]registrar.Change{put("a", 5, false)}, true)
		f.Apply([]registrar.Change{put("a", foreign, false)}, false)
		f.now = f.now.Add(time.Second)
		f.Apply([]registrar.Change{put("a", 5, false)}, false)
		f.now = f.now.Add(6 * time.Second)
		f.RemoveExpired()
		must.EqOp(t, identifier.Upstream("a/5"), f.list[0].Incarnation())
		f.Apply([]registrar.Change{put("a", 5, true)}, false)
		must.Nil(t, f.available())
	}
}

// Guards against an incarnation that registered that it leaves while its start counted as an earlier one, and that is used once it is taken back.
func TestEarlierStartThatLeaves(t *testing.T) {
	f := newFixture()
	f.Apply([]registrar.Change{put("a", 5, false)}, true)
	f.Apply([]registrar.Change{put("a", 9, false)}, false)
	f.Apply([]registrar.Change{put("a", 5, true)}, false)
	f.Apply([]registrar.Change{put("a", 5, false)}, false)
	f.now = f.now.Add(10 * time.Second)
	f.RemoveExpired()
	must.EqOp(t, identifier.Upstream("a/5"), f.list[0].Incarnation())
	must.Nil(t, f.available())
}

// Guards against a late registration of an earlier start that replaces a live one, which writes its own again or cannot while the store is away.
func TestLateRegistrationIsNotRestored(t *testing.T) {
	for name, during := range map[string]func(*fixture){
		"written over": func(f *fixture) { f.Apply([]registrar.Change{put("a", 9, false)}, false) },
		"removed":      func(f *fixture) { f.Apply([]registrar.Change{removed("a"), put("a", 9, false)}, false) },
		"not listed":   func(f *fixture) { f.Apply(nil, true) },
		"store away":   func(f *fixture) { f.MarkStoreUnavailable() },
		"store back": func(f *fixture) {
			f.MarkStoreUnavailable()
			f.now = f.now.Add(4 * time.Second)
			f.Apply([]registrar.Change{put("a", 5, false)}, true)
			f.now = f.now.Add(-time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.Apply([]registrar.Change{put("a", 5, false)}, true)
			f.Apply([]registrar.Change{put("a", 9, false)}, false)
			f.Apply([]registrar.Change{put("a", 5, false)}, false)
			f.now = f.now.Add(time.Second)
			during(f)
			f.now = f.now.Add(5 * time.Second)
			f.RemoveExpired()
			for i := range f.list {
				must.EqOp(t, identifier.Upstream("a/9"), f.list[i].Incarnation())
			}
		})
	}
}
