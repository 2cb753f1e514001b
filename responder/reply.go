package responder

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"

	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/streamer"
)

// Reply is the response of a plain service; it is buffered and written once it is complete.
type Reply struct {
	w    http.ResponseWriter
	head streamer.ServiceReply
	body []byte
}

// NewReply returns a response that is written to w.
func NewReply(w http.ResponseWriter) *Reply {
	return &Reply{w: w}
}

// Started decodes the status and the headers.
func (r *Reply) Started(f *streamer.Frame) error {
	if err := json.Unmarshal(f.Data, &r.head); err != nil {
		return fmt.Errorf("responder: decode reply: %w", err)
	}
	return nil
}

// Token appends a part of the body.
func (r *Reply) Token(f *streamer.Frame) error {
	var part []byte
	if err := json.Unmarshal(f.Data, &part); err != nil {
		return fmt.Errorf("responder: decode part of reply: %w", err)
	}
	r.body = append(r.body, part...)
	return nil
}

// Finish fails if the status is not one of a final HTTP response, 200 to 599.
func (r *Reply) Finish(streamer.Usage) error {
	if r.head.Status < http.StatusOK || r.head.Status > 599 {
		return fmt.Errorf("responder: reply has status %d", r.head.Status)
	}
	return nil
}

// Send writes the response.
func (r *Reply) Send() error {
	for name, v := range r.head.Headers {
		r.w.Header().Set(name, v)
	}
	if r.head.Status >= http.StatusBadRequest {
		r.w.Header().Set(decoder.HeaderOutcome, string(streamer.OutcomeRun))
	}
	r.w.WriteHeader(r.head.Status)
	_, err := r.w.Write(r.body)
	return err
}

// Flush does nothing, because nothing is written before Send.
func (r *Reply) Flush() {}

// Begun returns false, because nothing is written before Send.
func (r *Reply) Begun() bool { return false }

// Reset discards what a failed attempt has produced.
func (r *Reply) Reset() {
	r.head, r.body = streamer.ServiceReply{}, nil
}

// Fail does nothing, because nothing is written before Send.
func (r *Reply) Fail(*decoder.Error) {}

// Stored returns the complete response for storage with the claim.
func (r *Reply) Stored() StoredResponse {
	// A repeated request gets the request ID of the request that ran.
	headers := map[string]string{decoder.HeaderRequestID: r.w.Header().Get(decoder.HeaderRequestID)}
	maps.Copy(headers, r.head.Headers)
	return StoredResponse{
		Status: r.head.Status, ContentType: r.head.Headers["Content-Type"], Headers: headers, Body: r.body,
	}
}
