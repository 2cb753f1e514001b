package runner

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/collector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/messenger"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	// methodCollect is the method with which an entry calls the collector of an order.
	methodCollect = "collect-tally"
	// orderWait is how long a collector waits for an order that it has not read yet; the feeds of the entries differ by less than a second.
	orderWait         = time.Second
	orderPollInterval = 25 * time.Millisecond
	// maxHoldTime bounds the time for which a call is held; entries have given it up before.
	maxHoldTime = 4 * time.Second
	// listenRetryInterval is the pause after the listener for the calls of other entries failed.
	listenRetryInterval = 5 * time.Second
	// maxLoggedPeers bounds the peers whose refused calls were logged once.
	maxLoggedPeers = 512
)

var (
	errOrderUnknown  = errors.New("runner: order is not known")
	errOtherOrder    = errors.New("runner: another order is in progress")
	errNotCollecting = errors.New("runner: entry does not collect tallies now")
	errLateAnswer    = errors.New("runner: answer came after the end of the call")
)

// tallySharing lets entries carry out the steps of roll-outs through one of them, the collector.
type tallySharing struct {
	self identifier.Instance
	log  *slog.Logger
	// others returns the addresses of the other entries, and whether they are known.
	others func() (map[identifier.Instance]netip.AddrPort, bool)
	// call calls the collector at an address and returns its encoded answer.
	call func(context.Context, netip.AddrPort, collector.Call) ([]byte, error)
	// wake receives a value when a step may be due.
	wake chan struct{}

	collectedSteps, ownSteps, callsHeld, callsRefused, callsFailed atomic.Int64

	mu sync.Mutex
	// loggedPeers holds the peers of which a refused call was logged.
	loggedPeers map[netip.Addr]bool
}

// newTallySharing returns the sharing of tallies over connections of a pool.
func newTallySharing(s *sharing, pool *messenger.Pool, log *slog.Logger) *tallySharing {
	return &tallySharing{
		self: s.self, log: log, others: s.otherEntries, wake: make(chan struct{}, 1), loggedPeers: map[netip.Addr]bool{},
		call: func(ctx context.Context, address netip.AddrPort, c collector.Call) ([]byte, error) {
			conn, err := pool.Conn(ctx, address)
			if err != nil {
				return nil, err
			}
			return messenger.Call[collector.Call, json.RawMessage](ctx, conn, methodCollect, c)
		},
	}
}

// shareTallies lets roll-outs step through collectors, if the settings say so.
func (r *Runner) shareTallies() {
	r.tallyCalls = messenger.NewPool()
	r.tallies = newTallySharing(r.sharing, r.tallyCalls, r.log)
	if s := r.settings.Load(); s.SharedTallies && s.PeerAddress.IsValid() {
		r.rollouts.tallies = r.tallies
	}
}

// collectTallies serves the calls of other entries until ctx ends, if this one may be a collector.
func (r *Runner) collectTallies(ctx context.Context) error {
	if r.rollouts.tallies == nil {
		return nil
	}
	defer r.tallyCalls.Close()
	return r.rollouts.listen(ctx, r.settings.Load().PeerAddress)
}

// otherEntries returns the addresses of the other entries, and whether the table of the entries was read.
func (s *sharing) otherEntries() (map[identifier.Instance]netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[identifier.Instance]netip.AddrPort, len(s.entries))
	for name, e := range s.entries {
		m[name] = e.address
	}
	return m, s.peersKnown
}

// otherNames returns the names of the other entries, and whether they are known.
func (s *tallySharing) otherNames() ([]identifier.Instance, bool) {
	others, known := s.others()
	return slices.Collect(maps.Keys(others)), known
}

func (s *tallySharing) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// refuse counts a refused call and logs the first one of each peer.
func (s *tallySharing) refuse(from netip.AddrPort, err error) error {
	s.callsRefused.Add(1)
	s.mu.Lock()
	first := !s.loggedPeers[from.Addr()] && len(s.loggedPeers) < maxLoggedPeers
	if first {
		s.loggedPeers[from.Addr()] = true
	}
	s.mu.Unlock()
	if first {
		s.log.Warn("call of another entry refused", "step", methodCollect, "peer", from, "error", err.Error())
	}
	return &messenger.Error{Code: "refused", Message: err.Error()}
}

// Counters returns the totals since the start.
func (s *tallySharing) Counters() map[string]int64 {
	return map[string]int64{
		"collected-steps": s.collectedSteps.Load(), "own-steps": s.ownSteps.Load(), "calls-held": s.callsHeld.Load(),
		"calls-refused": s.callsRefused.Load(), "calls-failed": s.callsFailed.Load(),
	}
}

// listen serves the calls of other entries at an address until ctx ends.
func (r *rollouts) listen(ctx context.Context, address netip.AddrPort) error {
	mux := messenger.NewMux()
	messenger.Handle(mux, methodCollect, func(ctx context.Context, peer messenger.Peer, data json.RawMessage) (json.RawMessage, error) {
		return r.hold(ctx, peer.Address, data)
	})
	for ctx.Err() == nil {
		var config net.ListenConfig
		l, err := config.Listen(ctx, "tcp", address.String())
		if err == nil {
			err = messenger.Serve(ctx, l, mux)
			_ = l.Close()
		}
		if err != nil && ctx.Err() == nil {
			r.log.Error("calls of other entries cannot be received", "address", address, "error", err.Error())
			_ = storer.Sleep(ctx, listenRetryInterval)
		}
	}
	return nil
}

// hold handles the call of another entry and returns the encoded answer of the next step.
func (r *rollouts) hold(ctx context.Context, from netip.AddrPort, data []byte) ([]byte, error) {
	call, err := collector.ParseCall(data)
	if err != nil {
		return nil, r.tallies.refuse(from, err)
	}
	h := &collector.Held{Call: call, Reply: make(chan collector.Reply, 1)}
	x, err := r.admit(h)
	for until := r.now().Add(orderWait); errors.Is(err, errOrderUnknown) && r.now().Before(until); x, err = r.admit(h) {
		if err := storer.Sleep(ctx, orderPollInterval); err != nil {
			return nil, err
		}
	}
	if err != nil {
		return nil, r.tallies.refuse(from, err)
	}
	t := time.NewTimer(maxHoldTime)
	defer t.Stop()
	select {
	case reply := <-h.Reply:
		if reply.Err != nil {
			return nil, &messenger.Error{Code: "failed", Message: reply.Err.Error()}
		}
		return reply.Answer, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-t.C:
		err = errNotCollecting
	}
	r.mu.Lock()
	x.desk.Drop(h)
	r.mu.Unlock()
	return nil, err
}

// admit holds a call on a present order, or ends it if no step is needed to answer it.
func (r *rollouts) admit(h *collector.Held) (*rollout, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := &h.Call.Order
	x, at := r.services[o.Service], storer.Position{Era: o.Era, Version: o.Number}
	switch {
	case x == nil || x.order.At.Before(at):
		return nil, errOrderUnknown
	case x.order.At != at || x.order.To != o.To:
		return nil, errOtherOrder
	case !r.ready.Load() || !r.isCurrent(x) || x.verdictLost:
		return nil, errNotCollecting
	}
	now := r.now()
	switch {
	case x.statusWritten, h.Call.NeedsStatus && !x.needsStatus() && x.verdict.State == "":
		h.End(encode(x.answer(now)))
	default:
		if err := x.desk.Hold(h, now); err != nil {
			return nil, err
		}
		r.tallies.callsHeld.Add(1)
		r.tallies.notify()
	}
	return x, nil
}

// encode returns the reply that ends a call with an answer.
func encode(a collector.Answer) collector.Reply {
	b, err := json.Marshal(a)
	if err == nil && len(b) > collector.MaxAnswerBytes {
		err = messenger.ErrTooLarge
	}
	return collector.Reply{Answer: b, Err: err}
}
