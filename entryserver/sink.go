package entryserver

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"

	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/streamer"
)

// sink turns the frames of an attempt into the response to the caller.
type sink interface {
	started(f *streamer.Frame) error
	token(f *streamer.Frame) error
	// flush sends the written parts to the caller; it is called before each wait for a frame.
	flush()
	// finish makes the response complete; send writes what is not written yet.
	finish(u streamer.Usage) error
	send() error
	// begun reports whether the caller has received a part; reset drops the parts of a failed attempt before that.
	begun() bool
	reset()
	// fail ends a begun response with an error event.
	fail(e *decoder.Error)
	// result is the complete response for storage.
	result() Result
}

// reply is the response of a plain service, which is written only when it is complete.
type reply struct {
	w    http.ResponseWriter
	head streamer.Reply
	body []byte
}

func newReply(w http.ResponseWriter) *reply {
	return &reply{w: w}
}

func (p *reply) started(f *streamer.Frame) error {
	if err := json.Unmarshal(f.Data, &p.head); err != nil {
		return fmt.Errorf("entryserver: decode reply: %w", err)
	}
	return nil
}

func (p *reply) token(f *streamer.Frame) error {
	var part []byte
	if err := json.Unmarshal(f.Data, &part); err != nil {
		return fmt.Errorf("entryserver: decode part of reply: %w", err)
	}
	p.body = append(p.body, part...)
	return nil
}

func (p *reply) finish(streamer.Usage) error {
	if p.head.Status < http.StatusOK || p.head.Status > 599 {
		return fmt.Errorf("entryserver: reply has status %d", p.head.Status)
	}
	return nil
}

func (p *reply) send() error {
	for name, v := range p.head.Headers {
		p.w.Header().Set(name, v)
	}
	if p.head.Status >= http.StatusBadRequest {
		p.w.Header().Set(decoder.HeaderOutcome, string(streamer.OutcomeRun))
	}
	p.w.WriteHeader(p.head.Status)
	_, err := p.w.Write(p.body)
	return err
}

func (p *reply) flush() {}

func (p *reply) begun() bool { return false }

func (p *reply) reset() {
	p.head, p.body = streamer.Reply{}, nil
}

func (p *reply) fail(*decoder.Error) {}

func (p *reply) result() Result {
	// A repeat carries the name of the request that ran.
	headers := map[string]string{decoder.HeaderRequestID: p.w.Header().Get(decoder.HeaderRequestID)}
	maps.Copy(headers, p.head.Headers)
	return Result{
		Status: p.head.Status, ContentType: p.head.Headers["Content-Type"], Headers: headers, Body: p.body,
	}
}
