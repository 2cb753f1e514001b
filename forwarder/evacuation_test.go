package forwarder_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/registrar"
)

// evacuate marks upstreams as evacuated, of which the balancer learns later.
func (f *fixture) evacuate(names ...identifier.Upstream) {
	for _, name := range names {
		u := *f.upstreams[name]
		u.Evacuated = true
		f.upstreams[name] = &u
	}
}

// Guards against a request that is sent to an upstream which was evacuated between the choice and the send, with and without a slot of it,
// and as the trial of an open circuit breaker.
func TestEvacuatedBetweenChoiceAndSend(t *testing.T) {
	for name, prepare := range map[string]func(f *fixture){
		"chosen": func(*fixture) {},
		"with a slot": func(f *fixture) {
			f.throttler.Observe("a/0", 1000)
			for !f.throttler.HasSlot("a/0") {
				f.throttler.Want("a/0", true)
				time.Sleep(time.Millisecond)
			}
		},
		"in its pause": func(f *fixture) { f.throttler.Pause("a/0", time.Now().Add(50*time.Millisecond)) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, respondOK)
			prepare(f)
			f.evacuate("a/0")
			for range 40 {
				must.EqOp(t, http.StatusOK, f.send("/repeat/x").status)
			}
			for _, r := range f.requests() {
				must.EqOp(t, "b", r.upstream)
			}
		})
	}
}

// Guards against a request that waits for a slot, or is told to come back at the end of a pause, of an upstream that is evacuated: it must be
// refused at once.
func TestEvacuatedServiceRefusesAtOnce(t *testing.T) {
	for name, prepare := range map[string]func(f *fixture){
		"no limit": func(*fixture) {},
		"limit":    func(f *fixture) { f.throttler.Observe("a/0", 0.001) },
		"pause":    func(f *fixture) { f.throttler.Pause("a/0", time.Now().Add(time.Hour)) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, respondOK, matcher.WithRoute(&matcher.Route{
				Name: "long", Host: "h", Prefix: "/long/", Timeout: time.Minute, LatencyTarget: 40 * time.Second, MaxAttempts: 3,
				Kind: matcher.Idempotent, Split: []matcher.WeightedService{{Service: "s", Weight: 1}},
			}))
			prepare(f)
			f.evacuate("a/0")
			f.balancer.Update(nil)
			began := time.Now()
			w := f.send("/long/x")
			must.Less(t, 2*time.Second, time.Since(began))
			must.EqOp(t, http.StatusServiceUnavailable, w.status)
			after, err := strconv.ParseFloat(w.header.Get("Retry-After"), 64)
			must.NoError(t, err)
			must.Between(t, 0.1, after, 2)
			must.SliceEmpty(t, f.requests())
			must.StrContains(t, f.log(), `"no-retry":"no-upstream"`)
		})
	}
}

// Guards against an upstream that may receive new requests although it leaves or is evacuated.
func TestIsEligible(t *testing.T) {
	must.True(t, (&registrar.Upstream{}).IsEligible())
	must.False(t, (&registrar.Upstream{Leaving: true}).IsEligible())
	must.False(t, (&registrar.Upstream{Evacuated: true}).IsEligible())
}
