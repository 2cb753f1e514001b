package estimator

import (
	"math"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// Buckets is the number of equal intervals of the rating histogram.
const Buckets = 20

// Summary holds the weighted ratings that one source instance has of one target and kind of work. Weights halve every
// half-life, so that two summaries are only comparable after both have been decayed to the same time.
type Summary struct {
	Source identifier.Instance `json:"source"`
	// Incarnation is the start time of the source in nanoseconds; a restarted source replaces its earlier
	// summaries.
	Incarnation int64 `json:"incarnation"`
	// Sequence grows with each change of the summary within one incarnation.
	Sequence uint64              `json:"sequence"`
	WorkKind identifier.WorkKind `json:"work-kind"`
	Target   identifier.Target   `json:"target"`
	// At is the time to which the weights have been decayed.
	At      time.Time `json:"at"`
	Moments Moments   `json:"moments"`
}

// supersedes reports whether s is newer than other, which is of the same source.
func (s *Summary) supersedes(other *Summary) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation > other.Incarnation
	}
	return s.Sequence > other.Sequence
}

// Moments holds weighted sums over ratings: the moments of their distribution and its histogram.
type Moments struct {
	Weight        float64          `json:"weight"`
	WeightSquares float64          `json:"weight-squares"`
	Sum           float64          `json:"sum"`
	SumSquares    float64          `json:"sum-squares"`
	Histogram     [Buckets]float64 `json:"histogram"`
}

// scale multiplies the weight of all ratings by factor.
func (m *Moments) scale(factor float64) {
	m.Weight *= factor
	m.WeightSquares *= factor * factor
	m.Sum *= factor
	m.SumSquares *= factor
	for i := range m.Histogram {
		m.Histogram[i] *= factor
	}
}

// merge adds other with its weights multiplied by factor.
func (m *Moments) merge(other *Moments, factor float64) {
	m.Weight += other.Weight * factor
	m.WeightSquares += other.WeightSquares * factor * factor
	m.Sum += other.Sum * factor
	m.SumSquares += other.SumSquares * factor
	for i := range m.Histogram {
		m.Histogram[i] += other.Histogram[i] * factor
	}
}

// add adds one rating with the given weight.
func (m *Moments) add(rating, weight float64) {
	m.Weight += weight
	m.WeightSquares += weight * weight
	m.Sum += rating * weight
	m.SumSquares += rating * rating * weight
	m.Histogram[min(int(rating*Buckets), Buckets-1)] += weight
}

// effectiveCount returns the number of equally weighted ratings that would carry the same information.
func (m *Moments) effectiveCount() float64 {
	if m.WeightSquares == 0 {
		return 0
	}
	return m.Weight * m.Weight / m.WeightSquares
}

// mean returns the posterior mean, in which the prior counts as priorWeight ratings.
func (m *Moments) mean(prior float64) float64 {
	return (priorWeight*prior + m.Sum) / (priorWeight + m.Weight)
}

// variance returns the variance of one rating, in which the prior variance counts as priorWeight ratings.
func (m *Moments) variance() float64 {
	v := 0.0
	if m.Weight > 0 {
		mean := m.Sum / m.Weight
		v = math.Max(0, m.SumSquares-m.Weight*mean*mean)
	}
	return (priorWeight*priorVariance + v) / (priorWeight + m.Weight)
}
