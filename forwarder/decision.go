package forwarder

import (
	"time"
)

const (
	// silenceThreshold is how long an upstream may send nothing to any request of this entry before it is probed.
	silenceThreshold = 600 * time.Millisecond
	// probeValidity is how long a failed probe counts unless the upstream has sent something since.
	probeValidity = time.Second
	// checkInterval is the time between two checks of a waiting request.
	checkInterval = 200 * time.Millisecond
)

// question is what an upstream has to be asked before a decision.
type question int

const (
	askNothing question = iota
	// askAlive asks whether the upstream answers at all, and askRequest whether it still has the request.
	askAlive
	askRequest
)

// probeResult is the result of the last probe of an upstream as it is logged, or empty if there was none.
type probeResult string

const (
	probeAnswered probeResult = "answered"
	probeFailed   probeResult = "failed"
)

// evidence is what is known about a waiting attempt and its upstream.
type evidence struct {
	stream bool
	// started is set if the attempt has sent an event.
	started bool
	// waited is the time since the last event, or since the start of the attempt.
	waited time.Duration
	// lateAfter is the wait from which the attempt is late, or 0 if it never is.
	lateAfter time.Duration
	// silence is the time since the upstream last sent anything to this entry.
	silence time.Duration
	// probe is the result of the last probe, which ended probeAge ago.
	probe    probeResult
	probeAge time.Duration
	// reportDue is set if the upstream is to be asked whether it has the request, and missing if it said that it has not.
	reportDue, missing bool
}

// decide returns the outcome with which an attempt should be given up, or what has to be asked first. With neither, the attempt
// goes on.
func decide(e evidence) (outcome, question) {
	isSilent := e.silence >= silenceThreshold
	switch {
	case e.lateAfter > 0 && e.waited >= e.lateAfter:
		return outcomeLate, askNothing
	case !e.stream || e.waited < silenceThreshold:
		// A plain service may get too few requests for its silence to mean anything.
		return "", askNothing
	case isSilent && !e.hasFailedProbe():
		return "", askAlive
	case isSilent:
		return outcomeUnresponsive, askNothing
	case e.missing:
		return outcomeRequestMissing, askNothing
	case e.reportDue:
		return "", askRequest
	default:
		return "", askNothing
	}
}

// hasFailedProbe reports whether the last probe failed and still counts.
func (e *evidence) hasFailedProbe() bool {
	return e.probe == probeFailed && e.probeAge < min(probeValidity, e.silence)
}
