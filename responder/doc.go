// Package responder converts the frames that an attempt receives into the response to the caller: an OpenAI chat completion,
// unary or streamed, or the reply of a plain service.
package responder
