package assembler

import (
	"encoding/json"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// The methods that processes call over their control connections.
const (
	methodHeartbeat     = "heartbeat"
	methodConfigChanges = "config-changes"
	methodConfigSince   = "config-since"
	methodPin           = "pin"
	methodProbe         = "probe"
	methodDescribe      = "describe"
	methodBillsDurable  = "bills-durable"
	methodObservations  = "observations"
	methodLimitShare    = "limit-share"
	methodSpendCeiling  = "spend-ceiling"
	methodDrain         = "drain"
	methodCommand       = "command"
)

// Empty is the result of a method that returns nothing.
type Empty struct{}

// ConfigSinceRequest asks a peer for the configuration items that changed after a revision.
type ConfigSinceRequest struct {
	From     identifier.Instance `json:"from"`
	Revision uint64              `json:"revision"`
}

// DurableBills tells an agent which bills another process has made durable.
type DurableBills struct {
	IDs []string `json:"ids"`
}

// EngineCommand asks an agent to pass a command to its engine.
type EngineCommand struct {
	Name string `json:"name"`
	// Body is the body of the engine's control call; it contains the fencing token of the sender's lease.
	Body json.RawMessage `json:"body"`
}

// DrainRequest asks a process to stop gracefully.
type DrainRequest struct {
	Deadline time.Time `json:"deadline"`
}
