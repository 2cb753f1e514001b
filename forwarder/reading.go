package forwarder

import (
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// Prompt is the prompt of one attempt.
type Prompt struct {
	// Attempt is the ID of the attempt.
	Attempt  uint64
	Upstream identifier.Upstream
	Model    string
	// Tokens is the number of tokens that the upstream is not expected to have cached.
	Tokens int
	SentAt time.Time
}

// announcePrompt calls OnPrompt with the prompt of an attempt, if its length is known.
func (c *call) announcePrompt() {
	f, q := c.f, c.q
	if f.OnPrompt == nil || q.promptTokens <= 0 {
		return
	}
	query := f.query(q)
	query.Prefix = f.affinityHash(q, q.attempts[c.index].model)
	c.prompt = Prompt{Attempt: c.info.ID, Upstream: c.name, Model: c.info.Model, Tokens: q.promptTokens, SentAt: c.beganAt}
	if f.balancer.IsPreferred(query, c.name) {
		c.prompt.Tokens -= q.sharedTokens
	}
	f.OnPrompt(c.prompt)
}

// observePromptRead calls OnPromptRead at the first event of an attempt.
func (c *call) observePromptRead() {
	if c.f.OnPromptRead != nil && c.prompt.Upstream != "" {
		c.f.OnPromptRead(c.prompt, c.f.Now().Sub(c.beganAt))
	}
	c.prompt = Prompt{}
}

// observePromptUnread calls OnPromptUnread at the end of an attempt without a first event.
func (c *call) observePromptUnread() {
	if c.f.OnPromptUnread != nil && c.prompt.Upstream != "" {
		c.f.OnPromptUnread(c.prompt)
	}
	c.prompt = Prompt{}
}
