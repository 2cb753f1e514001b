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
	// maxReplay bounds the encoded frames kept for one stream in bytes. It exceeds what the socket buffers of a broken
	// connection can hold under the default limits of the kernel for a stream of tokens.
	maxReplay = 256 << 10
)

// ErrReplayEvicted is returned by Follow when the wanted frames have left the buffer.
var ErrReplayEvicted = errors.New("streamer: wanted frames have left the replay buffer")

// ErrReaderReplaced is returned by Follow when a newer reader took over the stream.
var ErrReaderReplaced = errors.New("streamer: a newer reader took over the stream")

// ErrFinished is returned by Append after the final frame.
var ErrFinished = errors.New("streamer: stream has its final frame")

// ReplayBuffer holds the latest frames of one stream in bounded memory; it is safe for concurrent use by one writer and any
// number of readers, of which only the newest is served.
type ReplayBuffer struct {
	request identifier.Request
	limit   int

	mu sync.Mutex
	// buf holds the encoded frames first to last; ends[i] is the end of frame first+i.
	buf   []byte
	ends  []int
	first uint64
	last  uint64
	final bool
	// delivered is the last frame that was written to the newest reader.
	delivered uint64
	reader    uint64
	readers   int
	direct    *direct
	more      chan struct{}
	space     chan struct{}
}

// NewReplayBuffer returns an empty buffer for the frames of request.
func NewReplayBuffer(request identifier.Request) *ReplayBuffer {
	return &ReplayBuffer{
		request: request, limit: maxReplay, first: 1, more: make(chan struct{}, 1), space: make(chan struct{}, 1),
	}
}

// Append numbers f and adds it. It waits while the buffer is full of frames that no reader has received, so a slow
// caller slows its own run; it ends early when ctx does.
func (p *ReplayBuffer) Append(ctx context.Context, f Frame) error {
	err := p.AppendBuffered(ctx, f)
	if err == nil && f.Kind == KindToken {
		p.Flush()
	}
	return err
}

// AppendBuffered is Append for a frame that more frames follow at once; Flush writes them together.
func (p *ReplayBuffer) AppendBuffered(ctx context.Context, f Frame) error {
	for {
		ok, err := p.tryAppend(&f)
		if err != nil || ok {
			return err
		}
		p.Flush()
		select {
		case <-p.space:
		case <-ctx.Done():
			return fmt.Errorf("streamer: append frame: %w", ctx.Err())
		}
	}
}

// Flush writes the frames that a direct reader does not have yet.
func (p *ReplayBuffer) Flush() {
	p.mu.Lock()
	d := p.direct
	p.mu.Unlock()
	if d != nil {
		d.push()
	}
}

// Finish adds a final frame and waits for no reader but a direct one; undelivered frames stay in the buffer.
func (p *ReplayBuffer) Finish(f Frame) error {
	p.mu.Lock()
	err, d := p.add(&f), p.direct
	p.mu.Unlock()
	if d != nil {
		d.push()
		d.detach()
	}
	return err
}

func (p *ReplayBuffer) tryAppend(f *Frame) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.buf) >= p.limit && !p.evict() {
		return false, nil
	}
	return true, p.add(f)
}

func (p *ReplayBuffer) add(f *Frame) error {
	if p.final {
		return ErrFinished
	}
	f.Request = p.request
	f.Sequence = p.last + 1
	if f.Kind == KindDone {
		f.Frames = f.Sequence
	}
	buf, err := AppendFrame(p.buf, f)
	if err != nil {
		return err
	}
	p.buf = buf
	p.ends = append(p.ends, len(buf))
	p.last = f.Sequence
	p.final = f.Final()
	signal(p.more)
	return nil
}

// evict drops the older half of the buffer as far as it was delivered, and reports whether it dropped a frame.
func (p *ReplayBuffer) evict() bool {
	n := 0
	for n < len(p.ends) && (n == 0 || p.ends[n] <= p.limit/2) && p.first+uint64(n) <= p.delivered {
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
	p.first += uint64(n)
	return true
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Follow writes the frames after a sequence number to w as they come, with heartbeats between them, until the final
// frame, the end of ctx, a failed write, or a newer reader.
func (p *ReplayBuffer) Follow(ctx context.Context, w http.ResponseWriter, after uint64) error {
	p.mu.Lock()
	if after+1 < p.first || after > p.last {
		p.mu.Unlock()
		return fmt.Errorf("%w: after %d", ErrReplayEvicted, after)
	}
	p.reader++
	p.readers++
	id := p.reader
	p.delivered = after
	if p.direct != nil {
		// Its write may be blocked on a black-holed connection, and with it the run.
		p.direct.abort()
	}
	signal(p.more)
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.readers--
		p.mu.Unlock()
	}()
	flusher, _ := w.(http.Flusher)
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	var scratch []byte
	beat := false
	for {
		var final bool
		var err error
		scratch, after, final, err = p.pending(scratch[:0], id, after)
		if err != nil {
			return err
		}
		if len(scratch) == 0 && beat {
			if scratch, err = AppendFrame(scratch, &Frame{Request: p.request, Kind: KindHeartbeat}); err != nil {
				return err
			}
		}
		if len(scratch) > 0 {
			if _, err := w.Write(scratch); err != nil {
				return fmt.Errorf("streamer: write frames up to %d: %w", after, err)
			}
			if flusher != nil {
				flusher.Flush()
			}
			p.deliver(id, after)
		}
		if final {
			return nil
		}
		beat = false
		select {
		case <-p.more:
		case <-heartbeat.C:
			beat = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pending appends the frames after a sequence number to b and returns the number of the last one.
func (p *ReplayBuffer) pending(b []byte, reader, after uint64) ([]byte, uint64, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reader != reader {
		// The signal may have been meant for the newer reader.
		signal(p.more)
		return b, after, false, ErrReaderReplaced
	}
	from := 0
	if n := after + 1 - p.first; n > 0 {
		from = p.ends[n-1]
	}
	return append(b, p.buf[from:]...), p.last, p.final, nil
}

func (p *ReplayBuffer) deliver(reader, last uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reader == reader {
		p.delivered = last
		signal(p.space)
	}
}

// Readers returns the number of connected readers.
func (p *ReplayBuffer) Readers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readers
}

// Delivered reports whether the final frame was written to a reader.
func (p *ReplayBuffer) Delivered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.final && p.delivered == p.last
}
