package entryserver_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/agentserver"
	"github.com/siskinfront/siskinfront/biller"
)

// unionOfBills merges the bills of an entry with the pending bills of the given agents.
func unionOfBills(entry []biller.Bill, agents ...*agentserver.Server) []biller.Bill {
	list := slices.Clone(entry)
	for _, a := range agents {
		list = append(list, a.PendingBills(100)...)
	}
	return biller.Union(list)
}

// Guards against a run that has no bill, or two, after the entry or the agent crashed and lost its memory in mid-stream, and
// against a bill for a request that did not run.
func TestBillsOfHolders(t *testing.T) {
	const (
		entry = 1 << iota
		firstAgent
		secondAgent
	)
	loseAgent := func(fx *fixture) {
		time.AfterFunc(time.Second, func() {
			_ = fx.network.Listen(address(1, 7000)).Close()
			fx.network.Cut(address(1, 7000))
		})
	}
	cases := []struct {
		name        string
		induceFault func(*fixture)
		body        string
		survivors   int
		// wantBills is the number of bills, minTokens and maxTokens bound the completion tokens of each.
		wantBills, minTokens, maxTokens int
		wantFinal                       bool
	}{
		{"both keep running", func(*fixture) {}, streamBody, entry | firstAgent, 1, 16, 16, true},
		{"entry crashes after the run", func(*fixture) {}, streamBody, firstAgent, 1, 16, 16, true},
		{"agent crashes after the run", func(*fixture) {}, streamBody, entry, 1, 16, 16, true},
		{"agent crashes in mid-stream", loseAgent, streamBody, entry, 1, 8, 10, false},
		{"entry crashes in mid-stream, agent ends the run", loseAgent, streamBody, firstAgent, 1, 16, 16, true},
		{"agent crashes in mid-stream, run repeated", loseAgent, unaryBody, entry | secondAgent, 1, 16, 16, true},
		{"agent crashes in mid-stream, entry after the repeat", loseAgent, unaryBody, secondAgent, 1, 16, 16, true},
		{"agent only disconnected, run repeated", loseAgent, unaryBody, entry | firstAgent | secondAgent, 1, 16, 16, true},
		{"nothing ran", func(fx *fixture) {
			_ = fx.network.Listen(address(1, 7000)).Close()
			_ = fx.network.Listen(address(2, 7000)).Close()
		}, unaryBody, entry | firstAgent | secondAgent, 0, 0, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, fx *fixture) {
				tc.induceFault(fx)
				fx.postCompletion(t, tc.body)
				// The agent waits for the entry to reconnect before it ends the run.
				time.Sleep(time.Minute)
				var fromEntry []biller.Bill
				var agents []*agentserver.Server
				if tc.survivors&entry != 0 {
					fromEntry = fx.recordedBills()
				}
				for i, bit := range []int{firstAgent, secondAgent} {
					if tc.survivors&bit != 0 {
						agents = append(agents, fx.agents[i])
					}
				}
				bills := unionOfBills(fromEntry, agents...)
				must.Len(t, tc.wantBills, bills)
				for _, x := range bills {
					must.Eq(t, tc.wantFinal, x.Final)
					must.Between(t, tc.minTokens, x.Usage.CompletionTokens, tc.maxTokens)
					must.Positive(t, x.Usage.PromptTokens)
				}
			})
		})
	}
}

// Guards against a second bill when the stored result of a run is repeated for the same idempotency key, and against a run in
// progress whose bill is not held by both the entry and the agent.
func TestBillsOfRepeatAndOfRunInProgress(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		entry, agent := make(chan []biller.Bill, 1), make(chan []biller.Bill, 1)
		time.AfterFunc(time.Second, func() {
			entry <- fx.recordedBills()
			agent <- fx.agents[0].PendingBills(9)
		})
		key := []string{"Siskinfront-Work-Kind", "energisation-order", "Idempotency-Key", "order-17"}
		must.Eq(t, 200, fx.postCompletion(t, unaryBody, key...).status)
		atEntry, atAgent := <-entry, <-agent
		must.Len(t, 1, atEntry)
		must.False(t, atEntry[0].Final)
		must.Len(t, 1, atAgent)
		must.False(t, atAgent[0].Final)
		before := len(fx.recordedBills())
		must.Len(t, 1, unionOfBills(fx.recordedBills(), fx.agents...))
		must.Eq(t, 200, fx.postCompletion(t, unaryBody, key...).status)
		must.Eq(t, 1, fx.startedRuns())
		must.Len(t, before, fx.recordedBills())
		must.Len(t, 1, unionOfBills(fx.recordedBills(), fx.agents...))
	})
}
