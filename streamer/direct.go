package streamer

import (
	"context"
	"net/http"
	"time"
)

// coalesceDelay is how long the accepted and started frames at the beginning of a stream are held back, so that they are
// usually sent in one write with the first token. Callers do not wait for these frames.
const coalesceDelay = 20 * time.Millisecond

// directReader is a reader whose frames are written by the goroutine that appends them to the ReplayBuffer. Passing each
// frame to another goroutine adds about 100 µs to the time to the first token.
type directReader struct {
	replay   *ReplayBuffer
	readerID uint64
	// abort makes a write in progress and all later ones fail.
	abort func()
	// stopAbort unregisters abort from the context, which also ends after the final frame.
	stopAbort func() bool

	// lock holds a value while a goroutine uses the fields below or the response writer; a write may block on a slow reader.
	lock    chan struct{}
	w       http.ResponseWriter
	flusher http.Flusher
	written uint64 // the last frame written
	scratch []byte
	ended   bool
	timer   *time.Timer
}

// ServeDirect makes w the newest reader. Until detach is called, a newer reader takes over, or a write fails, every frame is
// written within a call of Append, Flush or Finish, which blocks on a slow reader until the deadline at the latest. The end of
// ctx before the final frame aborts a write in progress. ServeDirect must be called before the first frame, and detach before
// w becomes invalid; detach may be called more than once.
func (p *ReplayBuffer) ServeDirect(ctx context.Context, w http.ResponseWriter, deadline time.Time) (detach func()) {
	control := http.NewResponseController(w)
	d := &directReader{replay: p, w: w, lock: make(chan struct{}, 1)}
	d.flusher, _ = w.(http.Flusher)
	// An error is not handled here, because it shows at the next write.
	_ = control.SetWriteDeadline(deadline)
	d.abort = func() { _ = control.SetWriteDeadline(time.Unix(1, 0)) }
	p.mu.Lock()
	p.newestReader++
	p.readers++
	d.readerID = p.newestReader
	p.direct = d
	p.mu.Unlock()
	d.stopAbort = context.AfterFunc(ctx, d.abort)
	// The field must be set before the timer fires, because tick resets the timer through it.
	d.timer = time.AfterFunc(time.Hour, d.tick)
	d.timer.Reset(coalesceDelay)
	return d.detach
}

func (d *directReader) unlock() {
	<-d.lock
}

func (d *directReader) detach() {
	d.lock <- struct{}{}
	defer d.unlock()
	if d.endLocked() {
		// The connection serves further requests, which must not inherit the write deadline.
		_ = http.NewResponseController(d.w).SetWriteDeadline(time.Time{})
	}
}

// endLocked stops writing to the reader and reports whether the connection can be reused, that is, abort was not called on
// it. The caller holds d.lock.
func (d *directReader) endLocked() bool {
	if d.ended {
		return false
	}
	d.ended = true
	d.timer.Stop()
	usable := d.stopAbort()
	p := d.replay
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readers--
	if p.direct == d {
		p.direct = nil
	}
	return usable && p.newestReader == d.readerID
}

// writePending writes the frames that were not yet written to the reader.
func (d *directReader) writePending() {
	d.lock <- struct{}{}
	defer d.unlock()
	d.writePendingLocked()
}

// writePendingLocked is writePending for a caller that holds d.lock.
func (d *directReader) writePendingLocked() {
	if d.ended {
		return
	}
	b, after, _, err := d.replay.framesAfter(d.scratch[:0], d.readerID, d.written)
	d.scratch = b
	if err != nil || len(b) > 0 && !d.write(b) {
		d.endLocked()
		return
	}
	d.written = after
	d.replay.markDelivered(d.readerID, after)
}

func (d *directReader) write(b []byte) bool {
	if _, err := d.w.Write(b); err != nil {
		return false
	}
	if d.flusher != nil {
		d.flusher.Flush()
	}
	return true
}

// tick writes the frames that were held back or, if there are none, a heartbeat. It runs after coalesceDelay and then once per
// heartbeat interval.
func (d *directReader) tick() {
	// If another goroutine holds the lock, it is writing a frame, so no heartbeat is needed.
	select {
	case d.lock <- struct{}{}:
		defer d.unlock()
		before := d.written
		if d.writePendingLocked(); d.written == before {
			d.sendHeartbeat()
		}
		if d.ended {
			return
		}
	default:
	}
	d.timer.Reset(HeartbeatInterval)
}

func (d *directReader) sendHeartbeat() {
	if d.ended {
		return
	}
	b, err := AppendFrame(d.scratch[:0], &Frame{Request: d.replay.request, Kind: KindHeartbeat})
	d.scratch = b
	if err != nil || !d.write(b) {
		d.endLocked()
	}
}
