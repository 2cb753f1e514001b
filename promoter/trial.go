package promoter

import (
	_ "embed"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/interpreter"
	"github.com/siskinfront/siskinfront/pinner"
	"github.com/siskinfront/siskinfront/storer"
)

//go:embed trial.yaml
var timedRolloutChart []byte

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
	// canaryShare is the fraction of the configured maximum exposure that the new version gets in the first half of the roll-out.
	// At its start a few sessions in use change their version, because their entries have not reported them yet.
	canaryShare = 0.25
	// maxTallyAge is the age beyond which a tally no longer shows the current requests, exposure and sessions of its entry; its
	// counts still do. Entries write their tallies each second.
	maxTallyAge = 3500 * time.Millisecond
	// minDecisions is the number of decisions before the canary starts: the first may come before other entries have reported
	// which sessions are in use.
	minDecisions = 2
	// maxHeldSessions bounds the sessions in one tally, which is stored as a row of at most some 64 KB.
	maxHeldSessions = 1000
	// decisionLead is the time before the second half from which decisions are due.
	decisionLead = time.Second
	// maxVerdictAge is the age beyond which a verdict is no longer needed: a copy of the store from which it comes back is much younger.
	// That a version was rolled back counts longer, as entries that start must know it while its upstreams remain.
	maxVerdictAge    = time.Hour
	maxRolledBackAge = 24 * time.Hour
	// minGoodAnswers is the number of further good answers of the new version that each step of exposure needs.
	minGoodAnswers = 8
)

// RolloutOrder is an operator's order to move the traffic of a service to a version within a time.
type RolloutOrder struct {
	Service  identifier.Service
	To       identifier.Version
	Duration time.Duration
	// At is the position of the order in the store; a later order has a later one.
	At storer.Position
}

// RolloutStatus is the state of an order as the store publishes it: in progress or final.
type RolloutStatus struct {
	Service identifier.Service
	To      identifier.Version
	State   interpreter.State
	// At is the position of the status in the store; its version is 0 if there is none.
	At storer.Position
}

// Ends reports whether the status is the final state of an order.
func (s *RolloutStatus) Ends(o *RolloutOrder) bool {
	return s.To == o.To && s.At.Era == o.At.Era && o.At.Before(s.At) && IsFinal(s.State)
}

// Tally holds the observations of one entry during a roll-out, by route.
type Tally struct {
	Entry identifier.Instance `json:"entry"`
	// To and Number identify the order: its version of the service and its version in the store.
	To     identifier.Version `json:"to"`
	Number uint64             `json:"number"`
	// Began and At are times of the store's steady clock in milliseconds.
	Began int64 `json:"began-ms"`
	At    int64 `json:"at-ms"`
	// Active is the number of requests of this entry at upstreams of other versions.
	Active int64 `json:"active"`
	// Exposure is the share of sessions that the entry sends to the new version.
	Exposure  float64                  `json:"exposure"`
	Candidate map[string]VersionCounts `json:"candidate"`
	Stable    map[string]VersionCounts `json:"stable"`
	// HeldSessions lists sessions in use, of those that the canary would move, that this entry has served on the former version.
	HeldSessions []uint64 `json:"held"`
}

// Verdict is the final state of an order; all entries agree on it through rows of the store that are written once.
type Verdict struct {
	// To and Number identify the order, as in a tally.
	To     identifier.Version `json:"to"`
	Number uint64             `json:"number"`
	// Era is the era of the store in which the verdict was reached.
	Era    uint64            `json:"era"`
	State  interpreter.State `json:"state"`
	Reason string            `json:"reason"`
	By     string            `json:"by"`
	// At is the time of the store's steady clock in milliseconds.
	At int64 `json:"at-ms"`
}

// IsOn reports whether the verdict is that on an order, in the era of the order's position.
func (v *Verdict) IsOn(o *RolloutOrder) bool {
	return v.To == o.To && v.Number == o.At.Version
}

// OldVerdicts returns the verdicts on other orders that are no longer needed at a time of the store's clock in milliseconds.
func OldVerdicts(verdicts []Verdict, o *RolloutOrder, storeNow int64) []Verdict {
	var old []Verdict
	for i := range verdicts {
		v, age := &verdicts[i], maxVerdictAge
		if v.State == TimedRolloutRolledBack {
			age = maxRolledBackAge
		}
		if !v.IsOn(o) && storeNow-v.At > age.Milliseconds() {
			old = append(old, *v)
		}
	}
	return old
}

// RolledBack returns the versions that orders before an order have rolled back and none has returned to service since.
func RolledBack(verdicts []Verdict, o *RolloutOrder) []identifier.Version {
	last := map[identifier.Version]*Verdict{}
	for i := range verdicts {
		v := &verdicts[i]
		if v.To != o.To && IsFinal(v.State) && (last[v.To] == nil || last[v.To].position().Before(v.position())) {
			last[v.To] = v
		}
	}
	var versions []identifier.Version
	for version, v := range last {
		if v.State == TimedRolloutRolledBack {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}

// position returns that of the order, in the era in which the verdict was reached.
func (v *Verdict) position() storer.Position {
	return storer.Position{Era: v.Era, Version: v.Number}
}

// FirstVerdict returns the verdict on an order that was reached in the earliest era, or false if there is none. A store that comes back
// from an older copy may have lost a verdict on which entries and the operator have acted; it counts more than one that entries
// without knowledge of it have reached since.
func FirstVerdict(verdicts []Verdict, o *RolloutOrder) (Verdict, bool) {
	var first Verdict
	found := false
	for i := range verdicts {
		if v := &verdicts[i]; v.IsOn(o) && IsFinal(v.State) && (!found || v.Era < first.Era) {
			first, found = *v, true
		}
	}
	return first, found
}

// IsFinal reports whether a state ends a timed roll-out.
func IsFinal(s interpreter.State) bool {
	return s == TimedRolloutSucceeded || s == TimedRolloutRolledBack
}

// TimedRollout is one entry's part in a roll-out with a deadline; it is safe for concurrent use.
type TimedRollout struct {
	order          RolloutOrder
	entry          identifier.Instance
	canaryExposure float64
	machine        *interpreter.Machine
	bound          ExposureBound

	mu sync.Mutex
	// beganMillis is the store's clock in milliseconds when the first entry saw the order, 0 if unknown.
	beganMillis int64
	// orderedAt is when this entry saw the order.
	orderedAt time.Time
	exposure  float64
	tally     Tally
	// localSessions and remoteSessions stay on the former version during the canary, because this entry or another one has served
	// them there. decisions is the number of calls of Decide.
	localSessions, remoteSessions *pinner.RecentSessions
	decisions                     int
	// pending holds the attempts in progress by their ids.
	pending map[uint64]*pendingAttempt
}

// ExposureBound bounds the requests that a bad version may get until the deadline of its roll-out.
type ExposureBound struct {
	// Share is the share of the service's requests, and Slack a number beyond it.
	Share, Slack float64
}

// NewTimedRollout starts the roll-out of an order. sessionTime is the time without use after which a session has ended.
func NewTimedRollout(
	o RolloutOrder, entry identifier.Instance, bound ExposureBound, sessionTime time.Duration, now time.Time,
) *TimedRollout {
	return &TimedRollout{
		bound:         bound,
		pending:       map[uint64]*pendingAttempt{},
		orderedAt:     now,
		localSessions: pinner.NewRecentSessions(sessionTime), remoteSessions: pinner.NewRecentSessions(sessionTime),
		order: o, entry: entry, canaryExposure: bound.Share * canaryShare,
		machine:  interpreter.NewMachine(interpreter.MustParse(timedRolloutChart)),
		exposure: bound.Share * canaryShare,
		tally:    Tally{Entry: entry, To: o.To, Number: o.At.Version, Candidate: map[string]VersionCounts{}, Stable: map[string]VersionCounts{}},
	}
}

// Confirm records the position of the order in the present era of the store.
func (t *TimedRollout) Confirm(at storer.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.order.At, t.tally.Number = at, at.Version
}

// UsesNewVersion reports whether a session goes to the new version. At the same exposure all entries give the same answer, and
// a session that has moved stays on the new version as the exposure grows. During the canary, sessions that are known to be in
// use on the former version stay on it.
func (t *TimedRollout) UsesNewVersion(session uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	fraction := float64(session>>11) / (1 << 53)
	switch {
	case fraction >= t.exposure && fraction >= t.canaryExposure:
		return false
	case t.exposure > t.canaryExposure:
		return fraction < t.exposure
	case fraction >= t.exposure || t.decisions < minDecisions ||
		t.localSessions.Has(session, now) || t.remoteSessions.Has(session, now):
		t.localSessions.Use(session, now)
		return false
	}
	return true
}

// HoldSessions keeps sessions that are in use on the former version there during the canary.
func (t *TimedRollout) HoldSessions(sessions []uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range sessions {
		if float64(s>>11)/(1<<53) < t.canaryExposure {
			t.localSessions.Use(s, now)
		}
	}
}

// Tally returns the tally of this entry at a time of the store's clock in milliseconds; active is the number of its requests
// at upstreams of other versions.
func (t *TimedRollout) Tally(storeNow, active int64, now time.Time) Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	if began := storeNow - now.Sub(t.orderedAt).Milliseconds(); storeNow > 0 && (t.beganMillis == 0 || t.beganMillis > began) {
		t.beganMillis = began
	}
	tally := t.tally
	tally.Began, tally.At, tally.Active, tally.Exposure = t.beganMillis, storeNow, active, t.exposure
	tally.Candidate, tally.Stable = t.currentCounts(now)
	if t.exposure <= t.canaryExposure {
		tally.HeldSessions = t.localSessions.List(now, maxHeldSessions)
	}
	return tally
}

// Decide updates the state and the exposure of this entry from the tallies of all entries, and returns the state and its reason.
// storeNow is the store's clock in milliseconds. A final state takes effect only once it is written to the store.
func (t *TimedRollout) Decide(tallies []Tally, storeNow int64, now time.Time) (interpreter.State, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decisions++
	sum := tallySums{candidate: map[string]VersionCounts{}, stable: map[string]VersionCounts{}, exposure: 1}
	for i := range tallies {
		tally := &tallies[i]
		if tally.To != t.order.To || tally.Number != t.order.At.Version {
			continue
		}
		if t.beganMillis == 0 || tally.Began > 0 && tally.Began < t.beganMillis {
			t.beganMillis = tally.Began
		}
		mergeCounts(sum.candidate, tally.Candidate)
		mergeCounts(sum.stable, tally.Stable)
		if tally.isFresh(storeNow) {
			for _, session := range tally.HeldSessions {
				t.remoteSessions.Use(session, now)
			}
			sum.active += tally.Active
			sum.exposure = min(sum.exposure, tally.Exposure)
		}
	}
	event, reason := t.nextEvent(&sum, storeNow)
	if event != "" {
		// ErrNoTransition is expected: not every state has a transition for every event.
		if err := t.machine.Fire(event); err != nil && !errors.Is(err, interpreter.ErrNoTransition) {
			panic("promoter: " + err.Error())
		}
	}
	if t.machine.State() == TimedRolloutRolledBack {
		t.exposure = 0
	}
	return t.machine.State(), reason
}

// DecideLocally stops sending sessions to the new version if this entry's own observations show that it is bad. It is used
// while the store cannot be reached.
func (t *TimedRollout) DecideLocally(now time.Time) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidate, stable := t.currentCounts(now)
	reason, bad := findRegression(candidate, stable, compareSpeed(candidate, stable))
	if bad {
		t.exposure = 0
	}
	return reason, bad
}

// IsDeciding reports whether decisions on the exposure are due at a time of the store's clock in milliseconds: from shortly
// before the second half until the new version gets all requests.
func (t *TimedRollout) IsDeciding(storeNow int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.machine.State() == TimedRolloutGrowing {
		return true
	}
	half := t.beganMillis + t.order.Duration.Milliseconds()/2
	return t.machine.State() == TimedRolloutCanary && t.beganMillis > 0 && storeNow >= half-decisionLead.Milliseconds()
}

// nextEvent returns the event that follows from the sum of the tallies and raises the exposure; t.mu is held.
func (t *TimedRollout) nextEvent(sum *tallySums, storeNow int64) (interpreter.Event, string) {
	evidence := compareSpeed(sum.candidate, sum.stable)
	if reason, bad := findRegression(sum.candidate, sum.stable, evidence); bad {
		return eventBad, reason
	}
	g := &growth{
		elapsed:  float64(storeNow-t.beganMillis) / float64(t.order.Duration.Milliseconds()),
		duration: t.order.Duration, bound: t.bound,
		candidate: sumRoutes(sum.candidate), stable: sumRoutes(sum.stable), evidence: evidence,
	}
	if g.elapsed >= 1 {
		return eventLate, "deadline passed: " + g.String()
	}
	exposure, bad := g.decide(t.exposure)
	if bad {
		return eventBad, "exposure used up: " + g.String()
	}
	reason := ""
	if exposure > t.exposure {
		t.exposure, reason = exposure, g.String()
	}
	switch {
	case t.machine.State() == TimedRolloutCanary && t.exposure > t.canaryExposure:
		return eventGrow, "second half: " + g.String()
	case t.machine.State() == TimedRolloutGrowing && sum.exposure >= 1 && t.exposure >= 1:
		return eventFull, "all entries moved: " + g.String()
	case t.machine.State() == TimedRolloutDraining && sum.exposure >= 1 && sum.active == 0:
		return eventIdle, "former version is idle"
	}
	return "", reason
}

// BadAnswers returns the number of bad answers of the new version that this entry has seen.
func (t *TimedRollout) BadAnswers() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return sumRoutes(t.tally.Candidate).BadAnswers
}

// Stage returns the state of the chart and the share of sessions that this entry sends to the new version.
func (t *TimedRollout) Stage() (interpreter.State, float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.State(), t.exposure
}

// State returns the TimedRolloutState.
func (t *TimedRollout) State() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TimedRolloutState{Service: t.order.Service, To: t.order.To, State: t.machine.State(), Exposure: t.exposure}
}

// TimedRolloutState is the state dump of a TimedRollout.
type TimedRolloutState struct {
	Service  identifier.Service `json:"service"`
	To       identifier.Version `json:"to"`
	State    interpreter.State  `json:"state"`
	Exposure float64            `json:"exposure"`
}
