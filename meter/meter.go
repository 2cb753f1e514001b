package meter

import (
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Path is where a process serves its metrics.
const Path = "/metrics"

// namePrefix starts the name of every metric.
const namePrefix = "siskinfront"

// maxSeries bounds the counters and histogram series of a process, so that names taken from requests cannot exhaust the
// memory.
const maxSeries = 4096

// Meter holds the metrics of a process in one tally scope and is safe for concurrent use.
type Meter struct {
	// scope has no reporter, so that a snapshot holds the totals since the start of the process.
	scope   tally.TestScope
	buckets tally.DurationBuckets

	// scrapeMu serialises scrapes; an older value that is collected after a newer one would look like a counter that went
	// backward.
	scrapeMu sync.Mutex

	mu sync.Mutex
	// parts holds the function that returns the counters of each registered part.
	parts map[string]func() map[string]int64
	// gauges holds the function that returns the gauges of each part that has some.
	gauges map[string]func() map[string]int64
	// labelled holds the gauges with a label of each part that has some, and labelValues the values of the label of each of them,
	// which scrapeMu guards.
	labelled    map[string]labelledGauges
	labelValues map[string]map[string]bool
	// lastValues holds the value of each counter at the last scrape, by part and counter name.
	lastValues  map[string]int64
	histograms  map[LatencyHistogram]map[string]tally.Histogram
	seriesCount int
	scrapes     int64
	// backwardCounters counts the times that a part reported a counter below its earlier value.
	backwardCounters int64
}

// New returns a meter whose only part is itself.
func New() *Meter {
	root, _ := tally.NewRootScope(tally.ScopeOptions{OmitCardinalityMetrics: true}, 0)
	scope, ok := root.(tally.TestScope)
	if !ok {
		panic("meter: the root scope of tally has no snapshot")
	}
	m := &Meter{
		scope: scope, buckets: latencyBuckets(), parts: map[string]func() map[string]int64{}, gauges: map[string]func() map[string]int64{},
		labelled: map[string]labelledGauges{}, labelValues: map[string]map[string]bool{},
		lastValues: map[string]int64{}, histograms: map[LatencyHistogram]map[string]tally.Histogram{},
	}
	m.parts["meter"] = m.Counters
	return m
}

// latencyBuckets returns upper bounds from 1 ms to 10 min; the latency targets 60 ms and 1.4 s are bounds themselves, so
// that the share of requests within a target is exact.
func latencyBuckets() tally.DurationBuckets {
	return tally.DurationBuckets{
		time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond,
		60 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond, time.Second,
		1400 * time.Millisecond, 2 * time.Second, 4 * time.Second, 7 * time.Second, 15 * time.Second, 30 * time.Second, time.Minute,
		2 * time.Minute, 5 * time.Minute, 10 * time.Minute,
	}
}

// Register adds the counters of a part under a name in kebab case and panics if the name is taken.
func (m *Meter) Register(name string, counters func() map[string]int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, taken := m.parts[name]; taken {
		panic("meter: the part " + name + " is registered twice")
	}
	m.parts[name] = counters
}

// RegisterGauges adds values of a part that go up and down, and panics if the part has some already.
func (m *Meter) RegisterGauges(name string, gauges func() map[string]int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, taken := m.gauges[name]; taken {
		panic("meter: the gauges of " + name + " are registered twice")
	}
	m.gauges[name] = gauges
}

// Observe adds a duration to the series of a histogram that has the given label value; a negative duration counts as 0.
func (m *Meter) Observe(l LatencyHistogram, label string, d time.Duration) {
	m.histogram(l, label).RecordDuration(max(0, d))
}

// overflowLabel is the label value of all durations whose own label would exceed maxSeries.
const overflowLabel = "other"

func (m *Meter) histogram(l LatencyHistogram, label string) tally.Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	byLabel := m.histograms[l]
	if byLabel == nil {
		byLabel = map[string]tally.Histogram{}
		m.histograms[l] = byLabel
	}
	if h, ok := byLabel[label]; ok {
		return h
	}
	if m.seriesCount >= maxSeries {
		label = overflowLabel
		if h, ok := byLabel[label]; ok {
			return h
		}
	}
	m.seriesCount++
	h := m.scope.Tagged(map[string]string{l.Label: label}).Histogram(l.Name, m.buckets)
	byLabel[label] = h
	return h
}

// collect reads the counters of every part and raises those of the scope to them.
func (m *Meter) collect() {
	m.scrapeMu.Lock()
	defer m.scrapeMu.Unlock()
	m.mu.Lock()
	m.scrapes++
	parts, gauges, labelled := maps.Clone(m.parts), maps.Clone(m.gauges), maps.Clone(m.labelled)
	m.mu.Unlock()

	// The parts are read without holding mu, because they may call Observe under their own lock, which would deadlock.
	values := make(map[string]map[string]int64, len(parts))
	for part, counters := range parts {
		values[part] = counters()
	}
	for part, values := range gauges {
		for name, n := range values() {
			m.scope.Gauge(part + " " + name).Update(float64(n))
		}
	}
	for part, g := range labelled {
		m.collectLabelled(part, g)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for part, counters := range values {
		for name, n := range counters {
			m.raiseCounter(part+" "+name, n)
		}
	}
}

// raiseCounter raises a counter to n. A counter that went backward keeps its value, because the text format promises
// monotonic counters within one process. A new counter beyond maxSeries is ignored. The caller holds mu.
func (m *Meter) raiseCounter(name string, n int64) {
	last, known := m.lastValues[name]
	switch {
	case !known && m.seriesCount >= maxSeries:
		return
	case !known:
		m.seriesCount++
	case n < last:
		m.backwardCounters++
		return
	}
	m.lastValues[name] = n
	m.scope.Counter(name).Inc(n - last)
}

// ServeHTTP serves GET /metrics in the Prometheus text format, version 0.0.4.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		http.Error(w, "only GET", http.StatusMethodNotAllowed)
		return
	}
	m.collect()
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	var b strings.Builder
	writeText(&b, m.scope.Snapshot())
	// A write fails only if the client has disconnected, so there is no one to report the error to.
	_, _ = w.Write([]byte(b.String()))
}

// Counters returns the numbers of scrapes and of times that a counter went backward.
func (m *Meter) Counters() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return map[string]int64{"scrapes": m.scrapes, "backward-counters": m.backwardCounters}
}

// State is what the state dump shows of a meter.
type State struct {
	Parts  int `json:"parts"`
	Series int `json:"series"`
}

// State returns the numbers of registered parts and of series.
func (m *Meter) State() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return State{Parts: len(m.parts), Series: m.seriesCount}
}
