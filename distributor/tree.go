package distributor

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// ReadersPerDataCentre is the number of instances per data centre that read the table.
	ReadersPerDataCentre = 3
	// fanOut bounds the peers to which one process pushes a change; three levels reach 273 processes.
	fanOut = 9
)

// Tree is the order in which a change passes through one data centre: the first Readers instances read the table,
// and instance i pushes to those at Readers+i*fanOut and after. Each process computes it from its own members.
type Tree []identifier.Instance

// NewTree orders the members by a hash, so that the loss of one member moves few others.
func NewTree(members []identifier.Instance) Tree {
	type ranked struct {
		hash uint64
		name identifier.Instance
	}
	list := make([]ranked, len(members))
	for i, m := range members {
		list[i] = ranked{xxhash.Sum64String("config-reader/" + string(m)), m}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	t := make(Tree, len(list))
	for i := range list {
		t[i] = list[i].name
	}
	return t
}

// IsReader reports whether the instance is a reader.
func (t Tree) IsReader(self identifier.Instance) bool {
	return slices.Contains(t[:min(ReadersPerDataCentre, len(t))], self)
}

// Children returns the instances to which self pushes.
func (t Tree) Children(self identifier.Instance) []identifier.Instance {
	i := slices.Index(t, self)
	if i < 0 {
		return nil
	}
	first := ReadersPerDataCentre + i*fanOut
	return t[min(first, len(t)):min(first+fanOut, len(t))]
}

// Parent returns the instance that pushes to self, or for a reader the next reader; empty if there is none.
func (t Tree) Parent(self identifier.Instance) identifier.Instance {
	i := slices.Index(t, self)
	switch {
	case i < 0 || len(t) < 2:
		return ""
	case i < ReadersPerDataCentre:
		return t[(i+1)%min(ReadersPerDataCentre, len(t))]
	}
	return t[(i-ReadersPerDataCentre)/fanOut]
}
