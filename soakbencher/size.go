package soakbencher

// size is the size of a deployment.
type size struct {
	// entries is the number of entry processes, callers that of concurrent callers, upstreams that of each service, and
	// faultsAtOnce that of faults injected at a time.
	entries, callers, upstreams, faultsAtOnce int
}

// sizeForSeed returns the size for a seed: 24 entries for each tenth seed, 50 for each hundredth, otherwise 3. Larger deployments
// exceed the usual limit of file descriptors of a process, because every connection also passes through a proxy.
func sizeForSeed(seed uint64) size {
	switch {
	case seed%100 == 0:
		return size{entries: 50, callers: 100, upstreams: 8, faultsAtOnce: 5}
	case seed%10 == 0:
		return size{entries: 24, callers: 48, upstreams: 12, faultsAtOnce: 3}
	default:
		return size{entries: 3, callers: 12, upstreams: 4, faultsAtOnce: 1}
	}
}
