package assembler

import (
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// The methods of the control connections between processes.
const (
	methodHeartbeat     = "heartbeat"
	methodConfigChanges = "config-changes"
	methodConfigSince   = "config-since"
	methodPin           = "pin"
	methodProbe         = "probe"
	methodDescribe      = "describe"
	methodBillsDurable  = "bills-durable"
	methodObservations  = "observations"
	methodDrain         = "drain"
)

// None is the result of a method that returns nothing.
type None struct{}

// ConfigSince asks a peer for what it has beyond a revision.
type ConfigSince struct {
	From     identifier.Instance `json:"from"`
	Revision uint64              `json:"revision"`
}

// Description is what an agent says about its upstream.
type Description struct {
	Upstream identifier.Upstream `json:"upstream"`
	// Service is empty for a model engine.
	Service identifier.Service  `json:"service,omitempty"`
	Targets []identifier.Target `json:"targets,omitempty"`
	Load    streamer.Load       `json:"load"`
}

// BillsDurable tells an agent which bills another process has made durable.
type BillsDurable struct {
	IDs []string `json:"ids"`
}

// Drain asks a process to stop gracefully.
type Drain struct {
	Deadline time.Time `json:"deadline"`
}
