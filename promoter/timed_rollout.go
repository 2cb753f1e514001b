package promoter

import (
	_ "embed"
	"errors"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/interpreter"
	"github.com/siskinfront/siskinfront/pinner"
)

//go:embed trial.yaml
var trialChart []byte

// The states and events of the chart in trial.yaml.
const (
	TimedRolloutCanary     interpreter.State = "canary"
	TimedRolloutGrowing    interpreter.State = "growing"
	TimedRolloutDraining   interpreter.State = "draining"
	TimedRolloutSucceeded  interpreter.State = "succeeded"
	TimedRolloutRolledBack interpreter.State = "rolled-back"

	eventGrow interpreter.Event = "grow"
	eventFull interpreter.Event = "full"
	eventIdle interpreter.Event = "idle"
	eventBad  interpreter.Event = "bad"
	eventLate interpreter.Event = "late"
)

const (
	// canaryShare is the part of a deployment's bound on exposure that sessions of a new version take in the first half.
	// A few sessions that are in use at its start change their version before their entries have told of them.
	canaryShare = 0.25
	// tallyAge is the age beyond which the tally of an entry says nothing: entries write theirs each second.
	tallyAge = 3500 * time.Millisecond
	// judgedBefore is the number of looks at the tallies before the canary starts: the first may come before other entries have
	// told which sessions are in use.
	judgedBefore = 2
	// maxHeld bounds the sessions in one tally, a row of at most some 64 KB.
	maxHeld = 1000
	// leastGood is the number of good answers of the new version that each growth needs.
	leastGood = 8
)

// steps are the exposures after the canary, at parts of the time of the roll-out. Sessions may change to the new version
// only in its second half. The pauses let a version that is bad only under load show it while few requests suffer.
var steps = []struct{ at, exposure float64 }{{0.51, 0.2}, {0.56, 0.45}, {0.62, 1}}

// RolloutOrder asks for the traffic of a service to be moved to a version within a time.
type RolloutOrder struct {
	Service  identifier.Service
	To       identifier.Version
	Duration time.Duration
	// Number is the version of the order in the store; a later order has a higher one.
	Number uint64
}

// RolloutStatus is the final state of an order, or that it runs.
type RolloutStatus struct {
	Service identifier.Service
	To      identifier.Version
	State   interpreter.State
	// Number is the version of the status in the store, 0 if there is none.
	Number uint64
}

// Ends reports whether the status is the verdict on an order.
func (s *RolloutStatus) Ends(o *RolloutOrder) bool {
	return s.To == o.To && s.Number > o.Number && (s.State == TimedRolloutSucceeded || s.State == TimedRolloutRolledBack)
}

// Tally is what one entry has seen of a roll-out, by route.
type Tally struct {
	Entry  identifier.Instance `json:"entry"`
	Number uint64              `json:"number"`
	// Began and At are times of the store's steady clock in milliseconds.
	Began int64 `json:"began-ms"`
	At    int64 `json:"at-ms"`
	// Active is the number of requests of this entry at upstreams of other versions.
	Active int64 `json:"active"`
	// Exposure is what the entry gives the new version.
	Exposure  float64                  `json:"exposure"`
	Candidate map[string]VersionCounts `json:"candidate"`
	Stable    map[string]VersionCounts `json:"stable"`
	// Held lists sessions in use, within the canary's part of all sessions, that this entry has served on the former version.
	Held []uint64 `json:"held"`
}

// Verdict is the final state of an order on which all entries agree through its row.
type Verdict struct {
	Number uint64            `json:"number"`
	State  interpreter.State `json:"state"`
	Reason string            `json:"reason"`
	By     string            `json:"by"`
	// RowVersion is the version of the row that was read, 0 without one.
	RowVersion uint64 `json:"-"`
}

// IsFinal reports whether a state ends a trial.
func IsFinal(s interpreter.State) bool {
	return s == TimedRolloutSucceeded || s == TimedRolloutRolledBack
}

// TimedRollout is one entry's part in a roll-out with a deadline; it is safe for concurrent use.
type TimedRollout struct {
	order   RolloutOrder
	entry   identifier.Instance
	canary  float64
	machine *interpreter.Machine

	mu sync.Mutex
	// began is the store's clock in milliseconds when the first entry saw the order, 0 if unknown.
	began int64
	// orderedAt is when this entry saw the order.
	orderedAt time.Time
	exposure  float64
	own       Tally
	// held and heard are sessions that stay on the former version during the canary, because this entry or another has served
	// them there; judged is the number of judgements so far.
	held, heard *pinner.RecentSessions
	judged      int
}

// NewTimedRollout starts a trial of an order, whose new version may get a share of the requests.
// sessionTime is the time without use after which a session has ended.
func NewTimedRollout(o RolloutOrder, entry identifier.Instance, share float64, sessionTime time.Duration, now time.Time) *TimedRollout {
	return &TimedRollout{
		orderedAt: now,
		held:      pinner.NewRecentSessions(sessionTime), heard: pinner.NewRecentSessions(sessionTime),
		order: o, entry: entry, canary: share * canaryShare, machine: interpreter.NewMachine(interpreter.MustParse(trialChart)),
		exposure: share * canaryShare,
		own:      Tally{Entry: entry, Number: o.Number, Candidate: map[string]VersionCounts{}, Stable: map[string]VersionCounts{}},
	}
}

// Order returns the order of the trial.
func (t *TimedRollout) Order() RolloutOrder {
	return t.order
}

// UsesNewVersion reports whether a session goes to the new version. Entries give the same answer at the same exposure, and a session
// that goes there stays there as exposure grows. During the canary, sessions that are known to be in use on the former
// version stay on it.
func (t *TimedRollout) UsesNewVersion(session uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	part := float64(session>>11) / (1 << 53)
	switch {
	case part >= t.exposure && part >= t.canary:
		return false
	case t.exposure > t.canary:
		return part < t.exposure
	case part >= t.exposure || t.judged < judgedBefore || t.held.Has(session, now) || t.heard.Has(session, now):
		t.held.Use(session, now)
		return false
	}
	return true
}

// HoldSessions notes sessions that were in use when the order came.
func (t *TimedRollout) HoldSessions(sessions []uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range sessions {
		if float64(s>>11)/(1<<53) < t.canary {
			t.held.Use(s, now)
		}
	}
}

// Observe takes the result of an attempt; first is the time to the first event, 0 if unknown.
func (t *TimedRollout) Observe(candidate bool, route string, failed bool, first time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sides := t.own.Stable
	if candidate {
		sides = t.own.Candidate
	}
	s := sides[route]
	s.add(failed, first)
	sides[route] = s
}

// Tally returns the tally of this entry at a time of the store's clock in milliseconds; active is the number of its requests
// at upstreams of other versions.
func (t *TimedRollout) Tally(storeNow, active int64, now time.Time) Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	if began := storeNow - now.Sub(t.orderedAt).Milliseconds(); storeNow > 0 && (t.began == 0 || t.began > began) {
		t.began = began
	}
	x := t.own
	x.Began, x.At, x.Active, x.Exposure = t.began, storeNow, active, t.exposure
	x.Candidate, x.Stable = cloneSides(t.own.Candidate), cloneSides(t.own.Stable)
	if t.exposure <= t.canary {
		x.Held = t.held.List(now, maxHeld)
	}
	return x
}

// Decide decides on the tallies of all entries at a time of the store's clock in milliseconds, and sets the exposure of this
// entry. The state is final only once it was written to the store.
func (t *TimedRollout) Decide(tallies []Tally, storeNow int64, now time.Time) (interpreter.State, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judged++
	e := sums{candidate: map[string]VersionCounts{}, stable: map[string]VersionCounts{}, exposure: 1}
	for i := range tallies {
		x := &tallies[i]
		if x.Number != t.order.Number {
			continue
		}
		if t.began == 0 || x.Began > 0 && x.Began < t.began {
			t.began = x.Began
		}
		mergeSides(e.candidate, x.Candidate)
		mergeSides(e.stable, x.Stable)
		if storeNow-x.At <= tallyAge.Milliseconds() {
			for _, session := range x.Held {
				t.heard.Use(session, now)
			}
			e.active += x.Active
			e.exposure = min(e.exposure, x.Exposure)
		}
	}
	event, reason := t.decide(&e, storeNow)
	if event != "" {
		// An event that the state does not react to changes nothing.
		if err := t.machine.Fire(event); err != nil && !errors.Is(err, interpreter.ErrNoTransition) {
			panic("promoter: " + err.Error())
		}
	}
	if t.machine.State() == TimedRolloutRolledBack {
		t.exposure = 0
	}
	return t.machine.State(), reason
}

// DecideLocally stops the exposure of this entry on its own evidence, while the store is out.
func (t *TimedRollout) DecideLocally() (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reason, bad := doubt(t.own.Candidate, t.own.Stable)
	if bad {
		t.exposure = 0
	}
	return reason, bad
}

// decide returns the event that follows from the evidence and sets the exposure; t.mu is held.
func (t *TimedRollout) decide(e *sums, storeNow int64) (interpreter.Event, string) {
	if reason, bad := doubt(e.candidate, e.stable); bad {
		return eventBad, reason
	}
	part := float64(storeNow-t.began) / float64(t.order.Duration.Milliseconds())
	if part >= 1 {
		return eventLate, "deadline passed"
	}
	good := total(e.candidate).Good
	next := t.canary
	needed := int64(leastGood)
	for _, s := range steps {
		if part < s.at || good < needed {
			break
		}
		next = s.exposure
		needed += leastGood
	}
	t.exposure = max(t.exposure, next)
	switch {
	case t.machine.State() == TimedRolloutCanary && t.exposure > t.canary:
		return eventGrow, "second half"
	case t.machine.State() == TimedRolloutGrowing && e.exposure >= 1 && t.exposure >= 1:
		return eventFull, "all entries moved"
	case t.machine.State() == TimedRolloutDraining && e.exposure >= 1 && e.active == 0:
		return eventIdle, "former version is idle"
	}
	return "", ""
}

// BadAnswers returns the number of bad answers of the new version that this entry has seen.
func (t *TimedRollout) BadAnswers() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return total(t.own.Candidate).Bad
}

// Stage returns the state of the chart.
func (t *TimedRollout) Stage() interpreter.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.State()
}

// State returns the exposure and the state of the chart.
func (t *TimedRollout) State() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TimedRolloutState{Service: t.order.Service, To: t.order.To, State: t.machine.State(), Exposure: t.exposure}
}

// TimedRolloutState is the state dump of a Trial.
type TimedRolloutState struct {
	Service  identifier.Service `json:"service"`
	To       identifier.Version `json:"to"`
	State    interpreter.State  `json:"state"`
	Exposure float64            `json:"exposure"`
}
