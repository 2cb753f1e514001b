package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"time"
)

const (
	// takeOverDelay is how long a write may block before the response is read on beside it. A write to a caller who reads takes some
	// microseconds, and upstreams end responses that stay unread for some seconds.
	takeOverDelay = 10 * time.Millisecond
	// takeOverRetry is when reading is tried again to be taken over after there was no memory for it.
	takeOverRetry = 200 * time.Millisecond
)

// errHandedOver is returned to the goroutine that has read a response so far when the other one reads on.
var errHandedOver = errors.New("forwarder: reading was handed over")

// errPanicked is the error of a reading that panicked.
var errPanicked = errors.New("forwarder: panic while a response was read")

// expired is a write deadline that ends a blocked write.
func expired() time.Time { return time.Unix(1, 0) }

// delivery passes the pieces of a response on to its caller. Normally the goroutine of the request reads and writes them. While a
// write blocks, a second goroutine reads on and adds the pieces to a backlog, which the first one writes. Once all is written, the
// second one hands the reading back with the next piece. Only the goroutine of the request uses the response writer.
type delivery struct {
	f       *Forwarder
	q       *request
	w       http.ResponseWriter
	control *http.ResponseController
	// read reads the response to its end and passes the pieces on. It returns errHandedOver as soon as pass or resume does, and is
	// then called on the other goroutine, where it continues with resume.
	read func(context.Context) error
	// detach leaves the memory of the piece that is being written to the writing goroutine.
	detach func()
	// isWhole is set if all of the response has been read, so that reading on takes no memory and the end of the context loses nothing. It
	// is set by the goroutine that reads.
	isWhole bool
	// timer takes the reading over, and stopLeaving ends the watch for a caller that leaves; both are nil until they are needed.
	timer       *time.Timer
	stopLeaving func() bool
	// toWriter and toReader wake the goroutine of the request and the one that reads on.
	toWriter, toReader chan struct{}

	mu sync.Mutex
	// writing is set while a write runs, and piece is what is written, or handed back.
	writing bool
	piece   []byte
	// isStopped is set once the request may no longer use the response writer.
	isStopped bool
	// isTakenOver is set while the second goroutine reads, and isReturned once it has handed the reading back until the piece is written.
	isTakenOver, isReturned bool
	// reserved is the memory that is reserved for the buffer of the piece.
	reserved int
	backlog  backlog
	// finished is set once the second goroutine has read the response to its end with the error result.
	finished bool
	result   error
	// panicked is what the second goroutine panicked with.
	panicked any
	// callerErr is the error of a write.
	callerErr error
	// since is when the reading was last taken over, and behind how long it was in all before. isPaused is set if no memory was free
	// for the piece that is being written.
	since    time.Time
	behind   time.Duration
	isPaused bool
}

func newDelivery(f *Forwarder, q *request, w http.ResponseWriter) *delivery {
	return &delivery{f: f, q: q, w: w, control: http.NewResponseController(w), backlog: backlog{f: f}}
}

// run reads the response and writes it to the caller; it returns once both have ended.
func (d *delivery) run(ctx context.Context) error {
	defer d.stop()
	for {
		err := d.read(ctx)
		if !errors.Is(err, errHandedOver) {
			return err
		}
		if ended, err := d.writeBacklog(); ended {
			return err
		}
	}
}

// pass passes a piece of the response on: it writes it, or adds it to the backlog if the reading was taken over.
func (d *delivery) pass(ctx context.Context, piece []byte, flush bool) error {
	d.mu.Lock()
	if d.isTakenOver {
		defer d.mu.Unlock()
		return d.hold(ctx, piece)
	}
	d.beginWrite(ctx, piece)
	d.mu.Unlock()
	return d.endWrite(d.writePiece(piece, flush))
}

// resume continues on the goroutine to which the reading was handed over: it writes the piece that was handed back, if any.
func (d *delivery) resume(ctx context.Context) error {
	d.mu.Lock()
	if !d.isReturned {
		d.mu.Unlock()
		return nil
	}
	d.isReturned = false
	piece := d.piece
	d.beginWrite(ctx, piece)
	d.mu.Unlock()
	return d.endWrite(d.writePiece(piece, true))
}

// beginWrite sets the timer that takes the reading over from the write of a piece. The caller holds d.mu.
func (d *delivery) beginWrite(ctx context.Context, piece []byte) {
	d.writing, d.piece, d.isPaused = true, piece, false
	if d.timer == nil {
		d.timer = time.AfterFunc(time.Hour, func() { d.takeOver(ctx) })
	}
	d.timer.Reset(takeOverDelay)
}

// writePiece writes bytes to the caller. It is called without d.mu.
func (d *delivery) writePiece(b []byte, flush bool) error {
	_, err := d.w.Write(b)
	if err == nil && flush {
		err = d.control.Flush()
	}
	return err
}

// endWrite records the end of a write with an error or nil, and returns errHandedOver if the reading was taken over.
func (d *delivery) endWrite(err error) error {
	d.timer.Stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writing, d.piece = false, nil
	if !d.isTakenOver {
		if err != nil {
			return errors.Join(errCallerConnection, err)
		}
		return nil
	}
	d.backlog.release(d.reserved)
	d.reserved = 0
	d.recordWritten(err)
	return errHandedOver
}

// recordWritten records the end of a write of which the reading goroutine has to know. The caller holds d.mu.
func (d *delivery) recordWritten(err error) {
	if err != nil && d.callerErr == nil {
		d.callerErr = err
		d.q.cancel(errCallerConnection)
	}
	wake(d.toReader)
}

// writeStep is what the goroutine of the request does while the other one reads.
type writeStep int

const (
	stepWait writeStep = iota
	// stepWrite writes a chunk of the backlog, stepRead reads again, and stepEnd ends the delivery.
	stepWrite
	stepRead
	stepEnd
)

// writeBacklog writes the backlog until the reading is handed back, or the response has ended and is written.
func (d *delivery) writeBacklog() (ended bool, err error) {
	for {
		switch step, chunk, flush := d.nextStep(); step {
		case stepWrite:
			err := d.writePiece(chunk, flush)
			d.mu.Lock()
			d.writing = false
			d.backlog.release(cap(chunk))
			d.recordWritten(err)
			d.mu.Unlock()
		case stepRead:
			return false, nil
		case stepEnd:
			return true, d.end()
		case stepWait:
			<-d.toWriter
		}
	}
}

// nextStep returns the next step of writeBacklog and, for stepWrite, the chunk and whether it is the last one. It drops the backlog of a
// caller whose connection has failed.
func (d *delivery) nextStep() (step writeStep, chunk []byte, isLast bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.callerErr != nil {
		d.backlog.drop()
	}
	chunk = d.backlog.take()
	switch {
	case chunk != nil:
		d.writing = true
		return stepWrite, chunk, len(d.backlog.chunks) == 0
	case d.isReturned:
		return stepRead, nil, false
	case d.finished:
		return stepEnd, nil, false
	default:
		return stepWait, nil, false
	}
}

// end returns the result of a response whose reading the second goroutine has ended, or panics as that one did.
func (d *delivery) end() error {
	if d.panicked != nil {
		panic(d.panicked)
	}
	if d.result == nil && d.callerErr != nil {
		return errors.Join(errCallerConnection, d.callerErr)
	}
	return d.result
}

// takeOver reads the response on while a write blocks.
func (d *delivery) takeOver(ctx context.Context) {
	if !d.beginTakeOver(ctx) {
		return
	}
	panicked, err := d.readOn(ctx)
	if errors.Is(err, errHandedOver) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		// The response can't become complete, so what was read of it is written until the deadline at most.
		deadline := d.q.deadline
		if ctx.Err() != nil {
			deadline = expired()
		}
		_ = d.control.SetWriteDeadline(deadline)
	}
	d.finished, d.result, d.panicked = true, err, panicked
	wake(d.toWriter)
}

// beginTakeOver reports whether the reading is taken over; otherwise it is tried again later.
func (d *delivery) beginTakeOver(ctx context.Context) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.writing || d.isTakenOver {
		return false
	}
	if !d.isWhole {
		// The whole buffer of the piece is handed over, which may be much larger than the piece.
		if !d.backlog.reserve(cap(d.piece)) {
			if ctx.Err() != nil {
				// The rest of the response can't be read any more.
				_ = d.control.SetWriteDeadline(expired())
			}
			d.countPause()
			d.timer.Reset(takeOverRetry)
			return false
		}
		d.reserved = cap(d.piece)
	}
	if d.toWriter == nil {
		d.toWriter, d.toReader = make(chan struct{}, 1), make(chan struct{}, 1)
		d.stopLeaving = context.AfterFunc(ctx, func() { d.endWritesOnLeaving(ctx) })
		d.f.counters.slowCallers.Add(1)
	}
	d.isTakenOver, d.since = true, d.f.Now()
	d.f.slow.Store(d, struct{}{})
	d.detach()
	return true
}

// endWritesOnLeaving ends a blocked write if the request ended because its caller left.
func (d *delivery) endWritesOnLeaving(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// The function that context.AfterFunc has started already may run after the request.
	if d.isStopped {
		return
	}
	if cause := context.Cause(ctx); !errors.Is(cause, errDeadline) && !errors.Is(cause, errCallerConnection) {
		_ = d.control.SetWriteDeadline(expired())
	}
}

// readOn runs read and returns its error, or what it panicked with and its stack.
func (d *delivery) readOn(ctx context.Context) (panicked any, err error) {
	defer func() {
		if v := recover(); v != nil {
			panicked, err = fmt.Sprintf("%v\n%s", v, debug.Stack()), errPanicked
		}
	}()
	return nil, d.read(ctx)
}

// hold adds a piece to the backlog, for which it waits until there is memory, or hands it back with the reading if nothing else is
// left to write. The caller holds d.mu.
func (d *delivery) hold(ctx context.Context, piece []byte) error {
	d.isPaused = false
	done := ctx.Done()
	if d.isWhole {
		// The piece is the last one, and the caller gets it even after the deadline.
		done = nil
	}
	for {
		switch {
		case d.callerErr != nil:
			return errors.Join(errCallerConnection, d.callerErr)
		case ctx.Err() != nil && !d.isWhole:
			return fmt.Errorf("forwarder: wait for a slow caller: %w", ctx.Err())
		case !d.writing && len(d.backlog.chunks) == 0:
			d.piece = piece
			d.isTakenOver, d.isReturned = false, true
			d.leaveSlow()
			wake(d.toWriter)
			return errHandedOver
		case d.backlog.add(piece):
			d.isPaused = false
			wake(d.toWriter)
			return nil
		}
		d.countPause()
		d.mu.Unlock()
		select {
		case <-d.toReader:
		case <-done:
		}
		d.mu.Lock()
	}
}

// countPause counts once that reading pauses because there is no memory for a piece. The caller holds d.mu.
func (d *delivery) countPause() {
	if !d.isPaused {
		d.isPaused = true
		d.f.counters.readsPaused.Add(1)
		d.q.pausedReads++
	}
}

// leaveSlow ends a time in which the caller was behind. The caller holds d.mu.
func (d *delivery) leaveSlow() {
	d.behind += d.f.Now().Sub(d.since)
	d.f.slow.Delete(d)
}

// stop ends the second goroutine, if it still runs, and releases the memory.
func (d *delivery) stop() {
	if d.timer == nil {
		return
	}
	d.timer.Stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writing, d.isStopped = false, true
	if d.stopLeaving == nil {
		return
	}
	d.stopLeaving()
	if d.isTakenOver && !d.finished {
		// The writing ends before the reading only if the response writer panicked.
		d.recordWritten(errCallerConnection)
	}
	for d.isTakenOver && !d.finished {
		d.mu.Unlock()
		<-d.toWriter
		d.mu.Lock()
	}
	if d.isTakenOver {
		d.leaveSlow()
	}
	d.backlog.drop()
	d.q.mostBacklog, d.q.behind = d.backlog.mostBytes, d.behind
}

// wake wakes the receiver of a channel; a wake that it has not seen yet is enough.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
