package forwarder

import (
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/selector"
)

// queueing holds the measures by which answers of smaller models are accepted at the engines of one service.
type queueing struct {
	selector.Pressure
	headroom *selector.Headroom
}

// queueingOf returns the measures of a service.
func (f *Forwarder) queueingOf(s identifier.Service) *queueing {
	if x, ok := f.queues.Load(s); ok {
		return x.(*queueing)
	}
	x, _ := f.queues.LoadOrStore(s, &queueing{headroom: selector.NewHeadroom()})
	return x.(*queueing)
}

// observeFirstDelay records whether the first event of a request came well within the latency target of its route. Only requests for
// which the system chooses the model count; a target of 0 leaves the headroom at 1.
func (f *Forwarder) observeFirstDelay(q *request, took time.Duration) {
	if !q.anyModel || q.route.LatencyTarget <= 0 {
		return
	}
	q.wasAtRisk = selector.IsAtRisk(took, q.route.LatencyTarget)
	f.queueingOf(q.service).headroom.Observe(q.wasAtRisk)
}

// observeEventPause records a pause between events that comes close to the longest one that the route allows, once for each request.
func (f *Forwarder) observeEventPause(q *request, pause time.Duration) {
	if !q.anyModel || q.wasAtRisk || !selector.IsPauseAtRisk(pause, q.route.EventGap) {
		return
	}
	q.wasAtRisk = true
	f.queueingOf(q.service).headroom.Observe(true)
}

// effectivePressure returns the pressure on the engines of a service in view of the headroom that answers have.
func (x *queueing) effectivePressure(now time.Time) float64 {
	return x.Value(now) / x.headroom.Factor()
}

// headrooms returns the headroom of each service, and the number of answers at risk of all.
func (f *Forwarder) headrooms() (factors map[identifier.Service]float64, atRisk int64) {
	factors = map[identifier.Service]float64{}
	f.queues.Range(func(s, x any) bool {
		h := x.(*queueing).headroom
		factors[s.(identifier.Service)] = h.Factor()
		atRisk += h.AtRisk()
		return true
	})
	return factors, atRisk
}
