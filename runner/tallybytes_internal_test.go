package runner

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/collector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/promoter"
)

// largeTally returns a tally as an entry has it late in a roll-out: six routes, two models, both phases, and some sessions in use.
func largeTally(entry, sessions int) promoter.Tally {
	times := promoter.Times{Known: promoter.Histogram{0, 0, 0, 0, 1, 3, 12, 25, 31, 22, 9, 4, 1}, AtLeast: promoter.Histogram{0, 0, 0, 0, 0, 1, 1}}
	speed := promoter.Speed{Response: times, Pace: times}
	counts := promoter.VersionCounts{Started: 108, GoodAnswers: 104, BadAnswers: 2, LaterSpeed: speed}
	for phase := range counts.Speeds {
		counts.Speeds[phase] = map[string]promoter.Speed{"small-model": speed, "large-model": speed}
	}
	t := promoter.Tally{
		Entry: identifier.Instance(fmt.Sprint("front-", entry)), To: "v2", Number: 123_456, Began: 1_234_567, At: 1_244_567, Active: 3,
		Exposure: 0.0375, Candidate: map[string]promoter.VersionCounts{}, Stable: map[string]promoter.VersionCounts{},
	}
	for i := range 6 {
		t.Candidate[fmt.Sprint("route-", i)], t.Stable[fmt.Sprint("route-", i)] = counts, counts
	}
	for i := range sessions {
		t.HeldSessions = append(t.HeldSessions, 1<<63+uint64(entry)<<32+uint64(i))
	}
	return t
}

// Guards against calls and answers of a large fleet that are larger than they may be; it logs the bytes of one step at a collector for
// docs/CAPACITY.md.
func TestBytesAtCollector(t *testing.T) {
	// messageBytes is what JSON-RPC, the frame, TCP and IP add to a message.
	const messageBytes = 60 + 4 + 52
	size := func(v any) int {
		b, err := json.Marshal(v)
		must.NoError(t, err)
		return len(b)
	}
	for _, sessions := range []int{0, 20, 100} {
		for _, n := range []int{4, 30, 330} {
			groups := (n + collector.MaxGroup - 1) / collector.MaxGroup
			others := n/groups - 1
			var tallies []promoter.Tally
			rows := 0
			for i := range n {
				tallies = append(tallies, largeTally(i, sessions))
				rows += size(tallies[i]) * 4 / 3
			}
			order := fleetOrder()
			order.At.Version = 123_456
			sum, _ := promoter.Sum(tallies, &order, tallies[0].At)
			call := size(collector.Call{Order: collector.Order{Service: "drafting", To: "v2", Number: 123_456, Era: 1}, Tally: tallies[0]})
			answer := size(collector.Answer{Era: 1, ClockMillis: 1, Sum: &sum, StatusRead: true, NextMillis: 1500})
			must.Less(t, collector.MaxCallBytes, call)
			must.Less(t, collector.MaxAnswerBytes, answer)
			received, sent := others*(call+messageBytes), others*(answer+messageBytes)
			t.Logf("%d entries, %d sessions each: call %d, answer %d; a step receives %d and sends %d, writes %d and reads %d of the store; per second at 1.5 s %d received, %d sent",
				n, sessions, call, answer, received, sent, rows*(others+1)/n, rows, received*2/3, sent*2/3)
		}
	}
}
