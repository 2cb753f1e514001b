package estimator

import (
	"math"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// Buckets is the number of equal intervals of the rating histogram.
const Buckets = 20

// Summary is the evidence of one source instance about one target and kind of work. Weights halve every half-life, so
// that a count is only comparable with another one after both have been aged to the same time.
type Summary struct {
	Source identifier.Instance `json:"source"`
	// Incarnation is the start time of the source in nanoseconds; a restarted source replaces its earlier counts.
	Incarnation int64 `json:"incarnation"`
	// Sequence grows with each change of the count within one incarnation.
	Sequence uint64              `json:"sequence"`
	WorkKind identifier.WorkKind `json:"work-kind"`
	Target   identifier.Target   `json:"target"`
	At       time.Time           `json:"at"`
	Moments  Moments             `json:"moments"`
}

// newer reports whether c supersedes o of the same source.
func (c *Summary) newer(o *Summary) bool {
	if c.Incarnation != o.Incarnation {
		return c.Incarnation > o.Incarnation
	}
	return c.Sequence > o.Sequence
}

// Moments are weighted sums over ratings.
type Moments struct {
	Weight        float64          `json:"weight"`
	WeightSquares float64          `json:"weight-squares"`
	Sum           float64          `json:"sum"`
	SumSquares    float64          `json:"sum-squares"`
	Histogram     [Buckets]float64 `json:"histogram"`
}

func (m *Moments) scale(f float64) {
	m.Weight *= f
	m.WeightSquares *= f * f
	m.Sum *= f
	m.SumSquares *= f
	for i := range m.Histogram {
		m.Histogram[i] *= f
	}
}

// merge adds o scaled by f.
func (m *Moments) merge(o *Moments, f float64) {
	m.Weight += o.Weight * f
	m.WeightSquares += o.WeightSquares * f * f
	m.Sum += o.Sum * f
	m.SumSquares += o.SumSquares * f
	for i := range m.Histogram {
		m.Histogram[i] += o.Histogram[i] * f
	}
}

func (m *Moments) add(rating, w float64) {
	m.Weight += w
	m.WeightSquares += w * w
	m.Sum += rating * w
	m.SumSquares += rating * rating * w
	m.Histogram[min(int(rating*Buckets), Buckets-1)] += w
}

// effective returns the number of equally weighted ratings that carry the same information.
func (m *Moments) effective() float64 {
	if m.WeightSquares == 0 {
		return 0
	}
	return m.Weight * m.Weight / m.WeightSquares
}

// mean returns the posterior mean when the prior counts as priorWeight ratings.
func (m *Moments) mean(prior float64) float64 {
	return (priorWeight*prior + m.Sum) / (priorWeight + m.Weight)
}

// variance returns the variance of one rating, with the prior variance as priorWeight ratings.
func (m *Moments) variance() float64 {
	v := 0.0
	if m.Weight > 0 {
		mean := m.Sum / m.Weight
		v = math.Max(0, m.SumSquares-m.Weight*mean*mean)
	}
	return (priorWeight*priorVariance + v) / (priorWeight + m.Weight)
}
