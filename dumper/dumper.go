package dumper

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// Path is where a process serves its state dump.
const Path = "/debug/state"

// Dump is the state of a process at one point in time.
type Dump struct {
	Instance identifier.Instance        `json:"instance"`
	At       time.Time                  `json:"at"`
	Parts    map[string]json.RawMessage `json:"parts"`
}

// Dumper collects the states of the registered parts and is safe for concurrent use.
type Dumper struct {
	instance identifier.Instance
	now      func() time.Time

	mu             sync.Mutex
	parts          map[string]func() any
	dumps          int64
	redactedValues int64
}

// Option configures a Dumper.
type Option func(*Dumper)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(d *Dumper) { d.now = now } }

// New returns a dumper without parts.
func New(instance identifier.Instance, opts ...Option) *Dumper {
	d := &Dumper{instance: instance, now: time.Now, parts: map[string]func() any{}}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Register adds a part under a name in kebab case and panics if the name is taken.
func (d *Dumper) Register(name string, state func() any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, taken := d.parts[name]; taken {
		panic("dumper: the part " + name + " is registered twice")
	}
	d.parts[name] = state
}

// Dump returns the state of every part; a key or value that looks like a secret is replaced and counted.
func (d *Dumper) Dump() (Dump, error) {
	d.mu.Lock()
	parts := make(map[string]func() any, len(d.parts))
	for name, state := range d.parts {
		parts[name] = state
	}
	d.dumps++
	d.mu.Unlock()

	out := Dump{Instance: d.instance, At: d.now(), Parts: make(map[string]json.RawMessage, len(parts))}
	for name, state := range parts {
		b, err := json.Marshal(state())
		if err != nil {
			return out, fmt.Errorf("dumper: state of %s: %w", name, err)
		}
		redacted, n, err := redact(b)
		if err != nil {
			return out, fmt.Errorf("dumper: state of %s: %w", name, err)
		}
		out.Parts[name] = redacted
		d.mu.Lock()
		d.redactedValues += int64(n)
		d.mu.Unlock()
	}
	return out, nil
}

// ServeHTTP serves GET /debug/state.
func (d *Dumper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		http.Error(w, "only GET", http.StatusMethodNotAllowed)
		return
	}
	dump, err := d.Dump()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	// A write fails only if the client has disconnected, so there is no one to report the error to.
	_ = json.NewEncoder(w).Encode(dump)
}

// Counters returns the numbers of dumps and of redacted values; each redacted value shows a fault of the part that
// included it in its state.
func (d *Dumper) Counters() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return map[string]int64{"dumps": d.dumps, "redacted-values": d.redactedValues}
}

// State is what the state dump shows of a dumper.
type State struct {
	Parts int `json:"parts"`
}

// State returns the number of registered parts.
func (d *Dumper) State() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return State{Parts: len(d.parts)}
}

// fetchTimeout bounds one call of Fetch.
const fetchTimeout = 10 * time.Second

// maxDumpBytes bounds a dump that Fetch reads; a process at the target size has less than 64 MB of state.
const maxDumpBytes = 64 << 20

// Fetch gets the dump of the process at the given address.
func Fetch(ctx context.Context, address netip.AddrPort) (Dump, error) {
	var out Dump
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+Path, http.NoBody)
	if err != nil {
		return out, fmt.Errorf("dumper: fetch from %s: %w", address, err)
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return out, fmt.Errorf("dumper: fetch from %s: %w", address, err)
	}
	defer w.Body.Close()
	if w.StatusCode != http.StatusOK {
		return out, fmt.Errorf("dumper: fetch from %s: status %s", address, w.Status)
	}
	if err := json.NewDecoder(io.LimitReader(w.Body, maxDumpBytes)).Decode(&out); err != nil {
		return out, fmt.Errorf("dumper: fetch from %s: %w", address, err)
	}
	return out, nil
}
