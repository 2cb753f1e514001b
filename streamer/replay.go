package streamer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// HeartbeatInterval is the longest time without a frame on a healthy connection.
	HeartbeatInterval = time.Second
	// maxReplayBytes limits the encoded frames kept for one stream. It must exceed what the socket buffers of a broken
	// connection hold of a token stream under the kernel's default limits, because those frames count as delivered but may
	// have to be sent again.
	maxReplayBytes = 256 << 10
)

// ErrReplayEvicted is returned by Follow when the requested frames are no longer in the buffer.
var ErrReplayEvicted = errors.New("streamer: requested frames are no longer in the replay buffer")

// ErrReaderReplaced is returned by Follow when a newer reader took over the stream.
var ErrReaderReplaced = errors.New("streamer: a newer reader took over the stream")

// ErrFinished is returned by Append and Finish after the final frame.
var ErrFinished = errors.New("streamer: stream already has its final frame")

// ReplayBuffer holds the latest frames of one stream in bounded memory; it is safe for concurrent use by one writer and any
// number of readers, of which only the newest is served.
type ReplayBuffer struct {
	request  identifier.Request
	maxBytes int

	mu sync.Mutex
	// buf holds the encoded frames firstSequence to lastSequence; ends[i] is the offset in buf at which frame firstSequence+i
	// ends.
	buf           []byte
	ends          []int
	firstSequence uint64
	lastSequence  uint64
	finished      bool
	// delivered is the sequence number of the last frame that was written to the newest reader.
	delivered uint64
	// newestReader is the ID of the newest reader.
	newestReader uint64
	// readers counts the connected readers.
	readers int
	// direct is the newest reader if it was set by ServeDirect and is still attached.
	direct     *directReader
	frameAdded chan struct{}
	// spaceFreed wakes a blocked Append after frames were delivered, which makes them evictable.
	spaceFreed chan struct{}
}

// NewReplayBuffer returns an empty buffer for the frames of request.
func NewReplayBuffer(request identifier.Request) *ReplayBuffer {
	return &ReplayBuffer{
		request: request, maxBytes: maxReplayBytes, firstSequence: 1,
		frameAdded: make(chan struct{}, 1), spaceFreed: make(chan struct{}, 1),
	}
}

// Append numbers f and adds it, and writes token frames to a direct reader at once. It blocks while the buffer is full of
// frames that were not delivered to a reader, so that a slow caller slows down its own run; it stops waiting with an
// error when ctx ends.
func (p *ReplayBuffer) Append(ctx context.Context, f Frame) error {
	err := p.AppendBuffered(ctx, f)
	if err == nil && f.Kind == KindToken {
		p.Flush()
	}
	return err
}

// AppendBuffered is Append without the write to a direct reader. It is used when more frames follow at once; Flush writes
// them together.
func (p *ReplayBuffer) AppendBuffered(ctx context.Context, f Frame) error {
	for {
		ok, err := p.tryAppend(&f)
		if err != nil || ok {
			return err
		}
		p.Flush()
		select {
		case <-p.spaceFreed:
		case <-ctx.Done():
			return fmt.Errorf("streamer: append frame: %w", ctx.Err())
		}
	}
}

// Flush writes the frames that were not yet written to a direct reader, if there is one.
func (p *ReplayBuffer) Flush() {
	p.mu.Lock()
	d := p.direct
	p.mu.Unlock()
	if d != nil {
		d.writePending()
	}
}

// Finish adds the final frame. It waits only for a direct reader; frames not yet delivered to others stay in the buffer.
func (p *ReplayBuffer) Finish(f Frame) error {
	p.mu.Lock()
	err, d := p.add(&f), p.direct
	p.mu.Unlock()
	if d != nil {
		d.writePending()
		d.detach()
	}
	return err
}

func (p *ReplayBuffer) tryAppend(f *Frame) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.buf) >= p.maxBytes && !p.evict() {
		return false, nil
	}
	return true, p.add(f)
}

func (p *ReplayBuffer) add(f *Frame) error {
	if p.finished {
		return ErrFinished
	}
	f.Request = p.request
	f.Sequence = p.lastSequence + 1
	if f.Kind == KindDone {
		f.Frames = f.Sequence
	}
	buf, err := AppendFrame(p.buf, f)
	if err != nil {
		return err
	}
	p.buf = buf
	p.ends = append(p.ends, len(buf))
	p.lastSequence = f.Sequence
	p.finished = f.Final()
	notify(p.frameAdded)
	return nil
}

// evict drops delivered frames from the older half of the buffer, and reports whether it dropped any.
func (p *ReplayBuffer) evict() bool {
	n := 0
	for n < len(p.ends) && (n == 0 || p.ends[n] <= p.maxBytes/2) && p.firstSequence+uint64(n) <= p.delivered {
		n++
	}
	if n == 0 {
		return false
	}
	cut := p.ends[n-1]
	p.buf = p.buf[:copy(p.buf, p.buf[cut:])]
	p.ends = p.ends[:copy(p.ends, p.ends[n:])]
	for i := range p.ends {
		p.ends[i] -= cut
	}
	p.firstSequence += uint64(n)
	return true
}

// notify sends to c without blocking; a value that is already pending is enough.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Follow makes w the newest reader and writes it the frames after a sequence number as they are appended, with heartbeats in
// between. It returns after the final frame, at the end of ctx, after a failed write, or when a newer reader takes over.
func (p *ReplayBuffer) Follow(ctx context.Context, w http.ResponseWriter, after uint64) error {
	p.mu.Lock()
	if after+1 < p.firstSequence || after > p.lastSequence {
		p.mu.Unlock()
		return fmt.Errorf("%w: after %d", ErrReplayEvicted, after)
	}
	p.newestReader++
	p.readers++
	id := p.newestReader
	p.delivered = after
	if p.direct != nil {
		// The direct reader's write may be blocked on a black-holed connection, which would block the run.
		p.direct.abort()
	}
	notify(p.frameAdded)
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.readers--
		p.mu.Unlock()
	}()
	flusher, _ := w.(http.Flusher)
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	var unwritten []byte
	heartbeatDue := false
	for {
		var final bool
		var err error
		unwritten, after, final, err = p.framesAfter(unwritten[:0], id, after)
		if err != nil {
			return err
		}
		if len(unwritten) == 0 && heartbeatDue {
			if unwritten, err = AppendFrame(unwritten, &Frame{Request: p.request, Kind: KindHeartbeat}); err != nil {
				return err
			}
		}
		if len(unwritten) > 0 {
			if _, err := w.Write(unwritten); err != nil {
				return fmt.Errorf("streamer: write frames up to %d: %w", after, err)
			}
			if flusher != nil {
				flusher.Flush()
			}
			p.markDelivered(id, after)
		}
		if final {
			return nil
		}
		heartbeatDue = false
		select {
		case <-p.frameAdded:
		case <-heartbeat.C:
			heartbeatDue = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// framesAfter appends the frames after a sequence number to b. It also returns the sequence number of the last frame and
// whether that one is final, or ErrReaderReplaced if a newer reader took over.
func (p *ReplayBuffer) framesAfter(b []byte, reader, after uint64) ([]byte, uint64, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newestReader != reader {
		// The notification that was received may have been meant for the newer reader.
		notify(p.frameAdded)
		return b, after, false, ErrReaderReplaced
	}
	from := 0
	if n := after + 1 - p.firstSequence; n > 0 {
		from = p.ends[n-1]
	}
	return append(b, p.buf[from:]...), p.lastSequence, p.finished, nil
}

// markDelivered records that the frames up to last were written to a reader, unless a newer reader took over.
func (p *ReplayBuffer) markDelivered(reader, last uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newestReader == reader {
		p.delivered = last
		notify(p.spaceFreed)
	}
}

// Readers returns the number of connected readers.
func (p *ReplayBuffer) Readers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readers
}

// FinalDelivered reports whether the final frame was written to a reader.
func (p *ReplayBuffer) FinalDelivered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.finished && p.delivered == p.lastSequence
}
