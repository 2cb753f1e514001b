package forwarder

const (
	// maxBacklogBytes bounds what is read of a response ahead of its caller.
	maxBacklogBytes = 256 << 10
	// minChunkBytes holds some ten events. Larger backlogs get larger chunks, up to maxChunkBytes, so that they take fewer writes.
	minChunkBytes = 4 << 10
	maxChunkBytes = 32 << 10
)

// backlog holds, in their order, the bytes of a response that its caller has not read yet. It is not safe for concurrent use.
type backlog struct {
	f      *Forwarder
	chunks [][]byte
	// heldBytes is the reserved memory, and mostBytes the most that it was.
	heldBytes, mostBytes int
}

// reserve reserves n bytes of the memory for backlogs, and reports whether they are free.
func (b *backlog) reserve(n int) bool {
	if b.heldBytes+n > maxBacklogBytes || !b.f.reserveBacklog(int64(n)) {
		return false
	}
	b.heldBytes += n
	b.mostBytes = max(b.mostBytes, b.heldBytes)
	return true
}

// release releases n reserved bytes.
func (b *backlog) release(n int) {
	b.heldBytes -= n
	b.f.backlogBytes.Add(-int64(n))
}

// add copies a piece of the response, or reports that there is no memory for the whole piece.
func (b *backlog) add(piece []byte) bool {
	last := len(b.chunks) - 1
	free := 0
	if last >= 0 {
		free = min(cap(b.chunks[last])-len(b.chunks[last]), len(piece))
	}
	var chunk []byte
	if n := len(piece) - free; n > 0 {
		if chunk = b.newChunk(n); chunk == nil {
			return false
		}
		chunk = append(chunk, piece[free:]...)
	}
	if free > 0 {
		b.chunks[last] = append(b.chunks[last], piece[:free]...)
	}
	if chunk != nil {
		b.chunks = append(b.chunks, chunk)
	}
	return true
}

// newChunk returns an empty chunk for at least n bytes, or nil if there is no memory for it.
func (b *backlog) newChunk(n int) []byte {
	size := max(n, min(max(b.heldBytes, minChunkBytes), maxChunkBytes, maxBacklogBytes-b.heldBytes))
	if !b.reserve(size) {
		if size = n; !b.reserve(size) {
			return nil
		}
	}
	return make([]byte, 0, size)
}

// take removes and returns the first chunk, or nil if there is none. Its memory stays reserved until it is released.
func (b *backlog) take() []byte {
	if len(b.chunks) == 0 {
		return nil
	}
	chunk := b.chunks[0]
	b.chunks[0] = nil
	b.chunks = b.chunks[1:]
	return chunk
}

// drop removes all chunks and releases all memory.
func (b *backlog) drop() {
	b.chunks = nil
	b.release(b.heldBytes)
}

// reserveBacklog reserves n bytes of the total of all backlogs, and reports whether they are free.
func (f *Forwarder) reserveBacklog(n int64) bool {
	for {
		held := f.backlogBytes.Load()
		if held+n > f.maxBacklogBytes {
			return false
		}
		if f.backlogBytes.CompareAndSwap(held, held+n) {
			return true
		}
	}
}
