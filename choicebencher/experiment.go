package choicebencher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/batchfaker"
	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// Experiment returns the experiment choice.
func Experiment() bencher.Experiment {
	return bencher.Experiment{
		Name:  "choice",
		Short: "Choice of upstream by many entries from late samples against an all-knowing choice",
		Run:   run,
	}
}

// size is one size of a deployment.
type size struct {
	workers, entries, versions, dataCentres, regions int
}

func sizes() []size {
	return []size{
		{workers: 20, entries: 3, versions: 2, dataCentres: 4, regions: 1},
		{workers: 200, entries: 30, versions: 6, dataCentres: 4, regions: 2},
		{workers: 2200, entries: 330, versions: 19, dataCentres: 10, regions: 4},
	}
}

const (
	// load is the share of the capacity that arrives.
	load = 0.75
	// lag is the time from the moment a sample describes to its arrival at the entry.
	lag = time.Second
	// probeBytes is the traffic of one probe and its reply; probeLimit is the part of the 3,000 bytes per second of an entry
	// that probes may take, as membership and configuration need the rest.
	probeBytes = 250
	probeLimit = 1000
	// formerProbeRate is the number of probes per second of the policies without late binding.
	formerProbeRate = 10
	// orderBytes is the traffic of an order with its body and of the refused frame.
	orderBytes = 2500

	warmUp = 15 * time.Second
	// defaultDuration includes the warm-up.
	defaultDuration = 45 * time.Second

	prompt     = 400 // mean tokens
	tokens     = 220 // mean tokens
	sessions   = 50  // sessions per entry and version
	inSession  = 0.3 // share of requests that belong to a session
	measureMax = 200_000
	// decisions is the number of choices over which the time of one is averaged.
	decisions = 200_000
)

// The network time from an entry to an upstream.
const (
	timeSameDataCentre = time.Millisecond
	timeSameRegion     = 2 * time.Millisecond
	timeOtherRegion    = 20 * time.Millisecond
)

// shape gives 2,200 workers 400,000 tokens/s at the load of the experiment.
func shape() batchfaker.Shape {
	return batchfaker.Shape{Knee: 8, Step: 31 * time.Millisecond, Slope: 0.05, Chunk: 128}
}

type worker struct {
	upstream balancer.Upstream
	engine   *batchfaker.Engine
	queue    *batchfaker.Fifo
	cache    prefixCache
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

// policy names a way to choose.
type policy string

const (
	allKnowing policy = "all-knowing"
	routed     policy = "routed"
	queued     policy = "10 probes/s, no late binding"
	manyProbes policy = "40 probes/s, no late binding"
	manyChoice policy = "8 choices, no late binding"
	pathProbes policy = "2 probes in the path"
	central    policy = "central queue per version"
	random     policy = "random"
	roundRobin policy = "round robin"
	leastSeen  policy = "least of the late samples"
)

// balancer returns the options of the policy's balancers and whether it has any.
func (p policy) balancer() ([]balancer.Option, bool) {
	switch p {
	case routed, queued, manyProbes, pathProbes:
		return nil, true
	case manyChoice:
		return []balancer.Option{balancer.WithChoices(8), balancer.WithSampleLimits(15*time.Second, time.Second, 1)}, true
	}
	return nil, false
}

// probeRate returns the probes per second of an entry.
func (p policy) probeRate() float64 {
	switch p {
	case routed, pathProbes:
		return balancer.DefaultProbeRate
	case manyProbes:
		return 4 * formerProbeRate
	}
	return formerProbeRate
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
		w.queue = &batchfaker.Fifo{Engine: w.engine, Slots: shape().Knee}
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
				balancer.WithInstance(identifier.Instance(fmt.Sprintf("entry-%d", i))))...)
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
	rate := load * sh.Capacity() * float64(s.size.workers) / (tokens + prompt/float64(sh.Chunk) + 0.5)
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

// load returns what the agent of a worker reports now.
func (s *simulation) load(w *worker) streamer.Load {
	return streamer.Load{At: s.loop.Now(), Running: w.engine.Running(), Queued: []int{w.queue.Waiting()}}
}

// sample lets an entry see the present load of a worker after the lag.
func (s *simulation) sample(e *entry, w *worker) {
	l := s.load(w)
	s.loop.After(lag, func() { e.balancer.Report(w.upstream.Name, l) })
}

// request is one request on its way from an entry to a worker.
type request struct {
	*simulation
	entry          *entry
	version        int
	prompt, tokens int
	prefix         uint64 // 0 for none
	sent           time.Time
	key            balancer.Key
}

func (s *simulation) request() {
	r := &request{simulation: s, entry: s.entries[s.rng.IntN(len(s.entries))], version: s.rng.IntN(s.size.versions)}
	r.prompt, r.tokens, r.sent = vary(s.rng, prompt), vary(s.rng, tokens), s.loop.Now()
	r.key.Target = s.targets[r.version]
	if x := s.rng.Float64(); x < inSession {
		r.key.Session = identifier.Session(fmt.Sprintf("session-%d-%d", r.version, s.rng.IntN(sessions)))
	}
	if s.scenario.prefixes {
		r.drawPrefix()
	}
	s.requests++
	switch s.policy {
	case routed:
		r.bind()
	case pathProbes:
		r.probeFirst()
	case central:
		r.centrally()
	default:
		r.send(s.choose(r.entry, r.version, r.key), time.Time{})
	}
}

// network returns the time from the entry of a request to a worker.
func (r *request) network(w *worker) time.Duration {
	switch {
	case w.upstream.DataCentre == r.entry.dataCentre:
		return timeSameDataCentre
	case w.upstream.Region == r.entry.region:
		return timeSameRegion
	default:
		return timeOtherRegion
	}
}

// bind sends the request to one upstream after another as dispatch of entryserver does.
func (r *request) bind() {
	u, startBy, err := r.entry.balancer.Bind(r.key)
	if err != nil && r.key.Busy > 0 {
		r.key.Exclude, r.key.Busy = nil, len(r.workers)
		u, startBy, err = r.entry.balancer.Bind(r.key)
	}
	if err != nil {
		panic("choicebencher: " + err.Error())
	}
	r.send(r.byName[u.Name], startBy)
}

// probeFirst asks two upstreams for their load and sends the request to the less loaded one.
func (r *request) probeFirst() {
	first := r.choose(r.entry, r.version, r.key)
	k := r.key
	k.Exclude = []identifier.Upstream{first.upstream.Name}
	second := r.choose(r.entry, r.version, k)
	r.probes += 2
	// Both replies are awaited, so the farther one decides; the load is that of the middle of its round trip.
	network := max(r.network(first), r.network(second))
	r.loop.After(network, func() {
		best := first
		if second.load() < first.load() {
			best = second
		}
		r.loop.After(network, func() { r.send(best, time.Time{}) })
	})
}

// centrally gives the request to a free worker or lets it wait in one queue for all workers of the version.
func (r *request) centrally() {
	w := r.least(r.entry, r.serving[r.version])
	if w.free() {
		r.send(w, time.Time{})
		return
	}
	r.waiting[r.version] = append(r.waiting[r.version], r)
}

// free reports whether a slot is free.
func (w *worker) free() bool {
	return w.load() < w.queue.Slots
}

func (r *request) send(w *worker, startBy time.Time) {
	network := r.network(w)
	b := r.entry.balancer
	if b != nil {
		b.Begin(w.upstream.Name)
	}
	r.loop.After(network, func() {
		// A queue in order of arrival has no estimate, so a busy worker refuses every order that may not wait.
		if !startBy.IsZero() && !w.free() {
			r.refuse(w, network)
			return
		}
		if b != nil {
			r.sample(r.entry, w)
		}
		r.submitted(w)
		w.queue.Submit(&batchfaker.Call{
			Prompt: r.readPrompt(w), Tokens: r.tokens,
			OnFirst: func() { r.measure(&r.first, r.sent, network) },
			OnDone: func() {
				r.measure(&r.total, r.sent, network)
				if b != nil {
					b.End(w.upstream.Name, balancer.ResultSuccess)
					r.sample(r.entry, w)
				}
				if q := r.waiting[r.version]; len(q) > 0 {
					r.waiting[r.version] = q[1:]
					q[0].send(w, time.Time{})
				}
			},
		})
	})
}

// refuse returns the request to its entry with the load of the moment.
func (r *request) refuse(w *worker, network time.Duration) {
	r.busy++
	l := r.load(w)
	r.loop.After(network, func() {
		r.entry.balancer.Report(w.upstream.Name, l)
		r.entry.balancer.End(w.upstream.Name, balancer.ResultBusy)
		r.key.Busy++
		r.key.Exclude = append(r.key.Exclude, w.upstream.Name)
		r.bind()
	})
}

func (s *simulation) measure(list *[]float64, sent time.Time, network time.Duration) {
	if !sent.Before(s.from) && len(*list) < measureMax {
		*list = append(*list, (s.loop.Now().Sub(sent) + network).Seconds())
	}
}

func vary(rng *rand.Rand, mean int) int {
	return max(int(float64(mean)*(0.5+rng.Float64())), 2)
}

func (s *simulation) choose(e *entry, v int, k balancer.Key) *worker {
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

// result is what one policy measured at one size.
type result struct {
	requests     int
	first, total float64 // 95th percentiles in seconds
	probeBytes   float64 // per entry and second
	busy         float64 // orders refused as busy per request
	busyBytes    float64 // per entry and second
}

func simulate(seed uint64, z size, p policy, duration time.Duration) result {
	s := newSimulation(seed, z, p, duration)
	s.run()
	return s.result(duration)
}

func (s *simulation) result(duration time.Duration) result {
	z := s.size
	return result{
		requests: len(s.total), first: batchfaker.Quantile(s.first, 0.95), total: batchfaker.Quantile(s.total, 0.95),
		probeBytes: float64(s.probes) * probeBytes / float64(z.entries) / duration.Seconds(),
		busy:       float64(s.busy) / float64(max(s.requests, 1)),
		busyBytes:  float64(s.busy) * orderBytes / float64(z.entries) / duration.Seconds(),
	}
}

// ratioLimit bounds 95th percentiles relative to the all-knowing choice.
const ratioLimit = 1.15

// row returns the row of a table; best is the answer time of the all-knowing choice, 0 for no ratio.
func (r result) row(z size, name string, best float64, decision string) []string {
	ratio := ""
	if best > 0 {
		ratio = fmt.Sprintf("%.3f", r.total/best)
	}
	return []string{
		strconv.Itoa(z.workers), name, strconv.Itoa(r.requests), fmt.Sprintf("%.3f", r.first), fmt.Sprintf("%.3f", r.total),
		ratio, fmt.Sprintf("%.0f", r.probeBytes), fmt.Sprintf("%.3f", r.busy), fmt.Sprintf("%.0f", r.busyBytes), decision,
	}
}

func run(ctx context.Context, p bencher.Params) (bencher.Report, error) {
	return compare(ctx, p, sizes(), decisions)
}

// errNothingEnded is returned when the duration is too short for any request.
var errNothingEnded = errors.New("choicebencher: no request ended after the warm-up; use a longer duration")

// compare runs every policy at every size and times the given number of decisions.
func compare(ctx context.Context, p bencher.Params, all []size, decisions int) (bencher.Report, error) {
	report := bencher.Report{
		Columns: []string{"workers", "policy", "requests", "first token p95 (s)", "answer p95 (s)", "answer / all-knowing",
			"probe bytes/s", "busy / request", "busy bytes/s", "decision (ns)"},
		XLabel: "workers", YLabel: "95th percentile of the answer time / all-knowing",
	}
	duration := defaultDuration
	if p.Duration > 0 {
		duration = p.Duration
	}
	series := make(map[policy]*bencher.Series)
	policies := []policy{allKnowing, routed, queued, manyProbes, manyChoice, pathProbes, central, leastSeen, roundRobin, random}
	for _, z := range all {
		if err := ctx.Err(); err != nil {
			return report, err
		}
		// The runs share nothing, so their order does not change the figures.
		results := make([]result, len(policies))
		var wg sync.WaitGroup
		for i, pol := range policies {
			wg.Go(func() { results[i] = simulate(p.Seed, z, pol, duration) })
		}
		wg.Wait()
		for _, r := range results {
			if r.requests == 0 || r.first == 0 {
				return report, errNothingEnded
			}
		}
		best := results[0]
		for i, pol := range policies {
			r := results[i]
			decision := ""
			if pol == routed {
				decision = fmt.Sprintf("%.0f", decisionTime(p.Seed, z, decisions))
				report.Bounds = append(report.Bounds, bencher.Bound{
					Name: fmt.Sprintf("answer p95 / all-knowing at %d workers", z.workers), Got: r.total / best.total,
					Limit: ratioLimit, AtMost: true,
				}, bencher.Bound{
					Name: fmt.Sprintf("first token p95 / all-knowing at %d workers", z.workers), Got: r.first / best.first,
					Limit: ratioLimit, AtMost: true,
				}, bencher.Bound{
					Name: fmt.Sprintf("probe bytes/s per entry at %d workers", z.workers), Got: r.probeBytes,
					Limit: probeLimit, AtMost: true,
				})
			}
			report.Rows = append(report.Rows, r.row(z, string(pol), best.total, decision))
			if series[pol] == nil {
				series[pol] = &bencher.Series{Name: string(pol)}
			}
			series[pol].Points = append(series[pol].Points, bencher.Point{X: float64(z.workers), Y: r.total / best.total})
		}
	}
	if err := scenarios(&report, p.Seed, all[min(1, len(all)-1)], duration); err != nil {
		return report, err
	}
	for _, pol := range policies {
		report.Series = append(report.Series, *series[pol])
	}
	return report, nil
}

// decisionTime returns the mean time of a choice on this machine in nanoseconds; it depends on the machine and is thus
// printed but not a bound.
func decisionTime(seed uint64, z size, n int) float64 {
	s := newSimulation(seed, z, routed, defaultDuration)
	for _, w := range s.workers {
		s.entries[0].balancer.Report(w.upstream.Name, streamer.Load{At: s.loop.Now(), Running: s.rng.IntN(2 * shape().Knee)})
	}
	start := time.Now()
	for i := range n {
		if _, err := s.entries[0].balancer.Choose(balancer.Key{Target: s.targets[i%len(s.targets)]}); err != nil {
			panic("choicebencher: " + err.Error())
		}
	}
	return float64(time.Since(start).Nanoseconds()) / float64(n)
}
