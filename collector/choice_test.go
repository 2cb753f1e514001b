package collector_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/collector"
	"github.com/siskinfront/siskinfront/identifier"
)

func testOrder() collector.Order {
	return collector.Order{Service: "drafting", To: "v2", Number: 7, Era: 1}
}

func names(n int) []identifier.Instance {
	var list []identifier.Instance
	for i := range n {
		list = append(list, identifier.Instance(fmt.Sprint("e", i)))
	}
	return list
}

func without(list []identifier.Instance, name identifier.Instance) []identifier.Instance {
	return slices.DeleteFunc(slices.Clone(list), func(x identifier.Instance) bool { return x == name })
}

// Guards against entries with the same list that do not agree on their collectors, against more collectors than the entries need, and
// against one that collects for more than it may.
func TestCollectorsOfFleet(t *testing.T) {
	for n, groups := range map[int]int{1: 1, 4: 1, 30: 1, 32: 1, 33: 2, 64: 2, 65: 3, 330: 11} {
		all, callers := names(n), map[identifier.Instance]int{}
		for _, self := range all {
			var c collector.Choice
			others := without(all, self)
			name := c.Collector(self, others, testOrder())
			callers[name]++
			slices.Reverse(others)
			must.Eq(t, collector.Candidates(self, without(all, self), testOrder()), collector.Candidates(self, others, testOrder()))
		}
		must.MapLen(t, groups, callers, must.Sprint(n))
		for name, n := range callers {
			must.LessEq(t, collector.MaxGroup, n)
			var c collector.Choice
			must.EqOp(t, name, c.Collector(name, without(all, name), testOrder()))
		}
	}
}

// Guards against one entry that collects for all services and orders.
func TestCollectorsDiffer(t *testing.T) {
	all, chosen := names(30), map[identifier.Instance]bool{}
	for i := range 20 {
		o := testOrder()
		if o.Service = identifier.Service(fmt.Sprint("s", i)); i%2 == 0 {
			o.Service, o.To = "s", identifier.Version(fmt.Sprint("v", i))
		}
		chosen[collector.Candidates(all[0], all[1:], o)[0]] = true
	}
	must.GreaterEq(t, 8, len(chosen))
}

// Guards against an entry that returns to a collector that has failed it, that changes a collector that works because the list changes, that
// stays with one that is gone, and that ends without any.
func TestChoiceAfterFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names(rapid.IntRange(1, 40).Draw(t, "entries"))
		self := all[0]
		others := slices.Clone(all[1:])
		var c collector.Choice
		failed := map[identifier.Instance]bool{}
		current := c.Collector(self, others, testOrder())
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				if current != self {
					c.Fail()
					failed[current] = true
				}
			case 1:
				if len(others) > 0 {
					others = without(others, rapid.SampledFrom(others).Draw(t, "gone"))
				}
			default:
				if name := rapid.SampledFrom(all).Draw(t, "come"); name != self && !slices.Contains(others, name) {
					others = append(others, name)
				}
			}
			before := current
			current = c.Collector(self, others, testOrder())
			must.True(t, current == self || slices.Contains(others, current))
			must.True(t, current == self || !failed[current])
			if before == self || slices.Contains(others, before) && !failed[before] {
				must.EqOp(t, before, current)
			}
			must.EqOp(t, current, c.Current())
			must.EqOp(t, len(failed), c.Failed())
		}
	})
}

// Guards against entries that take different collectors after the same failure.
func TestNextCollectorIsTheSame(t *testing.T) {
	all := names(30)
	first := collector.Candidates(all[0], all[1:], testOrder())[0]
	next := map[identifier.Instance]bool{}
	for _, self := range without(all, first) {
		var c collector.Choice
		must.EqOp(t, first, c.Collector(self, without(all, self), testOrder()))
		c.Fail()
		next[c.Collector(self, without(all, self), testOrder())] = true
	}
	must.MapLen(t, 1, next)
}
