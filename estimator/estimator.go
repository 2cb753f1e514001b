package estimator

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// priorWeight is the number of ratings that the configured prior quality counts for; a weak prior lets a few dozen
	// ratings correct a wrong setting.
	priorWeight = 4.0
	// priorVariance is the variance of one rating before there is evidence.
	priorVariance = 0.0625
	// fastRatings is the number of ratings over which the change detector averages. It counts ratings, not time, so that
	// a rarely used version is judged on as many as a busy one.
	fastRatings = 60.0
	// changeDeviations is the distance between recent and long-term mean, in standard errors, at which the long-term
	// estimate restarts from the recent ratings. At 4 a restart by chance happens about once in 10^6 ratings.
	changeDeviations = 4.0
	// changeRatings is the effective number of recent ratings below which no change is assumed.
	changeRatings = 10.0
	// doubtFactor is the part of their weight that the ratings of other kinds keep after a change.
	doubtFactor = 0.2
	// maxSeen bounds the request names kept to recognise a rating that is delivered twice.
	maxSeen = 8192
)

// Sample is the rating, from 0 to 1, of one answer that was given at At.
type Sample struct {
	WorkKind identifier.WorkKind
	Target   identifier.Target
	Rating   float64
	At       time.Time
	Request  identifier.Request
}

type cellKey struct {
	kind   identifier.WorkKind
	target identifier.Target
}

type cell struct {
	own  Summary
	fast Moments
	// changes counts the restarts of this cell and of others that cast doubt on it.
	changes int64
	sources map[identifier.Instance]Summary
	// used is the time of the last change, by which the least recently changed cell is evicted.
	used time.Time
}

// Estimator is safe for concurrent use.
type Estimator struct {
	now         func() time.Time
	prior       func(identifier.Target) float64
	source      identifier.Instance
	halfLife    time.Duration
	maxCells    int
	maxSources  int
	incarnation int64

	mu       sync.Mutex
	cells    map[cellKey]*cell
	seen     map[uint64]struct{}
	seenRing []uint64
	seenNext int
	counters struct{ added, repeated, invalid, merged, stale, restarts, evicted int64 }
}

// Option configures an Estimator.
type Option func(*Estimator)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(e *Estimator) { e.now = now } }

// WithPrior sets the quality expected before there is evidence; the default is 0.5 for every target.
func WithPrior(prior func(identifier.Target) float64) Option {
	return func(e *Estimator) { e.prior = prior }
}

// WithSelf names the instance in exported counts.
func WithSelf(name identifier.Instance) Option { return func(e *Estimator) { e.source = name } }

// WithHalfLife sets the time in which the weight of a rating halves.
func WithHalfLife(d time.Duration) Option { return func(e *Estimator) { e.halfLife = d } }

// WithLimits bounds the pairs of kind and target, and the sources kept per pair.
func WithLimits(cells, sources int) Option {
	return func(e *Estimator) { e.maxCells, e.maxSources = cells, sources }
}

// New returns an empty estimator with a half-life of 36 hours.
func New(opts ...Option) *Estimator {
	e := &Estimator{
		now: time.Now, prior: func(identifier.Target) float64 { return 0.5 },
		halfLife: 36 * time.Hour, maxCells: 4096, maxSources: 64,
		cells: map[cellKey]*cell{}, seen: map[uint64]struct{}{},
	}
	for _, o := range opts {
		o(e)
	}
	e.incarnation = e.now().UnixNano()
	return e
}

// decay returns the factor by which a weight shrinks over d.
func (e *Estimator) decay(d time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(e.halfLife))
}

// Add takes one rating. It ignores a repeated request name and a rating that is not a number; a rating outside 0 to 1
// is clipped, and a time in the future counts as now.
func (e *Estimator) Add(s Sample) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if math.IsNaN(s.Rating) {
		e.counters.invalid++
		return
	}
	if s.Request != "" && e.repeated(s.Request) {
		e.counters.repeated++
		return
	}
	now := e.now()
	if s.At.After(now) {
		s.At = now
	}
	c := e.cell(cellKey{s.WorkKind, s.Target}, now)
	e.age(c, s.At)
	rating := min(max(s.Rating, 0), 1)
	late := c.own.At.Sub(s.At)
	c.own.Moments.add(rating, e.decay(late))
	c.fast.scale(1 - 1/fastRatings)
	c.fast.add(rating, 1)
	c.own.Sequence++
	c.used = now
	e.counters.added++
	if changed(&c.fast, &c.own.Moments) {
		c.own.Moments = c.fast
		c.changes++
		e.counters.restarts++
		e.doubt(s)
	}
}

// doubt lowers the weight of the other kinds of a target that has changed for one kind: a version that degrades usually
// does so for every kind, and the kind with the most ratings shows it first.
func (e *Estimator) doubt(s Sample) {
	for k, c := range e.cells {
		if k.target == s.Target && k.kind != s.WorkKind {
			c.own.Moments.scale(doubtFactor)
			c.changes++
			c.own.Sequence++
		}
	}
}

// age brings the weights of c forward to at; an earlier time changes nothing.
func (e *Estimator) age(c *cell, at time.Time) {
	d := at.Sub(c.own.At)
	if d <= 0 {
		return
	}
	if !c.own.At.IsZero() {
		c.own.Moments.scale(e.decay(d))
	}
	c.own.At = at
}

// changed reports whether the recent ratings contradict the long-term ones.
func changed(fast, slow *Moments) bool {
	n, m := fast.effective(), slow.effective()
	if n < changeRatings || m < 2*n {
		return false
	}
	// The larger variance keeps a few rare bad ratings in a row from looking like a change.
	deviation := math.Sqrt(max(slow.variance(), fast.variance()) * (1/n + 1/m))
	return math.Abs(fast.Sum/fast.Weight-slow.Sum/slow.Weight) > changeDeviations*deviation
}

func (e *Estimator) repeated(r identifier.Request) bool {
	h := xxhash.Sum64String(string(r))
	if _, ok := e.seen[h]; ok {
		return true
	}
	if len(e.seenRing) < maxSeen {
		e.seenRing = append(e.seenRing, h)
	} else {
		delete(e.seen, e.seenRing[e.seenNext])
		e.seenRing[e.seenNext] = h
		e.seenNext = (e.seenNext + 1) % maxSeen
	}
	e.seen[h] = struct{}{}
	return false
}

// cell returns the cell of k and evicts the least recently changed one when a new one is needed beyond the limit.
func (e *Estimator) cell(k cellKey, now time.Time) *cell {
	if c, ok := e.cells[k]; ok {
		return c
	}
	if len(e.cells) >= e.maxCells {
		var oldest cellKey
		first := true
		for key, c := range e.cells {
			if first || c.used.Before(e.cells[oldest].used) {
				oldest, first = key, false
			}
		}
		delete(e.cells, oldest)
		e.counters.evicted++
	}
	c := &cell{used: now, sources: map[identifier.Instance]Summary{}}
	c.own.Source, c.own.Incarnation, c.own.WorkKind, c.own.Target = e.source, e.incarnation, k.kind, k.target
	e.cells[k] = c
	return c
}

// total returns the evidence of all sources, aged to now.
func (e *Estimator) total(k cellKey) Moments {
	var m Moments
	c, ok := e.cells[k]
	if !ok {
		return m
	}
	now := e.now()
	m.merge(&c.own.Moments, e.decay(max(0, now.Sub(c.own.At))))
	// A fixed order of addition keeps the floating-point sum the same from run to run.
	names := make([]identifier.Instance, 0, len(c.sources))
	for name := range c.sources {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s := c.sources[name]
		m.merge(&s.Moments, e.decay(max(0, now.Sub(s.At))))
	}
	return m
}

// Quality returns the expected rating of an answer, the standard deviation of that expectation, and the aged weight
// of the ratings behind it; without ratings it returns the prior with its deviation and 0.
func (e *Estimator) Quality(k identifier.WorkKind, t identifier.Target) (mean, deviation, n float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.total(cellKey{k, t})
	// The weight, unlike the effective number, shrinks without new ratings, so that the uncertainty grows again.
	n = m.Weight
	return m.mean(e.prior(t)), math.Sqrt(m.variance() / (priorWeight + n)), n
}

// QualityChanges returns how often the quality of t for k has been assumed to have changed; estimates before and after a change are
// of different qualities.
func (e *Estimator) QualityChanges(k identifier.WorkKind, t identifier.Target) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c, ok := e.cells[cellKey{k, t}]; ok {
		return c.changes
	}
	return 0
}

// ShareBelow returns the share of answers rated below threshold and the mean rating of the others, to the accuracy of a
// histogram bucket. Without ratings it returns 1 and 0, so that nothing relies on an unknown distribution.
func (e *Estimator) ShareBelow(k identifier.WorkKind, t identifier.Target, threshold float64) (share, meanAbove float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.total(cellKey{k, t})
	if m.Weight == 0 {
		return 1, 0
	}
	edge := min(max(int(math.Round(threshold*Buckets)), 0), Buckets)
	// The exact sum less the middles of the buckets below is more accurate than the middles of the many above.
	below, sum := 0.0, m.Sum
	for i, w := range m.Histogram[:edge] {
		below += w
		sum -= w * (float64(i) + 0.5) / Buckets
	}
	above := m.Weight - below
	if above < m.Weight*1e-9 {
		return 1, 0
	}
	return below / m.Weight, min(sum/above, 1)
}

// Export returns this instance's own counts, ordered by kind and target.
func (e *Estimator) Export() []Summary {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make([]Summary, 0, len(e.cells))
	for _, c := range e.cells {
		if c.own.Sequence > 0 {
			counts = append(counts, c.own)
		}
	}
	slices.SortFunc(counts, func(a, b Summary) int {
		return cmp.Or(strings.Compare(string(a.WorkKind), string(b.WorkKind)),
			strings.Compare(a.Target.String(), b.Target.String()))
	})
	return counts
}

// Merge takes counts of other instances. Per source only the newest count is kept, so that a repeated, reordered or
// relayed count changes nothing; counts of this instance and sources beyond the limit are ignored.
func (e *Estimator) Merge(counts []Summary) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for i := range counts {
		in := &counts[i]
		if in.Source == e.source || in.Moments.Weight < 0 || math.IsNaN(in.Moments.Sum) {
			continue
		}
		c := e.cell(cellKey{in.WorkKind, in.Target}, now)
		old, known := c.sources[in.Source]
		if known && !in.newer(&old) || !known && len(c.sources) >= e.maxSources {
			e.counters.stale++
			continue
		}
		c.sources[in.Source] = *in
		c.used = now
		e.counters.merged++
	}
}

// Counters returns monotonic counters.
func (e *Estimator) Counters() map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]int64{
		"ratings-added": e.counters.added, "ratings-repeated": e.counters.repeated,
		"ratings-invalid": e.counters.invalid, "counts-merged": e.counters.merged,
		"counts-stale": e.counters.stale, "estimates-restarted": e.counters.restarts,
		"estimates-evicted": e.counters.evicted,
	}
}

// Estimate is one row of the state dump.
type Estimate struct {
	WorkKind  identifier.WorkKind `json:"work-kind"`
	Target    identifier.Target   `json:"target"`
	Mean      float64             `json:"mean"`
	Deviation float64             `json:"deviation"`
	Ratings   float64             `json:"ratings"`
	Sources   int                 `json:"sources"`
}

// State returns []Estimate, ordered by kind and target.
func (e *Estimator) State() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	rows := make([]Estimate, 0, len(e.cells))
	for k, c := range e.cells {
		m := e.total(k)
		rows = append(rows, Estimate{
			WorkKind: k.kind, Target: k.target, Mean: m.mean(e.prior(k.target)),
			Deviation: math.Sqrt(m.variance() / (priorWeight + m.Weight)), Ratings: m.Weight,
			Sources: len(c.sources),
		})
	}
	slices.SortFunc(rows, func(a, b Estimate) int {
		return cmp.Or(strings.Compare(string(a.WorkKind), string(b.WorkKind)),
			strings.Compare(a.Target.String(), b.Target.String()))
	})
	return rows
}
