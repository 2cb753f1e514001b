// Package decoder turns a caller's HTTP request into a typed request and errors into the OpenAI error object.
package decoder
