package balancer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against late binding that multiplies the orders of an overload, that goes on after two refusals, and that
// refuses a request whose only upstream is busy.
func TestBind(t *testing.T) {
	now := start
	b := balancer.New("dc-0", seeded(1), balancer.WithNow(func() time.Time { return now }))
	ups := fleet(4, 1)
	b.Update(ups)
	k := balancer.Query{Target: target(0)}
	_, by, err := b.ChooseWithStartDeadline(k)
	must.NoError(t, err)
	must.True(t, by.After(now))

	k.BusyRefusals = 2
	_, by, err = b.ChooseWithStartDeadline(k)
	must.NoError(t, err)
	must.True(t, by.IsZero())

	k = balancer.Query{Target: target(0), Exclude: []identifier.Upstream{"u0", "u1", "u2"}}
	_, by, err = b.ChooseWithStartDeadline(k)
	must.NoError(t, err)
	must.True(t, by.IsZero())

	// Refusals as busy teach the slots; when all are taken the order may wait.
	now = now.Add(time.Second)
	for _, u := range ups {
		b.Begin(u.Name)
		b.Report(u.Name, streamer.Load{At: now, Running: 8, Queued: []int{0}})
		b.End(u.Name, balancer.ResultBusy)
	}
	now = now.Add(10 * time.Millisecond)
	_, by, err = b.ChooseWithStartDeadline(balancer.Query{Target: target(0)})
	must.NoError(t, err)
	must.True(t, by.IsZero())

	// Room elsewhere is preferred to waiting.
	now = now.Add(time.Millisecond)
	b.Report("u2", streamer.Load{At: now, Running: 3, Queued: []int{0}})
	u, by, err := b.ChooseWithStartDeadline(balancer.Query{Target: target(0)})
	must.NoError(t, err)
	must.Eq(t, "u2", u.Name)
	must.False(t, by.IsZero())
}

// Guards against an upstream that counts as full after a request of this entry has ended there, against a refused order that
// passes for a free slot, and against an ended request that the load in its last frame no longer counts and that is taken
// off twice.
func TestOwnRequestEnds(t *testing.T) {
	now := start
	b := balancer.New("dc-0", seeded(1), balancer.WithNow(func() time.Time { return now }))
	ups := fleet(4, 1)
	b.Update(ups)
	bind := func() (identifier.Upstream, bool) {
		u, by, err := b.ChooseWithStartDeadline(balancer.Query{Target: target(0)})
		must.NoError(t, err)
		return u.Name, !by.IsZero()
	}
	full := func() {
		now = now.Add(3 * time.Second)
		for _, u := range ups {
			b.Begin(u.Name)
			b.Report(u.Name, streamer.Load{At: now, Running: 8, Queued: []int{0}})
			now = now.Add(time.Millisecond)
			b.End(u.Name, balancer.ResultBusy)
		}
	}
	b.Begin("u2")
	full()
	_, bound := bind()
	must.False(t, bound)

	full()
	now = now.Add(300 * time.Millisecond)
	b.End("u2", balancer.ResultSuccess)
	u, bound := bind()
	must.Eq(t, "u2", u)
	must.True(t, bound)

	b.Begin("u3")
	full()
	b.Report("u3", streamer.Load{At: now, Running: 8, Queued: []int{0}})
	b.End("u3", balancer.ResultSuccess)
	_, bound = bind()
	must.False(t, bound)
}

// Guards against a request that waits, or goes on after a refusal, because the few compared upstreams look full while another
// one of the subset has shown a free slot.
func TestRoomAnywhereInSubset(t *testing.T) {
	for seed := range uint64(20) {
		now := start
		b := balancer.New("dc-0", seeded(seed), balancer.WithNow(func() time.Time { return now }), balancer.WithSelf("entry"))
		ups := fleet(20, 1)
		b.Update(ups)
		for i, u := range ups {
			l := streamer.Load{At: now, Running: 8, Queued: []int{1}}
			if i == 0 {
				l = streamer.Load{At: now, Running: 3, Queued: []int{0}}
			}
			b.Report(u.Name, l)
		}
		for i, k := range []balancer.Query{
			{Target: target(0)}, {Target: target(0), Exclude: []identifier.Upstream{ups[1].Name}, BusyRefusals: 1},
		} {
			now = now.Add(time.Millisecond)
			b.Report(ups[0].Name, streamer.Load{At: now, Running: 3, Queued: []int{0}})
			for j := range 16 {
				b.Report(ups[2+j].Name, streamer.Load{At: now, Running: 8, Queued: []int{1}})
			}
			u, by, err := b.ChooseWithStartDeadline(k)
			must.NoError(t, err)
			must.Eq(t, ups[0].Name, u.Name, must.Sprint(seed, i))
			must.False(t, by.IsZero())
		}
	}
}
