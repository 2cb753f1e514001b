package runner

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/siskinfront/siskinfront/forwarder"
	"github.com/siskinfront/siskinfront/reaper"
)

const (
	// stopCheckInterval is the time between two checks for remaining streams while the entry stops, and closeLead is how long
	// before the deadline its listener is closed.
	stopCheckInterval = 100 * time.Millisecond
	closeLead         = time.Second
	// exitReserve is the part of the shutdown time that is reserved for the exit of the process.
	exitReserve = 400 * time.Millisecond
)

// plannedStop is a planned stop in progress.
type plannedStop struct {
	began, deadline time.Time
}

// shutDown ends serving within the shutdown time: the entry reports not ready, still serves the requests that it gets until its
// streams have ended, with responses that tell callers to open another connection, and then closes its listener.
func (r *Runner) shutDown(callers *http.Server) error {
	now := time.Now()
	planned := &plannedStop{began: now, deadline: now.Add(r.settings.Load().Shutdown - exitReserve)}
	r.plannedStop.Store(planned)
	r.stopping.Store(true)
	r.reaper.CloseAfterResponse()
	r.log.Info("entry stops", "active", r.forwarder.Active(), "streams", r.forwarder.Streams(), "deadline", planned.deadline)
	for {
		time.Sleep(stopCheckInterval)
		now := time.Now()
		if now.After(planned.deadline.Add(-closeLead)) ||
			now.After(planned.began.Add(forwarder.DeregistrationDelay)) && r.forwarder.Streams() == 0 {
			break
		}
	}
	shutdownCtx, cancel := context.WithDeadline(context.Background(), planned.deadline)
	defer cancel()
	err := r.reaper.Shutdown(shutdownCtx)
	if err != nil {
		r.log.Warn("requests aborted by the shutdown deadline", "active", r.forwarder.Active(), "error", err.Error())
		err = callers.Close()
	}
	r.log.Info("entry stopped")
	return err
}

func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("runner: listen at %s: %w", address, err)
	}
	return l, nil
}

// serve serves HTTP until ctx ends, and answers the requests that it has read by then.
func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	connections := reaper.New(reaper.NoLimits)
	attached := connections.Attach(s, l)
	served := make(chan error, 1)
	go func() { served <- s.Serve(attached) }()
	select {
	case err := <-served:
		return fmt.Errorf("runner: serve %s: %w", l.Addr(), err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), exitReserve/2)
	defer cancel()
	if err := connections.Shutdown(shutdownCtx); err != nil {
		return s.Close()
	}
	return nil
}
