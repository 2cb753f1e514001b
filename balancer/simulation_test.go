package balancer_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

const (
	// simulatedWork is the mean time of a request, and reportDelay the time from its start to the head of its answer, which tells the load.
	simulatedWork = 300 * time.Millisecond
	reportDelay   = 5 * time.Millisecond
	// prefixesPerUpstream is the number of prefixes for each upstream, of which some are used far more than others.
	prefixesPerUpstream = 10
)

type event struct {
	at time.Duration
	f  func()
}

// events is a heap of events in the order of their times.
type events []event

func (h *events) Len() int           { return len(*h) }
func (h *events) Less(i, j int) bool { return (*h)[i].at < (*h)[j].at }
func (h *events) Swap(i, j int)      { (*h)[i], (*h)[j] = (*h)[j], (*h)[i] }
func (h *events) Push(x any)         { *h = append(*h, x.(event)) }

func (h *events) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// simulatedUpstream runs as many requests as it has slots and queues the others.
type simulatedUpstream struct {
	running, arrived int
	queue            []func()
}

// deployment simulates entries that choose among equal upstreams, each by what it has seen itself.
type deployment struct {
	entries, upstreams, slots int
	// load is the share of all slots that the requests take, and hasPrefixes tells whether they have prefixes.
	load        float64
	hasPrefixes bool
	// isAllKnowing lets each request go to the upstream with the fewest requests.
	isAllKnowing bool
	// dataCentres is the number of data centres over which entries and upstreams are spread, one if it is 0. The entries of the first one get
	// firstShare of the requests, or their part if it is 0.
	dataCentres int
	firstShare  float64
	options     []balancer.Option
	// evenLoad compares upstreams by expected time.
	evenLoad bool
	// joining is the number of upstreams that start after half of the requests. From then on each of them takes coldPerSecond requests
	// per second, or any number if that is 0.
	joining       int
	coldPerSecond float64
}

// evenness is the result of a simulation: the requests of the busiest upstream over their mean, and the times in ms that requests waited.
type evenness struct {
	busiest, meanWait, p99Wait float64
	// crossed is the share of the requests that went to another data centre.
	crossed float64
	// joined is the share of the later requests that the joining upstreams got, relative to the mean, and asks that of the choices,
	// including those that had to go elsewhere.
	joined, asks float64
}

func (e evenness) String() string {
	return fmt.Sprintf("busiest over mean %.2f, wait %.1f ms, p99 %.0f ms", e.busiest, e.meanWait, e.p99Wait)
}

// simulate plays a number of requests.
func (d deployment) simulate(requests int) evenness {
	rng, now, queue := rand.New(rand.NewPCG(1, 2)), time.Duration(0), &events{}
	after := func(x time.Duration, f func()) { heap.Push(queue, event{now + x, f}) }
	upstreams, list, index := make([]simulatedUpstream, d.upstreams), make([]balancer.Upstream, d.upstreams), map[identifier.Upstream]int{}
	for i := range list {
		list[i] = balancer.Upstream{Name: identifier.Upstream(fmt.Sprint("u", i)), Service: "s", DataCentre: d.dataCentre(i), Region: "r"}
		index[list[i].Name] = i
	}
	balancers := make([]*balancer.Balancer, d.entries)
	for i := range balancers {
		opts := []balancer.Option{
			balancer.WithSelf(identifier.Instance(fmt.Sprint("e", i))), withSeed(uint64(i)),
			balancer.WithNow(func() time.Time { return start.Add(now) }), balancer.WithSubsetSize(d.upstreams), balancer.WithWaitingWeight(3),
		}
		if d.evenLoad {
			opts = append(opts, balancer.WithEvenLoad())
		}
		balancers[i] = balancer.New(d.dataCentre(i), append(opts, d.options...)...)
		balancers[i].Update(list[:d.upstreams-d.joining])
	}
	half, later, asked, joined, nextAt := requests/2, 0, 0, 0, make([]time.Duration, d.upstreams)
	// takes reports whether an upstream takes a request now, and counts the request if the upstream has started late.
	takes := func(i int) bool {
		if i < d.upstreams-d.joining {
			return true
		}
		if asked++; now < nextAt[i] {
			return false
		}
		joined++
		if d.coldPerSecond > 0 {
			nextAt[i] = now + time.Duration(float64(time.Second)/d.coldPerSecond)
		}
		return true
	}
	var waits []float64
	crossed := 0
	send := func(entry int) {
		b := balancers[entry]
		var chosen int
		if d.isAllKnowing {
			for i := range upstreams {
				if upstreams[i].running+len(upstreams[i].queue) < upstreams[chosen].running+len(upstreams[chosen].queue) {
					chosen = i
				}
			}
		} else {
			q := balancer.Query{Service: "s"}
			if d.hasPrefixes {
				q.Prefix, q.PrefixRatio = 1+uint64(math.Pow(float64(prefixesPerUpstream*d.upstreams), rng.Float64())), 0.5
			}
			for {
				u, err := b.Choose(q)
				if err != nil {
					panic(err)
				}
				if chosen = index[u.Name]; takes(chosen) {
					break
				}
				b.Begin(u.Name)
				b.End(u.Name, balancer.ResultCanceled)
				q.Exclude = append(q.Exclude, u.Name)
			}
		}
		if list[chosen].DataCentre != d.dataCentre(entry) {
			crossed++
		}
		u, name, arrivedAt := &upstreams[chosen], list[chosen].Name, now
		u.arrived++
		b.Begin(name)
		begin := func() {
			u.running++
			waits = append(waits, float64(now-arrivedAt)/float64(time.Millisecond))
			after(reportDelay, func() {
				b.Report(name, streamer.Load{At: start.Add(now), Running: u.running, Queued: []int{len(u.queue)}})
			})
			after(time.Duration((0.3+0.7*rng.ExpFloat64())*float64(simulatedWork)), func() {
				u.running--
				b.End(name, balancer.ResultSuccess)
				if len(u.queue) > 0 {
					next := u.queue[0]
					u.queue = u.queue[1:]
					next()
				}
			})
		}
		if u.running < d.slots {
			begin()
		} else {
			u.queue = append(u.queue, begin)
		}
	}
	interval := float64(simulatedWork) / (d.load * float64((d.upstreams-d.joining)*d.slots))
	var arrive func()
	arrive = func() {
		if requests < half {
			later++
		}
		if requests == half {
			for _, b := range balancers {
				b.Update(list)
			}
		}
		send(d.entry(rng))
		if requests--; requests > 0 {
			after(time.Duration(rng.ExpFloat64()*interval), arrive)
		}
	}
	arrive()
	for queue.Len() > 0 {
		x := heap.Pop(queue).(event)
		now = x.at
		x.f()
	}
	most, sum := 0, 0.0
	for i := range upstreams {
		most = max(most, upstreams[i].arrived)
	}
	for _, w := range waits {
		sum += w
	}
	slices.Sort(waits)
	n, share := float64(len(waits)), float64(d.upstreams)/float64(max(d.joining, 1))/float64(later)
	return evenness{
		busiest: float64(most*d.upstreams) / n, meanWait: sum / n, p99Wait: waits[len(waits)*99/100], crossed: float64(crossed) / n,
		joined: float64(joined) * share, asks: float64(asked) * share,
	}
}

// dataCentre returns the data centre of the i-th entry or upstream.
func (d deployment) dataCentre(i int) identifier.DataCentre {
	return identifier.DataCentre(fmt.Sprint("dc", i%max(d.dataCentres, 1)))
}

// entry returns the entry that gets a request.
func (d deployment) entry(r *rand.Rand) int {
	i := r.IntN(d.entries)
	if d.firstShare > 0 {
		inFirst := r.Float64() < d.firstShare
		for (i%d.dataCentres == 0) != inFirst {
			i = r.IntN(d.entries)
		}
	}
	return i
}

// Guards against equal upstreams of which some are busy while others are free, at the sizes of the users' sites: with and without prefixes.
func TestLoadIsEven(t *testing.T) {
	for _, x := range []struct{ entries, upstreams, slots int }{{5, 3, 6}, {5, 12, 24}, {5, 180, 24}, {41, 3, 6}, {41, 12, 24}, {41, 180, 24}, {330, 180, 24}, {330, 12, 24}} {
		for _, load := range []float64{0.1, 0.6, 0.9} {
			t.Run(fmt.Sprint(x.entries, " entries, ", x.upstreams, " upstreams, load ", load), func(t *testing.T) {
				t.Parallel()
				d := deployment{entries: x.entries, upstreams: x.upstreams, slots: x.slots, load: load}
				requests := min(max(4000, 100*x.upstreams), 20000)
				plain := d.simulate(requests)
				d.hasPrefixes = true
				prefixes := d.simulate(requests)
				d.isAllKnowing = true
				t.Logf("without prefixes: %v; with: %v; all-knowing: %v", plain, prefixes, d.simulate(requests))
				if load >= 0.6 {
					must.LessEq(t, maxBusiest, plain.busiest)
					must.LessEq(t, maxBusiest, prefixes.busiest)
				}
			})
		}
	}
}

// maxBusiest is the largest ratio of the requests of the busiest upstream to the mean from a load of 0.6 on.
const maxBusiest = 1.5
