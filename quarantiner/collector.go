package quarantiner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/identifier"
)

// maxCollectors bounds the entries that are told the crashes of a service. They decide by the crashes that all entries saw; the others
// are told the block.
const maxCollectors = 16

// Collectors returns the entries that are told the crashes of a service, chosen by rendezvous hashing. Entries that disagree on which
// entries there are choose mostly the same.
func Collectors(service identifier.Service, entries []identifier.Instance) []identifier.Instance {
	if len(entries) <= maxCollectors {
		return entries
	}
	type ranked struct {
		name identifier.Instance
		rank uint64
	}
	list := make([]ranked, len(entries))
	for i, name := range entries {
		list[i] = ranked{name, xxhash.Sum64String(string(name) + "\x00" + string(service))}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name)) })
	collectors := make([]identifier.Instance, maxCollectors)
	for i := range collectors {
		collectors[i] = list[i].name
	}
	return collectors
}
