package runner

import (
	"bytes"
	"errors"
	"log/slog"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/registrar"
	"github.com/siskinfront/siskinfront/throttler"
)

// coldFixture is a coldness on a clock.
type coldFixture struct {
	*coldness
	clock time.Time
	told  []throttler.ColdReport
	lines bytes.Buffer
	// until and rate are what was set last.
	until map[identifier.Upstream]time.Time
	rate  map[identifier.Upstream]float64
}

func newColdFixture() *coldFixture {
	f := &coldFixture{clock: time.Unix(1000, 0), until: map[identifier.Upstream]time.Time{}, rate: map[identifier.Upstream]float64{}}
	f.coldness = newColdness(throttler.New(), func(r throttler.ColdReport) { f.told = append(f.told, r) }, slog.New(slog.NewTextHandler(&f.lines, nil)))
	f.now = func() time.Time { return f.clock }
	f.setCold = func(u identifier.Upstream, perSecond float64, until time.Time) {
		f.until[u], f.rate[u] = until, perSecond
	}
	f.configure(coldTable(20))
	return f
}

func coldTable(perSecond float64) *matcher.Table {
	return matcher.NewTable(1, matcher.Limits{}, matcher.WithService(&matcher.Service{Name: "s", ColdPerSecond: perSecond, ColdTime: 30 * time.Second}))
}

func (f *coldFixture) upstream(start int64, coldTime time.Duration) *registrar.Upstream {
	return &registrar.Upstream{Name: "u", Service: "s", StartMillis: start, ColdUntil: f.clock.Add(coldTime)}
}

// Guards against a registration that was written before an answer and ends the cold time that the answer named, and against reports of one
// start that apply to another.
func TestLastReportOfColdTimeApplies(t *testing.T) {
	f := newColdFixture()
	f.registered(f.upstream(1, 10*time.Second))
	must.EqOp(t, 10*time.Second, f.until["u/1"].Sub(f.clock))
	must.EqOp(t, 20, f.rate["u/1"])
	// It turns cold for longer, as an answer says; registrations of the time before follow.
	f.answered(f.upstream(1, 0), f.clock.Add(30*time.Second))
	f.clock = f.clock.Add(2 * time.Second)
	f.registered(f.upstream(1, 8*time.Second))
	must.EqOp(t, 28*time.Second, f.until["u/1"].Sub(f.clock))
	f.registered(f.upstream(1, 40*time.Second))
	must.EqOp(t, 40*time.Second, f.until["u/1"].Sub(f.clock))
	f.clock = f.clock.Add(2 * time.Second)
	f.registered(f.upstream(1, 5*time.Second))
	must.EqOp(t, 5*time.Second, f.until["u/1"].Sub(f.clock), must.Sprint("a time that runs backwards"))
	f.answered(f.upstream(1, 0), f.clock)
	must.False(t, f.until["u/1"].After(f.clock))

	f.registered(f.upstream(2, 15*time.Second))
	must.EqOp(t, 15*time.Second, f.until["u/2"].Sub(f.clock))
	f.answered(f.upstream(1, 0), f.clock.Add(time.Hour))
	must.EqOp(t, 15*time.Second, f.until["u/2"].Sub(f.clock))
	f.clock = f.clock.Add(2 * time.Hour)
	f.sweep()
	must.MapEmpty(t, f.records)
}

// Guards against a message to all entries with each answer of a cold upstream, and against none when it turns cold, ends or moves its end.
func TestColdTimeIsTold(t *testing.T) {
	f := newColdFixture()
	u := f.upstream(1, 0)
	until := f.clock.Add(20 * time.Second)
	for range 100 {
		f.answered(u, until)
		f.clock = f.clock.Add(100 * time.Millisecond)
	}
	must.SliceLen(t, 1, f.told)
	f.answered(u, until.Add(5*time.Second))
	must.SliceLen(t, 2, f.told)
	must.EqOp(t, 15_000, f.told[1].RemainingMillis)
	f.answered(u, f.clock)
	f.answered(u, f.clock)
	must.SliceLen(t, 3, f.told)
	must.EqOp(t, 0, f.told[2].RemainingMillis)
	other := newColdFixture()
	for i, left := range []time.Duration{20 * time.Second, 15 * time.Second, 0} {
		other.heard(f.told[i])
		must.EqOp(t, left, other.until["u/1"].Sub(other.clock))
	}
	must.SliceEmpty(t, other.told)

	f.configure(coldTable(0))
	f.answered(u, f.clock.Add(time.Minute))
	must.SliceLen(t, 3, f.told, must.Sprint("the rate is not limited"))
}

// Guards against a message of another entry that keeps an upstream cold for good, and against memory for upstreams without a rate.
func TestInvalidColdReports(t *testing.T) {
	f := newColdFixture()
	for _, ms := range []float64{-1, math.NaN(), math.Inf(1), 1e300, 24*60*60*1000 + 1, 0} {
		f.heard(throttler.ColdReport{Upstream: "u/1", Service: "s", RemainingMillis: ms})
	}
	f.heard(throttler.ColdReport{Upstream: "u/1", Service: "other", RemainingMillis: 1000})
	must.MapEmpty(t, f.records)
}

// Guards against a rate of an earlier configuration that stays in effect, and against one that is not in effect for upstreams that registered
// before the configuration was read.
func TestRateFollowsConfiguration(t *testing.T) {
	f := newColdFixture()
	f.configure(coldTable(0))
	f.registered(f.upstream(1, time.Minute))
	must.EqOp(t, 0, f.rate["u/1"])
	f.configure(coldTable(7))
	must.EqOp(t, 7, f.rate["u/1"])
	must.EqOp(t, time.Minute, f.until["u/1"].Sub(f.clock))
	f.configure(matcher.NewTable(2, matcher.Limits{}))
	must.EqOp(t, 0, f.rate["u/1"])
}

// Guards against a rejected registration that nobody sees, and against a line for each of its heartbeats.
func TestRejectedRegistrationIsLoggedOnce(t *testing.T) {
	f := newColdFixture()
	bad := []registrar.Change{{Name: "u", Err: errors.New("out of range")}}
	for range 10 {
		f.noteRegistrations(bad)
	}
	must.EqOp(t, 1, strings.Count(f.lines.String(), "registration is rejected"))
	f.noteRegistrations([]registrar.Change{{Name: "u", Upstream: f.upstream(1, 0)}})
	f.noteRegistrations(bad)
	must.EqOp(t, 2, strings.Count(f.lines.String(), "registration is rejected"))
}

// Guards against an entry that takes over the limit of a cold upstream because the owner does not answer, as each would without datagrams, and
// against one that asks or grants before it knows the others.
func TestColdOwnerStaysWithoutAnswers(t *testing.T) {
	s := newSharing(SharedStore{}, "e1", netip.AddrPort{}, slog.New(slog.DiscardHandler))
	clock := time.Now()
	s.now = func() time.Time { return clock }
	must.False(t, s.knowsPeers())
	clock = clock.Add(acquaintanceTime)
	must.False(t, s.knowsPeers())
	s.peersKnown = true
	must.True(t, s.knowsPeers())
	for _, name := range []identifier.Instance{"e2", "e3", "e4"} {
		s.entries[name] = entryRecord{address: netip.MustParseAddrPort("127.0.0.1:1"), expiresAt: clock.Add(time.Hour)}
	}
	owned := 0
	for _, u := range []identifier.Upstream{"a", "b", "c", "d", "e", "f", "g", "h"} {
		a := throttler.Ask{Upstream: u, Cold: true}
		owner := s.coldOwner(u)
		for range 20 {
			must.EqOp(t, owner != s.self, s.addressFor(a).IsValid())
			s.ownerAddress(u)
			clock = clock.Add(ownerTimeout)
		}
		must.EqOp(t, owner == s.self, s.mayGrant(a))
		if owner == s.self {
			owned++
		}
	}
	must.Between(t, 1, owned, 5)
	s.settledAt = clock.Add(time.Second)
	for _, u := range []identifier.Upstream{"a", "b", "c", "d", "e", "f", "g", "h"} {
		must.False(t, s.mayGrant(throttler.Ask{Upstream: u, Cold: true}))
		must.True(t, s.mayGrant(throttler.Ask{Upstream: u}))
	}
}

// Guards against requests at the usual rate to an upstream that has crashed and starts again at its address before its new registration is
// read, and against a cold time that is assumed although the upstream goes on.
func TestRefusedUpstreamCountsAsCold(t *testing.T) {
	f := newColdFixture()
	f.registered(f.upstream(1, 0))
	f.refused(f.upstream(1, 0))
	must.EqOp(t, 30*time.Second, f.until["u/1"].Sub(f.clock))
	f.clock = f.clock.Add(2 * time.Second)
	f.registered(f.upstream(1, 0))
	must.EqOp(t, 28*time.Second, f.until["u/1"].Sub(f.clock), must.Sprint("a registration from before the crash"))
	f.registered(f.upstream(2, 25*time.Second))
	must.EqOp(t, 25*time.Second, f.until["u/2"].Sub(f.clock))
	f.clock = f.clock.Add(2 * time.Second)
	f.registered(f.upstream(1, 0))
	must.False(t, f.until["u/1"].After(f.clock))
	must.SliceEmpty(t, f.told)

	f.configure(coldTable(0))
	f.refused(f.upstream(3, 0))
	must.MapNotContainsKey(t, f.until, "u/3")
}

// Guards against an entry that answers an ask for slots of a cold upstream whose limit it does not own, beside the owner.
func TestOnlyOwnerAnswersColdAsk(t *testing.T) {
	s := newSharing(SharedStore{}, "e1", netip.AddrPort{}, slog.New(slog.DiscardHandler))
	s.peersKnown, s.settledAt = true, time.Time{}
	address := netip.MustParseAddrPort("127.0.0.1:1")
	s.entries["e2"] = entryRecord{address: address, expiresAt: time.Now().Add(time.Hour)}
	answered := int64(0)
	for i, u := range []identifier.Upstream{"a", "b", "c", "d", "e", "f", "g", "h"} {
		s.receive(address, message{Ask: &throttler.Ask{Upstream: u, PerSecond: 1, Cold: true, Number: 1, ID: uint64(i + 1)}})
		if s.coldOwner(u) == s.self {
			answered++
		}
		must.EqOp(t, answered, s.owner.Counters()["asks"])
	}
	must.Between(t, 1, answered, 7)
}
