package observer

import (
	"errors"
	"math"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/promoter"
)

// errMalformedBatch is returned for a batch that has an unknown metric, indexes out of range, too many values, or not one index
// for each value.
var errMalformedBatch = errors.New("observer: malformed batch")

// ratingSteps is the number of steps to which a rating from 0 to 1 is rounded.
const ratingSteps = 1e4

// Metric says what the values of a series measure.
type Metric string

// The metrics of a series.
const (
	// MetricRating is for ratings from 0 to 1.
	MetricRating Metric = "rated"
	// MetricSucceeded and MetricFailed are for the time to first token of ended attempts in milliseconds, 0 if unknown.
	MetricSucceeded Metric = "succeeded"
	MetricFailed    Metric = "failed"
	// MetricLatency is for the time to first token in milliseconds of attempts whose end is not observed.
	MetricLatency Metric = "latency"
)

// Series identifies the values of one target, work kind and metric.
type Series struct {
	Target   identifier.Target   `json:"target"`
	WorkKind identifier.WorkKind `json:"work-kind,omitempty"`
	Metric   Metric              `json:"metric"`
}

// Batch holds observations in the order in which they were made. The result of promoter's sequential tests depends on how the
// values of the candidate and of the serving versions alternate, so values are not grouped by series.
type Batch struct {
	// Relayed is set by a relay that sends the batch to the lease holder; the receiver must not forward it again.
	Relayed bool     `json:"relayed,omitempty"`
	Series  []Series `json:"series"`
	// SeriesIndex holds, for each value, the index of its series in Series.
	SeriesIndex []int     `json:"order"`
	Values      []float64 `json:"values"`
}

// Pack encodes observations. It rounds latencies to milliseconds and ratings to 1/10,000. It leaves out a rating that is NaN,
// which promoter would ignore, and the times of the observations, because promoter dates evidence by its arrival.
func Pack(list []promoter.Observation) Batch {
	b := Batch{SeriesIndex: make([]int, 0, len(list)), Values: make([]float64, 0, len(list))}
	index := map[Series]int{}
	add := func(o *promoter.Observation, m Metric, value float64) {
		s := Series{Target: o.Target, WorkKind: o.WorkKind, Metric: m}
		i, ok := index[s]
		if !ok {
			i = len(b.Series)
			index[s] = i
			b.Series = append(b.Series, s)
		}
		b.SeriesIndex, b.Values = append(b.SeriesIndex, i), append(b.Values, value)
	}
	for i := range list {
		o := &list[i]
		if o.Rated && !math.IsNaN(o.Rating) {
			add(o, MetricRating, math.Round(min(max(o.Rating, 0), 1)*ratingSteps)/ratingSteps)
		}
		switch {
		case o.Ended && o.Failed:
			add(o, MetricFailed, milliseconds(o.Latency))
		case o.Ended:
			add(o, MetricSucceeded, milliseconds(o.Latency))
		case o.Latency > 0:
			add(o, MetricLatency, milliseconds(o.Latency))
		}
	}
	return b
}

// milliseconds rounds a latency to milliseconds; a known latency gives at least 1, because 0 means unknown.
func milliseconds(d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	return max(1, math.Round(float64(d)/float64(time.Millisecond)))
}

// Unpack decodes the observations of a batch and sets their time to now. An observation that had both a rating and an end
// becomes two observations.
func (b *Batch) Unpack(now time.Time) ([]promoter.Observation, error) {
	if len(b.SeriesIndex) != len(b.Values) || len(b.SeriesIndex) > maxPendingObservations {
		return nil, errMalformedBatch
	}
	list := make([]promoter.Observation, 0, len(b.SeriesIndex))
	for i, k := range b.SeriesIndex {
		if k < 0 || k >= len(b.Series) {
			return nil, errMalformedBatch
		}
		s := &b.Series[k]
		o := promoter.Observation{Target: s.Target, WorkKind: s.WorkKind, At: now}
		latency := time.Duration(b.Values[i] * float64(time.Millisecond))
		switch s.Metric {
		case MetricRating:
			o.Rated, o.Rating = true, b.Values[i]
		case MetricSucceeded, MetricFailed:
			o.Ended, o.Failed, o.Latency = true, s.Metric == MetricFailed, latency
		case MetricLatency:
			o.Latency = latency
		default:
			return nil, errMalformedBatch
		}
		list = append(list, o)
	}
	return list, nil
}
