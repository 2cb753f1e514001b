package explainer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// PathPrefix is where a process serves decision records, followed by the name of the request.
const PathPrefix = "/debug/explain/"

// ErrNotFound is returned by Fetch for a request of which the process has no record, or no longer has one.
var ErrNotFound = errors.New("explainer: no record of that request")

// Step is one decision about a request.
type Step struct {
	At time.Time `json:"at"`
	// Component is the package that decided, such as selector.
	Component string `json:"part"`
	// Decision is what was decided.
	Decision string `json:"decision"`
	// Reason is why, with the figures behind the decision; it never has content of the request.
	Reason string `json:"reason"`
}

// DecisionRecord lists the decisions of one process about one request.
type DecisionRecord struct {
	Request  identifier.Request  `json:"request"`
	At       time.Time           `json:"at"`
	Target   identifier.Target   `json:"target"`
	Upstream identifier.Upstream `json:"upstream"`
	Steps    []Step              `json:"steps"`
}

// maxStepsPerRecord bounds the steps of one record; it leaves room for a few attempts of about ten steps each.
const maxStepsPerRecord = 64

// Explainer is a ring buffer of a fixed number of records and is safe for concurrent use.
type Explainer struct {
	now func() time.Time

	mu      sync.Mutex
	records []DecisionRecord
	// next is the index in records that the next new record overwrites.
	next int
	// index holds the index in records of each recorded request.
	index        map[identifier.Request]int
	added        int64
	evicted      int64
	droppedSteps int64
}

// Option configures an Explainer.
type Option func(*Explainer)

// WithNow sets the clock that gives a time to records and steps without one.
func WithNow(now func() time.Time) Option { return func(e *Explainer) { e.now = now } }

// New returns an explainer that keeps the newest n records and panics if n is not positive.
func New(n int, opts ...Option) *Explainer {
	if n <= 0 {
		panic("explainer: at least one record must be kept")
	}
	e := &Explainer{now: time.Now, records: make([]DecisionRecord, n), index: make(map[identifier.Request]int, n)}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Add stores a record and evicts the oldest one if the ring is full. The steps of a later attempt of a recorded request
// are appended to its record, whose target and upstream become those of the newest attempt that has them.
func (e *Explainer) Add(r DecisionRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.added++
	if r.At.IsZero() {
		r.At = e.now()
	}
	r.Steps = slices.Clone(r.Steps)
	for i := range r.Steps {
		if r.Steps[i].At.IsZero() {
			r.Steps[i].At = r.At
		}
	}
	if i, known := e.index[r.Request]; known {
		old := &e.records[i]
		old.Steps = append(old.Steps, r.Steps...)
		e.truncateSteps(old)
		if r.Target != (identifier.Target{}) {
			old.Target = r.Target
		}
		if r.Upstream != "" {
			old.Upstream = r.Upstream
		}
		return
	}
	if oldest := e.records[e.next].Request; oldest != "" {
		delete(e.index, oldest)
		e.evicted++
	}
	e.truncateSteps(&r)
	e.records[e.next] = r
	e.index[r.Request] = e.next
	e.next = (e.next + 1) % len(e.records)
}

// truncateSteps drops steps beyond the maximum; it keeps the first ones, which hold the original decision.
func (e *Explainer) truncateSteps(r *DecisionRecord) {
	if n := len(r.Steps) - maxStepsPerRecord; n > 0 {
		e.droppedSteps += int64(n)
		r.Steps = r.Steps[:maxStepsPerRecord]
	}
}

// Find returns the record of a request.
func (e *Explainer) Find(name identifier.Request) (DecisionRecord, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i, ok := e.index[name]
	if !ok {
		return DecisionRecord{}, false
	}
	r := e.records[i]
	r.Steps = slices.Clone(r.Steps)
	return r, true
}

// ServeHTTP serves GET /debug/explain/{request-id}.
func (e *Explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		http.Error(w, "only GET", http.StatusMethodNotAllowed)
		return
	}
	name := ""
	if len(r.URL.Path) > len(PathPrefix) {
		name = r.URL.Path[len(PathPrefix):]
	}
	record, ok := e.Find(identifier.Request(name))
	if name == "" || !ok {
		http.Error(w, "no record of that request; the process keeps the newest "+strconv.Itoa(len(e.records)), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	// A write fails only if the client has disconnected, so there is no one to report the error to.
	_ = json.NewEncoder(w).Encode(record)
}

// Counters returns the numbers of added and evicted records and of dropped steps.
func (e *Explainer) Counters() map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]int64{"records-added": e.added, "records-evicted": e.evicted, "steps-dropped": e.droppedSteps}
}

// State is what the state dump shows of an explainer.
type State struct {
	Capacity int `json:"capacity"`
	Records  int `json:"records"`
}

// State returns the capacity of the ring and the number of records in it.
func (e *Explainer) State() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return State{Capacity: len(e.records), Records: len(e.index)}
}

// fetchTimeout bounds one call of Fetch.
const fetchTimeout = 10 * time.Second

// Fetch gets the record of a request from the process at the given address.
func Fetch(ctx context.Context, address netip.AddrPort, name identifier.Request) (DecisionRecord, error) {
	var out DecisionRecord
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+PathPrefix+url.PathEscape(string(name)), http.NoBody)
	if err != nil {
		return out, fmt.Errorf("explainer: fetch %s from %s: %w", name, address, err)
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return out, fmt.Errorf("explainer: fetch %s from %s: %w", name, address, err)
	}
	defer w.Body.Close()
	switch w.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return out, fmt.Errorf("explainer: fetch %s from %s: %w", name, address, ErrNotFound)
	default:
		return out, fmt.Errorf("explainer: fetch %s from %s: status %s", name, address, w.Status)
	}
	if err := json.NewDecoder(w.Body).Decode(&out); err != nil {
		return out, fmt.Errorf("explainer: fetch %s from %s: %w", name, address, err)
	}
	return out, nil
}
