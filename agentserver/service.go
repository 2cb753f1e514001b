package agentserver

import (
	"context"
	"encoding/json"
	"errors"
	"io"

	"github.com/siskinfront/siskinfront/streamer"
)

const (
	// maxServiceBodyBytes limits the response body of a plain service.
	maxServiceBodyBytes = 8 << 20
	// servicePartBytes limits the part of a response body that one frame carries.
	servicePartBytes = 64 << 10
)

// serviceExecutor runs an order at a plain service. The call is never preempted once it was sent.
type serviceExecutor struct {
	s *Server
	r *run
}

func (e *serviceExecutor) run(ctx context.Context) (streamer.Frame, error) {
	// A plain service cannot resume a call, so preemption of the slot does not interrupt it.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), e.r.order.Deadline)
	defer cancel()
	stop := context.AfterFunc(e.r.ctx, cancel)
	defer stop()
	call := e.r.order.Call
	resp, final, err := e.s.send(ctx, e.r, call.Method, call.Path, call.Headers, e.r.payload)
	if err != nil {
		return streamer.Frame{}, err
	}
	if final != nil {
		return *final, nil
	}
	defer resp.Body.Close()
	e.r.markResponded()
	e.s.addBill(e.r, &streamer.Usage{}, false)
	reply := streamer.ServiceReply{Status: resp.StatusCode, Headers: map[string]string{}}
	for _, name := range []string{"Content-Type", "Content-Language", "ETag", "Location", "Echo-Path"} {
		if v := resp.Header.Get(name); v != "" {
			reply.Headers[name] = v
		}
	}
	data, err := json.Marshal(reply)
	if err != nil {
		return failedFrame("upstream-malformed"), nil
	}
	if err := e.r.replay.Append(ctx, streamer.Frame{Kind: streamer.KindStarted, Data: data}); err != nil {
		return e.s.interruptedFrame(ctx, e.r), nil
	}
	return e.copyBody(ctx, resp.Body), nil
}

func failedFrame(code string) streamer.Frame {
	return streamer.Frame{Kind: streamer.KindFailed, Code: code, Outcome: streamer.OutcomeRun}
}

func (e *serviceExecutor) copyBody(ctx context.Context, body io.Reader) streamer.Frame {
	part := make([]byte, servicePartBytes)
	total := 0
	for {
		// Only io.EOF marks a complete body. io.ReadFull returns io.ErrUnexpectedEOF both for a short last part and for a
		// truncated body.
		n, err := body.Read(part)
		total += n
		if total > maxServiceBodyBytes {
			return failedFrame("upstream-body-too-large")
		}
		if n > 0 {
			data, encodeErr := json.Marshal(part[:n])
			if encodeErr != nil {
				return failedFrame("upstream-malformed")
			}
			if err := e.r.replay.Append(ctx, streamer.Frame{Kind: streamer.KindToken, Data: data}); err != nil {
				return e.s.interruptedFrame(ctx, e.r)
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			usage := &streamer.Usage{}
			e.s.addBill(e.r, usage, true)
			return streamer.Frame{Kind: streamer.KindDone, Usage: usage, Outcome: streamer.OutcomeRun}
		case ctx.Err() != nil:
			return e.s.interruptedFrame(ctx, e.r)
		default:
			return failedFrame("upstream-ended-early")
		}
	}
}
