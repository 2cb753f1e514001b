package forwarder

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/connector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/matcher"
	"github.com/siskinfront/siskinfront/registrar"
)

// Guards against an entry without WithEvenLoad that no longer avoids an upstream whose events take several times as long as those of another.
func TestSlowUpstreamIsAvoidedWithoutEvenLoad(t *testing.T) {
	b := balancer.New("dc")
	f := New(WithBalancer(b), WithHeaders(Headers{Load: "Load"}))
	now := time.Now()
	var ups []balancer.Upstream
	for _, name := range []identifier.Upstream{"b/0", "c/0", "d/0", "slow/0"} {
		ups = append(ups, balancer.Upstream{Name: name, Service: "s", DataCentre: "dc", Slots: 64})
		pause := 10 * time.Millisecond
		if name == "slow/0" {
			pause = 100 * time.Millisecond
		}
		for range 20 {
			f.slowdowns.observe(name, "model", pause, now)
		}
	}
	b.Update(ups)
	chosen := map[identifier.Upstream]int{}
	for range 200 {
		for _, u := range ups {
			q := &request{service: "s", route: &matcher.Route{}, attempts: make([]attempt, 1)}
			head := &http.Response{Header: http.Header{"Load": {"8,0,64,100"}}}
			c := &call{f: f, q: q, upstream: &registrar.Upstream{Slots: u.Slots}, name: u.Name, response: &connector.Response{Response: head}}
			c.reportLoad()
		}
		u, err := b.Choose(balancer.Query{Service: "s"})
		must.NoError(t, err)
		chosen[u.Name]++
	}
	must.Less(t, 20, chosen["slow/0"])
}

// Guards against an upstream that counts as reading although its load shows that nothing but a later request is there, and against one
// that no longer does because of a load with others, or of one with the long prompt itself or an earlier request.
func TestLoadEndsReading(t *testing.T) {
	now := time.Now()
	for name, x := range map[string]struct {
		load    string
		beganAt time.Time
		want    bool
	}{
		"alone":               {"1,0,64", now.Add(time.Millisecond), false},
		"with another":        {"2,0,64", now.Add(time.Millisecond), true},
		"another waits":       {"1,1,64", now.Add(time.Millisecond), true},
		"the prompt itself":   {"1,0,64", now, true},
		"sent before":         {"1,0,64", now.Add(-time.Second), true},
		"no figures":          {"", now.Add(time.Millisecond), true},
		"figure out of range": {"1,99999999999999999999,64", now.Add(time.Millisecond), true},
	} {
		b := balancer.New("dc", balancer.WithEvenLoad())
		b.Update([]balancer.Upstream{{Name: "u/0", Service: "s", DataCentre: "dc", Slots: 64}})
		must.True(t, b.AddReading("u/0", now, 4*time.Second))
		f := New(WithBalancer(b), WithHeaders(Headers{Load: "Load"}), WithEvenLoad())
		q := &request{service: "s", route: &matcher.Route{}, attempts: make([]attempt, 1)}
		c := &call{f: f, q: q, upstream: &registrar.Upstream{Slots: 64}, name: "u/0", beganAt: x.beganAt}
		c.response = &connector.Response{Response: &http.Response{Header: http.Header{"Load": {x.load}}}}
		c.reportLoad()
		must.EqOp(t, x.want, b.State().(balancer.State).Upstreams[0].ExpectedTime > 40, must.Sprint(name))
	}
}
