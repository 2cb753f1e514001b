package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/collector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/promoter"
	"github.com/siskinfront/siskinfront/storer"
)

// comeBack lets the store come back from an older copy, which the entries learn one after the other; the operator writes the order again.
func (f *tallyFleet) comeBack(version uint64) {
	at := f.store.comeBack(version)
	f.mu.Lock()
	f.orderAt = at
	f.mu.Unlock()
	for _, e := range f.list() {
		go func() {
			time.Sleep(rand.N(300 * time.Millisecond))
			e.storeReturned(at.Era)
			time.Sleep(rand.N(200 * time.Millisecond))
			o := fleetOrder()
			o.At = at
			e.addOrder(o, true)
		}()
	}
}

// present returns the order as the store shows it.
func (f *tallyFleet) present() promoter.RolloutOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := fleetOrder()
	if f.orderAt.Era > 0 {
		o.At = f.orderAt
	}
	return o
}

// restart ends an entry and starts it anew: it is not ready until it has read the status of the order.
func (f *tallyFleet) restart(ctx context.Context, i int) {
	old := f.list()[i]
	old.kill()
	time.AfterFunc(300*time.Millisecond, func() {
		e := f.add(ctx, i, old.tallies != nil)
		e.ready.Store(false)
		e.addOrder(f.present(), false)
		for !e.allKnown() && !e.isKilled() && ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
		}
		e.ready.Store(true)
		if !f.badFrom.IsZero() {
			go f.send(ctx, e, 100*time.Millisecond, f.badFrom)
		}
	})
}

// fleetEntry is an entry of a simulated fleet.
type fleetEntry struct {
	*rollouts
	address netip.AddrPort
	fleet   *tallyFleet
	stop    context.CancelFunc

	faults      sync.Mutex
	killed      bool
	pausedUntil time.Time
	// unknown holds the entries that are missing in its list.
	unknown map[identifier.Instance]bool
	// change changes the answers that it sends.
	change func([]byte) []byte
}

// awaitResume waits while the entry is paused: nothing that it sends or receives passes.
func (e *fleetEntry) awaitResume(ctx context.Context) error {
	for {
		e.faults.Lock()
		d, killed := time.Until(e.pausedUntil), e.killed
		e.faults.Unlock()
		if killed {
			<-ctx.Done()
			return ctx.Err()
		}
		if d <= 0 {
			return ctx.Err()
		}
		// A call that ends during the pause is noticed after it.
		time.Sleep(d)
	}
}

func (e *fleetEntry) pause(d time.Duration) {
	e.faults.Lock()
	defer e.faults.Unlock()
	e.pausedUntil = time.Now().Add(d)
}

func (e *fleetEntry) kill() {
	e.faults.Lock()
	e.killed = true
	e.faults.Unlock()
	e.stop()
}

// forget sets whether another entry is missing in its list.
func (e *fleetEntry) forget(name identifier.Instance, missing bool) {
	e.faults.Lock()
	defer e.faults.Unlock()
	e.unknown[name] = missing
}

// isPaused reports whether the entry sends no requests. With or without collectors, one that resumes makes a step of two calls at once;
// which of its requests fall into that time is chance.
func (e *fleetEntry) isPaused() bool {
	e.faults.Lock()
	defer e.faults.Unlock()
	return time.Now().Before(e.pausedUntil.Add(stepTime))
}

func (e *fleetEntry) isKilled() bool {
	e.faults.Lock()
	defer e.faults.Unlock()
	return e.killed
}

// tallyFleet is a fleet of entries with one store, whose roll-outs step through collectors or not.
type tallyFleet struct {
	store   *tallyStore
	badFrom time.Time
	// cut reports whether calls between two entries are lost.
	cut func(from, to identifier.Instance) bool

	mu sync.Mutex
	// orderAt is the position of the order since the store came back.
	orderAt   storer.Position
	entries   []*fleetEntry
	byAddress map[netip.AddrPort]*fleetEntry
	// callBytes and answerBytes are what entries and collectors have sent.
	calls                  int
	callBytes, answerBytes int
	badAnswers             int
	// evidentAt is when the tallies of all entries together showed that the version is bad, fiftiethAt the time of the 50th bad answer, and
	// lastBadAt that of the last request to a bad version.
	evidentAt, fiftiethAt, lastBadAt time.Time
}

// newTallyFleet starts entries that have been ready for a while.
func newTallyFleet(ctx context.Context, n int, shared bool) *tallyFleet {
	f := &tallyFleet{
		store: newTallyStore(), byAddress: map[netip.AddrPort]*fleetEntry{}, cut: func(identifier.Instance, identifier.Instance) bool { return false },
	}
	for i := range n {
		f.add(ctx, i, shared)
	}
	return f
}

func (f *tallyFleet) add(ctx context.Context, i int, shared bool) *fleetEntry {
	e := &fleetEntry{fleet: f, unknown: map[identifier.Instance]bool{}}
	e.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7340)
	e.rollouts = newRollouts(&rolloutTable{}, identifier.Instance(fmt.Sprint("e", i)))
	e.bound = promoter.ExposureBound{Share: 0.15, Slack: 30}
	e.store = f.store.storeOf(e)
	e.wake = make(chan struct{}, 1)
	e.ready.Store(true)
	if shared {
		e.tallies = &tallySharing{
			self: e.entry, log: slog.New(slog.DiscardHandler), others: e.others, call: e.callCollectorAt, wake: make(chan struct{}, 1),
			loggedPeers: map[netip.Addr]bool{},
		}
	}
	f.mu.Lock()
	if i < len(f.entries) {
		f.entries = slices.Clone(f.entries)
		f.entries[i] = e
	} else {
		f.entries = append(f.entries, e)
	}
	f.byAddress[e.address] = e
	f.mu.Unlock()
	ctx, e.stop = context.WithCancel(ctx)
	go func() {
		// The ticks of the entries are not in step.
		_ = storer.Sleep(ctx, rand.N(250*time.Millisecond))
		_ = e.run(ctx)
	}()
	return e
}

func (f *tallyFleet) setCut(cut func(from, to identifier.Instance) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

func (f *tallyFleet) isCut(from, to identifier.Instance) bool {
	f.mu.Lock()
	cut := f.cut
	f.mu.Unlock()
	return cut(from, to)
}

// list returns the entries.
func (f *tallyFleet) list() []*fleetEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries
}

func (f *tallyFleet) byName(name identifier.Instance) *fleetEntry {
	list := f.list()
	return list[slices.IndexFunc(list, func(e *fleetEntry) bool { return e.entry == name })]
}

func (e *fleetEntry) others() (map[identifier.Instance]netip.AddrPort, bool) {
	m := map[identifier.Instance]netip.AddrPort{}
	e.faults.Lock()
	defer e.faults.Unlock()
	for _, other := range e.fleet.list() {
		if other != e && !e.unknown[other.entry] {
			m[other.entry] = other.address
		}
	}
	return m, true
}

// stepTime is the time of a step, with a store that is not slow.
const stepTime = 20 * time.Millisecond

var errCut = errors.New("runner: connection refused")

// callCollectorAt calls another entry of the fleet as a connection would.
func (e *fleetEntry) callCollectorAt(ctx context.Context, address netip.AddrPort, c collector.Call) ([]byte, error) {
	e.fleet.mu.Lock()
	to := e.fleet.byAddress[address]
	e.fleet.mu.Unlock()
	data, err := json.Marshal(c)
	if err != nil || to == nil {
		return nil, errors.Join(err, errCut)
	}
	if err := e.awaitResume(ctx); err != nil {
		return nil, err
	}
	if to.isKilled() {
		return nil, errCut
	}
	if e.fleet.isCut(e.entry, to.entry) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	_ = storer.Sleep(ctx, time.Millisecond)
	type result struct {
		answer []byte
		err    error
	}
	results := make(chan result, 1)
	go func() {
		// The handler does not know when its caller gives up.
		handlerCtx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if to.awaitResume(handlerCtx) != nil {
			return
		}
		answer, err := to.hold(handlerCtx, e.address, data)
		to.faults.Lock()
		change := to.change
		to.faults.Unlock()
		if change != nil {
			answer = change(answer)
		}
		if to.awaitResume(handlerCtx) == nil {
			time.Sleep(time.Millisecond)
			results <- result{answer, err}
		}
	}()
	select {
	case x := <-results:
		if e.awaitResume(ctx) != nil {
			return nil, ctx.Err()
		}
		e.fleet.mu.Lock()
		e.fleet.calls++
		e.fleet.callBytes += len(data)
		e.fleet.answerBytes += len(x.answer)
		e.fleet.mu.Unlock()
		return x.answer, x.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
