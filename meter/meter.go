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

// prefix is the first part of the name of every metric.
const prefix = "siskinfront"

// maxSeries bounds the counters and labels of a process, so that a name taken from a request cannot fill the memory.
const maxSeries = 4096

// Meter holds the metrics of a process in one tally scope and is safe for concurrent use.
type Meter struct {
	// The scope has no reporter, so that a snapshot holds the totals since the start.
	scope   tally.TestScope
	buckets tally.DurationBuckets

	// collecting keeps scrapes apart; an older value that is counted after a newer one would look like a step backward.
	collecting sync.Mutex

	mu         sync.Mutex
	parts      map[string]func() map[string]int64
	last       map[string]int64
	histograms map[Latency]map[string]tally.Histogram
	series     int
	scrapes    int64
	backward   int64
}

// New returns a meter without parts.
func New() *Meter {
	root, _ := tally.NewRootScope(tally.ScopeOptions{OmitCardinalityMetrics: true}, 0)
	scope, ok := root.(tally.TestScope)
	if !ok {
		panic("meter: the root scope of tally has no snapshot")
	}
	m := &Meter{
		scope: scope, buckets: buckets(), parts: map[string]func() map[string]int64{},
		last: map[string]int64{}, histograms: map[Latency]map[string]tally.Histogram{},
	}
	m.parts["meter"] = m.Counters
	return m
}

// buckets returns upper bounds from 1 ms to 10 min; the targets 60 ms and 1.4 s are bounds themselves, so that the share
// of requests within the target is exact.
func buckets() tally.DurationBuckets {
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

// Observe adds a duration to a histogram under the value of its label.
func (m *Meter) Observe(l Latency, label string, d time.Duration) {
	m.histogram(l, label).RecordDuration(max(0, d))
}

// overflowLabel stands for the labels beyond the bound of series.
const overflowLabel = "other"

func (m *Meter) histogram(l Latency, label string) tally.Histogram {
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
	if m.series >= maxSeries {
		label = overflowLabel
		if h, ok := byLabel[label]; ok {
			return h
		}
	}
	m.series++
	h := m.scope.Tagged(map[string]string{l.Label: label}).Histogram(l.Name, m.buckets)
	byLabel[label] = h
	return h
}

// collect moves the counters of every part into the scope.
func (m *Meter) collect() {
	m.collecting.Lock()
	defer m.collecting.Unlock()
	m.mu.Lock()
	m.scrapes++
	parts := maps.Clone(m.parts)
	m.mu.Unlock()

	// The parts are asked without the lock, because they may observe a latency under their own lock.
	values := make(map[string]map[string]int64, len(parts))
	for part, counters := range parts {
		values[part] = counters()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for part, counters := range values {
		for name, n := range counters {
			m.count(part+" "+name, n)
		}
	}
}

// count raises a counter to n. A counter that went backward stays where it is, because the text format promises
// monotonic counters within one process.
func (m *Meter) count(name string, n int64) {
	last, known := m.last[name]
	switch {
	case !known && m.series >= maxSeries:
		return
	case !known:
		m.series++
	case n < last:
		m.backward++
		return
	}
	m.last[name] = n
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
	// The client has gone if this fails; there is nobody to tell.
	_, _ = w.Write([]byte(b.String()))
}

// Counters returns the numbers of scrapes and of counters that went backward.
func (m *Meter) Counters() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return map[string]int64{"scrapes": m.scrapes, "backward-counters": m.backward}
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
	return State{Parts: len(m.parts), Series: m.series}
}
