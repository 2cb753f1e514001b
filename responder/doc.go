// Package responder turns the frames of a run into the response to the caller: an OpenAI chat completion, unary or streamed, or
// the reply of a plain service.
package responder
