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

// Invariant names one promise that every schedule checks.
type Invariant string

// The invariants.
const (
	LeaseTokensGrow      Invariant = "lease-tokens-grow" //nolint:gosec // A name, not a credential.
	LeaseOneHolder       Invariant = "lease-one-valid-holder"
	LeaseFenced          Invariant = "lease-stale-writes-refused"
	ClaimRunsOnce        Invariant = "claim-runs-at-most-once"
	ClaimNotRunTrue      Invariant = "claim-not-run-is-true"
	ClaimSameResult      Invariant = "claim-same-result"
	BillKept             Invariant = "bill-kept-while-a-holder-lives"
	BillCountedOnce      Invariant = "bill-counted-once"
	ConfigNeverReverts   Invariant = "config-never-reverts"
	ConfigSameEverywhere Invariant = "config-same-at-a-revision"
	ConfigNoLostUpdate   Invariant = "config-no-lost-update"
	ConfigInForce        Invariant = "config-in-force-within-7s"
	MemberHealthyNotDead Invariant = "member-healthy-not-dead"
	MemberLeaving        Invariant = "member-leaving-known-within-2s"
	WithdrawnNoWork      Invariant = "version-withdrawn-no-new-work"
	WorkNotRunTrue       Invariant = "work-not-run-is-true"
	LeavingNoWork        Invariant = "upstream-leaving-no-new-work"
	LeavingRefuses       Invariant = "upstream-leaving-refuses-new-work"
	StopCutsNothing      Invariant = "stop-cuts-no-request"
	ClaimLinearizable    Invariant = "claim-linearizable"
	LeaseLinearizable    Invariant = "lease-linearizable"
	ConfigLinearizable   Invariant = "config-linearizable"
)

// Invariants returns all invariants in the order of the report.
func Invariants() []Invariant {
	return []Invariant{
		LeaseTokensGrow, LeaseOneHolder, LeaseFenced, ClaimRunsOnce, ClaimNotRunTrue, ClaimSameResult, BillKept, BillCountedOnce,
		ConfigNeverReverts, ConfigSameEverywhere, ConfigNoLostUpdate, ConfigInForce, MemberHealthyNotDead, MemberLeaving,
		WithdrawnNoWork, WorkNotRunTrue, LeavingNoWork, LeavingRefuses, StopCutsNothing, ClaimLinearizable, LeaseLinearizable,
		ConfigLinearizable,
	}
}

const (
	inForceLimit = 7 * time.Second
	leavingLimit = 2 * time.Second
	sampleTime   = 250 * time.Millisecond
	// quietTime is how long observer and observed must have been free of faults before a verdict counts.
	quietTime = 12 * time.Second
)

// Outcome is what the checks of one schedule found.
type Outcome struct {
	Kind Kind
	// Faults lists the injected faults with their virtual time, the drawn instance and the duration.
	Faults  []string
	Checked map[Invariant]int
	// Broken holds the violations with their virtual time.
	Broken map[Invariant][]string
	// LeaseGap is the longest time without a write of a lease holder.
	LeaseGap time.Duration
	// AnswerTimes are the times from the first attempt of a caller to its final answer.
	AnswerTimes []time.Duration
	// InForceTimes are the times from a commit to its force at undisturbed nodes that could reach the table.
	InForceTimes []time.Duration
	// CrashDetectionTimes are the times from a crash until all undisturbed nodes of the data centre know.
	CrashDetectionTimes []time.Duration
	// LeaveDetectionTimes are the times from a leave until all undisturbed nodes of the data centre know.
	LeaveDetectionTimes []time.Duration
	// BillsLostWithHolders counts bills that were lost because every holder died first.
	BillsLostWithHolders int
	// Unknown counts final answers with outcome unknown.
	Unknown int
	// HistoryHash sums up the table's transactions; equal seeds give equal sums.
	HistoryHash uint64
}

type billHolder struct {
	n    *node
	life int
	bill biller.Bill
}

type departure struct {
	n    *node
	life int
	at   time.Time
}

type checker struct {
	s           *schedule
	outcome     Outcome
	lease       leaser.Record
	served      time.Time
	executions  map[string]int
	bodies      map[string]string
	ran         map[identifier.Request]bool
	refused     map[identifier.Request]bool
	stored      map[string]bool
	bills       map[string][]billHolder
	billOrder   []string
	head        uint64
	commits     map[uint64]time.Time
	marks       map[uint64]float64
	accepted    map[float64]uint64
	conflicting map[float64]bool
	departures  []departure
	crashes     []departure
	work        workBook
	histories   histories
}

func newChecker(s *schedule) *checker {
	return &checker{
		s: s, served: s.Now(), executions: map[string]int{}, bodies: map[string]string{}, ran: map[identifier.Request]bool{},
		refused: map[identifier.Request]bool{}, stored: map[string]bool{}, bills: map[string][]billHolder{},
		commits: map[uint64]time.Time{}, marks: map[uint64]float64{}, accepted: map[float64]uint64{},
		conflicting: map[float64]bool{}, work: newWorkBook(),
		outcome: Outcome{Checked: map[Invariant]int{}, Broken: map[Invariant][]string{}},
	}
}

// expect counts one check and notes its violation.
func (c *checker) expect(i Invariant, ok bool, format string, args ...any) {
	c.outcome.Checked[i]++
	if !ok {
		text := fmt.Sprintf("%v: ", c.s.Elapsed()) + fmt.Sprintf(format, args...)
		c.outcome.Broken[i] = append(c.outcome.Broken[i], text)
	}
}

// applied sees each transaction at the moment at which the table applies it.
func (c *checker) applied(tx storer.Transaction, version uint64) {
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
			var g guarded
			c.decode(w.Value, &g)
			c.expect(LeaseFenced, g.Token == c.lease.Token && c.lease.Holder != "", "write with token %d under %d of %q",
				g.Token, c.lease.Token, c.lease.Holder)
		case w.Key == "config/head":
			var h committer.Head
			c.decode(w.Value, &h)
			c.expect(ConfigNoLostUpdate, h.Revision == c.head+1, "head %d after %d", h.Revision, c.head)
			c.head = h.Revision
			c.commits[h.Revision] = c.s.Now()
		case strings.HasPrefix(w.Key, "config/change/"):
			var ch committer.Change
			c.decode(w.Value, &ch)
			for _, it := range ch.Items {
				if it.Key == "spend" {
					var spend configurer.Spend
					c.decode(it.Value, &spend)
					c.marks[ch.Revision] = spend.Committed
				}
				c.work.changed(c, it)
			}
		}
	}
}

func (c *checker) decode(b []byte, v any) {
	if err := json.Unmarshal(b, v); err != nil {
		panic("faultsbencher: decode row: " + err.Error())
	}
}

func (c *checker) leaseServed() {
	c.outcome.LeaseGap = max(c.outcome.LeaseGap, c.s.Now().Sub(c.served))
	c.served = c.s.Now()
}

func (c *checker) executed(key string, req identifier.Request) string {
	c.executions[key]++
	c.ran[req] = true
	c.expect(ClaimRunsOnce, c.executions[key] == 1, "%s runs for the %d. time", key, c.executions[key])
	c.expect(ClaimNotRunTrue, !c.refused[req], "%s runs after it was reported as not run", req)
	c.bodies[key] = fmt.Sprintf("%s by %s", key, req)
	return c.bodies[key]
}

func (c *checker) replied(key string, req identifier.Request, r reply) {
	switch r.outcome {
	case streamer.OutcomeNotRun:
		c.refused[req] = true
		c.expect(ClaimNotRunTrue, !c.ran[req], "%s was reported as not run and ran", req)
	case streamer.OutcomeRun:
		c.expect(ClaimSameResult, r.body == c.bodies[key], "%s replied %q, ran %q", key, r.body, c.bodies[key])
	case streamer.OutcomeUnknown:
		if !r.running {
			c.outcome.Unknown++
		}
	}
}

func (c *checker) answered(d time.Duration) {
	c.outcome.AnswerTimes = append(c.outcome.AnswerTimes, d)
}

func (c *checker) finished(key string) { c.stored[key] = true }

func (c *checker) billed(n *node, b biller.Bill) {
	if len(c.bills[b.ID]) == 0 {
		c.billOrder = append(c.billOrder, b.ID)
	}
	for i, h := range c.bills[b.ID] {
		if h.n == n && h.life == n.Incarnation {
			if b.Final {
				c.bills[b.ID][i].bill = b
			}
			return
		}
	}
	c.bills[b.ID] = append(c.bills[b.ID], billHolder{n, n.Incarnation, b})
}

// holders returns the nodes that hold any of the bills.
func (c *checker) holders(ids []string) []*node {
	var list []*node
	seen := map[*node]bool{}
	for _, id := range ids {
		for _, h := range c.bills[id] {
			if !seen[h.n] {
				seen[h.n] = true
				list = append(list, h.n)
			}
		}
	}
	return list
}

func (c *checker) committed(mark float64, revision uint64, err error) {
	switch {
	case err == nil:
		c.accepted[mark] = revision
	case errors.Is(err, committer.ErrConflict):
		c.conflicting[mark] = true
	}
}

// inForce sees each configuration that a node puts into force.
func (c *checker) inForce(n *node, cfg *configurer.Configuration) {
	c.expect(ConfigNeverReverts, cfg.Revision > n.revision, "%s goes from revision %d to %d", n.name, n.revision, cfg.Revision)
	mark, ok := c.marks[cfg.Revision]
	c.expect(ConfigSameEverywhere, ok && cfg.Spend.Committed == mark, "%s has %v at revision %d, committed was %v",
		n.name, cfg.Spend.Committed, cfg.Revision, mark)
	for r := n.revision + 1; r <= cfg.Revision; r++ {
		c.measure(n, r)
	}
	n.revision = cfg.Revision
}

// measure takes the time from a commit until now, unless the node or the path to the table had a fault meanwhile.
func (c *checker) measure(n *node, revision uint64) {
	from, to := c.commits[revision], c.s.Now()
	if !n.quiet(from, to) || c.tableOut(from, to) {
		return
	}
	c.outcome.InForceTimes = append(c.outcome.InForceTimes, to.Sub(from))
	c.expect(ConfigInForce, to.Sub(from) <= inForceLimit, "%s has revision %d after %v", n.name, revision, to.Sub(from))
}

func (c *checker) tableOut(from, to time.Time) bool {
	for _, u := range c.s.unreachable {
		if u.overlaps(from, to) {
			return true
		}
	}
	return false
}

func (c *checker) crashed(n *node) {
	c.crashes = append(c.crashes, departure{n, n.Incarnation, c.s.Now()})
	delete(c.work.open, n)
	delete(c.work.left, n)
}

func (c *checker) left(n *node) {
	c.departures = append(c.departures, departure{n, n.Incarnation, c.s.Now()})
	c.work.left[n] = c.s.Now()
}

// sample judges what must hold at any moment.
func (c *checker) sample() {
	now := c.s.Now()
	valid := 0
	for _, n := range c.s.nodes {
		if n.up && n.lease != nil && n.lease.Valid() {
			valid++
		}
	}
	c.expect(LeaseOneHolder, valid <= 1, "%d holders believe in their lease", valid)
	c.readGuarded()
	from := now.Add(-quietTime)
	for _, a := range c.s.nodes {
		for _, b := range c.s.nodes {
			if a != b && a.centre == b.centre && a.quiet(from, now) && b.quiet(from, now) {
				c.expect(MemberHealthyNotDead, a.detector.StateOf(b.name) != detector.Dead, "%s takes %s for dead", a.name, b.name)
			}
		}
	}
	c.departures = c.follow(c.departures, func(d departure, known bool) bool {
		if d.n.cutPeers.overlaps(d.at, now) {
			return true // No message of an instance that is cut off can tell that it leaves.
		}
		if known {
			c.outcome.LeaveDetectionTimes = append(c.outcome.LeaveDetectionTimes, now.Sub(d.at))
		}
		if late := now.Sub(d.at) >= leavingLimit; known || late {
			c.expect(MemberLeaving, known, "leaving of %s is not known everywhere", d.n.name)
			return true
		}
		return false
	})
	c.crashes = c.follow(c.crashes, func(d departure, known bool) bool {
		if known {
			c.outcome.CrashDetectionTimes = append(c.outcome.CrashDetectionTimes, now.Sub(d.at))
		}
		return known
	})
	c.s.After(sampleTime, c.sample)
}

// follow tells for each departure whether all undisturbed nodes of the data centre know it, and drops the done ones.
func (c *checker) follow(list []departure, done func(departure, bool) bool) []departure {
	kept := list[:0]
	for _, d := range list {
		if d.n.Incarnation != d.life || d.n.up && !d.n.leaving {
			continue // The instance was replaced or is back.
		}
		known := true
		for _, a := range c.s.nodes {
			if a != d.n && a.centre == d.n.centre && a.quiet(d.at, c.s.Now()) {
				s := a.detector.StateOf(d.n.name)
				known = known && (s == detector.Dead || s == detector.Leaving)
			}
		}
		if !done(d, known) {
			kept = append(kept, d)
		}
	}
	return kept
}
