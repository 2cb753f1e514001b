package assembler_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/administrator"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/leaser"
	"github.com/siskinfront/siskinfront/limiter"
	"github.com/siskinfront/siskinfront/questioner"
)

// Guards against a bill that is lost or duplicated when the entry that sent the order is killed, and against a non-idempotent
// request that runs again when its caller repeats it at another entry.
func TestEntryKilled(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 50*time.Millisecond)
	var wg sync.WaitGroup
	begun := make(chan struct{})
	wg.Go(func() {
		a := d.send(call{entry: "entry-1", kind: "status-check", nonce: "nonce-stream-1", stream: true, onToken: func(n int) {
			if n == 3 {
				close(begun)
			}
		}})
		must.False(t, a.complete)
		must.NotEq(t, "", string(a.request))
	})
	wg.Go(func() {
		d.send(call{entry: "entry-1", kind: "refund-booking", nonce: "nonce-order-1", key: "order-1"})
	})
	<-begun
	d.eventually("the engine has begun the order", waitTimeout, func() bool { return d.startCounts.count("nonce-order-1") == 1 })
	d.procs["entry-1"].signal(syscall.SIGKILL)
	must.Error(t, d.procs["entry-1"].wait())
	for range 10 {
		a := d.send(call{entry: "entry-2", kind: "refund-booking", nonce: "nonce-order-1", key: "order-1"})
		must.EqOp(t, http.StatusConflict, a.status, must.Sprint(a.code))
		must.EqOp(t, "unknown", a.outcome)
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	must.EqOp(t, 1, d.startCounts.count("nonce-order-1"))
	for _, name := range []string{"agent-1", "agent-2", "agent-3"} {
		d.procs[name].terminate()
	}
	bills := d.bills()
	must.EqOp(t, 2, len(bills), must.Sprint(bills))
	for _, list := range bills {
		must.EqOp(t, 1, len(list))
		must.Greater(t, 0, list[0].Usage.CompletionTokens)
	}
}

// Guards against idempotent requests that are not retried when an agent is killed, and a broken stream that ends without an
// error event.
func TestAgentKilled(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 10*time.Millisecond)
	// The retry budget is a share of the successes, so the entries first need enough successes to retry one agent's requests.
	warmUp := d.traffic(10*time.Millisecond, "warm",
		call{entry: "entry-1", kind: "status-check"}, call{entry: "entry-2", kind: "status-check"})
	time.Sleep(3 * time.Second)
	for nonce, a := range warmUp.stopAndWait() {
		must.True(t, a.ok(nonce), must.Sprintf("%s: %+v", nonce, a))
	}
	// With at most 4 requests of each kind in progress, an entry has at most 8 to retry, however slow the machine is.
	urgentTraffic := d.limitedTraffic(4, 100*time.Millisecond, "urgent",
		call{entry: "entry-1", kind: "status-check"}, call{entry: "entry-2", kind: "status-check"})
	streamTraffic := d.limitedTraffic(4, 100*time.Millisecond, "stream",
		call{entry: "entry-1", kind: "status-check", stream: true}, call{entry: "entry-2", kind: "status-check", stream: true})
	time.Sleep(2 * time.Second)
	for _, entry := range []string{"entry-1", "entry-2"} {
		d.eventually(entry+" has a retry budget for all of its requests", waitTimeout, func() bool {
			var budget limiter.BudgetState
			return d.procs[entry].state("retry-budget", &budget) == nil && budget.Level >= 9
		})
	}
	d.procs["agent-1"].signal(syscall.SIGKILL)
	time.Sleep(3 * time.Second)
	urgent, longest := urgentTraffic.stopAndWait(), time.Duration(0)
	for nonce, a := range urgent {
		must.True(t, a.ok(nonce), must.Sprintf("%s: %+v", nonce, a))
		longest = max(longest, a.took)
	}
	broken := 0
	for nonce, a := range streamTraffic.stopAndWait() {
		if a.ok(nonce) {
			continue
		}
		broken++
		must.EqOp(t, http.StatusOK, a.status, must.Sprintf("%s: %+v", nonce, a))
		must.NotEq(t, "", a.code, must.Sprintf("%s ended without an error event: %+v", nonce, a))
	}
	t.Logf("%d urgent requests, the longest took %v; %d streams ended with an error event", len(urgent), longest, broken)
	// An urgent answer is useless to its caller after the deadline of the rank.
	must.Less(t, d.cfg.Ranks[0].Deadline, longest)
}

// Guards against a paused lease holder that still acts on its lost lease when it resumes, and a resumed entry that replaces a
// newer configuration by its old one.
func TestEntryPaused(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2*time.Millisecond)
	var firstLease leaser.Record
	d.eventually("an entry holds the roll-out lease", waitTimeout, func() bool {
		firstLease = d.lease("rollouts")
		return firstLease.Holder != ""
	})
	paused, other := "entry-1", "entry-2"
	if holderInstance(firstLease) != paused {
		paused, other = other, paused
	}
	d.procs[paused].signal(syscall.SIGSTOP)
	d.withdraw(other)
	revision := d.procs[other].revision()
	traffic := d.traffic(50*time.Millisecond, "pause", call{entry: other, kind: "counter-answer", model: "melro"})
	var secondLease leaser.Record
	d.eventually("the other entry holds the lease", waitTimeout, func() bool {
		secondLease = d.lease("rollouts")
		return holderInstance(secondLease) == other
	})
	must.Greater(t, firstLease.Token, secondLease.Token)
	d.procs[paused].signal(syscall.SIGCONT)
	d.eventually("the resumed entry has the new configuration", configurationTimeout, func() bool {
		return d.procs[paused].revision() >= revision
	})
	// The entry received no heartbeats during the pause, so it may know no live upstream at first. It must then report the
	// outcome not-run.
	d.eventually("the resumed entry serves requests", waitTimeout, func() bool {
		a := d.send(call{entry: paused, kind: "counter-answer", model: "melro", nonce: "nonce-resuming-1"})
		if a.status != http.StatusOK {
			must.EqOp(t, "not-run", a.outcome, must.Sprintf("%+v", a))
		}
		return a.ok("nonce-resuming-1")
	})
	for range 30 {
		must.EqOp(t, other, holderInstance(d.lease("rollouts")))
		must.GreaterEq(t, revision, d.procs[paused].revision())
		a := d.send(call{entry: paused, kind: "counter-answer", model: "melro", nonce: "nonce-resumed-1"})
		must.True(t, a.ok("nonce-resumed-1"), must.Sprintf("%+v", a))
		must.EqOp(t, "v2", a.version)
		time.Sleep(50 * time.Millisecond)
	}
	for nonce, a := range traffic.stopAndWait() {
		must.True(t, a.ok(nonce), must.Sprintf("%s: %+v", nonce, a))
	}
}

func holderInstance(r leaser.Record) string {
	name, _, _ := bytes.Cut([]byte(r.Holder), []byte("/"))
	return string(name)
}

func (d *deployment) lease(name string) leaser.Record {
	d.t.Helper()
	var r leaser.Record
	if row, ok := d.table.Row("lease/" + name); ok {
		must.NoError(d.t, json.Unmarshal(row.Value, &r))
	}
	return r
}

// Guards against a planned stop that interrupts a request in progress, and requests sent to an upstream that is leaving.
func TestGracefulStops(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 30*time.Millisecond)
	startTraffic := func(name string, entries ...string) *trafficGenerator {
		calls := make([]call, 0, 2*len(entries))
		for _, e := range entries {
			calls = append(calls, call{entry: e, kind: "status-check", stream: true}, call{entry: e, kind: "counter-answer"})
		}
		return d.traffic(40*time.Millisecond, name, calls...)
	}
	entryTraffic := startTraffic("agent", "entry-1", "entry-2")
	time.Sleep(time.Second)
	d.procs["agent-1"].signal(syscall.SIGTERM)
	time.Sleep(3 * time.Second)
	started := d.engines[0].Counters()["started"]
	time.Sleep(2 * time.Second)
	must.EqOp(t, started, d.engines[0].Counters()["started"])
	must.NoError(t, d.procs["agent-1"].wait())
	for nonce, a := range entryTraffic.stopAndWait() {
		must.True(t, a.ok(nonce), must.Sprintf("%s: %+v", nonce, a))
	}
	d.procs["agent-1"].start()
	d.awaitUpstreams("entry-2")

	entryTraffic, otherTraffic := startTraffic("first", "entry-1"), startTraffic("second", "entry-2")
	time.Sleep(time.Second)
	d.procs["entry-1"].terminate()
	time.Sleep(time.Second)
	refused := 0
	for nonce, a := range entryTraffic.stopAndWait() {
		if a.err != nil && a.status == 0 {
			// The connection was refused after the stop, so the request must not have run.
			refused++
			must.EqOp(t, 0, d.startCounts.count(nonce), must.Sprintf("%s: %+v", nonce, a))
			continue
		}
		if a.status != http.StatusOK {
			must.EqOp(t, "not-run", a.outcome, must.Sprintf("%s: %+v", nonce, a))
			continue
		}
		must.True(t, a.ok(nonce), must.Sprintf("%s: %+v", nonce, a))
	}
	must.Greater(t, 0, refused)
	for nonce, a := range otherTraffic.stopAndWait() {
		must.True(t, a.ok(nonce), must.Sprintf("%s: %+v", nonce, a))
	}
	must.True(t, isAddressFree(d.procs["entry-1"].address("caller")))
}

// Guards against a table outage that stops idempotent requests, and a non-idempotent request with an idempotency key that
// runs without a claim.
func TestTableUnavailable(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2*time.Millisecond)
	traffic := d.traffic(25*time.Millisecond, "outage",
		call{entry: "entry-1", kind: "status-check"}, call{entry: "entry-2", kind: "counter-answer", stream: true})
	time.Sleep(time.Second)
	d.tableUnavailable.Store(true)
	for n := range 5 {
		order := call{entry: "entry-1", kind: "refund-booking", nonce: fmt.Sprintf("nonce-order-%d", n), key: fmt.Sprintf("order-%d", n)}
		a := d.send(order)
		must.EqOp(t, http.StatusServiceUnavailable, a.status, must.Sprintf("%+v", a))
		must.EqOp(t, "claim-unavailable", a.code)
		must.EqOp(t, "not-run", a.outcome)
		must.EqOp(t, 0, d.startCounts.count(order.nonce))
		// A request without a key can't be repeated as the same one, so it needs no claim and runs during the outage.
		order.key, order.nonce = "", fmt.Sprintf("nonce-keyless-%d", n)
		a = d.send(order)
		must.True(t, a.ok(order.nonce), must.Sprintf("%+v", a))
		time.Sleep(time.Second)
	}
	d.tableUnavailable.Store(false)
	for n := range 5 {
		order := call{entry: "entry-2", kind: "refund-booking", nonce: fmt.Sprintf("nonce-order-%d", n), key: fmt.Sprintf("order-%d", n)}
		var last answer
		d.eventually("orders run again", waitTimeout, func() bool {
			if last.status != 0 && !last.ok(order.nonce) {
				t.Logf("%s: %d %s %s", order.key, last.status, last.code, last.outcome)
			}
			last = d.send(order)
			return last.ok(order.nonce)
		})
		must.EqOp(t, 1, d.startCounts.count(order.nonce))
		must.EqOp(t, 1, d.startCounts.count(fmt.Sprintf("nonce-keyless-%d", n)))
	}
	for nonce, a := range traffic.stopAndWait() {
		must.True(t, a.ok(nonce), must.Sprintf("%s: %+v", nonce, a))
	}
}

// admin returns a client of the administration API of an entry, with the key of an operator who may withdraw versions.
func (d *deployment) admin(entry string, opts ...administrator.ClientOption) *administrator.Client {
	i := slices.IndexFunc(d.cfg.Operators, func(o configurer.Operator) bool { return o.CanWithdraw() })
	return administrator.NewClient(d.procs[entry].address("admin"),
		questioner.ExampleOperatorKey(d.answers.Team, d.cfg.Operators[i].Name), opts...)
}

// withdraw withdraws version v3 of model melro through an entry.
func (d *deployment) withdraw(entry string) {
	d.t.Helper()
	cfg, err := d.admin(entry).Configuration(d.t.Context(), nil)
	must.NoError(d.t, err)
	next := cfg.Canonical()
	next.Version(identifier.Target{Model: "melro", Version: "v3"}).State = configurer.VersionWithdrawn
	_, err = d.admin(entry).Apply(d.t.Context(), cfg.Revision, next, false)
	must.NoError(d.t, err)
}

// Guards against two concurrent changes by operators that both succeed, and a withdrawn version that an entry still uses or
// uses again after a restart.
func TestOperatorsRaceAndWithdraw(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2*time.Millisecond)
	ctx := t.Context()
	cfg, err := d.admin("entry-1").Configuration(ctx, nil)
	must.NoError(t, err)
	errs := make([]error, 2)
	var wg sync.WaitGroup
	for i, entry := range []string{"entry-1", "entry-2"} {
		next := cfg.Canonical()
		next.ClientAccounts[0].Weight = float64(10 + i)
		wg.Go(func() { _, errs[i] = d.admin(entry).Apply(ctx, cfg.Revision, next, false) })
	}
	wg.Wait()
	winner := slices.Index(errs, nil)
	must.GreaterEq(t, 0, winner, must.Sprint(errs))
	var lost *administrator.APIError
	must.True(t, errors.As(errs[1-winner], &lost), must.Sprint(errs))
	must.EqOp(t, http.StatusPreconditionFailed, lost.Status)

	before := d.send(call{entry: "entry-1", kind: "counter-answer", model: "melro", nonce: "nonce-before-1"})
	must.EqOp(t, "v3", before.version, must.Sprintf("%+v", before))
	d.withdraw("entry-2")
	revision := d.procs["entry-2"].revision()
	accepted := time.Now()
	for _, entry := range []string{"entry-1", "entry-2"} {
		d.eventually(entry+" has the configuration", configurationTimeout, func() bool { return d.procs[entry].revision() >= revision })
	}
	t.Logf("configuration in force at both entries after %v", time.Since(accepted))
	checkVersionWithdrawn := func() {
		for n := range 20 {
			for _, entry := range []string{"entry-1", "entry-2"} {
				nonce := fmt.Sprintf("nonce-after-%d", n)
				a := d.send(call{entry: entry, kind: "counter-answer", model: "melro", nonce: nonce})
				must.True(t, a.ok(nonce), must.Sprintf("%+v", a))
				must.EqOp(t, "v2", a.version)
			}
		}
	}
	checkVersionWithdrawn()
	d.procs["entry-1"].terminate()
	d.procs["entry-2"].signal(syscall.SIGKILL)
	must.Error(t, d.procs["entry-2"].wait())
	for _, entry := range []string{"entry-1", "entry-2"} {
		d.procs[entry].start()
	}
	for _, entry := range []string{"entry-1", "entry-2"} {
		d.awaitUpstreams(entry)
		must.GreaterEq(t, revision, d.procs[entry].revision())
	}
	checkVersionWithdrawn()
}
