package forwarder_test

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/forwarder"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/quarantiner"
)

// prefillTime is the time from the head of a response to its first event, longer than that in which crashes count as one.
const prefillTime = 120 * time.Millisecond

// crashOn ends the response to a request with a part in its prompt after its head; upstreams answer other requests.
func crashOn(part string) responder {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		if strings.Contains(r.Header.Get("Prompt"), part+":") {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(prefillTime)
			abort()
		}
		writeEvents(w, r, 2, 0)
	}
}

// newCrashFixture returns a fixture whose upstreams accept no probes, as after a crash.
func newCrashFixture(t *testing.T, part string) *fixture {
	t.Helper()
	f := newFixture(t, 8, crashOn(part))
	f.probe = func(identifier.Upstream) (forwarder.Report, error) {
		return forwarder.Report{}, errors.New("connection refused")
	}
	// The first requests earn a budget.
	for range 8 {
		must.EqOp(t, http.StatusOK, f.send("/stream/", "Prompt", "common:1,sound:1,own:1").status)
	}
	return f
}

// receivedWith returns the number of requests with a part that upstreams received.
func (f *fixture) receivedWith(part string) int {
	n := 0
	for _, r := range f.requests() {
		if strings.Contains(r.header.Get("Prompt"), part+":") {
			n++
		}
	}
	return n
}

// removeCrashed takes the upstreams that received a part out of the list, as their incarnations are gone.
func (f *fixture) removeCrashed(part string) {
	gone := map[string]bool{}
	for _, r := range f.requests() {
		if strings.Contains(r.header.Get("Prompt"), part+":") {
			gone[r.upstream] = true
		}
	}
	f.balancer.Update(slices.DeleteFunc(slices.Clone(f.list), func(u balancer.Upstream) bool { return gone[strings.Split(string(u.Name), "/")[0]] }))
}

// Guards against one request that takes all upstreams along, and against later ones that are sent although upstreams crash on them.
func TestSuspectedRequestIsRepeatedOnce(t *testing.T) {
	f := newCrashFixture(t, "fatal")
	w := f.send("/stream/", "Prompt", "common:1,fatal:1,own:1")
	must.EqOp(t, http.StatusBadGateway, w.status)
	must.EqOp(t, 2, f.receivedWith("fatal"))
	must.StrContains(t, f.log(), `"no-retry":"suspected"`)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(2*time.Second), wait.BoolFunc(func() bool { return f.quarantine.Counters()["crashes"] == 2 })))

	f.removeCrashed("fatal")
	// With a crash known, the next one is sent once, and those after it not at all.
	must.EqOp(t, http.StatusBadGateway, f.send("/stream/", "Prompt", "common:1,fatal:1,own2:1").status)
	must.EqOp(t, 3, f.receivedWith("fatal"))
	must.Wait(t, wait.InitialSuccess(wait.Timeout(2*time.Second), wait.BoolFunc(func() bool { return f.quarantine.Counters()["blocks"] == 1 })))
	began := time.Now()
	w = f.send("/cascade/", "Prompt", "fatal:1,own3:1", "Model", "*")
	must.Less(t, 500*time.Millisecond, time.Since(began))
	must.EqOp(t, http.StatusServiceUnavailable, w.status)
	must.EqOp(t, "prompt-blocked\n", w.body)
	after, err := strconv.ParseFloat(w.header.Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Greater(t, 20, after)
	must.EqOp(t, 3, f.receivedWith("fatal"))
	must.StrContains(t, f.log(), `"blocked-part"`)
	must.EqOp(t, http.StatusOK, f.send("/stream/", "Prompt", "common:1,sound:1,own:1").status)
}

// Guards against upstreams that count as crashed although they only reset connections, whose requests are repeated as before.
func TestResetConnectionsAreNoCrashes(t *testing.T) {
	f := newCrashFixture(t, "cut")
	f.probe = nil
	for range 6 {
		must.EqOp(t, http.StatusBadGateway, f.send("/stream/", "Prompt", "common:1,cut:1,own:1").status)
	}
	time.Sleep(200 * time.Millisecond)
	must.EqOp(t, 0, f.quarantine.Counters()["crashes"])
	must.EqOp(t, 12, f.receivedWith("cut"))
}

// Guards against an upstream that does not count as crashed because its machine does not react any more.
func TestUnreachableAfterLossIsACrash(t *testing.T) {
	f := newCrashFixture(t, "fatal")
	f.probe = func(identifier.Upstream) (forwarder.Report, error) {
		// Longer than a probe may take.
		time.Sleep(600 * time.Millisecond)
		return forwarder.Report{}, context.DeadlineExceeded
	}
	must.EqOp(t, http.StatusBadGateway, f.send("/stream/", "Prompt", "common:1,fatal:1,own:1").status)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(2*time.Second), wait.BoolFunc(func() bool { return f.quarantine.Counters()["crashes"] == 2 })))
}

// Guards against a trial of a blocked part that reaches two upstreams, and against a block that outlasts the answer to a trial.
func TestTrialOfBlockedPart(t *testing.T) {
	for name, isFatal := range map[string]bool{"crashes": true, "is answered": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			part := "sound"
			f := newCrashFixture(t, "fatal")
			if isFatal {
				part = "fatal"
			}
			f.quarantine.ApplyBlock(quarantiner.Block{
				Part: quarantiner.NewPart("s", part), Scope: quarantiner.Scope{Everyone: true}, Trials: 1,
			})
			before := f.receivedWith(part)
			claims := 0
			f.ClaimTrial = func(context.Context, quarantiner.Block) bool {
				claims++
				return true
			}
			must.EqOp(t, http.StatusServiceUnavailable, f.send("/stream/", "Prompt", part+":1,own:1").status)
			must.EqOp(t, 0, claims, must.Sprint("no trial is due yet"))
			f.ahead.Store(int64(time.Hour))
			w := f.send("/cascade/", "Prompt", part+":1,own:1", "Model", "*")
			must.EqOp(t, 1, claims)
			must.EqOp(t, before+1, f.receivedWith(part))
			if isFatal {
				must.EqOp(t, http.StatusBadGateway, w.status)
				return
			}
			must.EqOp(t, http.StatusOK, w.status)
			must.EqOp(t, http.StatusOK, f.send("/stream/", "Prompt", part+":1,own:1").status)
		})
	}
}
