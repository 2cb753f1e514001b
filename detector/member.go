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
	// Listed is on the platform's list and not heard of yet.
	Listed State = "listed"
	// Live has been heard.
	Live State = "live"
	// Suspect has been silent at this process and may still be live.
	Suspect State = "suspect"
	// Leaving finishes its work and takes no new one.
	Leaving State = "leaving"
	// Dead was confirmed silent; it returns only with a higher incarnation.
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

// Member is one instance as this process sees it. In most heartbeats it has only its name, state and incarnation.
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

// Event is a change of one member that passes from process to process.
type Event struct {
	Instance    identifier.Instance `json:"instance"`
	State       State               `json:"state"`
	Incarnation uint64              `json:"incarnation"`
}

// Message is the heartbeat of one process to a monitor; events without a sender's state are forwarded news.
type Message struct {
	From     Member  `json:"from"`
	Revision uint64  `json:"revision"`
	Events   []Event `json:"events,omitempty"`
}

// brief returns the part of the member that changes.
func (m *Member) brief() Member {
	return Member{Instance: m.Instance, State: m.State, Incarnation: m.Incarnation}
}

// record is what this process knows of one member.
type record struct {
	Member
	machine *interpreter.Machine
	// heard is when the member's own heartbeat last came, zero if it sends none to this process.
	heard time.Time
	// suspected is when this process began to suspect the member.
	suspected time.Time
	// accusers are other monitors that are without heartbeats too.
	accusers map[identifier.Instance]time.Time
	// unlisted is since when the platform's list lacks the member.
	unlisted time.Time
}

func (r *record) fire(e interpreter.Event) bool {
	before := r.machine.State()
	if r.machine.Fire(e) != nil {
		return false
	}
	r.State = r.machine.State()
	return r.State != before
}
