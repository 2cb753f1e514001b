package evacuator_test

import (
	"maps"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/evacuator"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
)

var (
	dataCentres = []identifier.DataCentre{"a", "b", "c"}
	waits       = []time.Duration{time.Millisecond, time.Second, hold / 2, hold - 1, 2 * hold}
)

// storeCopy is the contents of the store at one moment.
type storeCopy struct {
	rows    map[identifier.DataCentre]uint64
	version uint64
}

// model is a store, the operator who writes to it, and entries that read it.
type model struct {
	t   *rapid.T
	now time.Time
	storeCopy
	era     uint64
	history []evacuator.Change
	copied  *storeCopy
	isOut   bool
	// ordered holds what the operator wants. Within hold after a return, at rewriteAt, he writes again what differs from that.
	ordered   map[identifier.DataCentre]bool
	rewriteAt time.Time
	entries   []*entry
}

// entry is an entry of the model.
type entry struct {
	*evacuator.Evacuator
	at          storer.Position
	confirmedAt time.Time
	// known holds the orders that have been in effect here since the operator gave them.
	known map[identifier.DataCentre]bool
}

func (m *model) write(name identifier.DataCentre, withdrawn bool) {
	m.version++
	if withdrawn {
		delete(m.rows, name)
	} else {
		m.rows[name] = m.version
	}
	m.history = append(m.history, evacuator.Change{DataCentre: name, At: storer.Position{Era: m.era, Version: m.version}, Withdrawn: withdrawn})
}

func (m *model) order(name identifier.DataCentre, withdrawn bool) {
	if m.isOut || m.ordered[name] == !withdrawn {
		return
	}
	m.ordered[name] = !withdrawn
	m.write(name, withdrawn)
	if withdrawn {
		for _, e := range m.entries {
			delete(e.known, name)
		}
	}
}

// comeBack restores the copy; what the operator wrote since then is lost.
func (m *model) comeBack() {
	if m.copied == nil {
		return
	}
	m.storeCopy = storeCopy{maps.Clone(m.copied.rows), m.copied.version}
	m.era++
	m.history = nil
	m.isOut = false
	m.rewriteAt = m.now.Add(time.Duration(rapid.Int64Range(0, int64(hold)-1).Draw(m.t, "until written again")))
}

// rewrite is what the operator writes again after a return.
func (m *model) rewrite() {
	m.rewriteAt = time.Time{}
	for _, name := range dataCentres {
		if _, isThere := m.rows[name]; isThere != m.ordered[name] {
			m.write(name, isThere)
		}
	}
}

// read makes an entry read the store as a follower does.
func (m *model) read(e *entry) {
	if m.isOut {
		return
	}
	p := storer.Position{Era: m.era, Version: m.version}
	// A history that begins after the position of the entry does not have all changes.
	hasChanges := len(m.history) == 0 && e.at == p || len(m.history) > 0 && m.history[0].At.Version <= e.at.Version+1
	b := evacuator.Batch{At: p, All: e.at.Era != m.era || !hasChanges, Returned: e.at != (storer.Position{}) && e.at.Era != m.era}
	if b.All {
		for name, version := range m.rows {
			b.Changes = append(b.Changes, evacuator.Change{DataCentre: name, At: storer.Position{Era: m.era, Version: version}})
		}
	} else {
		for _, c := range m.history {
			if e.at.Before(c.At) {
				b.Changes = append(b.Changes, c)
			}
		}
	}
	e.Apply(b)
	e.at, e.confirmedAt = p, m.now
	e.EndHolds(e.confirmedAt)
}

// start returns an entry that has read the store and asked another one if the store has ever come back.
func (m *model) start() *entry {
	e := &entry{known: map[identifier.DataCentre]bool{}}
	e.Evacuator = evacuator.New(hold, evacuator.WithNow(func() time.Time { return m.now }))
	m.read(e)
	return e
}

func (m *model) restart(i int) {
	if m.isOut {
		return
	}
	e, other := m.start(), m.entries[1-i]
	if m.era > 0 {
		e.Learn(other.Claims(len(dataCentres)))
	}
	m.entries[i] = e
	for _, name := range dataCentres {
		if _, isThere := m.rows[name]; isThere || m.era > 0 && other.known[name] {
			must.True(m.t, e.IsEvacuated(name), must.Sprintf("entry that starts does not know the order for %s", name))
		}
	}
}

func (m *model) wait(d time.Duration) {
	for _, e := range m.entries {
		e.EndHolds(e.confirmedAt)
	}
	if !m.rewriteAt.IsZero() && !m.now.Add(d).Before(m.rewriteAt) {
		m.now = m.rewriteAt
		m.isOut = false
		m.rewrite()
		return
	}
	m.now = m.now.Add(d)
}

// check checks that no entry has stopped obeying an order that the operator has not withdrawn.
func (m *model) check() {
	for i, e := range m.entries {
		for _, name := range dataCentres {
			switch {
			case m.ordered[name] && e.known[name]:
				must.True(m.t, e.IsEvacuated(name), must.Sprintf("entry %d no longer obeys the order for %s", i, name))
			case m.ordered[name]:
				e.known[name] = e.IsEvacuated(name)
			}
		}
	}
}

// Guards against an entry that sends to an evacuated data centre, whatever happens to the store after the order, and against one that does
// not use a data centre again after the withdrawal.
func TestOrdersAreObeyed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, now: time.Unix(1000, 0), storeCopy: storeCopy{rows: map[identifier.DataCentre]uint64{}, version: 1},
			ordered: map[identifier.DataCentre]bool{},
		}
		m.entries = []*entry{m.start(), m.start()}
		actions := map[string]func(){
			"order":    func() { m.order(rapid.SampledFrom(dataCentres).Draw(t, "data centre"), false) },
			"withdraw": func() { m.order(rapid.SampledFrom(dataCentres).Draw(t, "data centre"), true) },
			"read":     func() { m.read(m.entries[rapid.IntRange(0, 1).Draw(t, "entry")]) },
			"drop history": func() {
				m.history = nil
			},
			"copy":    func() { m.copied = &storeCopy{maps.Clone(m.rows), m.version} },
			"return":  m.comeBack,
			"outage":  func() { m.isOut = !m.isOut },
			"restart": func() { m.restart(rapid.IntRange(0, 1).Draw(t, "entry")) },
			"wait":    func() { m.wait(rapid.SampledFrom(waits).Draw(t, "wait")) },
		}
		names := []string{"order", "withdraw", "read", "read", "read", "drop history", "copy", "return", "outage", "restart", "wait", "wait"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			actions[rapid.SampledFrom(names).Draw(t, "action")]()
			m.check()
		}
		m.isOut = false
		m.rewrite()
		for range 2 {
			for _, e := range m.entries {
				m.read(e)
			}
			m.now = m.now.Add(hold)
		}
		for _, e := range m.entries {
			m.read(e)
			for _, name := range dataCentres {
				must.EqOp(t, m.ordered[name], e.IsEvacuated(name), must.Sprint(name))
			}
		}
	})
}
