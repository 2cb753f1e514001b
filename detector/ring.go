package detector

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/identifier"
)

// ringPoint is the position of a member on the hash ring.
type ringPoint struct {
	hash uint64
	name identifier.Instance
}

func ringHash(name identifier.Instance) uint64 {
	return xxhash.Sum64String("monitor/" + string(name))
}

// rebuildRing computes the hash ring of this process's data centre, without dead members. The successors of a member on the
// ring are its monitors.
func (d *Detector) rebuildRing() {
	d.ring = append(d.ring[:0], ringPoint{ringHash(d.self.Instance), d.self.Instance})
	for name, r := range d.members {
		if r.DataCentre == d.self.DataCentre && r.State != Dead {
			d.ring = append(d.ring, ringPoint{ringHash(name), name})
		}
	}
	slices.SortFunc(d.ring, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
}

// monitors returns the MonitorsPerMember members that follow name on the ring, or all others if there are fewer.
func (d *Detector) monitors(name identifier.Instance) []identifier.Instance {
	h := ringHash(name)
	i, found := slices.BinarySearchFunc(d.ring, h, func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
	if found {
		i++
	}
	list := make([]identifier.Instance, 0, MonitorsPerMember)
	for k := 0; k < len(d.ring) && len(list) < MonitorsPerMember; k++ {
		if p := d.ring[(i+k)%len(d.ring)]; p.name != name {
			list = append(list, p.name)
		}
	}
	return list
}
