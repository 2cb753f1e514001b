package runner

import "runtime/debug"

const (
	// usualCollectionPercent is the growth of the heap after which the runtime collects unless told otherwise.
	usualCollectionPercent = 100
	// usualProcessorShare is the share of a core from which that growth is kept. A collection takes some milliseconds of a core; with a
	// tenth of a core, that delays the events of all streams by tens of milliseconds.
	usualProcessorShare = 0.3
	// maxCollectionPercent bounds the growth to five times the live heap on the smallest shares; the memory limit holds in any case.
	maxCollectionPercent = 400
)

// collectionPercent returns the growth of the heap after which the runtime collects, in percent, for a share of a core, or 0 if the share is not
// known. With less of a core the heap grows further, so that collections take the same part of it.
func collectionPercent(processorShare float64) int {
	if processorShare <= 0 || processorShare >= usualProcessorShare {
		return usualCollectionPercent
	}
	return min(int(usualCollectionPercent*usualProcessorShare/processorShare), maxCollectionPercent)
}

// limitMemory sets when the runtime collects. If the share of a core is not known, the growth of the heap stays as the environment of the
// process sets it.
func limitMemory(s *Settings) {
	debug.SetMemoryLimit(int64(heapFraction * float64(s.MemoryBytes)))
	if s.ProcessorShare > 0 {
		debug.SetGCPercent(collectionPercent(s.ProcessorShare))
	}
}
