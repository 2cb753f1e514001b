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

// scrape adds the names of the counters that m exports to names.
func scrape(m *meter.Meter, names map[string]bool) {
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest(http.MethodGet, meter.Path, http.NoBody))
	for _, line := range counterLine.FindAllStringSubmatch(w.Body.String(), -1) {
		names[line[1]] = true
	}
}

// Guards against a counter of an entry or agent that is missing from meter.Counters, and so from docs/metrics.md, and
// against a listed counter that no process exports.
func TestCountersAreListed(t *testing.T) {
	discardLog := WithLog(slog.New(slog.DiscardHandler))
	local := netip.MustParseAddrPort("127.0.0.1:0")
	entrySettings := configurer.DefaultEntrySettings()
	entrySettings.Instance, entrySettings.DataCentre, entrySettings.Region = "entry-1", "ie-west-1", "ie-west"
	entrySettings.CallerAddress, entrySettings.AdminAddress, entrySettings.ControlAddress, entrySettings.DebugAddress = local,
		local, local, local
	e, err := NewEntry(t.Context(), entrySettings, discardLog)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, e.Close()) })
	agentSettings := configurer.DefaultAgentSettings()
	agentSettings.Instance, agentSettings.DataCentre, agentSettings.Region = "agent-1", "ie-west-1", "ie-west"
	agentSettings.DataAddress, agentSettings.ControlAddress, agentSettings.DebugAddress = local, local, local
	agentSettings.Upstream.Name, agentSettings.Upstream.Address = "engine-1", local
	a, err := NewAgent(t.Context(), agentSettings, discardLog)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, a.Close()) })
	a.admission.configure(withRanks("urgent"))
	exported := map[string]bool{}
	scrape(e.meter, exported)
	scrape(a.meter, exported)
	listed := map[string]bool{}
	for _, c := range meter.Counters() {
		name := meter.CounterName(c.Part, c.Name)
		listed[name] = true
		// The administration API exports the counter of an error only after the error has occurred.
		if !exported[name] && c.Part != "administrator" {
			t.Errorf("%s is listed in meter.Counters, but no process exports it", name)
		}
	}
	for name := range exported {
		if !listed[name] {
			t.Errorf("%s is not listed in meter.Counters", name)
		}
	}
}
