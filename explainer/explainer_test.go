package explainer_test

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/explainer"
	"github.com/siskinfront/siskinfront/identifier"
)

// Guards against a ring that grows, or evicts the newest record instead of the oldest.
func TestAddIsBounded(t *testing.T) {
	e := explainer.New(3)
	for i := range 10 {
		e.Add(explainer.DecisionRecord{Request: identifier.Request(fmt.Sprint(i))})
	}
	for i := range 10 {
		_, found := e.Find(identifier.Request(fmt.Sprint(i)))
		must.EqOp(t, i >= 7, found, must.Sprint(i))
	}
	must.Eq(t, any(explainer.State{Capacity: 3, Records: 3}), e.State())
	must.EqOp(t, 7, e.Counters()["records-evicted"])
}

// Guards against a second attempt that replaces the steps of the first, and a request whose steps exhaust the memory.
func TestAddAppendsAttempts(t *testing.T) {
	e := explainer.New(2, explainer.WithNow(func() time.Time { return time.Unix(7, 0) }))
	e.Add(explainer.DecisionRecord{Request: "r", Upstream: "u1", Steps: []explainer.Step{{Component: "selector", Decision: "first"}}})
	e.Add(explainer.DecisionRecord{Request: "r", Upstream: "u2", Steps: []explainer.Step{{Component: "balancer", Decision: "second"}}})
	r, found := e.Find("r")
	must.True(t, found)
	must.EqOp(t, "u2", r.Upstream)
	must.Len(t, 2, r.Steps)
	must.EqOp(t, "first", r.Steps[0].Decision)
	must.True(t, r.Steps[1].At.Equal(time.Unix(7, 0)))
	for range 100 {
		e.Add(explainer.DecisionRecord{Request: "r", Steps: make([]explainer.Step, 5)})
	}
	r, _ = e.Find("r")
	must.Len(t, 64, r.Steps)
	must.EqOp(t, 502-64, e.Counters()["steps-dropped"])
}

// Guards against a data race between requests that add records and operators who read them.
func TestConcurrentUse(t *testing.T) {
	e := explainer.New(8)
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for j := range 200 {
				name := identifier.Request(fmt.Sprint(i, j%20))
				e.Add(explainer.DecisionRecord{Request: name, Steps: make([]explainer.Step, 1)})
				if r, ok := e.Find(name); ok {
					must.EqOp(t, name, r.Request)
				}
			}
		})
	}
	wg.Wait()
	must.EqOp(t, 800, e.Counters()["records-added"])
}

// Guards against a fetch that returns the record of another request, or anything but ErrNotFound for an unknown one.
func TestFetch(t *testing.T) {
	e := explainer.New(2)
	e.Add(explainer.DecisionRecord{Request: "a", Target: identifier.Target{Model: "finch", Version: "v1"}})
	server := httptest.NewServer(e)
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	r, err := explainer.Fetch(t.Context(), address, "a")
	must.NoError(t, err)
	must.EqOp(t, "finch@v1", r.Target.String())
	for _, name := range []identifier.Request{"b", "", "a/b"} {
		_, err = explainer.Fetch(t.Context(), address, name)
		must.ErrorIs(t, err, explainer.ErrNotFound)
	}
}
