package forwarder_test

import (
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/registrar"
)

// Guards against a cold time in an answer that is not read, and against a response lost, or a cold time ended, by an invalid one.
func TestColdTimeIsRead(t *testing.T) {
	values := []string{
		"", "0", "12000", "86400000", "12.5", "-1", "86400001", "NaN", "Inf", "1e400", strings.Repeat("9", 300), "soon", "0x10", "1,5", " ", "null",
	}
	f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request, n int) {
		if v := values[n-1]; v != "" {
			w.Header().Set("Cold-Ms", v)
		}
		respondOK(w, r, n)
	})
	var told []time.Duration
	f.OnCold = func(_ *registrar.Upstream, until time.Time) {
		told = append(told, time.Until(until).Round(time.Second/2))
	}
	for i := range values {
		w := f.send("/repeat/")
		must.EqOp(t, http.StatusOK, w.status)
		must.EqOp(t, i >= 1 && i <= 4, w.header.Get("Cold-Ms") != "", must.Sprint(values[i]))
	}
	must.Eq(t, []time.Duration{0, 12 * time.Second, 24 * time.Hour, 0}, told)
	must.EqOp(t, 1, strings.Count(f.log(), "cold time of upstream is invalid"))
	must.EqOp(t, 11, f.Counters()["cold-times-invalid"])
}

// Guards against requests to a cold upstream without a slot while another one is left.
func TestRequestsGoToOthersWhileCold(t *testing.T) {
	f := newFixture(t, 2, respondOK)
	f.throttler.SetCold("a/0", 0.1, time.Now().Add(time.Hour))
	for range 20 {
		must.EqOp(t, http.StatusOK, f.send("/repeat/").status)
	}
	n := 0
	for _, r := range f.requests() {
		if r.upstream == "a" {
			n++
		}
	}
	must.LessEq(t, 1, n)
}

// Guards against refused requests that come back all at once, or in another order, when only cold upstreams are left, and against a wait of
// more than an eighth of the latency target.
func TestOnlyColdUpstreamsLeft(t *testing.T) {
	f := newFixture(t, 2, respondOK)
	for _, name := range []string{"a/0", "b/0"} {
		f.throttler.SetCold(identifier.Upstream(name), 0.5, time.Now().Add(time.Hour))
	}
	var last time.Time
	for range 8 {
		began := time.Now()
		w := f.send("/repeat/")
		must.EqOp(t, http.StatusServiceUnavailable, w.status)
		must.Less(t, 150*time.Millisecond, time.Since(began))
		after, err := strconv.ParseFloat(w.header.Get("Retry-After"), 64)
		must.NoError(t, err)
		at := time.Now().Add(time.Duration(after * float64(time.Second)))
		must.True(t, at.After(last), must.Sprint(at.Sub(last)))
		last = at
	}
	// Together they are granted 0.45 requests a second.
	must.Between(t, 10*time.Second, time.Until(last), 25*time.Second)
	must.SliceEmpty(t, f.requests())
}

// Guards against a request that asks for slots of all cold upstreams, of which it uses one.
func TestRequestAsksAtOneColdUpstream(t *testing.T) {
	f := newFixture(t, 4, respondOK)
	for name := range f.upstreams {
		f.throttler.SetCold(name, 1, time.Now().Add(time.Hour))
	}
	must.EqOp(t, http.StatusServiceUnavailable, f.send("/repeat/").status)
	must.EqOp(t, 1, f.owner.Counters()["asks"])
}

// Guards against an upstream that has ended, and may soon start again, of which nobody is told, and against one that is taken for ended because
// a connection broke or could not be opened for another reason.
func TestRefusedConnectionIsObserved(t *testing.T) {
	f := newFixture(t, 3, func(w http.ResponseWriter, r *http.Request, n int) {
		if n%3 == 0 {
			panic(http.ErrAbortHandler)
		}
		respondOK(w, r, n)
	})
	refused := map[identifier.Upstream]bool{}
	f.OnRefused = func(u *registrar.Upstream) { refused[u.Name] = true }
	for range 10 {
		f.send("/repeat/")
	}
	must.MapEmpty(t, refused)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	f.upstreams["a/0"].Address = netip.MustParseAddrPort(l.Addr().String())
	must.NoError(t, l.Close())
	f.upstreams["b/0"].Address = netip.MustParseAddrPort("255.255.255.255:9")
	f.ahead.Add(int64(time.Minute))
	for range 20 {
		f.send("/repeat/")
	}
	must.Eq(t, map[identifier.Upstream]bool{"a": true}, refused)
}

// Guards against requests that wait for a slot although all cold upstreams pause, so that none can be had.
func TestPausingColdUpstreamsRefuseAtOnce(t *testing.T) {
	f := newFixture(t, 2, respondOK)
	for _, name := range []identifier.Upstream{"a/0", "b/0"} {
		f.throttler.SetCold(name, 20, time.Now().Add(time.Hour))
		f.throttler.Pause(name, time.Now().Add(30*time.Second))
	}
	began := time.Now()
	w := f.send("/patient/")
	must.Less(t, 100*time.Millisecond, time.Since(began))
	must.EqOp(t, http.StatusServiceUnavailable, w.status)
	after, err := strconv.ParseFloat(w.header.Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Between(t, 29, after, 60)
	must.SliceEmpty(t, f.requests())
}
