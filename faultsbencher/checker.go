package faultsbencher

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/committer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/leaser"
	"github.com/siskinfront/siskinfront/storer"
	"github.com/siskinfront/siskinfront/streamer"
)

// Invariant is the name of a property that every schedule checks.
type Invariant string

// The invariants.
const (
	LeaseTokensGrow         Invariant = "lease-tokens-grow" //nolint:gosec // A name, not a credential.
	LeaseOneHolder          Invariant = "lease-one-valid-holder"
	LeaseStaleWritesRefused Invariant = "lease-stale-writes-refused"
	ClaimRunsOnce           Invariant = "claim-runs-at-most-once"
	ClaimNotRunTrue         Invariant = "claim-not-run-is-true"
	ClaimSameResult         Invariant = "claim-same-result"
	BillKept                Invariant = "bill-kept-while-a-holder-lives"
	BillCountedOnce         Invariant = "bill-counted-once"
	ConfigNeverReverts      Invariant = "config-never-reverts"
	ConfigSameEverywhere    Invariant = "config-same-at-a-revision"
	ConfigNoLostUpdate      Invariant = "config-no-lost-update"
	ConfigInForce           Invariant = "config-in-force-within-7s"
	MemberHealthyNotDead    Invariant = "member-healthy-not-dead"
	MemberLeaving           Invariant = "member-leaving-known-within-2s"
	WithdrawnNoWork         Invariant = "version-withdrawn-no-new-work"
	WorkNotRunTrue          Invariant = "work-not-run-is-true"
	LeavingNoWork           Invariant = "upstream-leaving-no-new-work"
	LeavingRefuses          Invariant = "upstream-leaving-refuses-new-work"
	StopCutsNoRequest       Invariant = "stop-cuts-no-request"
	ClaimLinearizable       Invariant = "claim-linearizable"
	LeaseLinearizable       Invariant = "lease-linearizable"
	ConfigLinearizable      Invariant = "config-linearizable"
)

// Invariants returns all invariants in the order in which the report lists them.
func Invariants() []Invariant {
	return []Invariant{
		LeaseTokensGrow, LeaseOneHolder, LeaseStaleWritesRefused, ClaimRunsOnce, ClaimNotRunTrue, ClaimSameResult, BillKept, BillCountedOnce,
		ConfigNeverReverts, ConfigSameEverywhere, ConfigNoLostUpdate, ConfigInForce, MemberHealthyNotDead, MemberLeaving,
		WithdrawnNoWork, WorkNotRunTrue, LeavingNoWork, LeavingRefuses, StopCutsNoRequest, ClaimLinearizable, LeaseLinearizable,
		ConfigLinearizable,
	}
}

const (
	// inForceLimit is the time from a commit within which it must be in force at undisturbed instances while the table is available.
	inForceLimit = 7 * time.Second
	// leavingLimit is the time within which all undisturbed instances of the data centre must know of a leave.
	leavingLimit   = 2 * time.Second
	sampleInterval = 250 * time.Millisecond
	// undisturbedTime is how long two instances must both have been free of faults before one may not consider the other dead.
	undisturbedTime = 12 * time.Second
)

// Outcome holds the results of the checks and measurements of one schedule.
type Outcome struct {
	Kind Kind
	// Faults lists the injected faults with their virtual time, the drawn instance and the duration.
	// Some kinds of fault affect another instance or the whole platform.
	Faults  []string
	Checked map[Invariant]int
	// Broken holds the violations with their virtual time.
	Broken map[Invariant][]string
	// LeaseGap is the longest time between two writes by lease holders.
	LeaseGap time.Duration
	// AnswerTimes are the times from the first attempt of a caller to its final answer.
	AnswerTimes []time.Duration
	// InForceTimes are the times from a commit until it is in force at an undisturbed instance while the table was available.
	InForceTimes []time.Duration
	// CrashDetectionTimes are the times from a crash until all undisturbed instances of its data centre have detected it.
	CrashDetectionTimes []time.Duration
	// LeaveDetectionTimes are the times from a leave until all undisturbed instances of its data centre have detected it.
	LeaveDetectionTimes []time.Duration
	// BillsLostWithHolders counts bills that were lost because every holder ended before they became durable.
	BillsLostWithHolders int
	// Unknown counts final answers to callers with the outcome unknown.
	Unknown int
	// HistoryHash is a hash of the table's transactions; equal seeds give equal hashes.
	HistoryHash uint64
}

// billHolder is a run of a process that holds a bill in memory.
type billHolder struct {
	instance    *instance
	incarnation int
	bill        biller.Bill
}

// instanceEnd is the end of a process, or the start of its leave.
type instanceEnd struct {
	instance    *instance
	incarnation int
	at          time.Time
}

// checker follows the events of a schedule and checks the invariants on them.
type checker struct {
	s              *schedule
	outcome        Outcome
	lease          leaser.Record
	lastLeaseWrite time.Time
	// executions counts the executions by claimed key; bodies holds the result of the last one.
	executions map[string]int
	bodies     map[string]string
	// executedRequests holds the requests that an agent ran, notRunRequests those reported as not run.
	executedRequests map[identifier.Request]bool
	notRunRequests   map[identifier.Request]bool
	storedResults    map[string]bool
	bills            map[string][]billHolder
	// billOrder holds the IDs of the bills in the order in which they were first recorded.
	billOrder    []string
	headRevision uint64
	commitTimes  map[uint64]time.Time
	// A mark is the committed spend that identifies a change of the configuration.
	markOfRevision   map[uint64]float64
	acceptedMarks    map[float64]uint64
	conflictingMarks map[float64]bool
	leaves           []instanceEnd
	crashes          []instanceEnd
	work             workState
	histories        callHistories
}

func newChecker(s *schedule) *checker {
	return &checker{
		s: s, lastLeaseWrite: s.Now(), executions: map[string]int{}, bodies: map[string]string{},
		executedRequests: map[identifier.Request]bool{},
		notRunRequests:   map[identifier.Request]bool{}, storedResults: map[string]bool{}, bills: map[string][]billHolder{},
		commitTimes: map[uint64]time.Time{}, markOfRevision: map[uint64]float64{}, acceptedMarks: map[float64]uint64{},
		conflictingMarks: map[float64]bool{}, work: newWorkState(),
		outcome: Outcome{Checked: map[Invariant]int{}, Broken: map[Invariant][]string{}},
	}
}

// expect counts one check of an invariant and records a violation unless ok.
func (c *checker) expect(i Invariant, ok bool, format string, args ...any) {
	c.outcome.Checked[i]++
	if !ok {
		text := fmt.Sprintf("%v: ", c.s.Elapsed()) + fmt.Sprintf(format, args...)
		c.outcome.Broken[i] = append(c.outcome.Broken[i], text)
	}
}

// transactionApplied is called for each transaction when the table applies it.
func (c *checker) transactionApplied(tx storer.Transaction, version uint64) {
	c.outcome.HistoryHash = c.outcome.HistoryHash*31 + version + uint64(c.s.Elapsed()) + uint64(len(tx.Writes))
	for _, w := range tx.Writes {
		switch {
		case w.Key == "lease/"+leaseName:
			var rec leaser.Record
			c.decode(w.Value, &rec)
			same := rec.Token == c.lease.Token && (rec.Holder == c.lease.Holder || rec.Holder == "")
			c.expect(LeaseTokensGrow, rec.Token > c.lease.Token || same, "token %d of %s after %d of %s",
				rec.Token, rec.Holder, c.lease.Token, c.lease.Holder)
			c.lease = rec
		case w.Key == guardedKey:
			var g guardedRow
			c.decode(w.Value, &g)
			c.expect(LeaseStaleWritesRefused, g.Token == c.lease.Token && c.lease.Holder != "", "write with token %d under %d of %q",
				g.Token, c.lease.Token, c.lease.Holder)
		case w.Key == "config/head":
			var h committer.Head
			c.decode(w.Value, &h)
			c.expect(ConfigNoLostUpdate, h.Revision == c.headRevision+1, "head %d after %d", h.Revision, c.headRevision)
			c.headRevision = h.Revision
			c.commitTimes[h.Revision] = c.s.Now()
		case strings.HasPrefix(w.Key, "config/change/"):
			var ch committer.Change
			c.decode(w.Value, &ch)
			for _, it := range ch.Items {
				if it.Key == "spend" {
					var spend configurer.Spend
					c.decode(it.Value, &spend)
					c.markOfRevision[ch.Revision] = spend.Committed
				}
				c.work.itemCommitted(c, it)
			}
		}
	}
}

func (c *checker) decode(b []byte, v any) {
	if err := json.Unmarshal(b, v); err != nil {
		panic("faultsbencher: decode row: " + err.Error())
	}
}

// leaseWritten is called when the write of a lease holder has succeeded.
func (c *checker) leaseWritten() {
	c.outcome.LeaseGap = max(c.outcome.LeaseGap, c.s.Now().Sub(c.lastLeaseWrite))
	c.lastLeaseWrite = c.s.Now()
}

// requestExecuted is called when an agent runs a claimed request; it returns the body of the result.
func (c *checker) requestExecuted(key string, req identifier.Request) string {
	c.executions[key]++
	c.executedRequests[req] = true
	c.expect(ClaimRunsOnce, c.executions[key] == 1, "%s runs for the %d. time", key, c.executions[key])
	c.expect(ClaimNotRunTrue, !c.notRunRequests[req], "%s runs after it was reported as not run", req)
	c.bodies[key] = fmt.Sprintf("%s by %s", key, req)
	return c.bodies[key]
}

// callerReplied is called when an entry replies to a caller.
func (c *checker) callerReplied(key string, req identifier.Request, r reply) {
	switch r.outcome {
	case streamer.OutcomeNotRun:
		c.notRunRequests[req] = true
		c.expect(ClaimNotRunTrue, !c.executedRequests[req], "%s was reported as not run and ran", req)
	case streamer.OutcomeRun:
		c.expect(ClaimSameResult, r.body == c.bodies[key], "%s replied %q, ran %q", key, r.body, c.bodies[key])
	case streamer.OutcomeUnknown:
		if !r.running {
			c.outcome.Unknown++
		}
	}
}

func (c *checker) callerAnswered(d time.Duration) {
	c.outcome.AnswerTimes = append(c.outcome.AnswerTimes, d)
}

func (c *checker) resultStored(key string) { c.storedResults[key] = true }

// billRecorded is called when an instance records a bill, which replaces its partial bill if it is final.
func (c *checker) billRecorded(n *instance, b biller.Bill) {
	if len(c.bills[b.ID]) == 0 {
		c.billOrder = append(c.billOrder, b.ID)
	}
	for i, h := range c.bills[b.ID] {
		if h.instance == n && h.incarnation == n.Incarnation {
			if b.Final {
				c.bills[b.ID][i].bill = b
			}
			return
		}
	}
	c.bills[b.ID] = append(c.bills[b.ID], billHolder{n, n.Incarnation, b})
}

// holders returns the instances that have recorded any of the bills.
func (c *checker) holders(ids []string) []*instance {
	var list []*instance
	seen := map[*instance]bool{}
	for _, id := range ids {
		for _, h := range c.bills[id] {
			if !seen[h.instance] {
				seen[h.instance] = true
				list = append(list, h.instance)
			}
		}
	}
	return list
}

// commitReturned is called when the commit of the change with a mark returns.
func (c *checker) commitReturned(mark float64, revision uint64, err error) {
	switch {
	case err == nil:
		c.acceptedMarks[mark] = revision
	case errors.Is(err, committer.ErrConflict):
		c.conflictingMarks[mark] = true
	}
}

// configInForce is called for each configuration that an instance puts into force.
func (c *checker) configInForce(n *instance, cfg *configurer.Configuration) {
	c.expect(ConfigNeverReverts, cfg.Revision > n.revision, "%s goes from revision %d to %d", n.name, n.revision, cfg.Revision)
	mark, ok := c.markOfRevision[cfg.Revision]
	c.expect(ConfigSameEverywhere, ok && cfg.Spend.Committed == mark, "%s has %v at revision %d, committed was %v",
		n.name, cfg.Spend.Committed, cfg.Revision, mark)
	for r := n.revision + 1; r <= cfg.Revision; r++ {
		c.recordInForceTime(n, r)
	}
	n.revision = cfg.Revision
}

// recordInForceTime records and checks the time since the commit of a revision, unless the instance was disturbed or the table
// unavailable meanwhile.
func (c *checker) recordInForceTime(n *instance, revision uint64) {
	from, to := c.commitTimes[revision], c.s.Now()
	if !n.undisturbed(from, to) || c.tableUnavailable(from, to) {
		return
	}
	c.outcome.InForceTimes = append(c.outcome.InForceTimes, to.Sub(from))
	c.expect(ConfigInForce, to.Sub(from) <= inForceLimit, "%s has revision %d after %v", n.name, revision, to.Sub(from))
}

// tableUnavailable reports whether an outage of the table overlaps a period.
func (c *checker) tableUnavailable(from, to time.Time) bool {
	for _, u := range c.s.tableOutages {
		if u.overlaps(from, to) {
			return true
		}
	}
	return false
}

// processEnded is called when a process ends, by a crash or after a leave.
func (c *checker) processEnded(n *instance) {
	c.crashes = append(c.crashes, instanceEnd{n, n.Incarnation, c.s.Now()})
	delete(c.work.openRequests, n)
	delete(c.work.leftAt, n)
}

// leaveBegun is called when an instance begins to leave.
func (c *checker) leaveBegun(n *instance) {
	c.leaves = append(c.leaves, instanceEnd{n, n.Incarnation, c.s.Now()})
	c.work.leftAt[n] = c.s.Now()
}

// sample makes the checks that must hold at any time, and repeats itself each sampleInterval.
func (c *checker) sample() {
	now := c.s.Now()
	validLeases := 0
	for _, n := range c.s.instances {
		if n.up && n.lease != nil && n.lease.Valid() {
			validLeases++
		}
	}
	c.expect(LeaseOneHolder, validLeases <= 1, "%d instances hold a valid lease", validLeases)
	c.recordGuardedRead()
	from := now.Add(-undisturbedTime)
	for _, a := range c.s.instances {
		for _, b := range c.s.instances {
			if a != b && a.dataCentre == b.dataCentre && a.undisturbed(from, now) && b.undisturbed(from, now) {
				c.expect(MemberHealthyNotDead, a.detector.StateOf(b.name) != detector.Dead, "%s considers %s dead", a.name, b.name)
			}
		}
	}
	c.leaves = c.checkKnown(c.leaves, func(d instanceEnd, known bool) bool {
		if d.instance.peersCutOff.overlaps(d.at, now) {
			return true // An instance that is cut off from its peers can't announce that it leaves.
		}
		if known {
			c.outcome.LeaveDetectionTimes = append(c.outcome.LeaveDetectionTimes, now.Sub(d.at))
		}
		if late := now.Sub(d.at) >= leavingLimit; known || late {
			c.expect(MemberLeaving, known, "the leave of %s is not known to all instances", d.instance.name)
			return true
		}
		return false
	})
	c.crashes = c.checkKnown(c.crashes, func(d instanceEnd, known bool) bool {
		if known {
			c.outcome.CrashDetectionTimes = append(c.outcome.CrashDetectionTimes, now.Sub(d.at))
		}
		return known
	})
	c.s.After(sampleInterval, c.sample)
}

// checkKnown calls done for each end with whether all undisturbed instances of the data centre know it. It returns the ends for
// which done returned false.
func (c *checker) checkKnown(list []instanceEnd, done func(instanceEnd, bool) bool) []instanceEnd {
	kept := list[:0]
	for _, d := range list {
		if d.instance.Incarnation != d.incarnation || d.instance.up && !d.instance.leaving {
			continue // The process was replaced or is up again.
		}
		known := true
		for _, a := range c.s.instances {
			if a != d.instance && a.dataCentre == d.instance.dataCentre && a.undisturbed(d.at, c.s.Now()) {
				s := a.detector.StateOf(d.instance.name)
				known = known && (s == detector.Dead || s == detector.Leaving)
			}
		}
		if !done(d, known) {
			kept = append(kept, d)
		}
	}
	return kept
}
