package throttler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/throttler"
)

const (
	// limitWindow is the time in which the requests at an upstream are counted. It may get limitFactor times what its limit allows in
	// that time, and limitExtra requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// requestWait is how long a request waits for a slot.
	requestWait = 100 * time.Millisecond
)

// event is a call at a time of the simulation.
type event struct {
	at   time.Time
	call func()
}

// fleet simulates entries that send to one upstream with a limit and exchange datagrams, which are delayed and lost.
type fleet struct {
	now     time.Time
	rand    *rand.Rand
	names   []identifier.Instance
	entries []*throttler.Throttler
	owners  []*throttler.Owner
	// live reports whether an entry is running, and sees whether one considers another live.
	live []bool
	sees func(from, to int) bool
	// limit is what the upstream names, or 0.
	limit   float64
	pending []event
	sentAt  []time.Time
}

func newFleet(seed uint64, n int, limit float64) *fleet {
	f := &fleet{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 2)), limit: limit}
	f.sees = func(_, to int) bool { return f.live[to] }
	for i := range n {
		f.names = append(f.names, identifier.Instance(fmt.Sprint("entry-", i)))
		f.owners, f.live = append(f.owners, throttler.NewOwner()), append(f.live, true)
		f.entries = append(f.entries, throttler.New(throttler.WithNow(func() time.Time { return f.now }),
			throttler.WithNumEntries(func() int { return n }),
			throttler.WithSend(func(a throttler.Ask) { f.ask(i, a) }),
			throttler.WithShare(func(s throttler.Statement) {
				for j := range f.entries {
					if j != i {
						f.deliver(0.001, func() { f.entries[j].Apply(s) })
					}
				}
			})))
	}
	return f
}

// deliver calls a function after the time that a datagram takes, unless it is lost with a probability.
func (f *fleet) deliver(loss float64, call func()) {
	if f.rand.Float64() >= loss {
		f.pending = append(f.pending, event{f.now.Add(time.Duration(1+f.rand.IntN(5)) * time.Millisecond), call})
	}
}

func (f *fleet) ask(from int, a throttler.Ask) {
	var names []identifier.Instance
	index := map[identifier.Instance]int{}
	for i, name := range f.names {
		if f.sees(from, i) {
			names, index[name] = append(names, name), i
		}
	}
	owner := index[throttler.OwnerOf(a.Upstream, names)]
	f.deliver(0.05, func() {
		if !f.live[owner] {
			return
		}
		g := f.owners[owner].Answer(a, f.now)
		f.deliver(0.05, func() { f.entries[from].Grant(g) })
	})
}

// run lets the entries try to send perSecond requests in all for d.
func (f *fleet) run(d time.Duration, perSecond float64) {
	const step = 2 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		due := f.pending
		f.pending = nil
		for _, e := range due {
			if e.at.After(f.now) {
				f.pending = append(f.pending, e)
				continue
			}
			e.call()
		}
		for n := perSecond * step.Seconds(); f.rand.Float64() < n; n-- {
			f.try(f.rand.IntN(len(f.entries)), f.now.Add(requestWait), true)
		}
	}
}

// try sends a request, which waits for a slot until a time.
func (f *fleet) try(i int, until time.Time, isNew bool) {
	if !f.live[i] {
		return
	}
	if !f.entries[i].Take(u1) {
		f.entries[i].Want(u1, isNew)
		if f.now.Before(until) {
			f.pending = append(f.pending, event{f.now.Add(5 * time.Millisecond), func() { f.try(i, until, false) }})
		}
		return
	}
	f.sentAt = append(f.sentAt, f.now)
	limit := f.limit
	f.pending = append(f.pending, event{f.now.Add(10 * time.Millisecond), func() {
		if limit == 0 {
			limit = -1
		}
		f.entries[i].Observe(u1, limit)
	}})
}

// most returns the largest number of requests within limitWindow from a time on, and the number in all.
func (f *fleet) most(from time.Time) (most, all int) {
	var window []time.Time
	for _, at := range f.sentAt {
		if at.Before(from) {
			continue
		}
		all++
		window = append(window, at)
		for window[0].Before(at.Add(-limitWindow)) {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most, all
}

func allowed(limit float64) int {
	return int(limitFactor*limit*limitWindow.Seconds() + limitExtra)
}

// Guards against entries that together exceed a limit, also if there are more of them than requests a second, and against a limit
// that is hardly used.
func TestFleetKeepsLimit(t *testing.T) {
	for _, entries := range []int{1, 4, 9, 40, 330} {
		for _, limit := range []float64{0.4, 1.6, 12} {
			t.Run(fmt.Sprintf("%d entries, %v a second", entries, limit), func(t *testing.T) {
				t.Parallel()
				f := newFleet(uint64(entries), entries, limit)
				f.run(3*time.Second, 60)
				from := f.now
				f.run(time.Minute, 60)
				most, all := f.most(from)
				must.LessEq(t, allowed(limit), most)
				must.Greater(t, 0.6*limit*60, float64(all))

				f.limit = 0
				f.run(5*time.Second, 60)
				from = f.now
				f.run(5*time.Second, 60)
				_, all = f.most(from)
				must.Greater(t, 200, all, must.Sprint("the limit has ended"))
			})
		}
	}
}

// Guards against a limit that is exceeded, or not used at all, as the entry that owns it dies, comes back, or is one of two.
func TestFleetKeepsLimitWithoutOwner(t *testing.T) {
	const limit = 1.6
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(seed, 9, limit)
			f.run(3*time.Second, 60)
			from := f.now
			f.run(5*time.Second, 60)
			owner := 0
			for i, name := range f.names {
				if name == throttler.OwnerOf(u1, f.names) {
					owner = i
				}
			}
			// At first the others do not know that it is gone.
			f.sees = func(int, int) bool { return true }
			f.live[owner] = false
			f.run(10*time.Second, 60)
			f.sees = func(_, to int) bool { return f.live[to] }
			f.run(5*time.Second, 60)
			f.live[owner], f.owners[owner] = true, throttler.NewOwner()
			// For a time, half of the entries still ask the other one.
			f.sees = func(from, to int) bool { return to != owner || from%2 == 0 }
			f.run(5*time.Second, 60)
			f.sees = func(_, to int) bool { return f.live[to] }
			f.run(5*time.Second, 60)
			most, all := f.most(from)
			must.LessEq(t, allowed(limit), most)
			must.Greater(t, 20, all)
		})
	}
}
