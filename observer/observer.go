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
	// EntryInterval is the time between two batches of an entry per live entry of its data centre, so that a relay receives
	// one batch per EntryInterval: with 33 entries each sends every 33 s.
	EntryInterval = time.Second
	// RelayInterval is the time between two batches of a relay per data centre, so that the lease holder receives one batch
	// per RelayInterval: with 10 data centres each relay sends every 10 s.
	RelayInterval = time.Second
	// maxPending bounds the observations that wait at an entry or at a relay, and those of one batch.
	maxPending = 2048
)

// View is what an observer needs to know of the membership.
type View struct {
	// Relay is the entry that collects the observations of the own data centre.
	Relay identifier.Instance
	// Entries is the number of live entries of the own data centre, and DataCentres that of data centres with live entries.
	Entries, DataCentres int
}

// Observer samples what one entry observes, and is the relay of its data centre while View names it. It is safe for
// concurrent use; one goroutine calls Step.
type Observer struct {
	self    identifier.Instance
	current func() *configurer.Configuration
	view    func() View
	holder  func(context.Context) (identifier.Instance, error)
	send    func(identifier.Instance, Batch) error
	judge   func(promoter.Observation)
	now     func() time.Time
	sample  *Sampler

	own, relayed    *buffer.Ring[promoter.Observation]
	sendAt, relayAt time.Time

	observed, sent, received, dropped atomic.Int64
}

// Option changes an observer at construction.
type Option func(*Observer)

// WithConfiguration sets the configuration whose candidates are observed.
func WithConfiguration(current func() *configurer.Configuration) Option {
	return func(o *Observer) { o.current = current }
}

// WithView sets the source of the membership.
func WithView(view func() View) Option { return func(o *Observer) { o.view = view } }

// WithLeaseHolder sets how a relay finds the holder of the roll-out lease.
func WithLeaseHolder(holder func(context.Context) (identifier.Instance, error)) Option {
	return func(o *Observer) { o.holder = holder }
}

// WithSend sets how a batch is handed to the connection of a peer; it must not block.
func WithSend(send func(identifier.Instance, Batch) error) Option {
	return func(o *Observer) { o.send = send }
}

// WithDeliver sets what takes the observations at the lease holder.
func WithDeliver(judge func(promoter.Observation)) Option {
	return func(o *Observer) { o.judge = judge }
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(o *Observer) { o.now = now } }

// New returns the observer of the entry self; entries returns the number of live entries of the deployment.
func New(self identifier.Instance, entries func() int, opts ...Option) *Observer {
	o := &Observer{
		self: self, now: time.Now, sample: NewSampler(ObservationRate, entries),
		own: buffer.NewRing[promoter.Observation](maxPending), relayed: buffer.NewRing[promoter.Observation](maxPending),
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Observe queues the observation of an ended attempt if its model has a candidate and the sample admits it.
func (o *Observer) Observe(x promoter.Observation) {
	if o.isOpen(x.Target.Model) && o.sample.Allow(o.now()) {
		o.queue(o.own, x)
	}
}

// ObserveRating queues a rating if its model has a candidate. The answers to be rated were already sampled over all entries, while
// one entry fetches all ratings, so its own part of the sample would leave 0.06 ratings/s of 10 at 330 entries.
func (o *Observer) ObserveRating(x promoter.Observation) {
	if o.isOpen(x.Target.Model) {
		o.queue(o.own, x)
	}
}

// isOpen reports whether a roll-out of the model waits for a decision; promoter ignores all other models.
func (o *Observer) isOpen(name identifier.Model) bool {
	m := o.current().Model(name)
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

// queue drops what does not fit: that is evidence lost, never evidence invented.
func (o *Observer) queue(r *buffer.Ring[promoter.Observation], x promoter.Observation) {
	if r.Offer(x) != nil {
		o.dropped.Add(1)
		return
	}
	o.observed.Add(1)
}

// Receive takes a batch of a peer. A batch that another relay has sent goes to the judge even if this process does not hold
// the lease any more, so that two relays with different views never pass a batch to and fro.
func (o *Observer) Receive(b Batch) error {
	list, err := b.Unpack(o.now())
	if err != nil {
		return fmt.Errorf("observer: receive: %w", err)
	}
	o.received.Add(1)
	for _, x := range list {
		if b.Relayed {
			o.judge(x)
		} else {
			o.queue(o.relayed, x)
		}
	}
	return nil
}

// Step sends what is due to the relay, and as a relay to the lease holder.
func (o *Observer) Step(ctx context.Context) {
	now := o.now()
	sendDue, relayDue := !now.Before(o.sendAt), !now.Before(o.relayAt)
	if !sendDue && !relayDue {
		return
	}
	v := o.view()
	if sendDue {
		o.sendAt = now.Add(max(StepInterval, time.Duration(v.Entries)*EntryInterval))
		o.forward(v.Relay)
	}
	if relayDue {
		o.relayAt = now.Add(max(StepInterval, time.Duration(v.DataCentres)*RelayInterval))
		o.relay(ctx)
	}
}

// forward hands the own observations to the relay.
func (o *Observer) forward(relay identifier.Instance) {
	list := drain(o.own)
	if relay == o.self {
		for _, x := range list {
			o.queue(o.relayed, x)
		}
		return
	}
	o.tell(relay, Pack(list))
}

// relay hands the observations of the data centre to the lease holder; they wait while it is not known.
func (o *Observer) relay(ctx context.Context) {
	if o.relayed.Len() == 0 {
		return
	}
	holder, err := o.holder(ctx)
	if err != nil {
		return
	}
	list := drain(o.relayed)
	if holder == o.self {
		for _, x := range list {
			o.judge(x)
		}
		return
	}
	b := Pack(list)
	b.Relayed = true
	o.tell(holder, b)
}

// tell sends a batch; lost observations slow a roll-out down, they do not mislead it.
func (o *Observer) tell(to identifier.Instance, b Batch) {
	if len(b.SeriesIndex) == 0 {
		return
	}
	if o.send(to, b) != nil {
		o.dropped.Add(int64(len(b.SeriesIndex)))
		return
	}
	o.sent.Add(1)
}

func drain(r *buffer.Ring[promoter.Observation]) []promoter.Observation {
	n := r.Len()
	list := make([]promoter.Observation, 0, n)
	for range n {
		// The caller is the only consumer, so a value that Len counts is there and Take does not wait.
		x, err := r.Take(context.Background())
		if err != nil {
			break
		}
		list = append(list, x)
	}
	return list
}

// Counters returns the numbers of observations queued and dropped and of batches sent and received.
func (o *Observer) Counters() map[string]int64 {
	return map[string]int64{
		"observed": o.observed.Load(), "dropped": o.dropped.Load(),
		"batches-sent": o.sent.Load(), "batches-received": o.received.Load(),
	}
}

// State is the state dump of an observer: observations that wait for the relay and, at a relay, for the lease holder.
type State struct {
	Own     int `json:"own"`
	Relayed int `json:"relayed"`
}

// State returns a Waiting.
func (o *Observer) State() any { return State{Own: o.own.Len(), Relayed: o.relayed.Len()} }
