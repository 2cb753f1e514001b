package balancer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against start deadlines that multiply the attempts of requests during an overload, that are still set after two busy
// refusals, or that make the only remaining upstream refuse a request.
func TestStartDeadline(t *testing.T) {
	now := start
	b := balancer.New("dc-0", withSeed(1), balancer.WithNow(func() time.Time { return now }))
	ups := newUpstreams(4, 1)
	b.Update(ups)
	q := balancer.Query{Target: target(0)}
	_, startBy, err := b.ChooseWithStartDeadline(q)
	must.NoError(t, err)
	must.True(t, startBy.After(now))

	q.BusyRefusals = 2
	_, startBy, err = b.ChooseWithStartDeadline(q)
	must.NoError(t, err)
	must.True(t, startBy.IsZero())

	q = balancer.Query{Target: target(0), Exclude: []identifier.Upstream{"u0", "u1", "u2"}}
	_, startBy, err = b.ChooseWithStartDeadline(q)
	must.NoError(t, err)
	must.True(t, startBy.IsZero())

	// The balancer learns the slots from busy refusals; when all slots are taken the request may wait.
	now = now.Add(time.Second)
	for _, u := range ups {
		b.Begin(u.Name)
		b.Report(u.Name, streamer.Load{At: now, Running: 8, Queued: []int{0}})
		b.End(u.Name, balancer.ResultBusy)
	}
	now = now.Add(10 * time.Millisecond)
	_, startBy, err = b.ChooseWithStartDeadline(balancer.Query{Target: target(0)})
	must.NoError(t, err)
	must.True(t, startBy.IsZero())

	// An upstream with a free slot is preferred to waiting at a full one.
	now = now.Add(time.Millisecond)
	b.Report("u2", streamer.Load{At: now, Running: 3, Queued: []int{0}})
	u, startBy, err := b.ChooseWithStartDeadline(balancer.Query{Target: target(0)})
	must.NoError(t, err)
	must.Eq(t, "u2", u.Name)
	must.False(t, startBy.IsZero())
}

// Guards against an upstream that counts as full after a request of this entry has ended there, against a refused request that
// is counted as a freed slot, and against an ended request that is subtracted twice although the load in its last frame no
// longer includes it.
func TestOwnRequestEnds(t *testing.T) {
	now := start
	b := balancer.New("dc-0", withSeed(1), balancer.WithNow(func() time.Time { return now }))
	ups := newUpstreams(4, 1)
	b.Update(ups)
	choose := func() (identifier.Upstream, bool) {
		u, startBy, err := b.ChooseWithStartDeadline(balancer.Query{Target: target(0)})
		must.NoError(t, err)
		return u.Name, !startBy.IsZero()
	}
	refuseAllAsBusy := func() {
		now = now.Add(3 * time.Second)
		for _, u := range ups {
			b.Begin(u.Name)
			b.Report(u.Name, streamer.Load{At: now, Running: 8, Queued: []int{0}})
			now = now.Add(time.Millisecond)
			b.End(u.Name, balancer.ResultBusy)
		}
	}
	b.Begin("u2")
	refuseAllAsBusy()
	_, hasDeadline := choose()
	must.False(t, hasDeadline)

	refuseAllAsBusy()
	now = now.Add(300 * time.Millisecond)
	b.End("u2", balancer.ResultSuccess)
	u, hasDeadline := choose()
	must.Eq(t, "u2", u)
	must.True(t, hasDeadline)

	b.Begin("u3")
	refuseAllAsBusy()
	b.Report("u3", streamer.Load{At: now, Running: 8, Queued: []int{0}})
	b.End("u3", balancer.ResultSuccess)
	_, hasDeadline = choose()
	must.False(t, hasDeadline)
}

// Guards against a request that waits, or is sent to a full upstream after a refusal, because the few compared upstreams are full
// although the sample of another one in the subset shows a free slot.
func TestFreeSlotAnywhereInSubset(t *testing.T) {
	for seed := range uint64(20) {
		now := start
		b := balancer.New("dc-0", withSeed(seed), balancer.WithNow(func() time.Time { return now }), balancer.WithSelf("entry"))
		ups := newUpstreams(20, 1)
		b.Update(ups)
		for i, u := range ups {
			load := streamer.Load{At: now, Running: 8, Queued: []int{1}}
			if i == 0 {
				load = streamer.Load{At: now, Running: 3, Queued: []int{0}}
			}
			b.Report(u.Name, load)
		}
		for i, q := range []balancer.Query{
			{Target: target(0)}, {Target: target(0), Exclude: []identifier.Upstream{ups[1].Name}, BusyRefusals: 1},
		} {
			now = now.Add(time.Millisecond)
			b.Report(ups[0].Name, streamer.Load{At: now, Running: 3, Queued: []int{0}})
			for j := range 16 {
				b.Report(ups[2+j].Name, streamer.Load{At: now, Running: 8, Queued: []int{1}})
			}
			u, startBy, err := b.ChooseWithStartDeadline(q)
			must.NoError(t, err)
			must.Eq(t, ups[0].Name, u.Name, must.Sprint(seed, i))
			must.False(t, startBy.IsZero())
		}
	}
}
