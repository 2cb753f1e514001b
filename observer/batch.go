package observer

import (
	"errors"
	"math"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/promoter"
)

// errMalformed is returned for a batch whose parts contradict each other.
var errMalformed = errors.New("observer: malformed batch")

// ratingScale is the number of steps into which a rating from 0 to 1 is rounded.
const ratingScale = 1e4

// Metric is what the values of a series measure.
type Metric string

// The metrics of a series.
const (
	// MetricRated has ratings from 0 to 1 as values.
	MetricRated Metric = "rated"
	// MetricSucceeded and MetricFailed have the milliseconds to the first token of ended attempts as values, 0 if unknown.
	MetricSucceeded Metric = "succeeded"
	MetricFailed    Metric = "failed"
	// MetricLatency has the milliseconds to the first token of attempts of which the end is not observed.
	MetricLatency Metric = "latency"
)

// Series is what the values of one target, kind of work and metric have in common.
type Series struct {
	Target   identifier.Target   `json:"target"`
	WorkKind identifier.WorkKind `json:"work-kind,omitempty"`
	Metric   Metric              `json:"metric"`
}

// Batch holds observations in the order in which they were made. The sequential tests of promoter depend on the order in
// which the values of the candidate and of the serving versions alternate, so values are not sorted by series.
type Batch struct {
	// Relayed is set on the way from a relay to the lease holder, which passes the batch on to nobody.
	Relayed bool     `json:"relayed,omitempty"`
	Series  []Series `json:"series"`
	// SeriesIndex holds the index into Series of each value.
	SeriesIndex []int     `json:"order"`
	Values      []float64 `json:"values"`
}

// Pack encodes observations. Latencies are rounded to milliseconds and ratings to 1/10,000; a rating that is not a number is
// left out, as promoter ignores it. The times of the observations are not sent: promoter dates evidence by its arrival.
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
			add(o, MetricRated, math.Round(min(max(o.Rating, 0), 1)*ratingScale)/ratingScale)
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

// milliseconds returns a known latency as at least 1 ms, because 0 means unknown.
func milliseconds(d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	return max(1, math.Round(float64(d)/float64(time.Millisecond)))
}

// Unpack decodes the observations of a batch, dated now. An observation with a rating and an end arrives as two.
func (b *Batch) Unpack(now time.Time) ([]promoter.Observation, error) {
	if len(b.SeriesIndex) != len(b.Values) || len(b.SeriesIndex) > maxPending {
		return nil, errMalformed
	}
	list := make([]promoter.Observation, 0, len(b.SeriesIndex))
	for i, k := range b.SeriesIndex {
		if k < 0 || k >= len(b.Series) {
			return nil, errMalformed
		}
		s := &b.Series[k]
		o := promoter.Observation{Target: s.Target, WorkKind: s.WorkKind, At: now}
		latency := time.Duration(b.Values[i] * float64(time.Millisecond))
		switch s.Metric {
		case MetricRated:
			o.Rated, o.Rating = true, b.Values[i]
		case MetricSucceeded, MetricFailed:
			o.Ended, o.Failed, o.Latency = true, s.Metric == MetricFailed, latency
		case MetricLatency:
			o.Latency = latency
		default:
			return nil, errMalformed
		}
		list = append(list, o)
	}
	return list, nil
}
