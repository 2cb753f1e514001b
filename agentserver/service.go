package agentserver

import (
	"context"
	"encoding/json"
	"errors"
	"io"

	"github.com/siskinfront/siskinfront/streamer"
)

const (
	// maxServiceBody bounds the response of a plain service in bytes.
	maxServiceBody = 8 << 20
	// servicePart is the length of the part of a response that one frame carries, in bytes.
	servicePart = 64 << 10
)

// serviceAttempt runs an order at a plain service, which is never preempted once it has the call.
type serviceAttempt struct {
	s *Server
	r *run
}

func (a *serviceAttempt) run(ctx context.Context) (streamer.Frame, error) {
	// A plain service cannot resume, so the withdrawal of the slot does not interrupt it.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), a.r.order.Deadline)
	defer cancel()
	stop := context.AfterFunc(a.r.ctx, cancel)
	defer stop()
	call := a.r.order.Call
	resp, final, err := a.s.send(ctx, a.r, call.Method, call.Path, call.Headers, a.r.payload)
	if err != nil {
		return streamer.Frame{}, err
	}
	if final != nil {
		return *final, nil
	}
	defer resp.Body.Close()
	a.r.respond()
	a.s.addBill(a.r, &streamer.Usage{}, false)
	reply := streamer.Reply{Status: resp.StatusCode, Headers: map[string]string{}}
	for _, name := range []string{"Content-Type", "Content-Language", "ETag", "Location", "Echo-Path"} {
		if v := resp.Header.Get(name); v != "" {
			reply.Headers[name] = v
		}
	}
	data, err := json.Marshal(reply)
	if err != nil {
		return broken("upstream-malformed"), nil
	}
	if err := a.r.replay.Append(ctx, streamer.Frame{Kind: streamer.KindStarted, Data: data}); err != nil {
		return a.s.interrupted(ctx, a.r), nil
	}
	return a.copyBody(ctx, resp.Body), nil
}

func broken(code string) streamer.Frame {
	return streamer.Frame{Kind: streamer.KindFailed, Code: code, Outcome: streamer.OutcomeRun}
}

func (a *serviceAttempt) copyBody(ctx context.Context, body io.Reader) streamer.Frame {
	part := make([]byte, servicePart)
	total := 0
	for {
		// Only io.EOF ends a complete body; io.ReadFull would report a truncated one in the same way.
		n, err := body.Read(part)
		total += n
		if total > maxServiceBody {
			return broken("upstream-body-too-large")
		}
		if n > 0 {
			data, encodeErr := json.Marshal(part[:n])
			if encodeErr != nil {
				return broken("upstream-malformed")
			}
			if err := a.r.replay.Append(ctx, streamer.Frame{Kind: streamer.KindToken, Data: data}); err != nil {
				return a.s.interrupted(ctx, a.r)
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			usage := &streamer.Usage{}
			a.s.addBill(a.r, usage, true)
			return streamer.Frame{Kind: streamer.KindDone, Usage: usage, Outcome: streamer.OutcomeRun}
		case ctx.Err() != nil:
			return a.s.interrupted(ctx, a.r)
		default:
			return broken("upstream-ended-early")
		}
	}
}
