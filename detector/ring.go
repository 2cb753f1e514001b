package detector

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/identifier"
)

type point struct {
	hash uint64
	name identifier.Instance
}

func hash(name identifier.Instance) uint64 {
	return xxhash.Sum64String("monitor/" + string(name))
}

// rebuild computes the ring of the own data centre, on which each member's successors are its monitors.
func (d *Detector) rebuild() {
	d.ring = append(d.ring[:0], point{hash(d.self.Instance), d.self.Instance})
	for name, r := range d.members {
		if r.DataCentre == d.self.DataCentre && r.State != Dead {
			d.ring = append(d.ring, point{hash(name), name})
		}
	}
	slices.SortFunc(d.ring, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
}

// monitors returns the members that follow name on the ring.
func (d *Detector) monitors(name identifier.Instance) []identifier.Instance {
	h := hash(name)
	i, found := slices.BinarySearchFunc(d.ring, h, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
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
