package soakbencher

import (
	"time"

	"github.com/siskinfront/siskinfront/platform/standin"
)

// The invariants on requests that end without a whole answer, one for each case in which that counts.
const (
	invariantKeptConn     = "kept connection answers"
	invariantChangeLoses  = "change loses nothing"
	invariantHangUpLoses  = "hang-up loses nothing"
	invariantStopLoses    = "stop loses nothing"
	invariantWholeStream  = "stream of a sound upstream is whole"
	invariantBodyAccepted = "body in time is accepted"
)

const (
	// lostSlack is how long after its last byte a request that was not passed on may still cross the close of its connection.
	lostSlack = 200 * time.Millisecond
	// deadlineLead is how long before the end of its time a request counts as late and not as lost.
	deadlineLead = 150 * time.Millisecond
	// stopAcceptTime is how long after its begin a planned stop may accept requests that it does not finish, if the upstream still
	// works in the last sixth of the time to stop.
	stopAcceptTime = 3 * time.Second
)

// period is the time in which a change may have effects.
type period struct {
	from, to time.Time
}

// checkLost checks that a request that an entry has read whole gets a whole answer beside planned work, on a kept connection and
// as a stream. Faults of processes and of connections excuse it, an outage of the store does not.
func (s *soak) checkLost(c *call, runs []standin.Run) {
	if c.entry == nil || !c.connected || c.gaveUp || !c.calm || c.endedAt.Sub(c.sentAt) > s.timeLimit(c)-deadlineLead ||
		!s.freeOf(c.sentAt.Add(-time.Second), c.endedAt, c.entry, scopeProcess, scopeTraffic) || s.ranAtCrash(c, runs) {
		return
	}
	ran := len(runs) > 0
	readLate := !c.lastByteAt.IsZero() && c.endedAt.Sub(c.lastByteAt) > lostSlack
	ok := c.complete || !ran && !readLate || s.excusedByStop(c)
	if !c.lastByteAt.IsZero() {
		s.check(invariantBodyAccepted, c.status != 408, "%v", c)
	}
	if c.kept && ran {
		s.check(invariantKeptConn, ok, "%v; runs %+v", c, runs)
	}
	s.checkLostByEvacuation(c, runs)
	if c.slow && c.status == 200 {
		s.check(invariantSlowWhole, ok, "%v; runs %+v", c, runs)
	}
	if c.kind == standin.Stream && c.status == 200 {
		s.check(invariantWholeStream, ok, "%v; runs %+v", c, runs)
	}
	for _, x := range s.changes {
		if x.from.Before(c.endedAt) && x.to.After(c.sentAt) {
			s.check(invariantChangeLoses, ok, "%v; change %v before its end; runs %+v", c, c.endedAt.Sub(x.from), runs)
			break
		}
	}
	for _, x := range s.hangUps {
		if x.entry == c.entry && x.at.Before(c.endedAt) && x.at.Add(configApplyTime).After(c.sentAt) {
			s.check(invariantHangUpLoses, ok, "%v; SIGHUP %v before its end; runs %+v", c, c.endedAt.Sub(x.at), runs)
			break
		}
	}
	for _, x := range s.stops {
		if x.entry == c.entry && x.at.Before(c.endedAt) && x.at.Add(shutdownTimeout+time.Second).After(c.endedAt) {
			s.check(invariantStopLoses, ok, "%v; SIGTERM %v before its end; runs %+v", c, c.endedAt.Sub(x.at), runs)
			break
		}
	}
}

// timeLimit returns the time that a call has at least: its deadline, or the shortest timeout that may have been in force.
func (s *soak) timeLimit(c *call) time.Duration {
	if c.slow {
		return slowDeadline
	}
	limit := min(callerDeadline, leastInForce(s.timeouts[c.kind], c.sentAt, callerDeadline))
	for _, x := range s.timeouts[c.kind] {
		if x.at.After(c.sentAt) && x.at.Before(c.endedAt) {
			limit = min(limit, x.value)
		}
	}
	return limit
}

// excusedByStop reports whether a call was cut in the last sixth of the time of a planned stop and sent early enough for that.
func (s *soak) excusedByStop(c *call) bool {
	for _, x := range s.stops {
		if x.entry == c.entry && c.sentAt.Before(x.at.Add(stopAcceptTime)) && c.endedAt.After(x.at.Add(shutdownTimeout*5/6)) &&
			c.endedAt.Before(x.at.Add(shutdownTimeout+time.Second)) {
			return true
		}
	}
	return false
}
