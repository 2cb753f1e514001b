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

type bed struct {
	*registrar.Registrar
	now  time.Time
	list []registrar.Upstream
}

func newBed() *bed {
	b := &bed{now: time.Unix(1000, 0)}
	b.Registrar = registrar.New(registrar.WithNow(func() time.Time { return b.now }),
		registrar.WithUpdate(func(l []registrar.Upstream) { b.list = l }))
	b.Schedule = func(time.Time, func()) {}
	return b
}

func put(name string, born int64, leaving bool) registrar.Change {
	return registrar.Change{Name: identifier.Upstream(name), Upstream: &registrar.Upstream{
		Name: identifier.Upstream(name), Service: "s", Version: "v1", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 4,
		StartMillis: born, Leaving: leaving,
	}}
}

func removed(name string) registrar.Change {
	return registrar.Change{Name: identifier.Upstream(name)}
}

func (b *bed) names() []string {
	var n []string
	for i := range b.list {
		n = append(n, string(b.list[i].Name))
	}
	return n
}

// Guards against an upstream that gets new requests after the store said that it leaves or is gone.
func TestLeaving(t *testing.T) {
	b := newBed()
	b.Apply([]registrar.Change{put("a", 1, false), put("b", 1, false)}, true)
	b.Apply([]registrar.Change{put("a", 1, true)}, false)
	must.True(t, b.list[0].Leaving)
	b.Apply([]registrar.Change{removed("a")}, false)
	must.Eq(t, []string{"b"}, b.names())
	b.Apply(nil, true)
	must.Nil(t, b.names())
}

// Guards against an upstream that gets requests again because a heartbeat from before its leaving arrives late, while its entry
// still stands or after its removal. A new incarnation under the same name is another upstream.
func TestLateHeartbeat(t *testing.T) {
	b := newBed()
	b.Apply([]registrar.Change{put("a", 1, false)}, true)
	b.Apply([]registrar.Change{put("a", 1, true), put("a", 1, false)}, false)
	must.True(t, b.list[0].Leaving)
	b.Apply([]registrar.Change{removed("a"), put("a", 1, false)}, false)
	must.True(t, b.list[0].Leaving)
	b.Apply([]registrar.Change{put("a", 2, false)}, false)
	must.False(t, b.list[0].Leaving)
}

// Guards against refused requests after an outage of the store, which has lost the entries of live upstreams: they are back
// within two seconds, and one that is not is gone.
func TestEntriesLostInOutage(t *testing.T) {
	b := newBed()
	b.Apply([]registrar.Change{put("a", 1, false), put("b", 1, false), put("c", 1, true)}, true)
	b.MarkStoreLost()
	b.now = b.now.Add(10 * time.Second)
	b.Apply([]registrar.Change{removed("a"), removed("b"), removed("c")}, false)
	must.Eq(t, []string{"a", "b"}, b.names())
	b.now = b.now.Add(time.Second)
	b.Apply([]registrar.Change{put("a", 1, false)}, false)
	b.now = b.now.Add(1100 * time.Millisecond)
	b.Tick()
	must.Eq(t, []string{"a"}, b.names())
	b.Apply([]registrar.Change{removed("a")}, false)
	must.Nil(t, b.names())
}

// Guards against requests to an upstream that left without notice while it looked like one whose entry the store had lost: it
// is dropped exactly two seconds after the return of the store, because requests to it are late by then. A check once per
// second let requests through 2.4 s after the removal.
func TestKeptEntryIsDroppedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var listed atomic.Int64
		r := registrar.New(registrar.WithUpdate(func(l []registrar.Upstream) { listed.Store(int64(len(l))) }))
		r.Apply([]registrar.Change{put("a", 1, false), put("b", 1, false)}, true)
		r.MarkStoreLost()
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

// Guards against entries that are dropped while the store is out again.
func TestSecondOutage(t *testing.T) {
	b := newBed()
	b.Apply([]registrar.Change{put("a", 1, false)}, true)
	b.MarkStoreLost()
	b.Apply(nil, true)
	b.MarkStoreLost()
	b.now = b.now.Add(10 * time.Second)
	b.Tick()
	must.Eq(t, []string{"a"}, b.names())
}

// Guards against state of an earlier run that is taken for that of a restarted upstream with the same name.
func TestRestart(t *testing.T) {
	b := newBed()
	b.Apply([]registrar.Change{put("a", 1, false)}, true)
	before := b.list[0].Incarnation()
	b.Apply([]registrar.Change{put("a", 2, false)}, false)
	must.NotEqOp(t, before, b.list[0].Incarnation())
	must.EqOp(t, 1, b.Counters()["restarts"])
}

// Guards against a list that is published for each heartbeat.
func TestUnchangedEntry(t *testing.T) {
	b := newBed()
	b.Apply([]registrar.Change{put("a", 1, false)}, true)
	b.list = nil
	b.Apply([]registrar.Change{put("a", 1, false)}, false)
	must.Nil(t, b.list)
}
