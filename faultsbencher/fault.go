package faultsbencher

import (
	"fmt"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults that a schedule draws from.
const (
	KindNone           Kind = "none"
	KindCrash          Kind = "crash"
	KindPause          Kind = "pause"
	KindCutOffTable    Kind = "cut-off-table"
	KindCutOffPeers    Kind = "cut-off-peers"
	KindTableOutage    Kind = "table-outage"
	KindLostReply      Kind = "lost-reply"
	KindLateWrite      Kind = "late-write"
	KindClockStep      Kind = "clock-step"
	KindSlowDataCentre Kind = "slow-data-centre"
	KindLeave          Kind = "leave"
	KindObjectOutage   Kind = "object-outage"
	KindSeveral        Kind = "several"
)

// Kinds returns all kinds of single faults.
func Kinds() []Kind {
	return []Kind{
		KindCrash, KindPause, KindCutOffTable, KindCutOffPeers, KindTableOutage, KindLostReply, KindLateWrite, KindClockStep,
		KindSlowDataCentre, KindLeave, KindObjectOutage,
	}
}

// interval is a half-open interval of virtual time.
type interval struct {
	from, to time.Time
}

func (s interval) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && from.Before(s.to)
}

// platformFaults holds the times of the faults of the platform and its network.
type platformFaults struct {
	tableOutage, objectOutage, lostReplies, lateWrites interval
	slowLinks                                          interval
	slowDataCentre                                     int
}

func (s interval) covers(t time.Time) bool {
	return !t.Before(s.from) && t.Before(s.to)
}

// planFaults draws the faults of a schedule, which begin 5 s to 20 s after its start. Of one or two kinds each is injected once;
// of more kinds, one to three faults are drawn.
func (s *schedule) planFaults(kinds []Kind) {
	drawn := make([]Kind, 0, len(kinds))
	if len(kinds) <= 2 {
		drawn = append(drawn, kinds...)
	} else {
		for range 1 + s.Rand().IntN(3) {
			drawn = append(drawn, kinds[s.Rand().IntN(len(kinds))])
		}
	}
	firstAt := s.UniformDuration(5*time.Second, 20*time.Second)
	s.faultKind = KindNone
	for i, k := range drawn {
		switch s.faultKind {
		case KindNone, k:
			s.faultKind = k
		default:
			s.faultKind = KindSeveral
		}
		at := s.UniformDuration(5*time.Second, 20*time.Second)
		if i == 1 && len(kinds) == 2 {
			// The second of two given kinds follows the first within 2 s, so that most pairs overlap.
			at = min(firstAt+s.UniformDuration(0, 2*time.Second), 20*time.Second)
		} else if i == 0 {
			at = firstAt
		}
		s.After(at, func() { s.injectFault(k) })
	}
}

func (s *schedule) injectFault(k Kind) {
	n := s.instances[s.Rand().IntN(len(s.instances))]
	d := s.UniformDuration(time.Second, 15*time.Second)
	during := interval{s.Now(), s.Now().Add(d)}
	s.check.outcome.Faults = append(s.check.outcome.Faults,
		fmt.Sprintf("%v: %s, %s, %v", s.Elapsed(), k, n.name, d))
	switch k {
	case KindCrash:
		n.crash(d)
	case KindLeave:
		n.leave(d)
	case KindPause:
		if s.Rand().IntN(2) == 0 {
			n.noteFault(d)
			n.PausedUntil = during.to
			return
		}
		// Half of the pauses come between the decision of the lease holder to write and its write.
		for _, h := range s.instances {
			if h.up && h.lease != nil && h.lease.Valid() {
				n = h
			}
		}
		n.pauseAtNextWrite = s.UniformDuration(leaseTerm, 3*leaseTerm)
	case KindCutOffTable:
		n.noteFault(d)
		n.tableCutOff = during
	case KindCutOffPeers:
		n.noteFault(d)
		n.peersCutOff = during
	case KindTableOutage:
		s.faults.tableOutage = during
		s.tableOutages = append(s.tableOutages, during)
	case KindObjectOutage:
		s.faults.objectOutage = during
	case KindLostReply:
		s.faults.lostReplies = during
	case KindLateWrite:
		s.faults.lateWrites = during
	case KindSlowDataCentre:
		s.faults.slowLinks, s.faults.slowDataCentre = during, s.Rand().IntN(dataCentres)
	case KindClockStep:
		s.clockStepped = true
		n.wallOffset += s.UniformDuration(-time.Hour, time.Hour)
	case KindNone, KindSeveral:
	}
}
