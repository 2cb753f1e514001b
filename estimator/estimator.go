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
	// priorWeight is the number of ratings that the configured prior quality counts as; a weak prior lets a few dozen
	// ratings correct a wrong setting.
	priorWeight = 4.0
	// priorVariance is the assumed variance of one rating before any rating has arrived.
	priorVariance = 0.0625
	// recentRatings is the number of ratings over which the change detector averages. It counts ratings instead of time, so
	// that a rarely used version is judged on as many of them as a busy one.
	recentRatings = 60.0
	// changeStandardErrors is the difference between the recent and the long-term mean, in standard errors, above which the
	// long-term estimate restarts from the recent ratings. At 4 a false restart happens about once in 10^6 ratings.
	changeStandardErrors = 4.0
	// minChangeRatings is the effective number of recent ratings that the detection of a change requires.
	minChangeRatings = 10.0
	// otherKindsFactor is the share of their weight that a version's ratings for other kinds of work keep when a change is
	// detected for one kind.
	otherKindsFactor = 0.2
	// maxSeenRequests limits the request IDs that are remembered to recognise a rating that is delivered twice.
	maxSeenRequests = 8192
)

// Sample is the rating, from 0 to 1, of an answer that was given at At.
type Sample struct {
	WorkKind identifier.WorkKind
	Target   identifier.Target
	Rating   float64
	At       time.Time
	Request  identifier.Request
}

type estimateKey struct {
	kind   identifier.WorkKind
	target identifier.Target
}

// estimate holds the ratings of one target for one kind of work.
type estimate struct {
	// own holds the ratings that were added at this instance.
	own Summary
	// recent holds the latest of them, with weights that decay per rating instead of over time.
	recent Moments
	// changes counts the restarts of this estimate and those of the target's other kinds that lowered its weight.
	changes int64
	// sources holds the latest summary of each other instance.
	sources map[identifier.Instance]Summary
	// changedAt is the time of the last rating or merge; the estimate with the earliest one is evicted first.
	changedAt time.Time
}

// Estimator estimates quality from its own ratings and those of other instances. It is safe for concurrent use.
type Estimator struct {
	now          func() time.Time
	prior        func(identifier.Target) float64
	self         identifier.Instance
	halfLife     time.Duration
	maxEstimates int
	maxSources   int
	incarnation  int64

	mu        sync.Mutex
	estimates map[estimateKey]*estimate
	seen      map[uint64]struct{}
	seenRing  []uint64
	seenNext  int
	counters  struct{ added, repeated, invalid, merged, stale, restarts, evicted int64 }
}

// Option configures an Estimator.
type Option func(*Estimator)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(e *Estimator) { e.now = now } }

// WithPrior sets the quality that is assumed before any rating has arrived; the default is 0.5 for every target.
func WithPrior(prior func(identifier.Target) float64) Option {
	return func(e *Estimator) { e.prior = prior }
}

// WithSelf sets the name of this instance, which is the source of the exported summaries.
func WithSelf(name identifier.Instance) Option { return func(e *Estimator) { e.self = name } }

// WithHalfLife sets the time in which the weight of a rating halves.
func WithHalfLife(d time.Duration) Option { return func(e *Estimator) { e.halfLife = d } }

// WithLimits limits the number of estimates, one per pair of kind and target, and the sources per estimate.
func WithLimits(estimates, sources int) Option {
	return func(e *Estimator) { e.maxEstimates, e.maxSources = estimates, sources }
}

// New returns an empty estimator with a half-life of 36 hours.
func New(opts ...Option) *Estimator {
	e := &Estimator{
		now: time.Now, prior: func(identifier.Target) float64 { return 0.5 },
		halfLife: 36 * time.Hour, maxEstimates: 4096, maxSources: 64,
		estimates: map[estimateKey]*estimate{}, seen: map[uint64]struct{}{},
	}
	for _, o := range opts {
		o(e)
	}
	e.incarnation = e.now().UnixNano()
	return e
}

// decayFactor returns the factor by which a weight decays over d.
func (e *Estimator) decayFactor(d time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(e.halfLife))
}

// Add adds one rating. It ignores a rating whose request ID was seen before or that is not a number. A rating outside 0 to 1
// is clipped, and a time in the future counts as now.
func (e *Estimator) Add(s Sample) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if math.IsNaN(s.Rating) {
		e.counters.invalid++
		return
	}
	if s.Request != "" && e.markSeen(s.Request) {
		e.counters.repeated++
		return
	}
	now := e.now()
	if s.At.After(now) {
		s.At = now
	}
	est := e.findOrAdd(estimateKey{s.WorkKind, s.Target}, now)
	e.decayTo(est, s.At)
	rating := min(max(s.Rating, 0), 1)
	lateness := est.own.At.Sub(s.At)
	est.own.Moments.add(rating, e.decayFactor(lateness))
	est.recent.scale(1 - 1/recentRatings)
	est.recent.add(rating, 1)
	est.own.Sequence++
	est.changedAt = now
	e.counters.added++
	if qualityChanged(&est.recent, &est.own.Moments) {
		est.own.Moments = est.recent
		est.changes++
		e.counters.restarts++
		e.discountOtherKinds(s)
	}
}

// discountOtherKinds lowers the weight of the other kinds of a target that has changed for one kind, because a version that
// degrades usually does so for every kind, and the kind with the most ratings shows it first.
func (e *Estimator) discountOtherKinds(s Sample) {
	for k, est := range e.estimates {
		if k.target == s.Target && k.kind != s.WorkKind {
			est.own.Moments.scale(otherKindsFactor)
			est.changes++
			est.own.Sequence++
		}
	}
}

// decayTo decays the weights of est to the time at; an earlier time than that of the last decay changes nothing.
func (e *Estimator) decayTo(est *estimate, at time.Time) {
	d := at.Sub(est.own.At)
	if d <= 0 {
		return
	}
	if !est.own.At.IsZero() {
		est.own.Moments.scale(e.decayFactor(d))
	}
	est.own.At = at
}

// qualityChanged reports whether the mean of the recent ratings differs significantly from that of the long-term ones.
func qualityChanged(recent, longTerm *Moments) bool {
	recentCount, longTermCount := recent.effectiveCount(), longTerm.effectiveCount()
	if recentCount < minChangeRatings || longTermCount < 2*recentCount {
		return false
	}
	// The larger of the two variances keeps a few rare bad ratings in a row from being taken for a change.
	standardError := math.Sqrt(max(longTerm.variance(), recent.variance()) * (1/recentCount + 1/longTermCount))
	return math.Abs(recent.Sum/recent.Weight-longTerm.Sum/longTerm.Weight) > changeStandardErrors*standardError
}

// markSeen remembers the request and reports whether it was already known. Beyond maxSeenRequests it forgets the oldest one.
func (e *Estimator) markSeen(r identifier.Request) bool {
	hash := xxhash.Sum64String(string(r))
	if _, ok := e.seen[hash]; ok {
		return true
	}
	if len(e.seenRing) < maxSeenRequests {
		e.seenRing = append(e.seenRing, hash)
	} else {
		delete(e.seen, e.seenRing[e.seenNext])
		e.seenRing[e.seenNext] = hash
		e.seenNext = (e.seenNext + 1) % maxSeenRequests
	}
	e.seen[hash] = struct{}{}
	return false
}

// findOrAdd returns the estimate of k. If there is none, it adds one, and at the limit evicts the least recently changed.
func (e *Estimator) findOrAdd(k estimateKey, now time.Time) *estimate {
	if est, ok := e.estimates[k]; ok {
		return est
	}
	if len(e.estimates) >= e.maxEstimates {
		var leastRecent estimateKey
		first := true
		for key, est := range e.estimates {
			if first || est.changedAt.Before(e.estimates[leastRecent].changedAt) {
				leastRecent, first = key, false
			}
		}
		delete(e.estimates, leastRecent)
		e.counters.evicted++
	}
	est := &estimate{changedAt: now, sources: map[identifier.Instance]Summary{}}
	est.own.Source, est.own.Incarnation, est.own.WorkKind, est.own.Target = e.self, e.incarnation, k.kind, k.target
	e.estimates[k] = est
	return est
}

// total returns the combined ratings of all sources, decayed to now.
func (e *Estimator) total(k estimateKey) Moments {
	var m Moments
	est, ok := e.estimates[k]
	if !ok {
		return m
	}
	now := e.now()
	m.merge(&est.own.Moments, e.decayFactor(max(0, now.Sub(est.own.At))))
	// A fixed order of addition makes the floating-point sum reproducible.
	names := make([]identifier.Instance, 0, len(est.sources))
	for name := range est.sources {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s := est.sources[name]
		m.merge(&s.Moments, e.decayFactor(max(0, now.Sub(s.At))))
	}
	return m
}

// Quality returns the expected rating of an answer, the standard deviation of that expectation, and the decayed weight of
// the ratings behind it. Without ratings it returns the prior with its deviation, and 0.
func (e *Estimator) Quality(k identifier.WorkKind, t identifier.Target) (mean, deviation, n float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.total(estimateKey{k, t})
	// Unlike the effective number of ratings, the weight shrinks without new ratings, so that the uncertainty grows again.
	n = m.Weight
	return m.mean(e.prior(t)), math.Sqrt(m.variance() / (priorWeight + n)), n
}

// QualityChanges returns how often a change in the quality of t for k has been assumed; estimates from before and after a
// change are of different qualities.
func (e *Estimator) QualityChanges(k identifier.WorkKind, t identifier.Target) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if est, ok := e.estimates[estimateKey{k, t}]; ok {
		return est.changes
	}
	return 0
}

// ShareBelow returns the share of answers rated below threshold and the mean rating of the others, to the accuracy of a
// histogram bucket. Without ratings it returns 1 and 0, so that no caller relies on an unknown distribution.
func (e *Estimator) ShareBelow(k identifier.WorkKind, t identifier.Target, threshold float64) (share, meanAbove float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.total(estimateKey{k, t})
	if m.Weight == 0 {
		return 1, 0
	}
	firstAbove := min(max(int(math.Round(threshold*Buckets)), 0), Buckets)
	// Subtracting the midpoints of the buckets below from the exact sum is more accurate than adding the midpoints of the
	// many buckets above.
	below, sum := 0.0, m.Sum
	for i, w := range m.Histogram[:firstAbove] {
		below += w
		sum -= w * (float64(i) + 0.5) / Buckets
	}
	above := m.Weight - below
	if above < m.Weight*1e-9 {
		return 1, 0
	}
	return below / m.Weight, min(sum/above, 1)
}

// Export returns the summaries of this instance's own ratings, ordered by kind and target.
func (e *Estimator) Export() []Summary {
	e.mu.Lock()
	defer e.mu.Unlock()
	summaries := make([]Summary, 0, len(e.estimates))
	for _, est := range e.estimates {
		if est.own.Sequence > 0 {
			summaries = append(summaries, est.own)
		}
	}
	slices.SortFunc(summaries, func(a, b Summary) int {
		return cmp.Or(strings.Compare(string(a.WorkKind), string(b.WorkKind)),
			strings.Compare(a.Target.String(), b.Target.String()))
	})
	return summaries
}

// Merge takes summaries of other instances. Per source it keeps only the newest one, so that a repeated, reordered or
// relayed summary changes nothing. Summaries of this instance and of sources beyond the limit are ignored.
func (e *Estimator) Merge(summaries []Summary) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for i := range summaries {
		incoming := &summaries[i]
		if incoming.Source == e.self || incoming.Moments.Weight < 0 || math.IsNaN(incoming.Moments.Sum) {
			continue
		}
		est := e.findOrAdd(estimateKey{incoming.WorkKind, incoming.Target}, now)
		old, known := est.sources[incoming.Source]
		if known && !incoming.supersedes(&old) || !known && len(est.sources) >= e.maxSources {
			e.counters.stale++
			continue
		}
		est.sources[incoming.Source] = *incoming
		est.changedAt = now
		e.counters.merged++
	}
}

// Counters returns the monotonic counters by name.
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

// EstimateRow is one row of the state dump.
type EstimateRow struct {
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
	rows := make([]EstimateRow, 0, len(e.estimates))
	for k, est := range e.estimates {
		m := e.total(k)
		rows = append(rows, EstimateRow{
			WorkKind: k.kind, Target: k.target, Mean: m.mean(e.prior(k.target)),
			Deviation: math.Sqrt(m.variance() / (priorWeight + m.Weight)), Ratings: m.Weight,
			Sources: len(est.sources),
		})
	}
	slices.SortFunc(rows, func(a, b EstimateRow) int {
		return cmp.Or(strings.Compare(string(a.WorkKind), string(b.WorkKind)),
			strings.Compare(a.Target.String(), b.Target.String()))
	})
	return rows
}
