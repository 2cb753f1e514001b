package soakbencher

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/platform/standin"
)

// Guards against a failure of an entry that counts as an answer, and against an answer of a bad version that counts as lost by the evacuation:
// in CI, seed 2 counted 4 of 60 requests as lost that upstreams of such a version had answered with status 500.
func TestLostByEvacuation(t *testing.T) {
	for _, x := range []struct {
		name     string
		status   int
		upstream string
		complete bool
		lost     bool
	}{
		{name: "success", status: 200, upstream: "u1", complete: true},
		{name: "failure of the upstream that ran the request", status: 500, upstream: "u1", complete: true},
		{name: "failure of an upstream that did not run it", status: 500, upstream: "u2", complete: true, lost: true},
		{name: "internal error of the entry", status: 500, complete: true, lost: true},
		{name: "lost upstream", status: 502, complete: true, lost: true},
		{name: "refusal after the run", status: 503, complete: true, lost: true},
		{name: "deadline", status: 504, complete: true, lost: true},
		{name: "answer of the upstream that breaks off", status: 500, upstream: "u1", lost: true},
		{name: "success that breaks off", status: 200, upstream: "u1", lost: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			now := time.Now()
			s := &soak{
				startedAt: now, results: map[string]*invariantResult{}, dataCentres: map[string]string{"u1": "dc-a", "u2": "dc-a"},
				evacuations: []namedEvent{{name: "dc-a", at: now, until: now.Add(3 * time.Second)}},
			}
			c := &call{
				id: "k1", entry: &entry{name: "entry-0"}, status: x.status, upstream: x.upstream, complete: x.complete,
				sentAt: now.Add(-time.Second), endedAt: now.Add(time.Second),
			}
			s.checkLostByEvacuation(c, []standin.Run{{ID: "k1", Upstream: "u1", At: now.Add(-time.Second)}})
			r := s.results[invariantEvacuationLoses]
			must.NotNil(t, r)
			must.EqOp(t, 1, r.checks)
			must.EqOp(t, x.lost, r.violations == 1)
		})
	}
}
