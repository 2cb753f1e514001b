package matcher

import "github.com/siskinfront/siskinfront/identifier"

// Regions are the regions to which requests are bound; nil means that they are not bound, and an empty set that no region may serve them.
type Regions map[identifier.Region]struct{}

// NewRegions returns the set of regions with a name; it is not nil. A region without a name is that of data centres which are in no known
// region, and no request is bound to it.
func NewRegions(names ...identifier.Region) Regions {
	r := make(Regions, len(names))
	for _, name := range names {
		if name != "" {
			r[name] = struct{}{}
		}
	}
	return r
}

// And returns the regions that are in both sets.
func (r Regions) And(other Regions) Regions {
	switch {
	case r == nil:
		return other
	case other == nil:
		return r
	}
	both := Regions{}
	for name := range r {
		if _, ok := other[name]; ok {
			both[name] = struct{}{}
		}
	}
	return both
}

// Allows reports whether requests may be served in a region.
func (r Regions) Allows(name identifier.Region) bool {
	if r == nil {
		return true
	}
	_, ok := r[name]
	return ok
}
