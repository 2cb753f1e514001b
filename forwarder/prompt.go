package forwarder

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/quarantiner"
)

const (
	// maxLoggedParts bounds the parts of a prompt in a log line.
	maxLoggedParts = 8
	// maxPromptParts bounds the parts of a prompt that are watched for crashes.
	maxPromptParts = 256
)

// parsePrompt sets the length of the prompt, that of its shared part and the shared parts from the prefix header, which lists the
// parts, each as a name and a number of tokens. The last part belongs to the session or the request, and the one before it to the
// subject, which other requests share.
func (f *Forwarder) parsePrompt(q *request) {
	parts := strings.Split(q.header.Get(f.headers.Prefix), ",")
	for i, p := range parts {
		name, n, ok := strings.Cut(p, ":")
		isShared := i < len(parts)-1
		if name = strings.TrimSpace(name); isShared && name != "" && len(q.sharedParts) < maxPromptParts {
			q.sharedParts = append(q.sharedParts, quarantiner.NewPart(q.service, name))
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
	if len(parts) > 1 {
		name, _, _ := strings.Cut(parts[len(parts)-2], ":")
		q.prefixHash = xxhash.Sum64String(strings.TrimSpace(name))
	}
}

// loggedParts returns the shared parts of the prompt for the log.
func (q *request) loggedParts() string {
	var b strings.Builder
	for i, p := range q.sharedParts[:min(len(q.sharedParts), maxLoggedParts)] {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(p.String())
	}
	return b.String()
}
