package storer

import (
	"cmp"
	"fmt"
)

// Position is a point in the history of a store that may come back from an older copy. Each return begins a new era, in which the
// store gives out versions again that it has lost; all positions of an era follow those of the eras before.
type Position struct {
	// Era is 0 for a store that does not tell its era.
	Era     uint64
	Version uint64
}

// Compare returns -1 if p comes before q, +1 if it comes after q, and 0 if they are equal.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version))
}

// Before reports whether p comes before q.
func (p Position) Before(q Position) bool {
	return p.Compare(q) < 0
}

// String returns the era and the version, separated by a slash.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Era, p.Version)
}

// Extent is how far a reply on a table reaches: the position of the store, and the version of the last changed row of the table in the
// reply, also of one that is not used, or 0 if there is none.
type Extent struct {
	Position
	LastChange uint64
}
