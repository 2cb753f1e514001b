package runner

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/confirmer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/pacer"
)

// The tables in messages between entries.
const (
	upstreamsID confirmer.TableID = 1 + iota
	operatorID
)

// confirmations exchanges with the other entries which changes of the tables were the last.
type confirmations struct {
	enabled             bool
	sharing             *sharing
	clocks              *confirmer.Clocks
	upstreams, operator *confirmer.Table
	// invalid and foreign count datagrams that are no message on one of the tables, and those of addresses that are no entries.
	invalid, foreign atomic.Int64
}

// shareConfirmations lets the followers wait on what other entries tell, if the settings say so.
func (r *Runner) shareConfirmations() {
	s := r.settings.Load()
	x := &confirmations{
		enabled: s.SharedConfirmations && s.PeerAddress.IsValid(), sharing: r.sharing, clocks: confirmer.NewClocks(time.Now),
	}
	x.upstreams = x.newTable(upstreamsID, func() pacer.Pace { return r.upstreams.Pace() })
	x.operator = x.newTable(operatorID, r.paceWithin(s.operatorBound()))
	r.confirmations = x
	if !x.enabled {
		return
	}
	r.sharing.broadcaster.ReceiveBytes = x.receive
	r.upstreams.Confirmer = x.upstreams
	if r.operator.SetConfirmer != nil {
		r.operator.SetConfirmer(x.operator)
	}
}

func (x *confirmations) newTable(id confirmer.TableID, pace func() pacer.Pace) *confirmer.Table {
	return confirmer.New(id, confirmer.WithPace(pace), confirmer.WithTell(x.tell), confirmer.WithRank(x.sharing.rank),
		confirmer.WithNumEntries(x.sharing.numEntries))
}

// tell sends a claim to all other entries.
func (x *confirmations) tell(c confirmer.Claim, at time.Time) {
	m := x.clocks.Message(c, at)
	x.sharing.broadcaster.SendBytes(nil, m.Encode())
}

// receive handles a datagram of another entry.
func (x *confirmations) receive(from netip.AddrPort, data []byte) {
	if !slices.Contains(x.sharing.peerAddresses(), from) {
		x.foreign.Add(1)
		return
	}
	m, err := confirmer.Decode(data)
	if err != nil {
		x.invalid.Add(1)
		return
	}
	switch m.Kind {
	case confirmer.KindClaim:
		t := map[confirmer.TableID]*confirmer.Table{upstreamsID: x.upstreams, operatorID: x.operator}[m.Claim.Table]
		if t == nil {
			x.invalid.Add(1)
			return
		}
		t.Receive(m.Claim, x.clocks.TimeOf(from, m.Stamp))
	case confirmer.KindQuestion:
		a := confirmer.Message{Kind: confirmer.KindAnswer, Stamp: x.clocks.Stamp(), Echo: m.Stamp}
		x.sharing.broadcaster.SendBytes([]netip.AddrPort{from}, a.Encode())
	case confirmer.KindAnswer:
		x.clocks.Learn(from, &m)
	}
}

// run asks the other entries for their clocks until ctx ends.
func (x *confirmations) run(ctx context.Context) error {
	if !x.enabled {
		return nil
	}
	t := time.NewTicker(confirmer.QuestionInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		peers := x.sharing.peerAddresses()
		x.clocks.Keep(peers)
		if to, ok := x.clocks.Ask(peers); ok {
			q := confirmer.Message{Kind: confirmer.KindQuestion, Stamp: x.clocks.Stamp()}
			x.sharing.broadcaster.SendBytes([]netip.AddrPort{to}, q.Encode())
		}
	}
}

// Counters returns the numbers of datagrams that are no message on one of the tables, and of those of addresses that are no entries.
func (x *confirmations) Counters() map[string]int64 {
	return map[string]int64{"datagrams-invalid": x.invalid.Load(), "datagrams-foreign": x.foreign.Load()}
}

// State returns what the entry knows of the last changes of the tables, and of the clocks of the others.
func (x *confirmations) State() any {
	return struct {
		Enabled   bool            `json:"enabled"`
		Clocks    int             `json:"clocks-known"`
		Upstreams confirmer.State `json:"upstreams"`
		Operator  confirmer.State `json:"operator"`
	}{x.enabled, x.clocks.NumKnown(), x.upstreams.State(), x.operator.State()}
}

// peerAddresses returns the addresses of the other entries.
func (s *sharing) peerAddresses() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.peers)
}

// rank returns the number of entries that precede this one for an event of a table, in an order that all entries draw alike.
func (s *sharing) rank(id confirmer.TableID, event uint32) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := rankOf(s.self, id, event)
	n := 0
	for name := range s.entries {
		if x := rankOf(name, id, event); x < own || x == own && name < s.self {
			n++
		}
	}
	return n
}

func rankOf(name identifier.Instance, id confirmer.TableID, event uint32) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(id)<<32 | uint64(event))
	_, _ = d.WriteString(string(name))
	return d.Sum64()
}
