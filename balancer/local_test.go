package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against requests that go to another data centre although their own one has as much room, and against a preference for the own one
// that makes callers wait. The load takes a third to nine tenths of all slots and is spread over the data centres evenly; with over a third of the
// slots free, half of the traffic between data centres is to be saved.
func TestLocalPreferenceKeepsTrafficLocal(t *testing.T) {
	for _, x := range []struct{ entries, upstreams, slots, dataCentres int }{{9, 45, 64, 3}, {4, 18, 32, 4}, {30, 55, 64, 4}, {41, 180, 24, 6}} {
		for _, load := range []float64{0.3, 0.6, 0.9} {
			t.Run(fmt.Sprint(x.entries, " entries, ", x.upstreams, " upstreams, load ", load), func(t *testing.T) {
				t.Parallel()
				d := deployment{entries: x.entries, upstreams: x.upstreams, slots: x.slots, dataCentres: x.dataCentres, load: load, hasPrefixes: true}
				requests := min(max(4000, 100*x.upstreams), 12000)
				before := d.simulate(requests)
				d.options = []balancer.Option{balancer.WithLocalPreference()}
				after := d.simulate(requests)
				t.Logf("before: %v, %.3f to others; after: %v, %.3f", before, before.crossed, after, after.crossed)
				if load <= 0.6 {
					must.LessEq(t, before.crossed/2, after.crossed)
				}
				must.LessEq(t, before.crossed, after.crossed)
				must.LessEq(t, before.meanWait+1, after.meanWait)
				must.LessEq(t, before.busiest*1.1, after.busiest)
			})
		}
	}
}

// Guards against callers that wait at a full data centre while another one has room: most callers come to one data centre, as after the loss
// of the load balancers of the others.
func TestLocalPreferenceYields(t *testing.T) {
	for _, x := range []struct{ entries, upstreams, slots, dataCentres int }{{9, 45, 64, 3}, {4, 18, 32, 4}, {9, 3, 6, 3}} {
		t.Run(fmt.Sprint(x.entries, " entries, ", x.upstreams, " upstreams"), func(t *testing.T) {
			t.Parallel()
			d := deployment{
				entries: x.entries, upstreams: x.upstreams, slots: x.slots, dataCentres: x.dataCentres, load: 0.6, hasPrefixes: true, firstShare: 0.8,
			}
			before := d.simulate(6000)
			d.options = []balancer.Option{balancer.WithLocalPreference()}
			after := d.simulate(6000)
			t.Logf("before: %v, %.3f to others; after: %v, %.3f", before, before.crossed, after, after.crossed)
			must.LessEq(t, before.meanWait+1, after.meanWait)
			must.LessEq(t, 1.5, after.busiest)
		})
	}
}

// Guards against a data centre without usable upstreams whose callers are refused.
func TestLocalPreferenceWithoutLocalUpstreams(t *testing.T) {
	b := balancer.New("dc9", balancer.WithLocalPreference())
	b.Update([]balancer.Upstream{{Name: "u1", Service: "s", DataCentre: "dc1", Region: "r"}, {Name: "u2", Service: "s", DataCentre: "dc2", Region: "q"}})
	u, err := b.Choose(balancer.Query{Service: "s"})
	must.NoError(t, err)
	must.SliceContains(t, []string{"u1", "u2"}, string(u.Name))
}

// Guards against sessions that leave the upstream which has their prompt cached because it is in another data centre.
func TestLocalPreferenceKeepsSessions(t *testing.T) {
	for _, options := range [][]balancer.Option{nil, {balancer.WithLocalPreference()}} {
		now := start
		b := balancer.New("dc1", append(options, balancer.WithNow(func() time.Time { return now }))...)
		list := []balancer.Upstream{
			{Name: "local", Service: "s", DataCentre: "dc1", Region: "r", Slots: 64}, {Name: "remote", Service: "s", DataCentre: "dc2", Region: "r", Slots: 64},
		}
		report := func(local, remote int) {
			b.Report("local", streamer.Load{At: now, Running: local})
			b.Report("remote", streamer.Load{At: now, Running: remote})
		}
		q := balancer.Query{Service: "s", Session: "x"}
		b.Update(list[1:])
		_, err := b.Choose(q)
		must.NoError(t, err)
		b.Update(list)
		kept := 0
		for range 200 {
			now = now.Add(10 * time.Millisecond)
			report(10, 11)
			u, err := b.Choose(q)
			must.NoError(t, err)
			if u.Name == "remote" {
				kept++
			}
		}
		must.EqOp(t, 200, kept, must.Sprint(len(options), " options"))
	}
}
