package assembler

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"regexp"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/meter"
)

var counterLine = regexp.MustCompile(`(?m)^(siskinfront_\S+_total) `)

// scrape adds the names of the counters that m shows to names.
func scrape(m *meter.Meter, names map[string]bool) {
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest(http.MethodGet, meter.Path, http.NoBody))
	for _, line := range counterLine.FindAllStringSubmatch(w.Body.String(), -1) {
		names[line[1]] = true
	}
}

// Guards against a counter of either process that the catalogue, and with it docs/metrics.md, lacks, and against a listed
// one that no process has.
func TestCountersAreListed(t *testing.T) {
	quiet := WithLog(slog.New(slog.DiscardHandler))
	local := netip.MustParseAddrPort("127.0.0.1:0")
	es := configurer.DefaultEntrySettings()
	es.Instance, es.DataCentre, es.Region = "entry-1", "ie-west-1", "ie-west"
	es.CallerAddress, es.AdminAddress, es.ControlAddress, es.DebugAddress = local, local, local, local
	e, err := NewEntry(t.Context(), es, quiet)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, e.Close()) })
	as := configurer.DefaultAgentSettings()
	as.Instance, as.DataCentre, as.Region = "agent-1", "ie-west-1", "ie-west"
	as.DataAddress, as.ControlAddress, as.DebugAddress = local, local, local
	as.Upstream.Name, as.Upstream.Address = "engine-1", local
	a, err := NewAgent(t.Context(), as, quiet)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, a.Close()) })
	a.admission.configure(withRanks("urgent"))
	shown := map[string]bool{}
	scrape(e.meter, shown)
	scrape(a.meter, shown)
	listed := map[string]bool{}
	for _, c := range meter.Counters() {
		name := meter.CounterName(c.Part, c.Name)
		listed[name] = true
		// The administration API shows the counter of an error once it occurs.
		if !shown[name] && c.Part != "administrator" {
			t.Errorf("%s is listed, but no process has it", name)
		}
	}
	for name := range shown {
		if !listed[name] {
			t.Errorf("%s is not listed in meter.Counters", name)
		}
	}
}
