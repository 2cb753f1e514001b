package forwarder

import (
	"cmp"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// maxDumpedCallers bounds the slow callers in the state dump.
const maxDumpedCallers = 32

// State is the forwarder's part of the state dump.
type State struct {
	Active    int64 `json:"active"`
	BodyBytes int64 `json:"body-bytes"`
	// Headrooms holds the headroom of each service whose requests leave the choice of the model to the system.
	Headrooms map[identifier.Service]float64 `json:"headrooms"`
	// BacklogBytes is the memory of what was read of responses ahead of their callers, of which there are SlowCallers.
	BacklogBytes int64 `json:"backlog-bytes"`
	SlowCallers  int   `json:"slow-callers"`
	// Slowest holds those of them with the most memory.
	Slowest []SlowCaller `json:"slowest,omitempty"`
}

// SlowCaller is a request whose caller is behind the reading of its response.
type SlowCaller struct {
	Request string                   `json:"request"`
	Account identifier.ClientAccount `json:"account"`
	Route   string                   `json:"route"`
	Since   time.Time                `json:"since"`
	// HeldBytes is the memory of the backlog.
	HeldBytes int `json:"held-bytes"`
	// IsPaused is set while reading waits for the caller, and IsRead once the response was read to its end.
	IsPaused bool `json:"is-paused"`
	IsRead   bool `json:"is-read"`
}

// State returns the forwarder's part of the state dump.
func (f *Forwarder) State() any {
	slow := f.slowCallers()
	headrooms, _ := f.headrooms()
	return State{
		Headrooms: headrooms,
		Active:    f.active.Load(), BodyBytes: f.bodyBytes.Load(), BacklogBytes: f.backlogBytes.Load(),
		SlowCallers: len(slow), Slowest: slow[:min(len(slow), maxDumpedCallers)],
	}
}

// Gauges returns the values that go up and down.
func (f *Forwarder) Gauges() map[string]int64 {
	return map[string]int64{"backlog-bytes": f.backlogBytes.Load()}
}

// slowCallers returns the requests whose callers are behind, those with the most memory first.
func (f *Forwarder) slowCallers() []SlowCaller {
	var list []SlowCaller
	f.slow.Range(func(k, _ any) bool {
		list = append(list, k.(*delivery).state())
		return true
	})
	slices.SortFunc(list, func(a, b SlowCaller) int {
		return cmp.Or(cmp.Compare(b.HeldBytes, a.HeldBytes), a.Since.Compare(b.Since))
	})
	return list
}

// state returns what the state dump has of a delivery.
func (d *delivery) state() SlowCaller {
	d.mu.Lock()
	defer d.mu.Unlock()
	return SlowCaller{
		Request: d.q.id, Account: d.q.account, Route: d.q.route.Name, Since: d.since,
		HeldBytes: d.backlog.heldBytes, IsPaused: d.isPaused, IsRead: d.finished,
	}
}
