package forwarder_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/forwarder"
)

// reportedState returns the state of the only upstream of a fixture.
func reportedState(f *fixture) balancer.UpstreamState {
	return f.balancer.State().(balancer.State).Upstreams[0]
}

// Guards against an invalid fourth figure that is accepted, that spoils the other figures or the response, that is not counted or
// that is logged with each response, and against a header with two or three figures that counts as invalid.
func TestReportedTime(t *testing.T) {
	values := []string{
		"5,0", "6,0,64", "7,0,64,100", "8,0,64,10", "9,0,64, 10000 ",
		"11,0,64,", "12,0,64,null", "13,0,64,9", "14,0,64,10001", "15,0,64,-100", "16,0,64,99999999999999999999", "17,0,64,fast", "18,0,64,NaN",
		"19,0,64,1e3", "20,0,64,0x64", "21,0,64," + strings.Repeat("9", 5000),
	}
	const invalid = 11
	f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request, n int) {
		w.Header().Set("Load", values[n-1])
		respondOK(w, r, n)
	})
	for i, v := range values {
		must.EqOp(t, http.StatusOK, f.send("/repeat/").status)
		must.EqOp(t, max(i-(len(values)-invalid)+1, 0), int(f.Counters()["load-figures-invalid"]), must.Sprint(v))
	}
	must.EqOp(t, 21, reportedState(f).Load)
	must.EqOp(t, 1, strings.Count(f.log(), "time of work that upstream reports"))
}

// Guards against a generated value of the load header that stops a request or an entry, with and without WithEvenLoad.
func TestGeneratedLoad(t *testing.T) {
	var value string
	f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request, n int) {
		w.Header().Set("Load", value)
		respondOK(w, r, n)
	})
	field := rapid.OneOf(rapid.StringMatching(`-?[0-9]{0,25}`), rapid.StringMatching(`[ -~]{0,20}`), rapid.SampledFrom([]string{"", "null", "10", "NaN"}))
	rapid.Check(t, func(t *rapid.T) {
		value = strings.Join(rapid.SliceOfN(field, 0, 6).Draw(t, "fields"), ",")
		if rapid.Bool().Draw(t, "even load") {
			forwarder.WithEvenLoad()(f.Forwarder)
		}
		if status := f.send("/repeat/").status; status != http.StatusOK {
			t.Fatalf("status %d for load %q", status, value)
		}
	})
}
