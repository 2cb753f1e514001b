package runner

import (
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/meter"
)

// section returns the part of the page of operation under a heading.
func section(t *testing.T, heading string) string {
	t.Helper()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	must.NoError(t, err)
	_, text, found := strings.Cut(string(page), "\n## "+heading+"\n")
	must.True(t, found)
	text, _, _ = strings.Cut(text, "\n## ")
	return text
}

// Guards against a setting without documentation, and documentation of one that is gone.
func TestSettingsOnPage(t *testing.T) {
	var got []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)`").FindAllStringSubmatch(section(t, "Settings"), -1) {
		got = append(got, m[1])
	}
	want := configurer.FieldPaths(Settings{})
	slices.Sort(got)
	slices.Sort(want)
	must.Eq(t, want, got)
}

// Guards against a counter without documentation; those of the balancer and the meter stand in metrics.md.
func TestCountersOnPage(t *testing.T) {
	r := newTestRunner(t, testSettings+"store: \"127.0.0.1:1\"\n", nil)
	w := httptest.NewRecorder()
	r.meter.ServeHTTP(w, httptest.NewRequest(http.MethodGet, meter.Path, http.NoBody))
	page := section(t, "Metrics")
	for _, m := range regexp.MustCompile(`(?m)^(siskinfront_[a-z_]+_total)`).FindAllString(w.Body.String(), -1) {
		if strings.HasPrefix(m, "siskinfront_balancer_") || strings.HasPrefix(m, "siskinfront_meter_") {
			continue
		}
		must.StrContains(t, page, "`"+m+"`")
	}
}
