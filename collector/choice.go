package collector

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/identifier"
)

// MaxGroup bounds the entries that have the same collector.
const MaxGroup = 32

// The seeds of the hashes that divide the entries into groups and order those of a group.
const (
	groupSeed = 1 + iota
	rankSeed
)

// Order identifies an order to roll out a version; its position names its era.
type Order struct {
	Service identifier.Service `json:"service"`
	To      identifier.Version `json:"to"`
	Number  uint64             `json:"number"`
	Era     uint64             `json:"era"`
}

// hash returns that of an entry for an order. The era does not count, so that the order keeps its collector when the store comes back.
func (o *Order) hash(seed uint64, name identifier.Instance) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	for _, s := range []string{string(o.Service), string(o.To), string(name)} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// sorted returns the names in the order of their hashes.
func (o *Order) sorted(seed uint64, names []identifier.Instance) []identifier.Instance {
	list := slices.Clone(names)
	slices.SortFunc(list, func(a, b identifier.Instance) int {
		return cmp.Or(cmp.Compare(o.hash(seed, a), o.hash(seed, b)), cmp.Compare(a, b))
	})
	return slices.Compact(list)
}

// Candidates returns the entries that may collect for an entry, the first choice first: those of its group, itself included. Entries with
// the same list agree on the groups, of which there are as many as MaxGroup needs.
func Candidates(self identifier.Instance, others []identifier.Instance, o Order) []identifier.Instance {
	all := o.sorted(groupSeed, append(slices.Clone(others), self))
	groups := (len(all) + MaxGroup - 1) / MaxGroup
	group := func(i int) int { return i * groups / len(all) }
	own := group(slices.Index(all, self))
	var members []identifier.Instance
	for i, name := range all {
		if group(i) == own {
			members = append(members, name)
		}
	}
	return o.sorted(rankSeed, members)
}

// Choice is the collector of one order as one entry sees it; the zero value has none.
type Choice struct {
	current identifier.Instance
	failed  map[identifier.Instance]bool
}

// Collector returns the collector that an entry uses for an order. It keeps one that works as long as that is among the others, also if the
// list changes, and ends with itself.
func (c *Choice) Collector(self identifier.Instance, others []identifier.Instance, o Order) identifier.Instance {
	if c.current == self || c.current != "" && slices.Contains(others, c.current) {
		return c.current
	}
	c.current = self
	for _, name := range Candidates(self, others, o) {
		if name == self || !c.failed[name] {
			c.current = name
			break
		}
	}
	return c.current
}

// Current returns the last result of Collector, or "" after a failure.
func (c *Choice) Current() identifier.Instance {
	return c.current
}

// Failed returns the number of collectors that have failed the entry.
func (c *Choice) Failed() int {
	return len(c.failed)
}

// Fail records that the collector has failed the entry, which takes the next one.
func (c *Choice) Fail() {
	if c.failed == nil {
		c.failed = map[identifier.Instance]bool{}
	}
	c.failed[c.current] = true
	c.current = ""
}

// Forget forgets the failures after an outage, in which collectors fail entries without a fault of their own. An entry that had come to itself
// chooses anew, and one whose collector works keeps it.
func (c *Choice) Forget(self identifier.Instance) {
	c.failed = nil
	if c.current == self {
		c.current = ""
	}
}
