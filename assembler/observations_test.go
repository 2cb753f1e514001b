package assembler_test

import (
	"context"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/committer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/leaser"
	"github.com/siskinfront/siskinfront/meter"
	"github.com/siskinfront/siskinfront/storer"
)

// counter returns one counter from the metrics of a process, or 0 while the process does not answer.
func (p *proc) counter(part, name string) int {
	ctx, cancel := context.WithTimeout(p.t.Context(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address("debug").String()+meter.Path, http.NoBody)
	must.NoError(p.t, err)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	must.NoError(p.t, err)
	m := regexp.MustCompile(`(?m)^` + meter.CounterName(part, name) + ` (\d+)$`).FindSubmatch(text)
	must.Len(p.t, 2, m, must.Sprintf("%s %s is no counter of %s", part, name, p.name))
	n, err := strconv.Atoi(string(m[1]))
	must.NoError(p.t, err)
	return n
}

// Guards against observations or ratings of a candidate version that do not reach the holder of the roll-out lease from
// another entry through the relay.
func TestObservationsReachLeaseHolder(t *testing.T) {
	t.Parallel()
	candidate := identifier.Target{Model: "melro", Version: "v3"}
	d := newDeployment(t, 2*time.Millisecond, func(d *deployment) {
		d.cfg = d.cfg.WithVersion(candidate, func(v *configurer.Version) { v.State, v.Exposure = configurer.VersionCandidate, 0.5 })
		_, err := committer.Commit(d.t.Context(), storer.NewTable(d.address("table")), 1, d.cfg, "test")
		must.NoError(d.t, err)
	})
	var lease leaser.Record
	d.eventually("an entry holds the roll-out lease", waitTimeout, func() bool {
		lease = d.lease("rollouts")
		return lease.Holder != ""
	})
	holder, other := "entry-1", "entry-2"
	if holderInstance(lease) != holder {
		holder, other = other, holder
	}
	traffic := d.traffic(20*time.Millisecond, "observed", call{entry: other, kind: "counter-answer", model: "melro"})
	d.eventually("observation batches reach the lease holder", waitTimeout, func() bool {
		return d.procs[holder].counter("observer", "batches-received") > 0
	})
	d.eventually("the lease holder has pairs of ratings of both versions", waitTimeout, func() bool {
		var rows []struct {
			Target identifier.Target `json:"target"`
			Pairs  int               `json:"pairs"`
		}
		return d.procs[holder].state("promoter", &rows) == nil && len(rows) == 1 && rows[0].Target == candidate && rows[0].Pairs > 0
	})
	must.Positive(t, d.procs[holder].counter("promoter", "observations"))
	for nonce, a := range traffic.stopAndWait() {
		must.True(t, a.ok(nonce), must.Sprintf("%s: %+v", nonce, a))
	}
}
