package meter_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/meter"
)

func scrape(t testing.TB, m *meter.Meter) string {
	t.Helper()
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, meter.Path, http.NoBody))
	must.EqOp(t, http.StatusOK, w.Code)
	return w.Body.String()
}

// Guards against a counter whose total is added again at each scrape, or that goes backward.
func TestCounters(t *testing.T) {
	n := int64(5)
	m := meter.New()
	m.Register("dumper", func() map[string]int64 { return map[string]int64{"dumps": n} })
	for range 3 {
		must.StrContains(t, scrape(t, m), "\nsiskinfront_dumper_dumps_total 5\n")
	}
	n = 9
	must.StrContains(t, scrape(t, m), "# TYPE siskinfront_dumper_dumps_total counter\nsiskinfront_dumper_dumps_total 9\n")
	n = 2
	must.StrContains(t, scrape(t, m), "siskinfront_dumper_dumps_total 9\n")
	must.StrContains(t, scrape(t, m), "siskinfront_meter_backward_counters_total 1\n")
}

// Guards against buckets that are not cumulative, lose samples beyond the last bound or have no bound at the latency
// targets.
func TestLatency(t *testing.T) {
	m := meter.New()
	l := meter.AllLatencies().FirstToken
	for _, d := range []time.Duration{-time.Second, time.Millisecond, 60 * time.Millisecond, 1400 * time.Millisecond, 1401 * time.Millisecond, time.Hour} {
		m.Observe(l, "urgent", d)
	}
	m.Observe(l, `x"y`, time.Second)
	text := scrape(t, m)
	for _, want := range []string{
		`siskinfront_first_token_seconds_bucket{rank="urgent",le="0.001"} 2`,
		`siskinfront_first_token_seconds_bucket{rank="urgent",le="0.06"} 3`,
		`siskinfront_first_token_seconds_bucket{rank="urgent",le="1.4"} 4`,
		`siskinfront_first_token_seconds_bucket{rank="urgent",le="600"} 5`,
		`siskinfront_first_token_seconds_bucket{rank="urgent",le="+Inf"} 6`,
		`siskinfront_first_token_seconds_count{rank="urgent"} 6`,
		`siskinfront_first_token_seconds_count{rank="x\"y"} 1`,
	} {
		must.StrContains(t, text, want+"\n")
	}
	must.EqOp(t, 1, strings.Count(text, "# TYPE siskinfront_first_token_seconds histogram"))
}

// Guards against lines that a Prometheus scraper rejects, for example because of unescaped names or label values.
func TestTextFormat(t *testing.T) {
	m := meter.New()
	m.Register("queue", func() map[string]int64 { return map[string]int64{"dropped-late": 1, "per.cent%": 2} })
	m.Observe(meter.AllLatencies().QueueWait, "line\nbreak", time.Second)
	line := regexp.MustCompile(`^(# (HELP|TYPE) [a-z_]+ .+|[a-z_]+(\{([a-z_]+="([^"\\]|\\.)*",?)+\})? [0-9.e+-]+)$`)
	for _, text := range strings.Split(strings.TrimSuffix(scrape(t, m), "\n"), "\n") {
		must.RegexMatch(t, line, text)
	}
}

// Guards against label values from requests that exhaust the memory.
func TestSeriesAreBounded(t *testing.T) {
	m := meter.New()
	for i := range 5000 {
		m.Observe(meter.AllLatencies().Request, fmt.Sprint(i), time.Second)
	}
	text := scrape(t, m)
	must.StrContains(t, text, `siskinfront_request_seconds_count{rank="other"} 904`)
	must.EqOp(t, 4097, strings.Count(text, "siskinfront_request_seconds_count"))
}

// Guards against a data race and a deadlock between a scrape and a part that calls Observe under its own lock.
func TestConcurrentUse(t *testing.T) {
	m := meter.New()
	var mu sync.Mutex
	m.Register("part", func() map[string]int64 {
		mu.Lock()
		defer mu.Unlock()
		return map[string]int64{"calls": 1}
	})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 50 {
				mu.Lock()
				m.Observe(meter.AllLatencies().Request, "urgent", time.Second)
				mu.Unlock()
				scrape(t, m)
			}
		})
	}
	wg.Wait()
	must.StrContains(t, scrape(t, m), `siskinfront_request_seconds_count{rank="urgent"} 200`)
}

// Guards against a metric without documentation, and documentation of a metric that no longer exists.
func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/metrics.md")
	must.NoError(t, err)
	rows := regexp.MustCompile("(?m)^\\| `([^`]+)`").FindAllStringSubmatch(string(page), -1)
	got, want := make([]string, 0, len(rows)), make([]string, 0, len(rows))
	for _, m := range rows {
		got = append(got, m[1])
	}
	for _, c := range meter.Counters() {
		want = append(want, meter.CounterName(c.Part, c.Name))
	}
	all := meter.AllLatencies()
	for _, l := range []meter.LatencyHistogram{all.FirstToken, all.BetweenTokens, all.Request, all.QueueWait, all.ConfigurationAge} {
		want = append(want, meter.LatencyName(l))
	}
	slices.Sort(got)
	slices.Sort(want)
	must.Eq(t, want, got)
}
