package runner

import (
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/meter"
	"github.com/siskinfront/siskinfront/streamer"
)

// documentSection returns the section of docs/OPERATIONS.md under a heading.
func documentSection(t *testing.T, heading string) string {
	t.Helper()
	document, err := os.ReadFile("../docs/OPERATIONS.md")
	must.NoError(t, err)
	_, text, found := strings.Cut(string(document), "\n## "+heading+"\n")
	must.True(t, found)
	text, _, _ = strings.Cut(text, "\n## ")
	return text
}

// Guards against a setting that is not documented, and a documented one that no longer exists.
func TestSettingsAreDocumented(t *testing.T) {
	var documented []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)`").FindAllStringSubmatch(documentSection(t, "Settings"), -1) {
		documented = append(documented, m[1])
	}
	fields := configurer.FieldPaths(Settings{})
	slices.Sort(documented)
	slices.Sort(fields)
	must.Eq(t, fields, documented)
}

// Guards against a counter that is not documented; the counters of the balancer and the meter are documented in metrics.md.
func TestCountersAreDocumented(t *testing.T) {
	r := newTestRunner(t, testSettings+"store: \"127.0.0.1:1\"\n", nil)
	w := httptest.NewRecorder()
	r.meter.ServeHTTP(w, httptest.NewRequest(http.MethodGet, meter.Path, http.NoBody))
	metrics := documentSection(t, "Metrics")
	for _, counter := range regexp.MustCompile(`(?m)^(siskinfront_[a-z_]+_total)`).FindAllString(w.Body.String(), -1) {
		if strings.HasPrefix(counter, "siskinfront_balancer_") || strings.HasPrefix(counter, "siskinfront_meter_") {
			continue
		}
		must.StrContains(t, metrics, "`"+counter+"`")
	}
}

// Guards against a gauge that is not documented, and against missing gauges of the load of a service.
func TestGaugesAreDocumented(t *testing.T) {
	r := newTestRunner(t, testSettings+"store: \"127.0.0.1:1\"\n", nil)
	r.balancer.Update([]balancer.Upstream{{Name: "u/0", Service: "s", Slots: 8}, {Name: "v/0", Service: "s", Slots: 8}})
	r.balancer.Report("u/0", streamer.Load{At: time.Now(), Running: 4, Queued: []int{1}})
	r.balancer.Report("v/0", streamer.Load{At: time.Now()})
	w := httptest.NewRecorder()
	r.meter.ServeHTTP(w, httptest.NewRequest(http.MethodGet, meter.Path, http.NoBody))
	metrics := documentSection(t, "Metrics")
	gauges := regexp.MustCompile(`(?m)^# TYPE (\S+) gauge$`).FindAllStringSubmatch(w.Body.String(), -1)
	must.SliceNotEmpty(t, gauges)
	must.StrContains(t, w.Body.String(), "\nsiskinfront_balancer_busiest_over_mean{service=\"s\"} 2\n")
	must.StrContains(t, w.Body.String(), "\nsiskinfront_balancer_idle_while_others_wait{service=\"s\"} 1\n")
	for _, m := range gauges {
		must.StrContains(t, metrics, "`"+m[1]+"`")
	}
}
