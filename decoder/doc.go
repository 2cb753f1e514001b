// Package decoder decodes callers' HTTP requests and encodes errors as the OpenAI error object.
package decoder
