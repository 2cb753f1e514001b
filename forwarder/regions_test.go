package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/matcher"
)

// boundRoute returns a route whose requests are bound to regions.
func boundRoute(r matcher.Regions) matcher.Option {
	return matcher.WithRoute(&matcher.Route{
		Name: "bound", Host: "h", Prefix: "/bound/", Timeout: time.Minute, LatencyTarget: 40 * time.Second, MaxAttempts: 3,
		Kind: matcher.Idempotent, Split: []matcher.WeightedService{{Service: "s", Weight: 1}}, Regions: r,
	})
}

// divide puts the upstreams a, b and c into the regions west, east and none.
func (f *fixture) divide() {
	f.Region = func(d identifier.DataCentre) identifier.Region {
		return map[identifier.DataCentre]identifier.Region{"dc-a": "west", "dc-b": "east"}[d]
	}
	for i := range f.list {
		u := *f.upstreams[f.list[i].Name]
		u.DataCentre = "dc-" + identifier.DataCentre(u.Name)
		f.upstreams[f.list[i].Name] = &u
		f.list[i].DataCentre, f.list[i].Region = u.DataCentre, f.Region(u.DataCentre)
	}
	f.balancer.Update(f.list)
}

// Guards against a request that is served in a region to which its route or its account does not bind it, also as a retry, and against one
// that is bound although neither says so.
func TestRequestsStayInTheirRegions(t *testing.T) {
	for name, x := range map[string]struct {
		route, account matcher.Regions
		path           string
		used           map[string]bool
	}{
		"not bound":      {nil, nil, "/bound/", map[string]bool{"a": true, "b": true, "c": true}},
		"route":          {matcher.NewRegions("west"), nil, "/bound/", map[string]bool{"a": true}},
		"account":        {nil, matcher.NewRegions("east"), "/repeat/", map[string]bool{"b": true}},
		"both":           {matcher.NewRegions("west", "east"), matcher.NewRegions("east", "south"), "/bound/", map[string]bool{"b": true}},
		"public route":   {nil, matcher.NewRegions("east"), "/public/", map[string]bool{"a": true, "b": true, "c": true}},
		"without region": {matcher.NewRegions("south"), nil, "/bound/", map[string]bool{}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 3, func(w http.ResponseWriter, r *http.Request, n int) {
				if n%3 == 0 {
					respondNotRun(w, r, n)
					return
				}
				respondOK(w, r, n)
			}, boundRoute(x.route), matcher.WithAccount(&matcher.Account{Name: "one", Regions: x.account}, "key"))
			f.divide()
			for range 60 {
				w := f.send(x.path + "x")
				if len(x.used) == 0 {
					must.EqOp(t, http.StatusServiceUnavailable, w.status)
					must.EqOp(t, "no-upstream\n", w.body)
				}
			}
			used := map[string]bool{}
			for _, r := range f.requests() {
				used[r.upstream] = true
			}
			must.Eq(t, x.used, used)
		})
	}
}

// Guards against a request that no region may serve and that is sent, and against a refusal that does not say why or when to come back.
func TestNoRegion(t *testing.T) {
	for name, x := range map[string]struct{ route, account matcher.Regions }{
		"empty route":       {matcher.NewRegions(), nil},
		"empty account":     {nil, matcher.NewRegions()},
		"nothing in common": {matcher.NewRegions("west"), matcher.NewRegions("east")},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 3, respondOK, boundRoute(x.route), matcher.WithAccount(&matcher.Account{Name: "one", Regions: x.account}, "key"))
			f.divide()
			w := f.send("/bound/x")
			must.EqOp(t, http.StatusServiceUnavailable, w.status)
			must.EqOp(t, "no-region\n", w.body)
			must.NotEqOp(t, "", w.header.Get("Retry-After"))
			must.SliceEmpty(t, f.requests())
			must.EqOp(t, 1, f.Counters()["no-region"])
		})
	}
}

// Guards against a request that waits for a slot, or is told to come back at the end of a pause, of an upstream in another region than its own.
func TestLimitOfOtherRegion(t *testing.T) {
	for name, prepare := range map[string]func(f *fixture){
		"limit": func(f *fixture) { f.throttler.Observe("a/0", 0.001) },
		"pause": func(f *fixture) { f.throttler.Pause("a/0", time.Now().Add(time.Hour)) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, respondOK, boundRoute(matcher.NewRegions("east")))
			f.divide()
			prepare(f)
			began := time.Now()
			w := f.send("/bound/x")
			must.Less(t, 2*time.Second, time.Since(began))
			must.EqOp(t, http.StatusServiceUnavailable, w.status)
			must.StrHasPrefix(t, "0.", w.header.Get("Retry-After"))
			must.SliceEmpty(t, f.requests())
		})
	}
}
