package forwarder

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// parsePrompt sets the length of the prompt, that of its shared part and the hashes of the parts from the prefix header, which lists
// the parts, each as a name and a number of tokens. The last part belongs to the session or the request, and the one before it to
// the subject, which other requests share.
func (f *Forwarder) parsePrompt(q *request) {
	parts := strings.Split(q.header.Get(f.headers.Prefix), ",")
	for i, p := range parts {
		name, n, ok := strings.Cut(p, ":")
		isShared := i < len(parts)-1
		if isShared {
			q.sharedParts = append(q.sharedParts, xxhash.Sum64String(strings.TrimSpace(name)))
		}
		if !ok {
			continue
		}
		if tokens, err := strconv.Atoi(strings.TrimSpace(n)); err == nil {
			q.promptTokens += tokens
			if isShared {
				q.sharedTokens += tokens
			}
		}
	}
	if n := len(q.sharedParts); n > 0 {
		q.prefixHash = q.sharedParts[n-1]
	}
}

// loggedParts returns the hashes of the shared parts of the prompt for the log.
func (q *request) loggedParts() string {
	var b strings.Builder
	for i, p := range q.sharedParts[:min(len(q.sharedParts), maxLoggedParts)] {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.FormatUint(p, 16))
	}
	return b.String()
}
