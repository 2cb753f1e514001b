package faultsbencher

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/siskinfront/siskinfront/claimer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/distributor"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/leaser"
	"github.com/siskinfront/siskinfront/platformfaker"
	"github.com/siskinfront/siskinfront/scheduler"
	"github.com/siskinfront/siskinfront/storer"
	"github.com/siskinfront/siskinfront/streamer"
)

const (
	faultPhase      = 38 * time.Second
	recoveryPhase   = 22 * time.Second
	leaseTerm       = 6 * time.Second
	leaseMargin     = 1 * time.Second
	instanceListLag = 10 * time.Second
	claimCallers    = 8
	agentBills      = 24
	leaseName       = "rollout/summary-large"
	guardedKey      = "guarded"
	leaseCandidates = 3
)

// Overrides replaces or disables single protections, to show that the checks find the violations that they prevent.
type Overrides struct {
	// Write replaces the fenced write of a lease holder.
	Write func(context.Context, *storer.Table, *leaser.Lease, storer.Transaction) error
	// Claim replaces the claim of a key.
	Claim func(c *claimer.Claimer, ctx context.Context, acc identifier.ClientAccount, key string, fingerprint [32]byte,
		req identifier.Request) (claimer.Claim, error)
	// Start replaces the durable start of a claimed request.
	Start func(context.Context, *claimer.Claimer, claimer.Claim) error
	// Sink replaces the write of a batch of bills to the table.
	Sink func(ctx context.Context, key string, batch []byte, write func(context.Context, string, []byte) error) error
	// Commit replaces the conditional commit of a configuration.
	Commit func(ctx context.Context, t *storer.Table, base uint64, next *configurer.Configuration, by string) (uint64, error)
	// Distributor and Detector are additional options that replace a protection of these packages.
	Distributor []distributor.Option
	Detector    []detector.Option
	// NoPeerBills disables sending bills to a second holder.
	NoPeerBills bool
	// ForgetTransactions makes the table apply a repeated transaction again, as a new one.
	ForgetTransactions bool
	// CheckOrder replaces the check of an order against the configuration of the agent.
	CheckOrder func(*configurer.Configuration, *streamer.Order) error
	// Refuse replaces the decision of an agent whether to refuse new orders.
	Refuse func(leaving bool) bool
	// Announce replaces the announcement that a process leaves.
	Announce func(*detector.Detector)
	// MayStop replaces the decision whether a leaving process may end.
	MayStop func(waited time.Duration, active int) bool
	// Unanswered replaces the outcome that an entry reports when no agent has replied.
	Unanswered func() streamer.Outcome
	// Acquire replaces the acquisition of a lease.
	Acquire func(ctx context.Context, t *storer.Table, l *leaser.Leaser, wall time.Time) (*leaser.Lease, error)
}

// schedule is one simulated run, determined by its seed.
type schedule struct {
	*scheduler.Scheduler
	overrides      Overrides
	faultKind      Kind
	table          *platformfaker.Table
	objects        *platformfaker.Objects
	list           *platformfaker.Instances
	instances      []*instance
	byName         map[identifier.Instance]*instance
	faults         platformFaults
	tableOutages   []interval
	check          *checker
	commitAttempts int
	// clockStepped reports whether the wall clock of an instance was stepped.
	clockStepped bool
	work         idempotentWork
}

// Run runs one schedule with faults of the given kinds and returns the results of its checks.
func Run(seed uint64, kinds []Kind, overrides Overrides) Outcome {
	s := &schedule{Scheduler: scheduler.New(seed), overrides: overrides, byName: map[identifier.Instance]*instance{},
		work: newIdempotentWork(seed)}
	s.check = newChecker(s)
	s.table, s.objects = platformfaker.NewTable(), platformfaker.NewObjects()
	s.table.ForgetTransactions = overrides.ForgetTransactions
	s.table.OnApply = s.check.transactionApplied
	s.table.Unavailable = func(*http.Request) bool { return s.faults.tableOutage.covers(s.Now()) }
	s.objects.Unavailable = func(*http.Request) bool { return s.faults.objectOutage.covers(s.Now()) }
	s.list = platformfaker.NewInstances(func() time.Time { return s.Now() })
	for i := range dataCentres * instancesPerDataCentre {
		n := &instance{s: s, dataCentre: i / instancesPerDataCentre, name: identifier.Instance("instance-" + strconv.Itoa(i))}
		s.instances = append(s.instances, n)
		s.byName[n.name] = n
	}
	for _, n := range s.instances {
		n.up = true
	}
	s.list.Set(s.members())
	s.list.Lag = instanceListLag
	s.Advance(instanceListLag)
	s.check.lastLeaseWrite = s.Now()
	for _, n := range s.instances {
		n.start()
	}
	s.planFaults(kinds)
	for range 2 {
		s.spawn(nil, s.commitLoop)
	}
	for i := range claimCallers {
		s.spawn(nil, func() { s.callerLoop("order-" + strconv.Itoa(i)) })
	}
	for i := range agentBills {
		s.spawn(nil, func() { s.billLoop("bill-" + strconv.Itoa(i)) })
	}
	s.spawn(nil, s.workLoop)
	s.After(0, s.check.sample)
	s.Run(faultPhase + recoveryPhase)
	s.check.finish()
	s.Stop()
	return s.check.outcome
}

// spawn starts a simulated process on instance n, or on none if n is nil.
func (s *schedule) spawn(n *instance, f func()) {
	if n == nil {
		s.Spawn(nil, f)
		return
	}
	s.Spawn(&n.Instance, f)
}

func (s *schedule) members() []storer.Instance {
	list := make([]storer.Instance, 0, len(s.instances))
	for _, n := range s.instances {
		if n.up {
			list = append(list, n.member())
		}
	}
	return list
}

// randomInstance returns a random instance that is up, not leaving and not excluded.
func (s *schedule) randomInstance(excluded ...*instance) *instance {
	for {
		if n := s.instances[s.Rand().IntN(len(s.instances))]; n.up && !n.leaving && !slices.Contains(excluded, n) {
			return n
		}
	}
}

// acceptsWork reports whether callers and operators still send requests, which they do until the fault phase ends.
func (s *schedule) acceptsWork() bool {
	return s.Elapsed() < faultPhase+instanceListLag
}

// isLeaseCandidate reports whether the instance competes for the lease.
func (n *instance) isLeaseCandidate() bool {
	for i := range leaseCandidates {
		if n.s.instances[i] == n {
			return true
		}
	}
	return false
}

// guardedRow is the value of the row guardedKey, which only the lease holder may write.
type guardedRow struct {
	Token uint64 `json:"token"`
}

// keepLease competes for the lease until the process leaves, and as its holder writes the guarded row and renews the lease.
func (n *instance) keepLease() {
	ctx := context.Background()
	for !n.leaving {
		le, err := n.acquireLease(ctx)
		if err != nil {
			n.s.Sleep(n.s.UniformDuration(500*time.Millisecond, time.Second))
			continue
		}
		n.lease = le
		for le.Valid() && !n.leaving {
			b, err := json.Marshal(guardedRow{Token: le.Token()})
			if err != nil {
				panic("faultsbencher: encode guarded row: " + err.Error())
			}
			tx := storer.Transaction{Writes: []storer.Write{{Key: guardedKey, Value: b}}}
			if n.writeAsHolder(ctx, le, tx) == nil {
				n.s.check.leaseWritten()
			}
			n.s.Sleep(n.s.UniformDuration(400*time.Millisecond, 800*time.Millisecond))
			n.renewLease(ctx, le)
		}
	}
}

// commitLoop commits changes of the configuration through random instances. Two loops run, so that commits race.
func (s *schedule) commitLoop() {
	for s.acceptsWork() {
		s.Sleep(s.UniformDuration(time.Second, 4*time.Second))
		n := s.randomInstance()
		s.spawn(n, func() {
			next := firstConfiguration()
			if c := n.distributor.Current(); c != nil {
				next = *c
			}
			s.commitAttempts++
			mark := float64(s.commitAttempts)
			next.Spend.Committed = mark
			if s.commitAttempts%withdrawEvery == 0 {
				withdrawOldest(&next)
			}
			revision, err := n.commit(context.Background(), &next)
			s.check.commitReturned(mark, revision, err)
		})
	}
}

// reply is the answer of an agent to an entry, or of an entry to a caller.
type reply struct {
	outcome streamer.Outcome
	body    string
	running bool
}

// callerLoop repeats one non-idempotent request with the same key, up to 8 times, until it gets a final answer.
func (s *schedule) callerLoop(key string) {
	s.Sleep(s.UniformDuration(2*time.Second, 28*time.Second))
	startedAt := s.Now()
	for attempt := 0; attempt < 8 && s.acceptsWork(); attempt++ {
		entry := s.randomInstance()
		req := identifier.Request(key + "/" + strconv.Itoa(attempt))
		var got *reply
		s.spawn(entry, func() {
			entry.begin(string(req))
			r := entry.answerRequest(key, req)
			entry.end(string(req))
			got = &r
		})
		for wait := 0; got == nil && wait < 80; wait++ {
			s.Sleep(100 * time.Millisecond)
		}
		if got != nil {
			s.check.callerReplied(key, req, *got)
			if got.outcome != streamer.OutcomeNotRun && !got.running {
				s.check.callerAnswered(s.Now().Sub(startedAt))
				return
			}
		}
		s.Sleep(s.UniformDuration(500*time.Millisecond, 2*time.Second))
	}
}

// answerRequest handles a non-idempotent request as an entry does. It claims the key and sends the order to an agent. It reports
// the outcome not run only if that is certain.
func (n *instance) answerRequest(key string, req identifier.Request) reply {
	s, ctx := n.s, context.Background()
	cl, err := n.acquireClaim(ctx, key, req)
	if err != nil {
		return reply{outcome: streamer.OutcomeNotRun}
	}
	if p := cl.Previous; p != nil {
		return reply{outcome: p.Outcome, body: string(p.Body), running: p.Running}
	}
	attempts := 1
	if s.Rand().IntN(4) == 0 {
		attempts = 2 // A second agent gets the order too, as if the first order seemed lost.
	}
	notRunReplies := 0
	var got *reply
	for i := range attempts {
		agent := s.randomInstance(n)
		s.send(n, agent, func(a *instance) {
			s.spawn(a, func() {
				id := "run " + string(cl.Request) + " " + strconv.Itoa(i)
				a.begin(id)
				r := a.runClaimedOrder(n, key, cl)
				a.end(id)
				s.send(a, n, func(*instance) {
					if r.outcome == streamer.OutcomeNotRun {
						notRunReplies++
					} else {
						got = &r
					}
				})
			})
		})
	}
	for wait := 0; got == nil && notRunReplies < attempts && wait < 60; wait++ {
		s.Sleep(100 * time.Millisecond)
	}
	switch {
	case got != nil:
		return *got
	case notRunReplies == attempts:
		n.releaseClaim(ctx, key, cl)
		return reply{outcome: streamer.OutcomeNotRun}
	}
	return reply{outcome: s.outcomeWithoutReply(), running: true}
}

// runClaimedOrder handles a claimed order as an agent does. It marks the claim durably as started, runs and bills the request and
// stores the result.
func (n *instance) runClaimedOrder(entry *instance, key string, cl claimer.Claim) reply {
	s, ctx := n.s, context.Background()
	if err := n.startClaim(ctx, key, cl); err != nil {
		return reply{outcome: streamer.OutcomeNotRun}
	}
	body := s.check.requestExecuted(key, cl.Request)
	n.recordBill(key, false)
	s.sendBills(n, entry)
	s.Sleep(s.UniformDuration(100*time.Millisecond, 3*time.Second))
	n.recordBill(key, true)
	s.sendBills(n, entry)
	for range 4 {
		err := n.finishClaim(ctx, key, cl, claimer.Result{Outcome: streamer.OutcomeRun, Status: http.StatusOK, Body: []byte(body)})
		if err == nil {
			s.check.resultStored(key)
			break
		}
		if errors.Is(err, claimer.ErrLost) {
			break
		}
		s.Sleep(time.Second)
	}
	return reply{outcome: streamer.OutcomeRun, body: body}
}
