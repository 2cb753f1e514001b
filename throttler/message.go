package throttler

import (
	"github.com/siskinfront/siskinfront/identifier"
)

// Statement is what an entry read in the last answer of an upstream.
type Statement struct {
	Upstream identifier.Upstream `json:"upstream"`
	// PerSecond is the limit in requests per second, and Ended is set if the answer named none any more.
	PerSecond float64 `json:"per-second,omitempty"`
	Ended     bool    `json:"ended,omitempty"`
}

// Ask is the message by which an entry asks the owner of a limit for slots in which it may send.
type Ask struct {
	Upstream identifier.Upstream `json:"upstream"`
	// PerSecond is the limit as the entry knows it, or, if Cold is set, the slots per second to grant.
	PerSecond float64 `json:"per-second"`
	// Cold is set if the upstream is cold.
	Cold bool `json:"cold,omitempty"`
	// Number is the number of slots, and ID tells asks apart, also those of different entries.
	Number int    `json:"number"`
	ID     uint64 `json:"id"`
	// Repeated is set if the ask was sent before and not answered.
	Repeated bool `json:"repeated,omitempty"`
}

// ColdReport is what an entry read in the last answer of an upstream about the time that it stays cold.
type ColdReport struct {
	Upstream identifier.Upstream `json:"upstream"`
	Service  identifier.Service  `json:"service"`
	// RemainingMillis is 0 if it is not cold any more.
	RemainingMillis float64 `json:"remaining"`
}

// Grant is the answer to an Ask. The slots begin AfterMillis after the answer was sent and follow each other by IntervalMillis.
type Grant struct {
	Upstream identifier.Upstream `json:"upstream"`
	ID       uint64              `json:"id"`
	// Number is the number of slots, which is 0 if all slots of the next time are taken; the entry may ask again after AfterMillis.
	Number         int     `json:"number"`
	AfterMillis    float64 `json:"after"`
	IntervalMillis float64 `json:"interval,omitempty"`
}
