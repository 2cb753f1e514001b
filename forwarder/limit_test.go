package forwarder_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/forwarder"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/throttler"
)

// Guards against a limit of an upstream that is not read, and against a response lost to an invalid one (issue 23).
func TestLimitIsRead(t *testing.T) {
	values := []string{"16000.5", "16000.5", "20000", "", "-1", "NaN", "1e9", strings.Repeat("9", 100), "0x10", "1,5", "5000"}
	f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request, n int) {
		if v := values[n-1]; v != "" {
			w.Header().Set("Limit", v)
		}
		respondOK(w, r, n)
	})
	for range values {
		must.EqOp(t, http.StatusOK, f.send("/repeat/").status)
	}
	must.Eq(t, []throttler.Statement{
		{Upstream: "a/0", PerSecond: 16000.5}, {Upstream: "a/0", PerSecond: 20000}, {Upstream: "a/0", Ended: true}, {Upstream: "a/0", PerSecond: 5000},
	}, f.limitChanges)
	must.EqOp(t, 1, strings.Count(f.log(), "limit of upstream is invalid"))
	must.EqOp(t, 6, f.Counters()["limits-invalid"])
}

// Guards against a request that waits although all upstreams of its service have reached their limits, and against a refusal of one
// that has run.
func TestLimitedServiceRefuses(t *testing.T) {
	f := newFixture(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
		w.Header().Set("Limit", "0.5")
		respondOK(w, r, n)
	})
	served := 0
	for range 40 {
		began := time.Now()
		w := f.send("/repeat/")
		if w.status == http.StatusOK {
			served++
			continue
		}
		must.EqOp(t, http.StatusServiceUnavailable, w.status)
		must.NotEqOp(t, "", w.header.Get("Retry-After"))
		// An eighth of the latency target is waited for a slot.
		must.Less(t, 150*time.Millisecond, time.Since(began))
	}
	must.Between(t, 2, served, 4)
	must.SliceLen(t, served, f.requests())
}

// Guards against probes that reach an upstream beyond its limit.
func TestProbesCountForLimit(t *testing.T) {
	f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request, _ int) {
		w.Header().Set("Limit", "0.2")
		writeEvents(w, r, 1, 0)
		<-r.Context().Done()
	})
	var probes atomic.Int64
	f.probe = func(identifier.Upstream) (forwarder.Report, error) {
		probes.Add(1)
		return forwarder.Report{WithoutID: 1}, nil
	}
	f.send("/stream/", "Deadline-Ms", "3000")
	must.LessEq(t, 1, probes.Load())
}
