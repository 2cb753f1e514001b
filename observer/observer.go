package observer

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/buffer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/promoter"
)

const (
	// StepInterval is the time between two calls of Step.
	StepInterval = time.Second
	// IntervalPerEntry times the number of live entries of the data centre is the time between two batches of an entry, so that a
	// relay receives one batch per IntervalPerEntry: with 33 entries, each sends every 33 s.
	IntervalPerEntry = time.Second
	// IntervalPerDataCentre times the number of data centres with live entries is the time between two batches of a relay, so that the
	// lease holder receives one batch per IntervalPerDataCentre: with 10 data centres, each relay sends every 10 s.
	IntervalPerDataCentre = time.Second
	// maxPendingObservations bounds each queue of observations at an entry or relay, and the observations in one batch.
	maxPendingObservations = 2048
)

// View is the part of the membership that an observer uses.
type View struct {
	// Relay is the entry that collects the observations of the local data centre.
	Relay identifier.Instance
	// Entries is the number of live entries in the local data centre, and DataCentres that of data centres with live entries.
	Entries, DataCentres int
}

// Observer samples and sends the observations of one entry, and acts as the relay of its data centre while View.Relay names the
// entry. It is safe for concurrent use, but only one goroutine may call Step.
type Observer struct {
	self          identifier.Instance
	configuration func() *configurer.Configuration
	view          func() View
	leaseHolder   func(context.Context) (identifier.Instance, error)
	send          func(identifier.Instance, Batch) error
	deliver       func(promoter.Observation)
	now           func() time.Time
	sampler       *Sampler

	// ownQueue holds the entry's own observations for the relay; relayQueue holds those that it collects as the relay.
	ownQueue, relayQueue    *buffer.Ring[promoter.Observation]
	nextSendAt, nextRelayAt time.Time

	observed, batchesSent, batchesReceived, dropped atomic.Int64
}

// Option configures an observer.
type Option func(*Observer)

// WithConfiguration sets the source of the configuration, whose candidates are observed.
func WithConfiguration(configuration func() *configurer.Configuration) Option {
	return func(o *Observer) { o.configuration = configuration }
}

// WithView sets the source of the membership view.
func WithView(view func() View) Option { return func(o *Observer) { o.view = view } }

// WithLeaseHolder sets the function that looks up the holder of the roll-out lease.
func WithLeaseHolder(holder func(context.Context) (identifier.Instance, error)) Option {
	return func(o *Observer) { o.leaseHolder = holder }
}

// WithSend sets the function that sends a batch to a peer; it must not block.
func WithSend(send func(identifier.Instance, Batch) error) Option {
	return func(o *Observer) { o.send = send }
}

// WithDeliver sets the function that receives the observations at the lease holder.
func WithDeliver(deliver func(promoter.Observation)) Option {
	return func(o *Observer) { o.deliver = deliver }
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(o *Observer) { o.now = now } }

// New returns the observer of the entry named self; entries returns the number of live entries of the deployment.
func New(self identifier.Instance, entries func() int, opts ...Option) *Observer {
	o := &Observer{
		self: self, now: time.Now, sampler: NewSampler(ObservationRate, entries),
		ownQueue:   buffer.NewRing[promoter.Observation](maxPendingObservations),
		relayQueue: buffer.NewRing[promoter.Observation](maxPendingObservations),
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Observe queues the observation of an ended attempt if its model has a candidate and the sampler passes it.
func (o *Observer) Observe(x promoter.Observation) {
	if o.hasCandidate(x.Target.Model) && o.sampler.Allow(o.now()) {
		o.enqueue(o.ownQueue, x)
	}
}

// ObserveRating queues a rating if its model has a candidate. It doesn't sample: the answers to be rated were already sampled
// across all entries, and one entry fetches all ratings, so one entry's share of the sample rate would pass only 0.06 of
// 10 ratings/s with 330 entries.
func (o *Observer) ObserveRating(x promoter.Observation) {
	if o.hasCandidate(x.Target.Model) {
		o.enqueue(o.ownQueue, x)
	}
}

// hasCandidate reports whether a version of the model is a candidate, so that its roll-out is undecided; promoter ignores
// observations of other models.
func (o *Observer) hasCandidate(name identifier.Model) bool {
	m := o.configuration().Model(name)
	if m == nil {
		return false
	}
	for i := range m.Versions {
		if m.Versions[i].State == configurer.VersionCandidate {
			return true
		}
	}
	return false
}

// enqueue drops the observation if the queue is full. A lost observation only delays the decision on a roll-out; it can't falsify
// the evidence.
func (o *Observer) enqueue(r *buffer.Ring[promoter.Observation], x promoter.Observation) {
	if r.Offer(x) != nil {
		o.dropped.Add(1)
		return
	}
	o.observed.Add(1)
}

// Receive handles a batch from a peer. A batch from a relay is delivered locally even if this process no longer holds the
// lease, so that two relays with different views never forward a batch to each other in turn.
func (o *Observer) Receive(b Batch) error {
	list, err := b.Unpack(o.now())
	if err != nil {
		return fmt.Errorf("observer: receive: %w", err)
	}
	o.batchesReceived.Add(1)
	for _, x := range list {
		if b.Relayed {
			o.deliver(x)
		} else {
			o.enqueue(o.relayQueue, x)
		}
	}
	return nil
}

// Step sends the entry's own observations to the relay and, if the entry is a relay, the collected ones to the lease holder,
// each when due.
func (o *Observer) Step(ctx context.Context) {
	now := o.now()
	sendDue, relayDue := !now.Before(o.nextSendAt), !now.Before(o.nextRelayAt)
	if !sendDue && !relayDue {
		return
	}
	v := o.view()
	if sendDue {
		o.nextSendAt = now.Add(max(StepInterval, time.Duration(v.Entries)*IntervalPerEntry))
		o.sendToRelay(v.Relay)
	}
	if relayDue {
		o.nextRelayAt = now.Add(max(StepInterval, time.Duration(v.DataCentres)*IntervalPerDataCentre))
		o.sendToLeaseHolder(ctx)
	}
}

// sendToRelay sends the entry's own observations to the relay, or queues them for the lease holder if this entry is the relay.
func (o *Observer) sendToRelay(relay identifier.Instance) {
	list := drain(o.ownQueue)
	if relay == o.self {
		for _, x := range list {
			o.enqueue(o.relayQueue, x)
		}
		return
	}
	o.sendBatch(relay, Pack(list))
}

// sendToLeaseHolder sends the observations collected as relay to the lease holder; they stay queued while it is unknown.
func (o *Observer) sendToLeaseHolder(ctx context.Context) {
	if o.relayQueue.Len() == 0 {
		return
	}
	holder, err := o.leaseHolder(ctx)
	if err != nil {
		return
	}
	list := drain(o.relayQueue)
	if holder == o.self {
		for _, x := range list {
			o.deliver(x)
		}
		return
	}
	b := Pack(list)
	b.Relayed = true
	o.sendBatch(holder, b)
}

// sendBatch sends a batch without retries: lost observations delay the decision on a roll-out but don't bias it.
func (o *Observer) sendBatch(to identifier.Instance, b Batch) {
	if len(b.SeriesIndex) == 0 {
		return
	}
	if o.send(to, b) != nil {
		o.dropped.Add(int64(len(b.SeriesIndex)))
		return
	}
	o.batchesSent.Add(1)
}

func drain(r *buffer.Ring[promoter.Observation]) []promoter.Observation {
	n := r.Len()
	list := make([]promoter.Observation, 0, n)
	for range n {
		// The caller is the only consumer, so the values that Len has counted are still there and Take does not block.
		x, err := r.Take(context.Background())
		if err != nil {
			break
		}
		list = append(list, x)
	}
	return list
}

// Counters returns the numbers of observations queued and dropped, and of batches sent and received.
func (o *Observer) Counters() map[string]int64 {
	return map[string]int64{
		"observed": o.observed.Load(), "dropped": o.dropped.Load(),
		"batches-sent": o.batchesSent.Load(), "batches-received": o.batchesReceived.Load(),
	}
}

// State is the state dump of an observer: the numbers of observations queued for the relay and, at a relay, for the lease holder.
type State struct {
	Own     int `json:"own"`
	Relayed int `json:"relayed"`
}

// State returns a State.
func (o *Observer) State() any { return State{Own: o.ownQueue.Len(), Relayed: o.relayQueue.Len()} }
