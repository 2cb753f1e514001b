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

// Guards against a bill that is lost or doubled with the entry that asked for the run, and a non-idempotent request that
// runs again when its caller repeats it at another entry.
func TestEntryKilled(t *testing.T) {
	t.Parallel()
	b := newDeployment(t, 50*time.Millisecond)
	var wg sync.WaitGroup
	begun := make(chan struct{})
	wg.Go(func() {
		a := b.send(call{entry: "entry-1", kind: "status-check", nonce: "nonce-stream-1", stream: true, onToken: func(n int) {
			if n == 3 {
				close(begun)
			}
		}})
		must.False(t, a.complete)
		must.NotEq(t, "", string(a.request))
	})
	wg.Go(func() {
		b.send(call{entry: "entry-1", kind: "refund-booking", nonce: "nonce-order-1", key: "order-1"})
	})
	<-begun
	b.eventually("the order runs", waitTimeout, func() bool { return b.startCounts.count("nonce-order-1") == 1 })
	b.procs["entry-1"].signal(syscall.SIGKILL)
	must.Error(t, b.procs["entry-1"].wait())
	for range 10 {
		a := b.send(call{entry: "entry-2", kind: "refund-booking", nonce: "nonce-order-1", key: "order-1"})
		must.EqOp(t, http.StatusConflict, a.status, must.Sprint(a.code))
		must.EqOp(t, "unknown", a.outcome)
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	must.EqOp(t, 1, b.startCounts.count("nonce-order-1"))
	for _, name := range []string{"agent-1", "agent-2", "agent-3"} {
		b.procs[name].terminate()
	}
	bills := b.bills()
	must.EqOp(t, 2, len(bills), must.Sprint(bills))
	for _, list := range bills {
		must.EqOp(t, 1, len(list))
		must.Greater(t, 0, list[0].Usage.CompletionTokens)
	}
}

// Guards against idempotent work that is lost with an agent, and a broken stream that ends without an error event.
func TestAgentKilled(t *testing.T) {
	t.Parallel()
	b := newDeployment(t, 10*time.Millisecond)
	// Retries are bounded to a share of successes, so the entries earn enough of them for the work of one agent first.
	warm := b.traffic(10*time.Millisecond, "warm",
		call{entry: "entry-1", kind: "status-check"}, call{entry: "entry-2", kind: "status-check"})
	time.Sleep(3 * time.Second)
	for nonce, a := range warm.end() {
		must.True(t, a.ok(nonce), must.Sprintf("%s: %+v", nonce, a))
	}
	// With at most 4 requests of each kind, an entry has at most 8 to repeat, whatever the speed of the machine.
	x := b.limitedTraffic(4, 100*time.Millisecond, "urgent",
		call{entry: "entry-1", kind: "status-check"}, call{entry: "entry-2", kind: "status-check"})
	y := b.limitedTraffic(4, 100*time.Millisecond, "stream",
		call{entry: "entry-1", kind: "status-check", stream: true}, call{entry: "entry-2", kind: "status-check", stream: true})
	time.Sleep(2 * time.Second)
	for _, entry := range []string{"entry-1", "entry-2"} {
		b.eventually(entry+" has retries for all of its requests", waitTimeout, func() bool {
			var budget limiter.BudgetState
			return b.procs[entry].state("retry-budget", &budget) == nil && budget.Level >= 9
		})
	}
	b.procs["agent-1"].signal(syscall.SIGKILL)
	time.Sleep(3 * time.Second)
	urgent, longest := x.end(), time.Duration(0)
	for nonce, a := range urgent {
		must.True(t, a.ok(nonce), must.Sprintf("%s: %+v", nonce, a))
		longest = max(longest, a.took)
	}
	broken := 0
	for nonce, a := range y.end() {
		if a.ok(nonce) {
			continue
		}
		broken++
		must.EqOp(t, http.StatusOK, a.status, must.Sprintf("%s: %+v", nonce, a))
		must.NotEq(t, "", a.code, must.Sprintf("%s ended without an error event: %+v", nonce, a))
	}
	t.Logf("%d urgent requests, the longest took %v; %d streams ended with an error event", len(urgent), longest, broken)
	// An urgent request of this deployment is of no use after its deadline.
	must.Less(t, b.cfg.Ranks[0].Deadline, longest)
}

// Guards against a paused lease holder that acts on its lost lease, or an entry that takes back a newer configuration
// after it resumes.
func TestEntryPaused(t *testing.T) {
	t.Parallel()
	b := newDeployment(t, 2*time.Millisecond)
	var first leaser.Record
	b.eventually("a holder judges roll-outs", waitTimeout, func() bool {
		first = b.lease("rollouts")
		return first.Holder != ""
	})
	paused, other := "entry-1", "entry-2"
	if holderInstance(first) != paused {
		paused, other = other, paused
	}
	b.procs[paused].signal(syscall.SIGSTOP)
	b.withdraw(other)
	revision := b.procs[other].revision()
	x := b.traffic(50*time.Millisecond, "pause", call{entry: other, kind: "counter-answer", model: "melro"})
	var second leaser.Record
	b.eventually("the other entry holds the lease", waitTimeout, func() bool {
		second = b.lease("rollouts")
		return holderInstance(second) == other
	})
	must.Greater(t, first.Token, second.Token)
	b.procs[paused].signal(syscall.SIGCONT)
	b.eventually("the resumed entry has the new configuration", configurationTimeout, func() bool {
		return b.procs[paused].revision() >= revision
	})
	// Nobody was heard during the pause, so the resumed entry may know no live upstream at first; it must say so truthfully.
	b.eventually("the resumed entry answers", waitTimeout, func() bool {
		a := b.send(call{entry: paused, kind: "counter-answer", model: "melro", nonce: "nonce-resuming-1"})
		if a.status != http.StatusOK {
			must.EqOp(t, "not-run", a.outcome, must.Sprintf("%+v", a))
		}
		return a.ok("nonce-resuming-1")
	})
	for range 30 {
		must.EqOp(t, other, holderInstance(b.lease("rollouts")))
		must.GreaterEq(t, revision, b.procs[paused].revision())
		a := b.send(call{entry: paused, kind: "counter-answer", model: "melro", nonce: "nonce-resumed-1"})
		must.True(t, a.ok("nonce-resumed-1"), must.Sprintf("%+v", a))
		must.EqOp(t, "v2", a.version)
		time.Sleep(50 * time.Millisecond)
	}
	for nonce, a := range x.end() {
		must.True(t, a.ok(nonce), must.Sprintf("%s: %+v", nonce, a))
	}
}

func holderInstance(r leaser.Record) string {
	name, _, _ := bytes.Cut([]byte(r.Holder), []byte("/"))
	return string(name)
}

func (b *deployment) lease(name string) leaser.Record {
	b.t.Helper()
	var r leaser.Record
	if row, ok := b.table.Row("lease/" + name); ok {
		must.NoError(b.t, json.Unmarshal(row.Value, &r))
	}
	return r
}

// Guards against a planned stop that interrupts a request in progress, and work sent to an upstream that is leaving.
func TestGracefulStops(t *testing.T) {
	t.Parallel()
	b := newDeployment(t, 30*time.Millisecond)
	send := func(name string, entries ...string) *traffic {
		calls := make([]call, 0, 2*len(entries))
		for _, e := range entries {
			calls = append(calls, call{entry: e, kind: "status-check", stream: true}, call{entry: e, kind: "counter-answer"})
		}
		return b.traffic(40*time.Millisecond, name, calls...)
	}
	x := send("agent", "entry-1", "entry-2")
	time.Sleep(time.Second)
	b.procs["agent-1"].signal(syscall.SIGTERM)
	time.Sleep(3 * time.Second)
	started := b.engines[0].Counters()["started"]
	time.Sleep(2 * time.Second)
	must.EqOp(t, started, b.engines[0].Counters()["started"])
	must.NoError(t, b.procs["agent-1"].wait())
	for nonce, a := range x.end() {
		must.True(t, a.ok(nonce), must.Sprintf("%s: %+v", nonce, a))
	}
	b.procs["agent-1"].start()
	b.awaitUpstreams("entry-2")

	x, y := send("first", "entry-1"), send("second", "entry-2")
	time.Sleep(time.Second)
	b.procs["entry-1"].terminate()
	time.Sleep(time.Second)
	refused := 0
	for nonce, a := range x.end() {
		if a.err != nil && a.status == 0 {
			// The connection was refused after the stop, and nothing ran.
			refused++
			must.EqOp(t, 0, b.startCounts.count(nonce), must.Sprintf("%s: %+v", nonce, a))
			continue
		}
		if a.status != http.StatusOK {
			must.EqOp(t, "not-run", a.outcome, must.Sprintf("%s: %+v", nonce, a))
			continue
		}
		must.True(t, a.ok(nonce), must.Sprintf("%s: %+v", nonce, a))
	}
	must.Greater(t, 0, refused)
	for nonce, a := range y.end() {
		must.True(t, a.ok(nonce), must.Sprintf("%s: %+v", nonce, a))
	}
	must.True(t, isAddressFree(b.procs["entry-1"].address("caller")))
}

// Guards against a table outage that stops idempotent work, and a keyed non-idempotent request that runs without its
// claim.
func TestTableUnavailable(t *testing.T) {
	t.Parallel()
	b := newDeployment(t, 2*time.Millisecond)
	x := b.traffic(25*time.Millisecond, "outage",
		call{entry: "entry-1", kind: "status-check"}, call{entry: "entry-2", kind: "counter-answer", stream: true})
	time.Sleep(time.Second)
	b.tableUnavailable.Store(true)
	for n := range 5 {
		order := call{entry: "entry-1", kind: "refund-booking", nonce: fmt.Sprintf("nonce-order-%d", n), key: fmt.Sprintf("order-%d", n)}
		a := b.send(order)
		must.EqOp(t, http.StatusServiceUnavailable, a.status, must.Sprintf("%+v", a))
		must.EqOp(t, "claim-unavailable", a.code)
		must.EqOp(t, "not-run", a.outcome)
		must.EqOp(t, 0, b.startCounts.count(order.nonce))
		// Nobody else can name an order without a key, so it runs once without a claim.
		order.key, order.nonce = "", fmt.Sprintf("nonce-keyless-%d", n)
		a = b.send(order)
		must.True(t, a.ok(order.nonce), must.Sprintf("%+v", a))
		time.Sleep(time.Second)
	}
	b.tableUnavailable.Store(false)
	for n := range 5 {
		order := call{entry: "entry-2", kind: "refund-booking", nonce: fmt.Sprintf("nonce-order-%d", n), key: fmt.Sprintf("order-%d", n)}
		var last answer
		b.eventually("orders run again", waitTimeout, func() bool {
			if last.status != 0 && !last.ok(order.nonce) {
				t.Logf("%s: %d %s %s", order.key, last.status, last.code, last.outcome)
			}
			last = b.send(order)
			return last.ok(order.nonce)
		})
		must.EqOp(t, 1, b.startCounts.count(order.nonce))
		must.EqOp(t, 1, b.startCounts.count(fmt.Sprintf("nonce-keyless-%d", n)))
	}
	for nonce, a := range x.end() {
		must.True(t, a.ok(nonce), must.Sprintf("%s: %+v", nonce, a))
	}
}

// admin returns a client of the administration API of an entry with the rights to do anything.
func (b *deployment) admin(entry string, opts ...administrator.ClientOption) *administrator.Client {
	i := slices.IndexFunc(b.cfg.Operators, func(o configurer.Operator) bool { return o.CanWithdraw() })
	return administrator.NewClient(b.procs[entry].address("admin"), questioner.ExampleOperatorKey(b.answers.Team, b.cfg.Operators[i].Name), opts...)
}

// withdraw withdraws version v3 of model melro through an entry.
func (b *deployment) withdraw(entry string) {
	b.t.Helper()
	cfg, err := b.admin(entry).Configuration(b.t.Context(), nil)
	must.NoError(b.t, err)
	next := cfg.Canonical()
	next.Version(identifier.Target{Model: "melro", Version: "v3"}).State = configurer.VersionWithdrawn
	_, err = b.admin(entry).Apply(b.t.Context(), cfg.Revision, next, false)
	must.NoError(b.t, err)
}

// Guards against two operators who both believe that their change is in force, and a withdrawn version that runs on at
// one entry or comes back with a restart.
func TestOperatorsRaceAndWithdraw(t *testing.T) {
	t.Parallel()
	b := newDeployment(t, 2*time.Millisecond)
	ctx := t.Context()
	cfg, err := b.admin("entry-1").Configuration(ctx, nil)
	must.NoError(t, err)
	errs := make([]error, 2)
	var wg sync.WaitGroup
	for i, entry := range []string{"entry-1", "entry-2"} {
		next := cfg.Canonical()
		next.ClientAccounts[0].Weight = float64(10 + i)
		wg.Go(func() { _, errs[i] = b.admin(entry).Apply(ctx, cfg.Revision, next, false) })
	}
	wg.Wait()
	winner := slices.Index(errs, nil)
	must.GreaterEq(t, 0, winner, must.Sprint(errs))
	var lost *administrator.APIError
	must.True(t, errors.As(errs[1-winner], &lost), must.Sprint(errs))
	must.EqOp(t, http.StatusPreconditionFailed, lost.Status)

	before := b.send(call{entry: "entry-1", kind: "counter-answer", model: "melro", nonce: "nonce-before-1"})
	must.EqOp(t, "v3", before.version, must.Sprintf("%+v", before))
	b.withdraw("entry-2")
	revision := b.procs["entry-2"].revision()
	accepted := time.Now()
	for _, entry := range []string{"entry-1", "entry-2"} {
		b.eventually(entry+" has the configuration", configurationTimeout, func() bool { return b.procs[entry].revision() >= revision })
	}
	t.Logf("in force at both entries after %v", time.Since(accepted))
	check := func() {
		for n := range 20 {
			for _, entry := range []string{"entry-1", "entry-2"} {
				nonce := fmt.Sprintf("nonce-after-%d", n)
				a := b.send(call{entry: entry, kind: "counter-answer", model: "melro", nonce: nonce})
				must.True(t, a.ok(nonce), must.Sprintf("%+v", a))
				must.EqOp(t, "v2", a.version)
			}
		}
	}
	check()
	b.procs["entry-1"].terminate()
	b.procs["entry-2"].signal(syscall.SIGKILL)
	must.Error(t, b.procs["entry-2"].wait())
	for _, entry := range []string{"entry-1", "entry-2"} {
		b.procs[entry].start()
	}
	for _, entry := range []string{"entry-1", "entry-2"} {
		b.awaitUpstreams(entry)
		must.GreaterEq(t, revision, b.procs[entry].revision())
	}
	check()
}
