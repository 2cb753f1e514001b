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
