package observer_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/observer"
	"github.com/siskinfront/siskinfront/promoter"
)

var (
	start            = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	serving          = identifier.Target{Model: "finch", Version: "v1"}
	candidate        = identifier.Target{Model: "finch", Version: "v2"}
	withoutCandidate = identifier.Target{Model: "wren", Version: "v1"}
	errLeaseFree     = errors.New("lease is free")
)

func testConfiguration() *configurer.Configuration {
	return &configurer.Configuration{Models: []configurer.Model{
		{Name: "finch", Versions: []configurer.Version{
			{Name: "v1", State: configurer.VersionServing}, {Name: "v2", State: configurer.VersionCandidate, Exposure: 0.1},
		}},
		{Name: "wren", Versions: []configurer.Version{
			{Name: "v0", State: configurer.VersionWithdrawn}, {Name: "v1", State: configurer.VersionServing},
		}},
	}}
}

// Guards against values that Pack and Unpack lose, change by more than the rounding, or reorder: promoter's sequential tests
// depend on the order in which values of the candidate and of the serving versions alternate.
func TestPackKeepsValuesAndOrder(t *testing.T) {
	targets := []identifier.Target{serving, candidate, withoutCandidate}
	rapid.Check(t, func(t *rapid.T) {
		var list []promoter.Observation
		for range rapid.IntRange(0, 40).Draw(t, "count") {
			o := promoter.Observation{
				Target:   rapid.SampledFrom(targets).Draw(t, "target"),
				WorkKind: rapid.SampledFrom([]identifier.WorkKind{"", "kind-01"}).Draw(t, "kind"),
			}
			if o.Rated = rapid.Bool().Draw(t, "rated"); o.Rated {
				o.Rating = rapid.Float64Range(0, 1).Draw(t, "rating")
			} else {
				o.Ended, o.Failed = true, rapid.Bool().Draw(t, "failed")
				o.Latency = time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "latency"))
			}
			list = append(list, o)
		}
		b := observer.Pack(list)
		got, err := b.Unpack(start)
		must.NoError(t, err)
		must.SliceLen(t, len(list), got)
		for i, o := range got {
			want := list[i]
			must.Eq(t, start, o.At)
			must.InDelta(t, want.Rating, o.Rating, 0.00005+1e-12)
			must.Eq(t, want.Latency > 0, o.Latency > 0)
			must.LessEq(t, time.Millisecond, (want.Latency - o.Latency).Abs())
			o.At, o.Rating, o.Latency = want.At, want.Rating, want.Latency
			must.Eq(t, want, o)
		}
	})
}

// Guards against a rating of NaN in a batch, which JSON cannot encode, and against partial delivery of a malformed batch.
func TestMalformedBatches(t *testing.T) {
	nan := observer.Pack([]promoter.Observation{{Target: serving, Rated: true, Rating: math.NaN()}})
	must.SliceEmpty(t, nan.SeriesIndex)
	series := []observer.Series{{Target: serving, Metric: observer.MetricRating}}
	for name, b := range map[string]observer.Batch{
		"more values than indexes": {Series: series, SeriesIndex: []int{0}, Values: []float64{1, 1}},
		"index beyond series":      {Series: series, SeriesIndex: []int{0, 1}, Values: []float64{1, 1}},
		"negative index":           {Series: series, SeriesIndex: []int{0, -1}, Values: []float64{1, 1}},
		"unknown metric":           {Series: []observer.Series{{Metric: "cost"}}, SeriesIndex: []int{0}, Values: []float64{1}},
		"too many values":          {Series: series, SeriesIndex: make([]int, 5000), Values: make([]float64, 5000)},
	} {
		t.Run(name, func(t *testing.T) {
			delivered := 0
			o := observer.New("entry-1", func() int { return 1 }, observer.WithDeliver(func(promoter.Observation) { delivered++ }))
			b.Relayed = true
			must.Error(t, o.Receive(b))
			must.Zero(t, delivered)
		})
	}
}

// deployment simulates the entries of several data centres, which exchange batches in memory.
type deployment struct {
	now             time.Time
	entries         map[identifier.Instance]*observer.Observer
	names           []identifier.Instance
	holder          identifier.Instance
	delivered       map[identifier.Instance]int
	batchesReceived map[identifier.Instance]int
	// relays holds, for each entry, the relay in its view; views may differ.
	relays map[identifier.Instance]identifier.Instance
}

func newDeployment(centres, perCentre int) *deployment {
	d := &deployment{
		now: start, entries: map[identifier.Instance]*observer.Observer{}, delivered: map[identifier.Instance]int{},
		batchesReceived: map[identifier.Instance]int{}, relays: map[identifier.Instance]identifier.Instance{},
	}
	for c := range centres {
		relay := identifier.Instance(fmt.Sprintf("entry-%d-0", c))
		for i := range perCentre {
			name := identifier.Instance(fmt.Sprintf("entry-%d-%d", c, i))
			d.relays[name] = relay
			d.names = append(d.names, name)
			d.entries[name] = observer.New(name, func() int { return centres * perCentre },
				observer.WithConfiguration(testConfiguration), observer.WithNow(func() time.Time { return d.now }),
				observer.WithView(func() observer.View {
					return observer.View{Relay: d.relays[name], Entries: perCentre, DataCentres: centres}
				}),
				observer.WithLeaseHolder(func(context.Context) (identifier.Instance, error) {
					if d.holder == "" {
						return "", errLeaseFree
					}
					return d.holder, nil
				}),
				observer.WithDeliver(func(promoter.Observation) { d.delivered[name]++ }),
				observer.WithSend(func(to identifier.Instance, b observer.Batch) error {
					d.batchesReceived[to]++
					return d.entries[to].Receive(b)
				}))
		}
	}
	return d
}

func (d *deployment) run(seconds int, observe func(*observer.Observer)) {
	for range seconds {
		for _, name := range d.names {
			observe(d.entries[name])
			d.entries[name].Step(context.Background())
		}
		d.now = d.now.Add(observer.StepInterval)
	}
}

func noObservations(*observer.Observer) {}

// Guards against observations that are lost or delivered twice, against more than one batch a second at a relay or at the lease
// holder, and against observations of models without a candidate that use up the sample.
func TestRelay(t *testing.T) {
	const centres, perCentre, seconds = 10, 33, 600
	d := newDeployment(centres, perCentre)
	d.holder = "entry-4-7"
	d.run(seconds, func(o *observer.Observer) {
		o.Observe(promoter.Observation{Target: withoutCandidate, Ended: true})
		o.Observe(promoter.Observation{Target: candidate, Ended: true})
	})
	d.run(60, noObservations)
	queued := int64(0)
	for _, o := range d.entries {
		queued += o.Counters()["observed"]
		must.Zero(t, o.Counters()["dropped"])
	}
	must.Eq(t, 1, len(d.delivered))
	// Each observation is counted as observed twice: at its entry and at the relay.
	must.Eq(t, queued, 2*int64(d.delivered[d.holder]))
	sampled := float64(seconds * observer.ObservationRate)
	must.Between(t, sampled, float64(d.delivered[d.holder]), sampled+8*centres*perCentre)
	must.LessEq(t, seconds+60, d.batchesReceived[d.holder])
	for c := range centres {
		must.LessEq(t, seconds+60, d.batchesReceived[identifier.Instance(fmt.Sprintf("entry-%d-0", c))])
	}
}

// Guards against ratings that are reduced to one entry's share of the sample rate, although that entry fetches the ratings of
// the whole deployment.
func TestRatingsAreNotSampledTwice(t *testing.T) {
	d := newDeployment(10, 33)
	d.holder = "entry-0-0"
	o := d.entries["entry-3-3"]
	for range 500 {
		o.ObserveRating(promoter.Observation{Target: candidate, Rated: true, Rating: 0.5})
		o.ObserveRating(promoter.Observation{Target: withoutCandidate, Rated: true, Rating: 0.5})
	}
	d.run(60, noObservations)
	must.Eq(t, 500, d.delivered[d.holder])
}

// Guards against relays with different views that forward a batch to each other in turn, and against observations lost while no
// instance holds the lease.
func TestDifferingViews(t *testing.T) {
	d := newDeployment(2, 2)
	d.relays["entry-0-0"], d.relays["entry-0-1"] = "entry-0-1", "entry-0-0"
	for _, name := range []identifier.Instance{"entry-0-0", "entry-0-1"} {
		d.entries[name].Observe(promoter.Observation{Target: candidate, Ended: true})
	}
	d.run(20, noObservations)
	must.MapEmpty(t, d.delivered)
	d.holder = "entry-1-1"
	d.run(20, noObservations)
	must.Eq(t, map[identifier.Instance]int{"entry-1-1": 2}, d.delivered)
	// A relayed batch that reaches a former lease holder is delivered there, not forwarded.
	b := observer.Pack([]promoter.Observation{{Target: candidate, Ended: true}})
	b.Relayed = true
	must.NoError(t, d.entries["entry-0-0"].Receive(b))
	d.run(20, noObservations)
	must.Eq(t, 1, d.delivered["entry-0-0"])
	must.Eq(t, 2, d.delivered["entry-1-1"])
}
