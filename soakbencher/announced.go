package soakbencher

import (
	"time"

	"github.com/siskinfront/siskinfront/platform/standin"
)

// The invariants on what upstreams ask for in their answers.
const (
	invariantAnnouncedLeave = "upstream that says it leaves gets nothing"
	invariantRequestedPause = "pause is kept"
)

const (
	// pauseSlack is how long after the answer that asks for a pause requests may still arrive.
	pauseSlack = 500 * time.Millisecond
	// maxInPause is the number of requests that may arrive in a pause.
	maxInPause = 2
)

// sender is one process of an entry and an upstream to which it sends.
type sender struct {
	entry       *entry
	incarnation int
	upstream    string
}

// checkAnnounced checks that entries do as the answers of upstreams ask: send nothing to one that leaves, and nothing during a
// pause.
func (s *soak) checkAnnounced() {
	byID := s.callsByID()
	bySender := map[sender][]standin.Arrival{}
	passedOn := map[sender]time.Time{}
	for _, a := range s.log.Arrivals() {
		c := byID[a.ID]
		if c == nil || a.Misdirected {
			continue
		}
		x := sender{c.entry, c.incarnation, a.Upstream}
		bySender[x] = append(bySender[x], a)
		if at, ok := passedOn[x]; a.Announced && c.complete && c.upstream == a.Upstream && (!ok || c.endedAt.Before(at)) {
			passedOn[x] = c.endedAt
		}
	}
	for x, arrivals := range bySender {
		if at, ok := passedOn[x]; ok {
			s.checkAnnouncedLeave(x, at, arrivals, byID)
		}
		s.checkPauses(x, arrivals)
	}
}

func (s *soak) checkAnnouncedLeave(x sender, at time.Time, arrivals []standin.Arrival, byID map[string]*call) {
	for _, a := range arrivals {
		c := byID[a.ID]
		if c.sentAt.Before(at) || !s.freeOf(at, a.At, x.entry, scopeProcess) {
			continue
		}
		s.check(invariantAnnouncedLeave, c.sentAt.Before(at.Add(leaveGracePeriod)),
			"%s was sent to %s %v after an answer of %s had said that it leaves", a.ID, x.entry.name, c.sentAt.Sub(at), x.upstream)
	}
}

func (s *soak) checkPauses(x sender, arrivals []standin.Arrival) {
	for i, first := range arrivals {
		if first.PausedUntil.IsZero() || i > 0 && arrivals[i-1].PausedUntil.Equal(first.PausedUntil) ||
			!s.freeOf(first.At, first.PausedUntil, x.entry, scopeProcess, scopeTraffic) {
			continue
		}
		n := 0
		for _, a := range arrivals[i:] {
			if a.At.After(first.At.Add(pauseSlack)) && a.At.Before(first.PausedUntil) {
				n++
			}
		}
		s.check(invariantRequestedPause, n <= maxInPause, "%d requests of %s reached %s in its pause of %v",
			n, x.entry.name, x.upstream, first.PausedUntil.Sub(first.At))
	}
}
