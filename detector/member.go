package detector

import (
	_ "embed" // The state chart.
	"net/netip"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/interpreter"
)

//go:embed member.yaml
var chartText []byte

// State is the state of a member, as defined by the chart member.yaml.
type State = interpreter.State

// The states of a member.
const (
	// Listed is a member that is on the platform's list and of which no message has been received yet.
	Listed State = "listed"
	// Live is a member that has sent a message or was reported live by another member.
	Live State = "live"
	// Suspect is a member whose heartbeats this process misses; it may still be live.
	Suspect State = "suspect"
	// Leaving is a member that finishes its work and accepts no new work.
	Leaving State = "leaving"
	// Dead is a member that was confirmed to be silent; it becomes live again only with a higher incarnation.
	Dead State = "dead"
)

const (
	eventHear    interpreter.Event = "hear"
	eventMiss    interpreter.Event = "miss"
	eventLeave   interpreter.Event = "leave"
	eventConfirm interpreter.Event = "confirm"
	eventRestart interpreter.Event = "restart"
)

// Role is the role of an instance.
type Role string

// The roles of an instance.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Member is one instance as this process sees it; most heartbeats carry only its name, state and incarnation.
type Member struct {
	Instance    identifier.Instance   `json:"instance"`
	DataCentre  identifier.DataCentre `json:"data-centre,omitempty"`
	Region      identifier.Region     `json:"region,omitempty"`
	Role        Role                  `json:"role,omitempty"`
	Control     netip.AddrPort        `json:"control,omitzero"`
	Data        netip.AddrPort        `json:"data,omitzero"`
	State       State                 `json:"state,omitempty"`
	Incarnation uint64                `json:"incarnation,omitempty"`
}

// Event is a change of a member's state that processes tell each other.
type Event struct {
	Instance    identifier.Instance `json:"instance"`
	State       State               `json:"state"`
	Incarnation uint64              `json:"incarnation"`
}

// Message is a heartbeat to a monitor or forwards events to another member; From is its sender in both cases.
type Message struct {
	From     Member  `json:"from"`
	Revision uint64  `json:"revision"`
	Events   []Event `json:"events,omitempty"`
}

// withoutAddresses returns only the name and what may change while the member runs: its state and incarnation.
func (m *Member) withoutAddresses() Member {
	return Member{Instance: m.Instance, State: m.State, Incarnation: m.Incarnation}
}

// record is what this process knows of one other member.
type record struct {
	Member
	machine *interpreter.Machine
	// lastHeardAt is the time from which the member's silence counts, as a rule that of its last heartbeat. It is zero if the
	// member sends no heartbeats to this process.
	lastHeardAt time.Time
	// suspectedAt is when this process began to suspect the member, zero if it does not.
	suspectedAt time.Time
	// suspectedBy holds the other monitors that miss the member's heartbeats too, and when each last said so.
	suspectedBy map[identifier.Instance]time.Time
	// unlistedSince is the time since which the platform's list lacks the member, zero if it has it.
	unlistedSince time.Time
}

// fire applies an event and reports whether it changed the state; an event that the state chart does not allow has no effect.
func (r *record) fire(e interpreter.Event) bool {
	before := r.machine.State()
	if r.machine.Fire(e) != nil {
		return false
	}
	r.State = r.machine.State()
	return r.State != before
}
