package registrar_test

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/registrar"
)

type fixture struct {
	*registrar.Registrar
	now  time.Time
	list []registrar.Upstream
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	f.Registrar = registrar.New(registrar.WithNow(func() time.Time { return f.now }),
		registrar.WithUpdate(func(l []registrar.Upstream) { f.list = l }))
	f.Schedule = func(time.Time, func()) {}
	return f
}

func put(name string, startMillis int64, leaving bool) registrar.Change {
	return registrar.Change{Name: identifier.Upstream(name), Upstream: &registrar.Upstream{
		Name: identifier.Upstream(name), Service: "s", Version: "v1", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 4,
		StartMillis: startMillis, Leaving: leaving,
	}}
}

func removed(name string) registrar.Change {
	return registrar.Change{Name: identifier.Upstream(name)}
}

func (f *fixture) names() []string {
	var n []string
	for i := range f.list {
		n = append(n, string(f.list[i].Name))
	}
	return n
}

// Guards against an upstream that stays in the list as available after the store reported that it leaves or is gone.
func TestLeaving(t *testing.T) {
	f := newFixture()
	f.Apply([]registrar.Change{put("a", 1, false), put("b", 1, false)}, true)
	f.Apply([]registrar.Change{put("a", 1, true)}, false)
	must.True(t, f.list[0].Leaving)
	f.Apply([]registrar.Change{removed("a")}, false)
	must.Eq(t, []string{"b"}, f.names())
	f.Apply(nil, true)
	must.Nil(t, f.names())
}

// Guards against an upstream that gets requests again because a heartbeat that it sent before it began to leave arrives late,
// before or after the removal of its registration. A new incarnation under the same name is available.
func TestLateHeartbeat(t *testing.T) {
	f := newFixture()
	f.Apply([]registrar.Change{put("a", 1, false)}, true)
	f.Apply([]registrar.Change{put("a", 1, true), put("a", 1, false)}, false)
	must.True(t, f.list[0].Leaving)
	f.Apply([]registrar.Change{removed("a"), put("a", 1, false)}, false)
	must.True(t, f.list[0].Leaving)
	f.Apply([]registrar.Change{put("a", 2, false)}, false)
	must.False(t, f.list[0].Leaving)
}

// Guards against refused requests after an outage in which the store lost the registrations of live upstreams: these are kept
// for the two seconds in which live upstreams register again; one that does not is removed.
func TestRegistrationsLostInOutage(t *testing.T) {
	f := newFixture()
	f.Apply([]registrar.Change{put("a", 1, false), put("b", 1, false), put("c", 1, true)}, true)
	f.MarkStoreUnavailable()
	f.now = f.now.Add(10 * time.Second)
	f.Apply([]registrar.Change{removed("a"), removed("b"), removed("c")}, false)
	must.Eq(t, []string{"a", "b"}, f.names())
	f.now = f.now.Add(time.Second)
	f.Apply([]registrar.Change{put("a", 1, false)}, false)
	f.now = f.now.Add(1100 * time.Millisecond)
	f.RemoveExpired()
	must.Eq(t, []string{"a"}, f.names())
	f.Apply([]registrar.Change{removed("a")}, false)
	must.Nil(t, f.names())
}

// Guards against late requests to an upstream that left without notice and is kept because the outage may have lost its
// registration: it has to be removed exactly two seconds after the return of the store, the limit for requests to an upstream
// that is gone. A check once per second let requests through 2.4 s after the removal.
func TestKeptRegistrationIsRemovedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var listed atomic.Int64
		r := registrar.New(registrar.WithUpdate(func(l []registrar.Upstream) { listed.Store(int64(len(l))) }))
		r.Apply([]registrar.Change{put("a", 1, false), put("b", 1, false)}, true)
		r.MarkStoreUnavailable()
		time.Sleep(time.Second)
		r.Apply(nil, false)
		time.Sleep(300 * time.Millisecond)
		r.Apply([]registrar.Change{removed("a")}, false)
		time.Sleep(1600 * time.Millisecond)
		must.EqOp(t, 2, listed.Load())
		time.Sleep(200 * time.Millisecond)
		must.EqOp(t, 1, listed.Load())
	})
}

// Guards against kept registrations that are removed while the store is in a second outage.
func TestSecondOutage(t *testing.T) {
	f := newFixture()
	f.Apply([]registrar.Change{put("a", 1, false)}, true)
	f.MarkStoreUnavailable()
	f.Apply(nil, true)
	f.MarkStoreUnavailable()
	f.now = f.now.Add(10 * time.Second)
	f.RemoveExpired()
	must.Eq(t, []string{"a"}, f.names())
}

// Guards against state of an earlier run that is applied to a restarted upstream with the same name.
func TestRestart(t *testing.T) {
	f := newFixture()
	f.Apply([]registrar.Change{put("a", 1, false)}, true)
	before := f.list[0].Incarnation()
	f.Apply([]registrar.Change{put("a", 2, false)}, false)
	must.NotEqOp(t, before, f.list[0].Incarnation())
	must.EqOp(t, 1, f.Counters()["restarts"])
}

// Guards against publishing the list for each heartbeat that changes nothing.
func TestUnchangedRegistration(t *testing.T) {
	f := newFixture()
	f.Apply([]registrar.Change{put("a", 1, false)}, true)
	f.list = nil
	f.Apply([]registrar.Change{put("a", 1, false)}, false)
	must.Nil(t, f.list)
}

// Guards against the use of an upstream that was removed before the store came back from a copy that lists it, and against live ones that
// are never used again (issue 20).
func TestRemovedBeforeReturn(t *testing.T) {
	f := newFixture()
	var releases []func()
	f.Schedule = func(_ time.Time, release func()) { releases = append(releases, release) }
	f.Apply([]registrar.Change{put("a", 1, false), put("b", 1, false), put("c", 1, false), put("d", 1, false)}, true)
	f.Apply([]registrar.Change{removed("a"), removed("b"), removed("c")}, false)
	// One comes back before the return.
	f.Apply([]registrar.Change{put("c", 1, false)}, false)
	must.Eq(t, []string{"c", "d"}, f.names())
	f.now = f.now.Add(time.Second)
	f.MarkStoreReturned()
	f.Apply([]registrar.Change{put("a", 1, false), put("b", 1, false), put("c", 1, false)}, true)
	// The copy lacks d, which is kept as after an outage.
	must.Eq(t, []string{"c", "d"}, f.names())
	f.now = f.now.Add(time.Second)
	f.Apply([]registrar.Change{removed("a"), put("d", 1, false)}, false)
	must.Eq(t, []string{"c", "d"}, f.names())
	f.now = f.now.Add(10 * time.Second)
	for _, release := range releases {
		release()
	}
	must.Eq(t, []string{"b", "c", "d"}, f.names())
	must.EqOp(t, 2, f.Counters()["held-after-return"])
}

// Guards against an upstream that is used again although it said that it leaves, and against a new start that is held.
func TestLeavingBeforeReturn(t *testing.T) {
	f := newFixture()
	f.Apply([]registrar.Change{put("a", 1, false), put("b", 1, false)}, true)
	f.AnnounceLeaving(put("a", 1, false).Upstream)
	f.Apply([]registrar.Change{put("b", 1, true)}, false)
	f.Apply([]registrar.Change{removed("b")}, false)
	f.now = f.now.Add(time.Second)
	f.MarkStoreReturned()
	f.Apply([]registrar.Change{put("a", 1, false), put("b", 1, false)}, true)
	must.Eq(t, []string{"a"}, f.names())
	must.True(t, f.list[0].Leaving)
	f.Apply([]registrar.Change{put("b", 2000, false)}, false)
	must.Eq(t, []string{"a", "b"}, f.names())
	must.False(t, f.list[1].Leaving)
}
