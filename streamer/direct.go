package streamer

import (
	"context"
	"net/http"
	"time"
)

// softDelay is the longest time for which frames that no caller waits for are held back, so that accepted, started and
// the first token usually leave in one write.
const softDelay = 20 * time.Millisecond

// direct is the reader that the writer of a Replay serves itself, on its own goroutine. Passing each frame to another
// goroutine cost about 100 µs of the time to the first token.
type direct struct {
	replay *ReplayBuffer
	id     uint64
	abort  func()
	// stop removes the abort at the end of the context, which comes after the final frame too.
	stop func() bool

	// busy holds a value while a goroutine uses the fields below and the response writer, which may wait for the reader.
	busy    chan struct{}
	w       http.ResponseWriter
	flusher http.Flusher
	after   uint64
	scratch []byte
	ended   bool
	timer   *time.Timer
}

// ServeDirect makes w the newest reader. Until detach is called, a newer reader takes over, or a write fails, every frame
// is written within Append, Flush or Finish, which wait for a slow reader until the deadline. The end of ctx before the final frame
// aborts a write in progress. ServeDirect must be called before the first frame, and detach before w becomes invalid;
// detach may be called more than once.
func (p *ReplayBuffer) ServeDirect(ctx context.Context, w http.ResponseWriter, deadline time.Time) (detach func()) {
	control := http.NewResponseController(w)
	d := &direct{replay: p, w: w, busy: make(chan struct{}, 1)}
	d.flusher, _ = w.(http.Flusher)
	// Errors of a deadline show at the next write.
	_ = control.SetWriteDeadline(deadline)
	d.abort = func() { _ = control.SetWriteDeadline(time.Unix(1, 0)) }
	p.mu.Lock()
	p.reader++
	p.readers++
	d.id = p.reader
	p.direct = d
	p.mu.Unlock()
	d.stop = context.AfterFunc(ctx, d.abort)
	// The timer must be known before it can run, because its function sets it again.
	d.timer = time.AfterFunc(time.Hour, d.tick)
	d.timer.Reset(softDelay)
	return d.detach
}

func (d *direct) release() {
	<-d.busy
}

func (d *direct) detach() {
	d.busy <- struct{}{}
	defer d.release()
	if d.end() {
		// The connection serves further requests.
		_ = http.NewResponseController(d.w).SetWriteDeadline(time.Time{})
	}
}

// end stops the direct service and reports whether the connection is still sound; d.busy is held.
func (d *direct) end() bool {
	if d.ended {
		return false
	}
	d.ended = true
	d.timer.Stop()
	sound := d.stop()
	p := d.replay
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readers--
	if p.direct == d {
		p.direct = nil
	}
	return sound && p.reader == d.id
}

// push writes the frames that the reader does not have yet.
func (d *direct) push() {
	d.busy <- struct{}{}
	defer d.release()
	d.pushLocked()
}

func (d *direct) pushLocked() {
	if d.ended {
		return
	}
	b, after, _, err := d.replay.pending(d.scratch[:0], d.id, d.after)
	d.scratch = b
	if err != nil || len(b) > 0 && !d.write(b) {
		d.end()
		return
	}
	d.after = after
	d.replay.deliver(d.id, after)
}

func (d *direct) write(b []byte) bool {
	if _, err := d.w.Write(b); err != nil {
		return false
	}
	if d.flusher != nil {
		d.flusher.Flush()
	}
	return true
}

// tick sends what was held back, and one heartbeat per interval.
func (d *direct) tick() {
	// While a frame is being written there is no need for a heartbeat.
	select {
	case d.busy <- struct{}{}:
		defer d.release()
		before := d.after
		if d.pushLocked(); d.after == before {
			d.beat()
		}
		if d.ended {
			return
		}
	default:
	}
	d.timer.Reset(HeartbeatInterval)
}

func (d *direct) beat() {
	if d.ended {
		return
	}
	b, err := AppendFrame(d.scratch[:0], &Frame{Request: d.replay.request, Kind: KindHeartbeat})
	d.scratch = b
	if err != nil || !d.write(b) {
		d.end()
	}
}
