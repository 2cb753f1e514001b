package runner

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/arbiter"
	"github.com/siskinfront/siskinfront/broadcaster"
	"github.com/siskinfront/siskinfront/evacuator"
	"github.com/siskinfront/siskinfront/registrar"
)

const (
	// inquiryInterval is the time between two looks at the inquiry, and maxAsked bounds the entries that are asked in a round.
	inquiryInterval = 50 * time.Millisecond
	maxAsked        = 3
	// waitLogTime is the time after which a configuration that waits is logged.
	waitLogTime = 500 * time.Millisecond
	// maxStated bounds the items of each kind in a statement, and maxStatementBytes the statement, which must fit into a datagram.
	maxStated = 8
	// evacuationsPerItem is how many more evacuations a statement may have than items of another kind; a deployment has up to 10 data
	// centres.
	evacuationsPerItem = 2
	maxStatementBytes  = broadcaster.MaxDatagramBytes - 300
)

// question asks another entry for its statement.
type question struct {
	// Era is the era of the store that the asking entry has read.
	Era uint64 `json:"era"`
}

// statement is what an entry tells one that starts: the store may have come back from an older copy and lack what was decided before.
type statement struct {
	Configuration arbiter.Claim    `json:"configuration"`
	Upstreams     registrar.Gone   `json:"upstreams"`
	Verdicts      []statedVerdict  `json:"verdicts,omitempty"`
	RolledBack    []serviceVersion `json:"rolled-back,omitempty"`
	// Evacuations are the orders to evacuate data centres that the entry knows.
	Evacuations []evacuator.Claim `json:"evacuations,omitempty"`
}

// inquiry asks other entries before the first configuration that the store shows comes into force.
type inquiry struct {
	// news receives a value when there may be something to decide.
	news chan struct{}

	mu       sync.Mutex
	decision *arbiter.Inquiry
	// shown holds the configurations that the store has shown meanwhile, the oldest first.
	shown             []arbiter.Candidate
	beganAt           time.Time
	waitLogged, ended bool
}

func newInquiry(hold time.Duration) *inquiry {
	return &inquiry{decision: arbiter.NewInquiry(hold), news: make(chan struct{}, 1)}
}

func (x *inquiry) notify() {
	select {
	case x.news <- struct{}{}:
	default:
	}
}

// defers reports whether a configuration waits for the end of the inquiry.
func (x *inquiry) defers(c arbiter.Candidate) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended {
		return false
	}
	x.shown = append(x.shown, c)
	x.notify()
	return true
}

// inquire asks other entries until the first configuration may be used, and puts it into force.
func (r *Runner) inquire(ctx context.Context) error {
	t := time.NewTicker(inquiryInterval)
	defer t.Stop()
	for !r.endInquiry(time.Now()) {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-r.inquiry.news:
		}
	}
	return nil
}

// endInquiry puts the configuration that the store shows into force if it may be used, and otherwise asks other entries.
func (r *Runner) endInquiry(now time.Time) bool {
	x := r.inquiry
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.shown) == 0 {
		return false
	}
	x.decision.Begin(now)
	if x.beganAt.IsZero() {
		x.beganAt = now
	}
	newest := &x.shown[0]
	for i := range x.shown {
		if x.shown[i].Table.Revision > newest.Table.Revision {
			newest = &x.shown[i]
		}
	}
	if r.sharing.address.IsValid() && !x.decision.Allows(newest, now) {
		if peers, known := r.sharing.somePeers(maxAsked); known && x.decision.IsAskDue(newest, now) {
			x.decision.Ask(len(peers), now)
			for _, p := range peers {
				r.sharing.broadcaster.SendTo(p, message{Question: &question{Era: r.upstreams.Position().Era}})
			}
			if len(peers) == 0 {
				x.notify()
			}
		}
		if !x.waitLogged && now.Sub(x.beganAt) >= waitLogTime {
			x.waitLogged = true
			r.log.Warn("configuration of the store waits, other entries have another one in force", "revision", newest.Table.Revision,
				"at", newest.At.String())
		}
		return false
	}
	x.ended = true
	for _, c := range x.shown {
		r.offerConfiguration(c)
	}
	x.shown = nil
	return true
}

// answer sends the statement of this entry to one that starts.
func (r *Runner) answer(to netip.AddrPort, q question) {
	r.arbiterMu.Lock()
	claim := r.arbiter.Claim()
	r.arbiterMu.Unlock()
	returned := q.Era > r.upstreams.Position().Era
	var s statement
	for most := maxStated; ; most /= 2 {
		s = statement{
			Configuration: claim, Upstreams: r.registrar.Gone(most, returned), Evacuations: r.evacuator.Claims(evacuationsPerItem * most),
		}
		s.Verdicts, s.RolledBack = r.rollouts.stated(most)
		if data, err := json.Marshal(s); err == nil && len(data) <= maxStatementBytes || most == 0 {
			break
		}
	}
	r.sharing.broadcaster.SendTo(to, message{Statement: &s})
}

// learn takes over the statement of another entry, if this one starts.
func (r *Runner) learn(from netip.AddrPort, s *statement) {
	r.inquiry.mu.Lock()
	ended := r.inquiry.ended
	r.inquiry.mu.Unlock()
	if ended {
		return
	}
	r.evacuator.Learn(s.Evacuations)
	r.registrar.LearnGone(s.Upstreams)
	r.rollouts.learn(s.Verdicts, s.RolledBack)
	r.inquiry.mu.Lock()
	r.inquiry.decision.Answer(from.String(), s.Configuration)
	r.inquiry.mu.Unlock()
	r.inquiry.notify()
}
