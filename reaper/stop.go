package reaper

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// stopCheckInterval is the time between two checks for connections that are left while the server stops.
const stopCheckInterval = 10 * time.Millisecond

// CloseAfterResponse makes all further responses tell their callers to close the connection; idle connections stay open, and
// requests on them are served.
func (r *Reaper) CloseAfterResponse() {
	r.closeAfterResponse.Store(true)
}

// CloseIdle does what CloseAfterResponse does and ends idle connections, from now on. It returns when those that are idle now are
// closed or have begun another request.
func (r *Reaper) CloseIdle() {
	r.CloseAfterResponse()
	r.closeIdle.Store(true)
	r.CloseExpired()
	for r.anyEnding() {
		time.Sleep(arrivalTime)
	}
}

// Shutdown closes the listener, ends the connections without a request, and returns when every request that was read has been
// answered and every connection is closed, or else with an error when ctx ends. It is called once, after the start of serving. In
// contrast to http.Server.Shutdown it never closes a connection whose request was read, and lets a connection that has just been
// opened send its first request.
func (r *Reaper) Shutdown(ctx context.Context) error {
	r.CloseAfterResponse()
	r.closeIdle.Store(true)
	r.stopping.Store(true)
	err := r.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	t := time.NewTicker(stopCheckInterval)
	defer t.Stop()
	for {
		r.CloseExpired()
		if r.isDrained() {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("reaper: %d connections left: %w", r.open(), context.Cause(ctx))
		case <-t.C:
		}
	}
}

// isDrained reports whether the server accepts no connection and has none left.
func (r *Reaper) isDrained() bool {
	select {
	case <-r.accepted:
		return r.open() == 0
	default:
		return false
	}
}

// open returns the number of open connections.
func (r *Reaper) open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.connections)
}

// anyEnding reports whether a connection is being ended but not closed yet.
func (r *Reaper) anyEnding() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		if c.isEnding() {
			return true
		}
	}
	return false
}

// closingWriter adds to a response, when its headers are sent, that the connection is to be closed, if the reaper says so by then.
type closingWriter struct {
	http.ResponseWriter
	reaper      *Reaper
	wroteHeader bool
}

// WriteHeader sends the headers.
func (w *closingWriter) WriteHeader(status int) {
	w.prepare(status)
	w.ResponseWriter.WriteHeader(status)
}

// Write sends the headers, if they are not sent yet, and a part of the body.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.prepare(http.StatusOK)
	return w.ResponseWriter.Write(p)
}

// Flush sends what was written.
func (w *closingWriter) Flush() {
	// The write fails only if the caller has left.
	_ = w.FlushError()
}

// FlushError sends what was written.
func (w *closingWriter) FlushError() error {
	w.prepare(http.StatusOK)
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the writer below.
func (w *closingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// prepare sets the header before the first headers that are not informational.
func (w *closingWriter) prepare(status int) {
	if w.wroteHeader || status < http.StatusOK && status != http.StatusSwitchingProtocols {
		return
	}
	w.wroteHeader = true
	if w.reaper.closeAfterResponse.Load() {
		w.Header().Set("Connection", "close")
	}
}
