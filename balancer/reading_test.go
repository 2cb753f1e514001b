package balancer_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against long prompts of other entries that do not shorten the first events, that cost the gain from cached prompts or that
// lengthen whole responses, also if announcements are late or lost.
func TestAnnouncedPromptsShortenFirstEvents(t *testing.T) {
	for _, x := range []unequal{{entries: 4, upstreams: 18}, {entries: 30, upstreams: 55}, {entries: 30, upstreams: 55, equal: true}} {
		t.Run(fmt.Sprintf("%d entries, equal %v", x.entries, x.equal), func(t *testing.T) {
			t.Parallel()
			x.reportDelay = 20 * time.Millisecond
			before := x.mean(byTime, 20)
			for _, m := range []mechanism{allAfter50Lost, allAfter300} {
				after := x.mean(m, 20)
				t.Logf("expected time: %+v; %s: %+v", before, m, after)
				must.Less(t, before.first95, after.first95)
				must.Less(t, before.first99, after.first99)
				must.LessEq(t, 1.05*before.whole99, after.whole99)
				must.GreaterEq(t, 0.97*before.cached, after.cached)
			}
		})
	}
}

// Guards against a pressure that rises with a choice by expected time, so that more answers of smaller models are accepted. Without
// announced prompts it is up to a quarter above that of a choice by requests in flight although hardly more requests wait; with them it
// stays within a tenth.
func TestAnnouncedPromptsKeepPressure(t *testing.T) {
	for _, x := range []unequal{{entries: 30, upstreams: 55}, {entries: 30, upstreams: 55, lateHeads: true}, {entries: 9, upstreams: 45, equal: true}, {entries: 9, upstreams: 45, equal: true, lateHeads: true}} {
		t.Run(fmt.Sprintf("%d entries, late heads %v", x.entries, x.lateHeads), func(t *testing.T) {
			t.Parallel()
			x.reportDelay = 20 * time.Millisecond
			before, after := x.mean(byRequests, 14), x.mean(allAfter50, 14)
			t.Logf("pressure and true one by requests: %.4f, %.4f; announced: %.4f, %.4f", before.pressure, before.waiting, after.pressure, after.waiting)
			must.LessEq(t, 1.1*before.pressure, after.pressure)
			must.LessEq(t, before.waiting, after.waiting)
		})
	}
}

// Guards against announcements, forged ones included, by which an upstream looks busy for over 5 s at a time or for most of the time, or
// by more than 5 s of reading, and against absurd times that have an effect at all beyond that.
func TestReadingIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		b := balancer.New("dc", balancer.WithNow(func() time.Time { return now }), balancer.WithEvenLoad())
		b.Update([]balancer.Upstream{{Name: "u", Service: "s", DataCentre: "dc", Region: "r", Slots: 8}})
		expected := func() float64 { return b.State().(balancer.State).Upstreams[0].ExpectedTime }
		idle := expected()
		duration := rapid.OneOf(rapid.Int64Range(0, int64(10*time.Second)), rapid.Int64(), rapid.SampledFrom([]int64{0, -1, math.MaxInt64, math.MinInt64}))
		busy, atOnce, total := time.Duration(0), time.Duration(0), time.Duration(0)
		var owns []balancer.Reading
		for range rapid.IntRange(1, 200).Draw(t, "announcements") {
			sentAt := now.Add(-time.Duration(duration.Draw(t, "age")))
			before := expected()
			own, counts := b.AddOwnReading("u", sentAt, time.Duration(duration.Draw(t, "time")))
			owns = append(owns, own)
			if x := rapid.IntRange(0, 9).Draw(t, "ends"); x == 0 {
				b.EndReading("u", now)
			} else if x == 1 {
				b.EndUnread(owns[rapid.IntRange(0, len(owns)-1).Draw(t, "unread")])
			} else if !counts && expected() != before {
				t.Fatal("an announcement without effect changes the expected time")
			}
			step := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "step"))
			for d := time.Duration(0); d < step; d += 10 * time.Millisecond {
				now, total = now.Add(10*time.Millisecond), total+10*time.Millisecond
				if x := expected() - idle; x <= 0 {
					atOnce = 0
				} else {
					busy, atOnce = busy+10*time.Millisecond, atOnce+10*time.Millisecond
					if x > 5*40 {
						t.Fatalf("load of reading %v", x)
					}
				}
				if atOnce > 5*time.Second {
					t.Fatalf("busy for %v", atOnce)
				}
			}
		}
		if busy > 5*time.Second+total/5+10*time.Millisecond*200 {
			t.Fatalf("busy for %v of %v", busy, total)
		}
	})
}

// Guards against an upstream that still counts as reading after a later request had its first event there, and against one that no
// longer does after the first event of an earlier request.
func TestReadingEnds(t *testing.T) {
	now := start
	b := balancer.New("dc", balancer.WithNow(func() time.Time { return now }), balancer.WithEvenLoad())
	b.Update([]balancer.Upstream{{Name: "u", Service: "s", DataCentre: "dc", Region: "r", Slots: 8}})
	expected := func() float64 { return b.State().(balancer.State).Upstreams[0].ExpectedTime }
	idle := expected()
	must.False(t, b.AddReading("unknown", now, time.Second))
	must.True(t, b.AddReading("u", now, time.Second))
	must.EqOp(t, idle+40, expected())
	must.True(t, b.AddReading("u", now, time.Second))
	must.EqOp(t, idle+80, expected())
	b.EndReading("u", now.Add(-time.Millisecond))
	must.EqOp(t, idle+80, expected())
	b.EndReading("u", now)
	must.EqOp(t, idle, expected())
	must.True(t, b.AddReading("u", now.Add(-time.Second), 1500*time.Millisecond))
	must.EqOp(t, idle+20, expected())
	now = now.Add(400 * time.Millisecond)
	must.Between(t, idle+3.9, expected(), idle+4.1)
	now = now.Add(time.Second)
	must.EqOp(t, idle, expected())
}

// Guards against forged announcements that drive the requests of entries to one upstream while all others are named, or that keep them
// away from one for long.
func TestForgedAnnouncementsAreBounded(t *testing.T) {
	honest := func(l streamer.Load) streamer.Load { return l }
	for _, x := range []struct{ entries, upstreams int }{{1, 55}, {4, 18}, {30, 55}, {4, 3}} {
		t.Run(fmt.Sprint(x.entries, " entries, ", x.upstreams, " upstreams"), func(t *testing.T) {
			t.Parallel()
			ups := newUpstreams(x.upstreams, 1)
			others := playForged(t, x.entries, x.upstreams, 10_000, 18_000, honest, func(b *balancer.Balancer, now time.Time) {
				for _, u := range ups[1:] {
					b.AddReading(u.Name, now, time.Hour)
				}
			})
			one := playForged(t, x.entries, x.upstreams, 10_000, 40_000, honest, func(b *balancer.Balancer, now time.Time) {
				b.AddReading(ups[0].Name, now, time.Hour)
			})
			t.Logf("share of one, with the others named: %.2f; with itself named: %.2f", others, one)
			must.LessEq(t, min(4, 0.8*float64(x.upstreams)), others)
			must.GreaterEq(t, 0.5, one)
		})
	}
}

// Guards against prompts of which a part counts as cached at an upstream that other entries do not prefer for it, or for no prefix, and
// against hashes of upstreams that are not listed.
func TestIsPreferred(t *testing.T) {
	b := balancer.New("dc-0")
	ups := newUpstreams(12, 1)
	b.Update(ups)
	for prefix := range uint64(100) {
		n := 0
		for _, u := range ups {
			if b.IsPreferred(balancer.Query{Target: target(0), Prefix: prefix}, u.Name) {
				n++
			}
		}
		must.EqOp(t, min(3*int(prefix), 3), n)
	}
	must.False(t, b.IsPreferred(balancer.Query{Target: target(0), Prefix: 1}, "unknown"))
	must.False(t, b.IsPreferred(balancer.Query{Service: "unknown", Prefix: 1}, ups[0].Name))
	name, ok := b.UpstreamByHash(xxhash.Sum64String(string(ups[3].Name)))
	must.True(t, ok)
	must.EqOp(t, ups[3].Name, name)
	b.Update(ups[:3])
	_, ok = b.UpstreamByHash(xxhash.Sum64String(string(ups[3].Name)))
	must.False(t, ok)
	must.EqOp(t, 1, b.Slowdown("unknown"))
}
