package responder

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"

	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/streamer"
)

// Reply is the response of a plain service, which is written only when it is complete.
type Reply struct {
	w    http.ResponseWriter
	head streamer.Reply
	body []byte
}

// NewReply returns a response that is written to w.
func NewReply(w http.ResponseWriter) *Reply {
	return &Reply{w: w}
}

// Started takes the status and the headers.
func (p *Reply) Started(f *streamer.Frame) error {
	if err := json.Unmarshal(f.Data, &p.head); err != nil {
		return fmt.Errorf("responder: decode reply: %w", err)
	}
	return nil
}

// Token takes a part of the body.
func (p *Reply) Token(f *streamer.Frame) error {
	var part []byte
	if err := json.Unmarshal(f.Data, &part); err != nil {
		return fmt.Errorf("responder: decode part of reply: %w", err)
	}
	p.body = append(p.body, part...)
	return nil
}

// Finish fails if the status is none of a response.
func (p *Reply) Finish(streamer.Usage) error {
	if p.head.Status < http.StatusOK || p.head.Status > 599 {
		return fmt.Errorf("responder: reply has status %d", p.head.Status)
	}
	return nil
}

// Send writes the response.
func (p *Reply) Send() error {
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

// Flush does nothing, because nothing is written before Send.
func (p *Reply) Flush() {}

// Begun returns false, because nothing is written before Send.
func (p *Reply) Begun() bool { return false }

// Reset drops the parts of a failed attempt.
func (p *Reply) Reset() {
	p.head, p.body = streamer.Reply{}, nil
}

// Fail does nothing, because nothing is written before Send.
func (p *Reply) Fail(*decoder.Error) {}

// Stored returns the complete response for storage.
func (p *Reply) Stored() StoredResponse {
	// A repeat carries the name of the request that ran.
	headers := map[string]string{decoder.HeaderRequestID: p.w.Header().Get(decoder.HeaderRequestID)}
	maps.Copy(headers, p.head.Headers)
	return StoredResponse{
		Status: p.head.Status, ContentType: p.head.Headers["Content-Type"], Headers: headers, Body: p.body,
	}
}
