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
	// fanOut is the largest number of peers to which one process pushes a change; three levels reach 273 processes.
	fanOut = 9
)

// Tree is the distribution tree of one data centre as a list: the first ReadersPerDataCentre instances read the table, and
// instance i pushes to the fanOut instances from index ReadersPerDataCentre+i*fanOut on. Each process computes the tree
// from its own member list.
type Tree []identifier.Instance

// NewTree returns the tree of the members, ordered by hash so that the loss of one member moves few others.
func NewTree(members []identifier.Instance) Tree {
	type hashedMember struct {
		hash uint64
		name identifier.Instance
	}
	hashed := make([]hashedMember, len(members))
	for i, m := range members {
		hashed[i] = hashedMember{xxhash.Sum64String("config-reader/" + string(m)), m}
	}
	slices.SortFunc(hashed, func(a, b hashedMember) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	t := make(Tree, len(hashed))
	for i := range hashed {
		t[i] = hashed[i].name
	}
	return t
}

// IsReader reports whether the instance is a reader.
func (t Tree) IsReader(self identifier.Instance) bool {
	return slices.Contains(t[:min(ReadersPerDataCentre, len(t))], self)
}

// Children returns the instances to which self pushes changes.
func (t Tree) Children(self identifier.Instance) []identifier.Instance {
	i := slices.Index(t, self)
	if i < 0 {
		return nil
	}
	first := ReadersPerDataCentre + i*fanOut
	return t[min(first, len(t)):min(first+fanOut, len(t))]
}

// Parent returns the instance that pushes to self, or the next reader if self is a reader; empty if there is none.
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
