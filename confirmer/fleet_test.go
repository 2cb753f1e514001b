package confirmer_test

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/confirmer"
	"github.com/siskinfront/siskinfront/follower"
	"github.com/siskinfront/siskinfront/pacer"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	bound   = 3 * time.Second
	oneWay  = time.Millisecond
	tableID = 1
)

// fleet is a number of followers of one table of a store, with datagrams between them, in a synctest bubble.
type fleet struct {
	entries []*entry

	mu           sync.Mutex
	era, version uint64
	changes      []uint64
	oldest       uint64
	// writes holds when each position was written.
	changed chan struct{}
	// delay returns how late a datagram arrives, or false if it is lost; nil is a link without faults.
	delay func(from, to int) (time.Duration, bool)
	calls int
	// listed is the number of entries in the shared table, or 0 for all.
	listed int
}

// entry is one follower, with its own clock.
type entry struct {
	*fleet
	index    int
	table    *confirmer.Table
	clocks   *confirmer.Clocks
	follower *follower.Follower[uint64]
	now      func() time.Time

	mu sync.Mutex
	// silentBefore is the time before which calls began that deliver nothing; err is the error of every call.
	silentBefore time.Time
	silent       bool
	err          error
	// stale is set if calls without a wait are answered with an earlier position than they name.
	stale bool
	made  int
	// slow is how long a reply with changes takes to arrive.
	slow     time.Duration
	applied  map[storer.Position]time.Time
	received []time.Time
	bytes    int
}

// runFleet runs a test with a fleet after it has run for 40 s, so that calls wait on confirmations.
func runFleet(t *testing.T, n int, shared bool, test func(*testing.T, *fleet)) {
	t.Helper()
	defer limitProcessors()()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{era: 1, version: 10, changes: []uint64{5, 10}, changed: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		var duties sync.WaitGroup
		for i := range n {
			f.entries = append(f.entries, f.newEntry(i, shared))
		}
		for _, e := range f.entries {
			duties.Go(func() {
				time.Sleep(time.Duration(e.index) * 37 * time.Millisecond % (2 * time.Second))
				_ = e.follower.Run(ctx)
			})
			if shared {
				duties.Go(func() { e.askClocks(ctx) })
			}
		}
		time.Sleep(40*time.Second + time.Duration(n)*confirmer.QuestionInterval)
		test(t, f)
		cancel()
		duties.Wait()
		time.Sleep(time.Minute)
	})
}

func (f *fleet) newEntry(i int, shared bool) *entry {
	// The clocks differ by hours and run at different rates.
	began, offset, rate := time.Now(), time.Duration(i)*time.Hour, 1+float64(i%5-2)*200/1_000_000
	e := &entry{fleet: f, index: i, applied: map[storer.Position]time.Time{}}
	e.now = func() time.Time { return began.Add(offset + time.Duration(rate*float64(time.Since(began)))) }
	e.follower = follower.New(e.source(), e.apply, slog.New(slog.DiscardHandler))
	pace := func() pacer.Pace {
		return pacer.Plan(pacer.Bounds{Within: bound, Reconnect: bound}, pacer.Readers{Entries: len(f.entries), Tables: 3})
	}
	e.follower.Pace, e.follower.Now = pace, e.now
	e.clocks = confirmer.NewClocks(e.now)
	e.table = confirmer.New(tableID, confirmer.WithNow(e.now), confirmer.WithPace(pace),
		confirmer.WithNumEntries(f.numListed),
		confirmer.WithRank(func(_ confirmer.TableID, event uint32) int { return f.rank(i, event) }),
		confirmer.WithTell(func(c confirmer.Claim, at time.Time) {
			m := e.clocks.Message(c, at)
			for j := range f.entries {
				e.send(j, &m)
			}
		}))
	if shared {
		e.follower.Confirmer = e.table
	}
	return e
}

func (f *fleet) rank(of int, event uint32) int {
	draw := func(i int) uint64 {
		x := (uint64(i)+1)*0x9e3779b97f4a7c15 ^ (uint64(event)+1)*0xbf58476d1ce4e5b9
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
		return (x ^ x>>27) * 0x94d049bb133111eb
	}
	n, own := 0, draw(of)
	for i := range f.numListed() {
		if i != of && draw(i) < own {
			n++
		}
	}
	return n
}

func (f *fleet) setDelay(delay func(from, to int) (time.Duration, bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 1)
}

// send sends a datagram to another entry.
func (e *entry) send(to int, m *confirmer.Message) {
	e.fleet.mu.Lock()
	delay := e.delay
	e.fleet.mu.Unlock()
	d, ok := oneWay, true
	if delay != nil {
		d, ok = delay(e.index, to)
	}
	if to == e.index || !ok {
		return
	}
	data := m.Encode()
	time.AfterFunc(d, func() { e.entries[to].receive(e.index, data) })
}

func (e *entry) receive(from int, data []byte) {
	m, err := confirmer.Decode(data)
	if err != nil {
		panic(err)
	}
	e.mu.Lock()
	e.bytes = max(e.bytes, len(data))
	if m.Kind == confirmer.KindClaim {
		e.received = append(e.received, time.Now())
	}
	e.mu.Unlock()
	switch m.Kind {
	case confirmer.KindClaim:
		e.table.Receive(m.Claim, e.clocks.TimeOf(address(from), m.Stamp))
	case confirmer.KindQuestion:
		e.send(from, &confirmer.Message{Kind: confirmer.KindAnswer, Stamp: e.clocks.Stamp(), Echo: m.Stamp})
	case confirmer.KindAnswer:
		e.clocks.Learn(address(from), &m)
	}
}

func (e *entry) askClocks(ctx context.Context) {
	var peers []netip.AddrPort
	for i := range e.entries {
		if i != e.index {
			peers = append(peers, address(i))
		}
	}
	for ctx.Err() == nil {
		if a, ok := e.clocks.Ask(peers); ok {
			b := a.Addr().As4()
			e.send(int(b[2])<<8|int(b[3]), &confirmer.Message{Kind: confirmer.KindQuestion, Stamp: e.clocks.Stamp()})
		}
		_ = storer.Sleep(ctx, confirmer.QuestionInterval)
	}
}

func (e *entry) apply(b follower.Batch[uint64]) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, v := range b.Rows {
		p := storer.Position{Era: b.At.Era, Version: v}
		if e.applied[p].IsZero() {
			e.applied[p] = time.Now()
		}
	}
}

var errRefused = errors.New("refused")

// begin waits as long as a call that begins now is hidden by a fault.
func (e *entry) begin(ctx context.Context) (began time.Time, err error) {
	e.fleet.mu.Lock()
	e.calls++
	e.made++
	e.fleet.mu.Unlock()
	began = time.Now()
	if err := storer.Sleep(ctx, oneWay); err != nil {
		return began, err
	}
	e.mu.Lock()
	silent, err := e.silent, e.err
	e.mu.Unlock()
	if silent {
		<-ctx.Done()
		return began, ctx.Err()
	}
	return began, err
}

// end waits as long as a reply is hidden.
func (e *entry) end(ctx context.Context, began time.Time) error {
	if err := storer.Sleep(ctx, oneWay); err != nil {
		return err
	}
	e.mu.Lock()
	silent := e.silent || !began.After(e.silentBefore)
	e.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (e *entry) source() follower.Source[uint64] {
	return follower.Source[uint64]{
		Name: "test",
		Read: func(ctx context.Context) ([]uint64, storer.Extent, error) {
			began, err := e.begin(ctx)
			if err != nil {
				return nil, storer.Extent{}, err
			}
			rows, at, _ := e.after(0)
			return rows, at, e.end(ctx, began)
		},
		Changes: func(ctx context.Context, after storer.Position, wait time.Duration) ([]uint64, storer.Extent, error) {
			began, err := e.begin(ctx)
			if err != nil {
				return nil, storer.Extent{}, err
			}
			e.mu.Lock()
			stale := e.stale && wait == 0
			e.mu.Unlock()
			if stale {
				return nil, storer.Extent{Position: storer.Position{Era: after.Era, Version: after.Version - 1}}, e.end(ctx, began)
			}
			timeout := make(chan struct{})
			defer closeAfter(wait, timeout).Stop()
			for timedOut := false; ; {
				e.fleet.mu.Lock()
				changed, lost := e.changed, after.Version+1 < e.oldest || after.Version > e.version
				e.fleet.mu.Unlock()
				rows, at, n := e.after(after.Version)
				switch {
				case lost:
					return nil, storer.Extent{}, errors.Join(follower.ErrHistoryLost, e.end(ctx, began))
				case n > 0 || timedOut:
					return rows, at, errors.Join(e.transfer(ctx, n), e.end(ctx, began))
				}
				select {
				case <-ctx.Done():
					return nil, storer.Extent{}, ctx.Err()
				case <-timeout:
					timedOut = true
				case <-changed:
				}
			}
		},
	}
}

// transfer waits while a reply with some changes arrives.
func (e *entry) transfer(ctx context.Context, changes int) error {
	e.mu.Lock()
	slow := e.slow
	e.mu.Unlock()
	if changes == 0 || slow == 0 {
		return nil
	}
	return storer.Sleep(ctx, slow)
}

// after returns the changes after a version.
func (f *fleet) after(version uint64) ([]uint64, storer.Extent, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := storer.Extent{Position: storer.Position{Era: f.era, Version: f.version}}
	var rows []uint64
	for _, v := range f.changes {
		if v > version {
			rows, at.LastChange = append(rows, v), v
		}
	}
	return rows, at, len(rows)
}

// update changes the store and wakes the calls that it holds.
func (f *fleet) update(change func()) storer.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
	return storer.Position{Era: f.era, Version: f.version}
}

// write changes the table.
func (f *fleet) write() storer.Position {
	return f.update(func() {
		f.version++
		f.changes = append(f.changes, f.version)
	})
}

// writeOther changes another table.
func (f *fleet) writeOther() {
	f.update(func() { f.version++ })
}

func (e *entry) set(change func(*entry)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

// silence makes the connections of the present calls of an entry deliver nothing any more.
func (e *entry) silence() {
	e.set(func(e *entry) { e.silentBefore = time.Now() })
}

func (e *entry) has(p storer.Position) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.applied[p].IsZero()
}

// mustApplyWithin requires that all entries apply a change within a time from now.
func (f *fleet) mustApplyWithin(t *testing.T, p storer.Position, within time.Duration, except ...int) {
	t.Helper()
	began := time.Now()
	time.Sleep(within)
	for i, e := range f.entries {
		skip := false
		for _, x := range except {
			skip = skip || x == i
		}
		if !skip {
			must.True(t, e.has(p), must.Sprintf("entry %d lacks %s after %s", i, p, within))
			e.mu.Lock()
			must.LessEq(t, within, e.applied[p].Sub(began))
			e.mu.Unlock()
		}
	}
}

// numCalls returns the calls of the store so far.
func (f *fleet) numCalls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// allLong reports whether the held calls of all entries wait on confirmations.
func (f *fleet) allLong() bool {
	for _, e := range f.entries {
		if !e.table.State().Long {
			return false
		}
	}
	return true
}
