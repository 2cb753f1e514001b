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
	"github.com/siskinfront/siskinfront/selector"
	"github.com/siskinfront/siskinfront/streamer"
)

const (
	// An engine takes 3 ms and 0.12 ms for each running request for a step, and stepsPerEvent steps for an event.
	stepTime, stepTimePerRequest, stepsPerEvent = 3 * time.Millisecond, 120 * time.Microsecond, 5
	engineSlots                                 = 64
	// tokensReadPerSecond is the rate at which an engine reads prompts, one after the other; events take readingSlowdown times as
	// long meanwhile.
	tokensReadPerSecond = 30_000
	readingSlowdown     = 2
	// Some engines turn slow for slowTime or longSlowTime, in all for slowPart of the time.
	slowTime, longSlowTime, slowPart, slowFactor = 600 * time.Millisecond, 5 * time.Second, 0.15, 2.5
	// meanInFlight is the mean number of requests in flight at an engine of mean speed.
	meanInFlight = 5
	longPrompts  = 0.01
	// promptWeight is the number of requests that prompts of one second of reading count as in mechanism c.
	promptWeight = 16
)

// simulatedEngine is an engine that reads prompts in turn and writes the events of all requests at the same time.
type simulatedEngine struct {
	speed              float64 // time of an event relative to an engine of mean speed
	turnsSlow          bool
	slowUntil          time.Duration
	slowFor, phase     time.Duration
	running            int
	readUntil          time.Duration
	waiting            []time.Duration // starts of the reading of prompts that are not read yet
	caches             map[uint64]bool
	inFlightTime       float64
	inFlightObservedAt time.Duration
}

func (e *simulatedEngine) isSlow(now time.Duration) bool {
	return e.turnsSlow && float64((now+e.phase)%time.Duration(float64(e.slowFor)/slowPart)) < float64(e.slowFor)
}

func (e *simulatedEngine) factor(now time.Duration) float64 {
	if e.isSlow(now) || now < e.slowUntil {
		return e.speed * slowFactor
	}
	return e.speed
}

func (e *simulatedEngine) eventTime(now time.Duration) time.Duration {
	x := float64(stepsPerEvent) * (float64(stepTime) + float64(e.running)*float64(stepTimePerRequest)) * e.factor(now)
	if e.readUntil > now {
		x *= readingSlowdown
	}
	return time.Duration(x)
}

func (e *simulatedEngine) count(n int, now time.Duration) {
	e.inFlightTime += float64(e.running) * (now - e.inFlightObservedAt).Seconds()
	e.inFlightObservedAt = now
	e.running += n
}

// observer learns the slowdown of engines from the pauses that an entry sees, as package forwarder does.
type observer struct {
	took, expected, samples, unread, backlog float64
	at, backlogAt                            time.Duration
}

func (o *observer) decay(now time.Duration) {
	x := math.Exp(-(now - o.at).Seconds() / 30)
	o.took, o.expected, o.samples, o.at = o.took*x, o.expected*x, o.samples*x, now
}

func (o *observer) slowdown(now time.Duration) float64 {
	if o.decay(now); o.samples == 0 {
		return 1
	}
	return (o.took + 8*o.expected/o.samples) / (o.expected + 8*o.expected/o.samples)
}

// promptTime returns the time of reading of the prompts that are expected to wait at an engine.
func (o *observer) promptTime(now time.Duration) float64 {
	return o.unread/tokensReadPerSecond + o.backlog*math.Exp(-(now-o.backlogAt).Seconds()/2)
}

// unequal simulates a deployment whose engines differ in speed, some of which turn slow, with long prompts, shared prompts and bursts.
type unequal struct {
	entries, upstreams int
	reportDelay        time.Duration
	mechanism          mechanism
	seed               uint64
	equal              bool
	// withoutFigure is set if engines do not report how long work takes there, and plainPrompts if no requests share prompts.
	withoutFigure, plainPrompts bool
	// slowForSeconds makes half of the engines turn slow for some seconds.
	slowForSeconds bool
	// joining is the number of engines that start after joinAt, and slowStart makes them slow for startTime.
	joining   int
	slowStart bool
	// lateHeads makes engines send the head of a response, with the load, once the prompt is read.
	lateHeads bool
}

// latencies is the result of a simulation in seconds, the time-weighted requests of the busiest engine over the mean, and the share of
// the requests with a shared prompt whose engine had it cached.
type latencies struct {
	first95, first99, whole95, whole99, busiest, cached float64
	// joined is the share of the requests in startTime that the joining engines got, relative to that of the others.
	joined float64
	// pressure is the mean pressure that the entries see, and waiting the mean of the true ones.
	pressure, waiting float64
}

type unequalRun struct {
	unequal
	rng, choiceRNG *rand.Rand
	now            time.Duration
	queue          events
	engines        []simulatedEngine
	list           []balancer.Upstream
	index          map[identifier.Upstream]int
	balancers      []*balancer.Balancer
	observers      []map[int]*observer
	means          []float64
	first, whole   []float64
	shared, cached int
	// atStart counts the requests in startTime, and atJoined those of them at joining engines.
	atStart, atJoined int
	pressures         []selector.Pressure
	pressure, waiting float64 // sums over pressureSamples
	pressureSamples   int
	until             time.Duration
}

func (r *unequalRun) after(x time.Duration, f func()) { heap.Push(&r.queue, event{r.now + x, f}) }

func (u unequal) options() []balancer.Option {
	switch u.mechanism {
	case byRequests, allKnowingOne:
		return nil
	case byTime, ownPrompts, allAtOnce, allAfter50, allAfter300, allAfter50Lost:
		return []balancer.Option{balancer.WithEvenLoad()}
	default:
		return []balancer.Option{balancer.WithEvenLoad(), balancer.WithSampleLimits(3*time.Second, time.Second, 1000)}
	}
}

func (u unequal) simulate(seconds int) latencies {
	r := &unequalRun{
		unequal: u, rng: rand.New(rand.NewPCG(u.seed, 2)), choiceRNG: rand.New(rand.NewPCG(u.seed, 3)), index: map[identifier.Upstream]int{},
		engines: make([]simulatedEngine, u.upstreams), list: make([]balancer.Upstream, u.upstreams), means: make([]float64, u.entries),
		until: time.Duration(seconds) * time.Second, pressures: make([]selector.Pressure, u.entries),
	}
	speeds := 0.0
	for i := range r.engines {
		e := &r.engines[i]
		e.speed, e.caches = 0.8+0.4*r.rng.Float64(), map[uint64]bool{}
		if i%4 == 0 && !u.equal {
			e.speed = 2.2 + r.rng.Float64()
		}
		e.turnsSlow, e.phase = i%7 == 3 && !u.equal, time.Duration(r.rng.Int64N(int64(4*time.Second)))
		if e.slowFor = slowTime; u.slowForSeconds {
			e.slowFor = longSlowTime
			e.turnsSlow = i%2 == 1
		}
		if i >= u.upstreams-u.joining && u.slowStart {
			e.slowUntil = joinAt + startTime
		}
		speeds += 1 / e.speed
		r.list[i] = balancer.Upstream{Name: identifier.Upstream(fmt.Sprint("u", i)), Service: "s", DataCentre: "dc", Region: "r", Slots: engineSlots}
		r.index[r.list[i].Name] = i
	}
	for i := range u.entries {
		b := balancer.New("dc", append(u.options(), balancer.WithSelf(identifier.Instance(fmt.Sprint("e", i))), withSeed(u.seed<<16+uint64(i)),
			balancer.WithNow(func() time.Time { return start.Add(r.now) }), balancer.WithSubsetSize(64), balancer.WithWaitingWeight(3))...)
		b.Update(r.list[:u.upstreams-u.joining])
		if u.joining > 0 {
			r.after(joinAt, func() { b.Update(r.list) })
		}
		r.balancers, r.observers = append(r.balancers, b), append(r.observers, map[int]*observer{})
	}
	perRequest := 40 * stepsPerEvent * (stepTime + meanInFlight*stepTimePerRequest).Seconds()
	rate := meanInFlight * speeds / perRequest
	var arrive func()
	arrive = func() {
		r.send(r.rng.IntN(u.entries))
		x := rate
		if r.now%(10*time.Second) > 8*time.Second {
			x *= 2 // a burst of 2 s in every 10 s
		}
		if r.now < r.until {
			r.after(time.Duration(r.rng.ExpFloat64()/x*float64(time.Second)), arrive)
		}
	}
	arrive()
	for r.queue.Len() > 0 {
		x := heap.Pop(&r.queue).(event)
		r.now = x.at
		x.f()
	}
	slices.Sort(r.first)
	slices.Sort(r.whole)
	most, sum := 0.0, 0.0
	for i := range r.engines {
		most, sum = max(most, r.engines[i].inFlightTime), sum+r.engines[i].inFlightTime
	}
	at := func(list []float64, q float64) float64 { return list[int(float64(len(list))*q)] }
	return latencies{
		at(r.first, 0.95), at(r.first, 0.99), at(r.whole, 0.95), at(r.whole, 0.99), most * float64(u.upstreams) / sum,
		float64(r.cached) / float64(max(r.shared, 1)),
		float64(r.atJoined) / float64(max(r.atStart-r.atJoined, 1)) * float64(u.upstreams-u.joining) / float64(max(u.joining, 1)),
		r.pressure / float64(r.pressureSamples), r.waiting / float64(r.pressureSamples),
	}
}

func (r *unequalRun) observer(entry, i int) *observer {
	o := r.observers[entry][i]
	if o == nil {
		o = &observer{at: r.now}
		r.observers[entry][i] = o
	}
	return o
}

const sharedTokens = 1500

// send plays one request.
func (r *unequalRun) send(entry int) {
	tokens, left := 200+r.rng.IntN(1800), 10+r.rng.IntN(61)
	q := balancer.Query{Service: "s"}
	switch x := r.rng.Float64(); {
	case x < longPrompts:
		tokens = 10_000 + r.rng.IntN(40_000)
	case x < 0.4 && !r.plainPrompts:
		q.Prefix, q.PrefixRatio = 1+uint64(math.Pow(float64(prefixesPerUpstream*r.upstreams), r.rng.Float64())), 0.7
		tokens += sharedTokens
	}
	i, sentAt := r.choose(entry, q), r.now
	e, b, name, o := &r.engines[i], r.balancers[entry], r.list[i].Name, r.observer(entry, i)
	b.Begin(name)
	r.countJoined(i)
	e.count(1, r.now)
	toRead := tokens
	if q.Prefix != 0 {
		r.shared++
		if e.caches[q.Prefix] {
			r.cached++
			toRead -= sharedTokens
		}
		e.caches[q.Prefix] = true
	}
	o.unread += float64(toRead)
	reading := time.Duration(float64(toRead) / tokensReadPerSecond * e.factor(r.now) * float64(time.Second))
	began := max(e.readUntil, r.now)
	e.readUntil = began + reading
	e.waiting = append(e.waiting, began)
	r.announce(entry, i, tokens)
	headAfter := r.reportDelay
	if r.lateHeads {
		headAfter = e.readUntil - r.now
	}
	r.after(headAfter, func() {
		now := r.now
		e.dropRead(now)
		r.observePressure(entry, e)
		l := streamer.Load{At: start.Add(now), Running: e.running - len(e.waiting), Queued: []int{len(e.waiting)}, Slowdown: o.slowdown(now)}
		if !r.withoutFigure {
			l.SlowdownCorrection = e.factor(now) / e.speed
		}
		b.Report(name, l)
	})
	lastAt := time.Duration(0)
	var next func()
	next = func() {
		if lastAt == 0 {
			o.unread -= float64(toRead)
			b.EndReading(name, start.Add(sentAt))
			o.backlog, o.backlogAt = max((r.now-sentAt-reading).Seconds(), 0)/2, r.now
			if sentAt > r.until/4 {
				r.first = append(r.first, (r.now - sentAt).Seconds())
			}
		} else {
			o.decay(r.now)
			took, mean := (r.now - lastAt).Seconds(), &r.means[entry]
			if *mean == 0 {
				*mean = took
			}
			took = min(took, 4**mean)
			*mean += (took - *mean) * 0.005
			o.took, o.expected, o.samples = o.took+took, o.expected+*mean, o.samples+1
		}
		lastAt = r.now
		if left--; left > 0 {
			r.after(e.eventTime(r.now), next)
			return
		}
		e.count(-1, r.now)
		b.End(name, balancer.ResultSuccess)
		if sentAt > r.until/4 {
			r.whole = append(r.whole, (r.now - sentAt).Seconds())
		}
	}
	r.after(e.readUntil-r.now+e.eventTime(r.now), next)
}

// Guards against a choice by expected time that serves unequal engines no better than the choice by requests in flight, and against one
// that serves equal engines worse by more than a tenth.
func TestEvenLoadServesUnequalEngines(t *testing.T) {
	for _, x := range []unequal{{entries: 4, upstreams: 18}, {entries: 30, upstreams: 55}, {entries: 30, upstreams: 55, equal: true}} {
		t.Run(fmt.Sprint(x), func(t *testing.T) {
			t.Parallel()
			x.reportDelay, x.seed = 20*time.Millisecond, 1
			x.mechanism = byRequests
			before := x.simulate(30)
			x.mechanism = byTime
			after := x.simulate(30)
			t.Logf("by requests: %+v; by time: %+v", before, after)
			if x.equal {
				must.Less(t, 1.1*before.first99, after.first99)
				must.Less(t, 1.1*before.whole99, after.whole99)
				return
			}
			must.Less(t, before.first99, after.first99)
			must.Less(t, before.whole95, after.whole95)
			must.Less(t, before.whole99, after.whole99)
		})
	}
}

func (l latencies) add(o latencies, weight float64) latencies {
	return latencies{
		l.first95 + o.first95*weight, l.first99 + o.first99*weight, l.whole95 + o.whole95*weight, l.whole99 + o.whole99*weight, l.busiest + o.busiest*weight,
		l.cached + o.cached*weight, l.joined + o.joined*weight, l.pressure + o.pressure*weight, l.waiting + o.waiting*weight,
	}
}
