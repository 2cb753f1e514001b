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

// worker is one upstream: an engine, its queue and what its agent knows.
type worker struct {
	upstream       balancer.Upstream
	engine         *batchfaker.Engine
	queue          *batchfaker.FIFO
	cache          prefixCache
	progress       agentserver.Progress
	recordedTokens float64  // token count of the engine at the last poll that found a new token
	waits          []uint64 // waits for a token of the running requests, the oldest first
}

func (w *worker) load() int {
	return w.engine.Running() + w.queue.Waiting()
}

// entry is one entry that chooses upstreams; it has a balancer only under policies that use one.
type entry struct {
	dataCentre identifier.DataCentre
	region     identifier.Region
	balancer   *balancer.Balancer
	nextWorker []int // by version: the round-robin position of this entry
}

// simulation is the state of one run of a policy at one size.
type simulation struct {
	size         size
	policy       policy
	loop         *batchfaker.Loop
	arrivalRNG   *rand.Rand // draws the arrivals, which are equal for all policies
	choiceRNG    *rand.Rand // draws the choices of the naive policies
	workers      []*worker
	entries      []*entry
	targets      []identifier.Target
	serving      [][]*worker
	end          time.Time
	measuredFrom time.Time

	scenario                scenario
	faulty                  *worker
	submissions             [][2]int // by second since the fault: requests taken by the faulty engine, and by all engines of its version
	cacheLookups, cacheHits int      // look-ups and hits of the prefix caches after the warm-up

	firstTokenTimes, answerTimes []float64
	probes                       int
	requests                     int
	busyRefusals                 int          // orders refused as busy
	expired                      int          // requests that ended at their deadline
	meanStep                     float64      // moving mean of the times of steps that agents report, in seconds
	waiting                      [][]*request // central queues of the versions
	byName                       map[identifier.Upstream]*worker
	sampledLoads                 map[*worker]int // delayed samples of the policy leastSampledLoad, shared by all entries
}

func newSimulation(seed uint64, z size, p policy, duration time.Duration) *simulation {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &simulation{
		size: z, policy: p, loop: batchfaker.NewLoop(start), arrivalRNG: rand.New(rand.NewPCG(seed, uint64(z.workers))),
		choiceRNG: rand.New(rand.NewPCG(seed, 1)),
		byName:    make(map[identifier.Upstream]*worker, z.workers),
		waiting:   make([][]*request, z.versions), meanStep: speedProfile().Step.Seconds(),
		serving: make([][]*worker, z.versions), measuredFrom: start.Add(min(warmUp, duration/3)), end: start.Add(duration), sampledLoads: make(map[*worker]int),
	}
	for v := range z.versions {
		s.targets = append(s.targets, identifier.Target{Model: "model", Version: identifier.Version(fmt.Sprintf("v%d", v))})
	}
	ups := make([]balancer.Upstream, 0, z.workers)
	for i := range z.workers {
		dc, region := s.location(i / z.versions)
		v := i % z.versions
		w := &worker{engine: batchfaker.NewEngine(s.loop, speedProfile())}
		w.queue = &batchfaker.FIFO{Engine: w.engine, Slots: speedProfile().Knee}
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
		e := &entry{nextWorker: make([]int, z.versions)}
		for v := range e.nextWorker {
			e.nextWorker[v] = s.choiceRNG.IntN(z.workers)
		}
		e.dataCentre, e.region = s.location(i)
		if opts, ok := p.balancerOptions(); ok {
			e.balancer = balancer.New(e.dataCentre, append(opts,
				balancer.WithNow(s.loop.Now), balancer.WithRand(rand.New(rand.NewPCG(seed, uint64(i)+1))),
				balancer.WithSelf(identifier.Instance(fmt.Sprintf("entry-%d", i))))...)
			e.balancer.Update(ups)
		}
		s.entries = append(s.entries, e)
	}
	return s
}

func (s *simulation) location(i int) (identifier.DataCentre, identifier.Region) {
	dc := i % s.size.dataCentres
	return identifier.DataCentre(fmt.Sprintf("dc-%d", dc)), identifier.Region(fmt.Sprintf("region-%d", dc%s.size.regions))
}

// run schedules arrivals, probes and the fault, and runs the event loop to the end.
func (s *simulation) run() {
	sh := speedProfile()
	rate := loadShare * sh.Capacity() * float64(s.size.workers) / (meanOutputTokens + meanPromptTokens/float64(sh.PrefillChunk) + 0.5)
	var arrive func()
	arrive = func() {
		s.startRequest()
		s.loop.After(time.Duration(s.arrivalRNG.ExpFloat64()/rate*float64(time.Second)), arrive)
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
	if s.policy == leastSampledLoad {
		s.loop.Every(sampleDelay, func() bool {
			for _, w := range s.workers {
				s.sampledLoads[w] = w.load()
			}
			return true
		})
	}
	s.scheduleFault()
	s.loop.Run(s.end)
}

// meanStepWeight is the weight of a new time of a step in the moving mean that slowdowns refer to.
const meanStepWeight = 0.005

// maxTokenAge is the age of the last token beyond which an agent reports no time between tokens.
const maxTokenAge = 10 * time.Second

// load returns the load that the agent of a worker reports now.
func (s *simulation) load(w *worker) streamer.Load {
	step := w.engine.StepTime()
	if step > maxTokenAge {
		step = 0
	}
	slowdown := 0.0
	if step > 0 {
		s.meanStep += (step.Seconds() - s.meanStep) * meanStepWeight
		slowdown = step.Seconds() / s.meanStep
	}
	return streamer.Load{
		At: s.loop.Now(), Running: w.engine.Running(), Queued: []int{w.queue.Waiting()}, Stalled: w.progress.Stalled(s.loop.Now()),
		TokenInterval: step, Slowdown: slowdown,
	}
}

// sample reports the present load of a worker to an entry after sampleDelay.
func (s *simulation) sample(e *entry, w *worker) {
	l := s.load(w)
	s.loop.After(sampleDelay, func() { e.balancer.Report(w.upstream.Name, l) })
}

// free reports whether the worker has a free slot.
func (w *worker) free() bool {
	return w.load() < w.queue.Slots
}

// record adds the time since a request was sent, plus the network delay of the reply, if it was sent after the warm-up.
func (s *simulation) record(list *[]float64, sent time.Time, network time.Duration) {
	if !sent.Before(s.measuredFrom) && len(*list) < maxMeasurements {
		*list = append(*list, (s.loop.Now().Sub(sent) + network).Seconds())
	}
}

// drawAroundMean draws a number between half the mean and one and a half times the mean, at least 2.
func drawAroundMean(rng *rand.Rand, mean int) int {
	return max(int(float64(mean)*(0.5+rng.Float64())), 2)
}

// choose returns the worker for a request by the balancer of its entry, or by the policy if the entry has none.
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
		return list[s.choiceRNG.IntN(len(list))]
	case roundRobin:
		e.nextWorker[v]++
		return list[e.nextWorker[v]%len(list)]
	default:
		return s.leastLoaded(e, list)
	}
}

// leastLoaded returns the least loaded worker, and the nearest among equals. The naive policy leastSampledLoad takes delayed
// samples for the current load.
func (s *simulation) leastLoaded(e *entry, list []*worker) *worker {
	var best *worker
	bestLoad, bestDistance := 0, 0
	from := s.choiceRNG.IntN(len(list))
	for i := range list {
		w := list[(from+i)%len(list)]
		l, d := w.load(), 2
		if s.policy == leastSampledLoad {
			l = s.sampledLoads[w]
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
	return comparePolicies(ctx, p, sizes(), timedDecisions)
}
