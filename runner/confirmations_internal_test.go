package runner

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/confirmer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/pacer"
)

// newConfirmingRunner returns a runner and whether the follower of the operator's table shares confirmations.
func newConfirmingRunner(change func(*Settings)) (r *Runner, operator bool) {
	s := DefaultSettings()
	s.Instance, s.PeerAddress, s.SharedConfirmations = "e1", netip.MustParseAddrPort("127.0.0.1:7340"), true
	change(&s)
	noCounters := func() map[string]int64 { return nil }
	r = New(s, Platform{FollowOperator: func(func() pacer.Pace, *slog.Logger, OperatorEvents) Follower {
		return Follower{Counters: noCounters, SetConfirmer: func(*confirmer.Table) { operator = true }}
	}, Counters: noCounters}, slog.New(slog.DiscardHandler))
	return r, operator
}

// Guards against calls that wait on datagrams which cannot come, or although the setting is absent.
func TestSharedConfirmationsNeedSettings(t *testing.T) {
	for name, x := range map[string]struct {
		change func(*Settings)
		want   bool
	}{
		"both":                 {func(*Settings) {}, true},
		"without peer address": {func(s *Settings) { s.PeerAddress = netip.AddrPort{} }, false},
		"without the setting":  {func(s *Settings) { s.SharedConfirmations = DefaultSettings().SharedConfirmations }, false},
	} {
		r, operator := newConfirmingRunner(x.change)
		must.EqOp(t, x.want, r.upstreams.Confirmer != nil, must.Sprint(name))
		must.EqOp(t, x.want, operator, must.Sprint(name))
	}
}

// Guards against evacuations that take until apply-time although evacuate-time is shorter.
func TestConfirmationsKeepEvacuateTime(t *testing.T) {
	r, _ := newConfirmingRunner(func(s *Settings) {
		s.ApplyTime, s.EvacuateTime, s.ReconnectTime = 5*time.Second, 2*time.Second, 7*time.Second
	})
	_, wait := r.confirmations.operator.Begin(0)
	must.EqOp(t, time.Second, wait)
}

// Guards against datagrams of addresses that are no entries, of unknown tables or in another format, which must change nothing but are counted.
func TestForeignDatagrams(t *testing.T) {
	r, _ := newConfirmingRunner(func(*Settings) {})
	peer, stranger := netip.MustParseAddrPort("127.0.0.2:7340"), netip.MustParseAddrPort("127.0.0.3:7340")
	r.sharing.entries["e2"] = entryRecord{address: peer}
	r.sharing.updatePeers()
	m := confirmer.Message{Kind: confirmer.KindClaim, Claim: confirmer.Claim{Table: upstreamsID}}
	unknown := confirmer.Message{Kind: confirmer.KindClaim, Claim: confirmer.Claim{Table: 77}}
	r.confirmations.receive(stranger, m.Encode())
	r.confirmations.receive(peer, unknown.Encode())
	r.confirmations.receive(peer, []byte{1, 2, 3})
	must.EqOp(t, 0, r.confirmations.upstreams.Counters()["claims-heard"])
	must.Eq(t, map[string]int64{"datagrams-invalid": 2, "datagrams-foreign": 1}, r.confirmations.Counters())
	r.confirmations.receive(peer, m.Encode())
	must.EqOp(t, 1, r.confirmations.upstreams.Counters()["claims-heard"])
	must.EqOp(t, 0, r.confirmations.operator.Counters()["claims-heard"])
}

// Guards against entries that draw the order of an event differently, or the same one for each event and table.
func TestRankIsDrawnAlike(t *testing.T) {
	names := []identifier.Instance{"e1", "e2", "e3", "e4"}
	address := netip.MustParseAddrPort("127.0.0.2:7340")
	first := map[int]int{}
	differ := 0
	for event := range uint32(400) {
		ranks := map[int]bool{}
		for i, self := range names {
			s := &sharing{self: self, now: time.Now, entries: map[identifier.Instance]entryRecord{}}
			for _, name := range names {
				if name != self {
					s.entries[name] = entryRecord{address: address}
				}
			}
			rank := s.rank(upstreamsID, event)
			ranks[rank] = true
			if rank == 0 {
				first[i]++
				if s.rank(operatorID, event) != 0 {
					differ++
				}
			}
		}
		must.MapLen(t, 4, ranks)
	}
	must.Positive(t, differ)
	for i := range names {
		must.Between(t, 60, first[i], 140)
	}
}
