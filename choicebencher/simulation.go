package choicebencher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/siskinfront/siskinfront/agentserver"
	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/batchfaker"
	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

type worker struct {
	upstream balancer.Upstream
	engine   *batchfaker.Engine
	queue    *batchfaker.FIFO
	cache    prefixCache
	progress agentserver.Progress
	tokens   float64 // tokens of the engine at the last look
	waits    []uint64
}

func (w *worker) load() int {
	return w.engine.Running() + w.queue.Waiting()
}

type entry struct {
	dataCentre identifier.DataCentre
	region     identifier.Region
	balancer   *balancer.Balancer
	next       []int // the next worker of each version in the entry's own turn
}

type simulation struct {
	size    size
	policy  policy
	loop    *batchfaker.Loop
	rng     *rand.Rand // arrivals, equal for all policies
	picks   *rand.Rand // choices of the naive policies
	workers []*worker
	entries []*entry
	targets []identifier.Target
	serving [][]*worker
	end     time.Time
	from    time.Time

	scenario      scenario
	faulty        *worker
	taken         [][2]int // by the second since the fault: requests of the faulty engine and of its version
	lookups, hits int      // of prefix caches

	first, total []float64
	probes       int
	requests     int
	busy         int          // orders refused as busy
	expired      int          // requests that ended at their deadline
	waiting      [][]*request // central queues of the versions
	byName       map[identifier.Upstream]*worker
	seen         map[*worker]int // late samples of the naive policy, shared by all entries
}

func newSimulation(seed uint64, z size, p policy, duration time.Duration) *simulation {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &simulation{
		size: z, policy: p, loop: batchfaker.NewLoop(start), rng: rand.New(rand.NewPCG(seed, uint64(z.workers))),
		picks:   rand.New(rand.NewPCG(seed, 1)),
		byName:  make(map[identifier.Upstream]*worker, z.workers),
		waiting: make([][]*request, z.versions),
		serving: make([][]*worker, z.versions), from: start.Add(min(warmUp, duration/3)), end: start.Add(duration), seen: make(map[*worker]int),
	}
	for v := range z.versions {
		s.targets = append(s.targets, identifier.Target{Model: "model", Version: identifier.Version(fmt.Sprintf("v%d", v))})
	}
	ups := make([]balancer.Upstream, 0, z.workers)
	for i := range z.workers {
		dc, region := s.place(i / z.versions)
		v := i % z.versions
		w := &worker{engine: batchfaker.NewEngine(s.loop, shape())}
		w.queue = &batchfaker.FIFO{Engine: w.engine, Slots: shape().Knee}
		w.upstream = balancer.Upstream{
			Name: identifier.Upstream(fmt.Sprintf("upstream-%d", i)), DataCentre: dc, Region: region,
			Targets: []identifier.Target{s.targets[v]},
		}
		s.workers = append(s.workers, w)
		s.byName[w.upstream.Name] = w
		s.serving[v] = append(s.serving[v], w)
		ups = append(ups, w.upstream)
	}
	for i := range z.entries {
		e := &entry{next: make([]int, z.versions)}
		for v := range e.next {
			e.next[v] = s.picks.IntN(z.workers)
		}
		e.dataCentre, e.region = s.place(i)
		if opts, ok := p.balancer(); ok {
			e.balancer = balancer.New(e.dataCentre, append(opts,
				balancer.WithNow(s.loop.Now), balancer.WithRand(rand.New(rand.NewPCG(seed, uint64(i)+1))),
				balancer.WithSelf(identifier.Instance(fmt.Sprintf("entry-%d", i))))...)
			e.balancer.Update(ups)
		}
		s.entries = append(s.entries, e)
	}
	return s
}

func (s *simulation) place(i int) (identifier.DataCentre, identifier.Region) {
	dc := i % s.size.dataCentres
	return identifier.DataCentre(fmt.Sprintf("dc-%d", dc)), identifier.Region(fmt.Sprintf("region-%d", dc%s.size.regions))
}

func (s *simulation) run() {
	sh := shape()
	rate := load * sh.Capacity() * float64(s.size.workers) / (tokens + prompt/float64(sh.PrefillChunk) + 0.5)
	var arrive func()
	arrive = func() {
		s.request()
		s.loop.After(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	for i, e := range s.entries {
		if e.balancer == nil {
			continue
		}
		// Entries start at different moments, as processes do.
		s.loop.After(time.Duration(i)*time.Millisecond, func() {
			s.loop.Every(time.Duration(float64(time.Second)/s.policy.probeRate()), func() bool {
				if u, ok := e.balancer.NextProbe(); ok {
					s.probes++
					s.sample(e, s.byName[u.Name])
				}
				return true
			})
		})
	}
	if s.policy == leastSeen {
		s.loop.Every(lag, func() bool {
			for _, w := range s.workers {
				s.seen[w] = w.load()
			}
			return true
		})
	}
	s.fault()
	s.loop.Run(s.end)
}

// oldestToken is the age of the latest token from which an agent no longer knows the time between tokens.
const oldestToken = 10 * time.Second

// load returns what the agent of a worker reports now.
func (s *simulation) load(w *worker) streamer.Load {
	step := w.engine.StepTime()
	if step > oldestToken {
		step = 0
	}
	return streamer.Load{
		At: s.loop.Now(), Running: w.engine.Running(), Queued: []int{w.queue.Waiting()}, Stalled: w.progress.Stalled(s.loop.Now()),
		TokenInterval: step,
	}
}

// sample lets an entry see the present load of a worker after the lag.
func (s *simulation) sample(e *entry, w *worker) {
	l := s.load(w)
	s.loop.After(lag, func() { e.balancer.Report(w.upstream.Name, l) })
}

// free reports whether a slot is free.
func (w *worker) free() bool {
	return w.load() < w.queue.Slots
}

func (s *simulation) measure(list *[]float64, sent time.Time, network time.Duration) {
	if !sent.Before(s.from) && len(*list) < measureMax {
		*list = append(*list, (s.loop.Now().Sub(sent) + network).Seconds())
	}
}

func vary(rng *rand.Rand, mean int) int {
	return max(int(float64(mean)*(0.5+rng.Float64())), 2)
}

func (s *simulation) choose(e *entry, v int, k balancer.Query) *worker {
	list := s.serving[v]
	if e.balancer != nil {
		u, err := e.balancer.Choose(k)
		if err != nil {
			panic("choicebencher: " + err.Error())
		}
		return s.byName[u.Name]
	}
	switch s.policy {
	case random:
		return list[s.picks.IntN(len(list))]
	case roundRobin:
		e.next[v]++
		return list[e.next[v]%len(list)]
	default:
		return s.least(e, list)
	}
}

// least returns the least loaded worker, the nearest of equals; the naive policy takes the late samples for the truth.
func (s *simulation) least(e *entry, list []*worker) *worker {
	var best *worker
	bestLoad, bestDistance := 0, 0
	from := s.picks.IntN(len(list))
	for i := range list {
		w := list[(from+i)%len(list)]
		l, d := w.load(), 2
		if s.policy == leastSeen {
			l = s.seen[w]
		}
		switch {
		case w.upstream.DataCentre == e.dataCentre:
			d = 0
		case w.upstream.Region == e.region:
			d = 1
		}
		if best == nil || l < bestLoad || l == bestLoad && d < bestDistance {
			best, bestLoad, bestDistance = w, l, d
		}
	}
	return best
}

func run(ctx context.Context, p bencher.Params) (bencher.Report, error) {
	return compare(ctx, p, sizes(), decisions)
}
