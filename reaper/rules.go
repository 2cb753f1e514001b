package reaper

import "time"

// stopRequestTime is how long a connection may take, from its opening or from the first byte of a request, to send the headers
// once the server stops.
const stopRequestTime = time.Second

// rules are the limits in force; 0 means no limit.
type rules struct {
	header, idle time.Duration
	// closeIdle is set if idle connections are ended at once, and stopping if connections without a request are ended.
	closeIdle, stopping bool
}

// due returns why a connection is to be ended on which a read waits and which has been in a phase for a time, or EndNone.
//
// A stop leaves new connections some time: their callers have just connected, are about to send and, unlike callers of idle
// connections, have had no response that told them to connect elsewhere.
func (x rules) due(p phase, waited time.Duration) End {
	switch p {
	case phaseNew, phaseHeader:
		switch {
		case x.header > 0 && waited > x.header:
			return EndHeaderLimit
		case x.stopping && waited > stopRequestTime:
			return EndStop
		}
	case phaseIdle:
		switch {
		case x.closeIdle:
			return EndStop
		case x.idle > 0 && waited > x.idle:
			return EndIdleLimit
		}
	case phaseHandled:
	}
	return EndNone
}
