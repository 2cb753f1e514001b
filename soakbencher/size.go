package soakbencher

// size is that of a deployment; an entry is a process.
type size struct {
	// entries and callers are the numbers of these, upstreams that of each service, faults how many come at a time.
	entries, callers, upstreams, faults int
}

// sizeOf returns the size for a seed: two dozen processes for each tenth one, and fifty for each hundredth. Larger ones
// need more descriptors than a process usually may open, because every connection also passes a proxy.
func sizeOf(seed uint64) size {
	switch {
	case seed%100 == 0:
		return size{entries: 50, callers: 100, upstreams: 8, faults: 5}
	case seed%10 == 0:
		return size{entries: 24, callers: 48, upstreams: 12, faults: 3}
	default:
		return size{entries: 3, callers: 12, upstreams: 4, faults: 1}
	}
}
