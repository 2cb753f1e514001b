package runner

import (
	"net/netip"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/throttler"
)

const (
	// ownerTimeout is how long the owner of a limit may leave all asks unanswered, and ownerSilence how long one that did owns no
	// limits. Two owners at a time grant more than one, so a slow answer is no reason to change the owner.
	ownerTimeout = 500 * time.Millisecond
	ownerSilence = 10 * time.Second
)

// receive handles a message of another entry.
func (s *sharing) receive(from netip.AddrPort, m message) {
	switch {
	case m.Fact != nil:
		s.quarantine.Apply(*m.Fact)
	case m.Limit != nil:
		s.throttler.Apply(*m.Limit)
	case m.Cold != nil:
		s.onCold(*m.Cold)
	case m.Ask != nil:
		if !s.mayGrant(*m.Ask) {
			// It keeps to its even share without an answer.
			return
		}
		g := s.owner.Answer(*m.Ask, s.now())
		s.broadcaster.SendTo(from, message{Grant: &g})
	case m.Question != nil:
		s.onQuestion(from, *m.Question)
	case m.Statement != nil:
		s.onStatement(from, m.Statement)
	case m.Grant != nil:
		s.noteAnswer(from)
		s.throttler.Grant(*m.Grant)
	}
}

// sendAsk sends an ask to the owner of its limit, which may be this entry.
func (s *sharing) sendAsk(a throttler.Ask) {
	to := s.addressFor(a)
	if !to.IsValid() {
		s.throttler.Grant(s.owner.Answer(a, s.now()))
		return
	}
	s.broadcaster.SendTo(to, message{Ask: &a})
}

// addressFor returns the address of the entry that an ask is sent to, or an invalid one if that is this entry.
func (s *sharing) addressFor(a throttler.Ask) netip.AddrPort {
	if !a.Cold {
		return s.ownerAddress(a.Upstream)
	}
	owner := s.coldOwner(a.Upstream)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[owner].address
}

// ownerAddress returns the address of the owner of a limit, or an invalid one if that is this entry. An entry that does not answer
// owns no limits for a time.
func (s *sharing) ownerAddress(u identifier.Upstream) netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	names := []identifier.Instance{s.self}
	for name, e := range s.entries {
		if !e.askedAt.IsZero() && now.Sub(e.askedAt) >= ownerTimeout {
			e.askedAt, e.silentUntil = time.Time{}, now.Add(ownerSilence)
			s.entries[name] = e
		}
		if !now.Before(e.silentUntil) {
			names = append(names, name)
		}
	}
	owner := throttler.OwnerOf(u, names)
	e, ok := s.entries[owner]
	if !ok {
		return netip.AddrPort{}
	}
	if e.askedAt.IsZero() {
		e.askedAt = now
		s.entries[owner] = e
	}
	return e.address
}

// noteAnswer records that the entry at an address answers.
func (s *sharing) noteAnswer(from netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, e := range s.entries {
		if e.address == from {
			e.askedAt = time.Time{}
			s.entries[name] = e
		}
	}
}

func (s *sharing) logLimit(x throttler.Statement) {
	if x.Ended {
		s.log.Info("upstream names no limit any more", "upstream", x.Upstream)
		return
	}
	s.log.Info("upstream names a limit", "upstream", x.Upstream, "per-second", x.PerSecond)
}
