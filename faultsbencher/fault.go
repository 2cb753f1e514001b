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
	KindCutTable       Kind = "cut-off-table"
	KindCutPeers       Kind = "cut-off-peers"
	KindOutage         Kind = "table-outage"
	KindLostReply      Kind = "lost-reply"
	KindLateWrite      Kind = "late-write"
	KindClockStep      Kind = "clock-step"
	KindSlowDataCentre Kind = "slow-data-centre"
	KindLeave          Kind = "leave"
	KindObjects        Kind = "object-outage"
	KindSeveral        Kind = "several"
)

// Kinds returns all kinds of single faults.
func Kinds() []Kind {
	return []Kind{
		KindCrash, KindPause, KindCutTable, KindCutPeers, KindOutage, KindLostReply, KindLateWrite, KindClockStep,
		KindSlowDataCentre, KindLeave, KindObjects,
	}
}

// span is a half-open interval of virtual time.
type span struct {
	from, to time.Time
}

func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && from.Before(s.to)
}

// faults holds the faults that concern the platform.
type faults struct {
	outage, objects, lost, late span
	slow                        span
	slowCentre                  int
}

func (s span) covers(t time.Time) bool {
	return !t.Before(s.from) && t.Before(s.to)
}

// plan draws the faults of a schedule within the first part of it; one or two kinds are each injected once.
func (s *schedule) plan(kinds []Kind) {
	drawn := make([]Kind, 0, len(kinds))
	if len(kinds) <= 2 {
		drawn = append(drawn, kinds...)
	} else {
		for range 1 + s.Rand().IntN(3) {
			drawn = append(drawn, kinds[s.Rand().IntN(len(kinds))])
		}
	}
	first := s.UniformDuration(5*time.Second, 20*time.Second)
	s.label = KindNone
	for i, k := range drawn {
		switch s.label {
		case KindNone, k:
			s.label = k
		default:
			s.label = KindSeveral
		}
		at := s.UniformDuration(5*time.Second, 20*time.Second)
		if i == 1 && len(kinds) == 2 {
			// Two kinds asked for are injected close together, so that most of them overlap.
			at = min(first+s.UniformDuration(0, 2*time.Second), 20*time.Second)
		} else if i == 0 {
			at = first
		}
		s.After(at, func() { s.inject(k) })
	}
}

func (s *schedule) inject(k Kind) {
	n := s.nodes[s.Rand().IntN(len(s.nodes))]
	d := s.UniformDuration(time.Second, 15*time.Second)
	window := span{s.Now(), s.Now().Add(d)}
	s.check.outcome.Faults = append(s.check.outcome.Faults,
		fmt.Sprintf("%v: %s, %s, %v", s.Elapsed(), k, n.name, d))
	switch k {
	case KindCrash:
		n.crash(d)
	case KindLeave:
		n.leave(d)
	case KindPause:
		if s.Rand().IntN(2) == 0 {
			n.disturb(d)
			n.PausedUntil = window.to
			return
		}
		// The pause falls between the decision of a lease holder to write and the write.
		for _, h := range s.nodes {
			if h.up && h.lease != nil && h.lease.Valid() {
				n = h
			}
		}
		n.pauseNext = s.UniformDuration(leaseTerm, 3*leaseTerm)
	case KindCutTable:
		n.disturb(d)
		n.cutTable = window
	case KindCutPeers:
		n.disturb(d)
		n.cutPeers = window
	case KindOutage:
		s.faults.outage = window
		s.unreachable = append(s.unreachable, window)
	case KindObjects:
		s.faults.objects = window
	case KindLostReply:
		s.faults.lost = window
	case KindLateWrite:
		s.faults.late = window
	case KindSlowDataCentre:
		s.faults.slow, s.faults.slowCentre = window, s.Rand().IntN(centres)
	case KindClockStep:
		s.stepped = true
		n.wallOffset += s.UniformDuration(-time.Hour, time.Hour)
	case KindNone, KindSeveral:
	}
}
