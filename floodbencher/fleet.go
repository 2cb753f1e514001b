package floodbencher

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/admitter"
	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/batchfaker"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

const (
	fleetEngines = 4
	fleetEntries = 3
	// fleetNetworkDelay is the one-way network delay from an entry to an agent.
	fleetNetworkDelay = time.Millisecond
)

var fleetTarget = identifier.Target{Model: "model", Version: "v1"}

// fleet is several engines that together have the capacity of the single engine, behind entries. With late binding the entries
// give orders a start deadline.
type fleet struct {
	lateBinding bool
	loop        *batchfaker.Loop
	rng         *rand.Rand
	agents      map[identifier.Upstream]*batchfaker.Agent
	entries     []*balancer.Balancer
	start       time.Time
	counts      []secondCounts // by the second
}

// secondCounts counts what the entries did in one second: calls submitted, orders sent, and orders refused as busy.
type secondCounts struct {
	submitted, sent, busy int
}

func newFleet(loop *batchfaker.Loop, seed, routingSeed uint64, lateBinding bool, options []admitter.Option) *fleet {
	f := &fleet{
		lateBinding: lateBinding, loop: loop, rng: rand.New(rand.NewPCG(seed, 2+routingSeed<<32)), agents: make(map[identifier.Upstream]*batchfaker.Agent),
		start: loop.Now(), counts: make([]secondCounts, int(end.Seconds())+1),
	}
	s := speedProfile()
	s.Knee /= fleetEngines
	upstreams := make([]balancer.Upstream, 0, fleetEngines)
	for i := range fleetEngines {
		u := balancer.Upstream{
			Name: identifier.Upstream(fmt.Sprintf("upstream-%d", i)), DataCentre: "dc", Region: "region",
			Targets: []identifier.Target{fleetTarget},
		}
		upstreams = append(upstreams, u)
		f.agents[u.Name] = batchfaker.NewAgent(loop, batchfaker.NewEngine(loop, s), admitter.New(append([]admitter.Option{
			admitter.WithRanks(ranks()), admitter.WithSlots(s.Knee), admitter.WithNow(loop.Now),
		}, options...)...))
	}
	for i := range fleetEntries {
		b := balancer.New("dc", balancer.WithNow(loop.Now), balancer.WithRand(rand.New(rand.NewPCG(seed, 3+uint64(i)+routingSeed<<32))),
			balancer.WithSelf(identifier.Instance(fmt.Sprintf("entry-%d", i))))
		b.Update(upstreams)
		f.entries = append(f.entries, b)
		loop.Every(time.Duration(float64(time.Second)/balancer.DefaultProbeRate), func() bool {
			if u, ok := b.NextProbe(); ok {
				f.report(b, u.Name)
			}
			return true
		})
	}
	return f
}

func (f *fleet) currentCounts() *secondCounts {
	return &f.counts[min(int(f.loop.Now().Sub(f.start).Seconds()), len(f.counts)-1)]
}

// report reports the present load of an upstream to an entry after the network delay.
func (f *fleet) report(b *balancer.Balancer, u identifier.Upstream) {
	l := f.agents[u].Admitter.Load()
	f.loop.After(fleetNetworkDelay, func() { b.Report(u, l) })
}

// Submit sends a call through a random entry.
func (f *fleet) Submit(c *batchfaker.Call) {
	f.currentCounts().submitted++
	f.dispatch(f.entries[f.rng.IntN(len(f.entries))], c, balancer.Query{Target: fleetTarget})
}

// dispatch sends a call to an upstream; after a busy refusal it sends it to another one, as package entryserver does.
func (f *fleet) dispatch(b *balancer.Balancer, c *batchfaker.Call, k balancer.Query) {
	u, startBy, err := b.ChooseWithStartDeadline(k)
	if errors.Is(err, balancer.ErrNoUpstream) && k.BusyRefusals > 0 {
		k.Exclude, k.BusyRefusals = nil, fleetEngines
		u, startBy, err = b.ChooseWithStartDeadline(k)
	}
	if err != nil {
		panic("floodbencher: " + err.Error())
	}
	if !f.lateBinding {
		startBy = time.Time{}
	}
	f.currentCounts().sent++
	b.Begin(u.Name)
	order, sent := *c.Order, *c
	order.StartDeadline = startBy
	sent.Order = &order
	sent.OnDone = func() {
		f.report(b, u.Name)
		b.End(u.Name, balancer.ResultSuccess)
		c.OnDone()
	}
	sent.OnPauseExpired = func() {
		b.End(u.Name, balancer.ResultCanceled)
		c.OnPauseExpired()
	}
	sent.OnRefused = func(r *admitter.Refusal) {
		l := f.agents[u.Name].Admitter.Load()
		f.loop.After(fleetNetworkDelay, func() {
			b.Report(u.Name, l)
			if r.Code != streamer.CodeBusy {
				b.End(u.Name, balancer.ResultRefused)
				c.OnRefused(r)
				return
			}
			f.currentCounts().busy++
			b.End(u.Name, balancer.ResultBusy)
			k.BusyRefusals++
			k.Exclude = append(slices.Clone(k.Exclude), u.Name)
			f.dispatch(b, c, k)
		})
	}
	f.loop.After(fleetNetworkDelay, func() {
		f.report(b, u.Name)
		f.agents[u.Name].Submit(&sent)
	})
}

// ordersPerCall returns the orders sent per submitted call in an interval.
func (f *fleet) ordersPerCall(from, to time.Duration) float64 {
	var sum secondCounts
	for _, c := range f.counts[int(from.Seconds()):int(to.Seconds())] {
		sum.submitted += c.submitted
		sum.sent += c.sent
	}
	return float64(sum.sent) / float64(max(sum.submitted, 1))
}
