package runner

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/announcer"
	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/forwarder"
	"github.com/siskinfront/siskinfront/identifier"
)

// flushInterval is the time between two attempts to announce prompts that the bound on the traffic has held back.
const flushInterval = 100 * time.Millisecond

// prompts tells the balancer, and the other entries, which upstreams read long prompts.
type prompts struct {
	enabled   bool
	balancer  *balancer.Balancer
	sharing   *sharing
	announcer *announcer.Announcer
	speeds    announcer.Speeds
	now       func() time.Time
	// added receives a value when a prompt is to be announced.
	added chan struct{}

	mu sync.Mutex
	// readings holds the long prompts of this entry whose first event has not come, by attempt.
	readings map[uint64]balancer.Reading

	heard, ignored, invalid atomic.Int64
}

// sharePrompts lets the entries announce long prompts to each other, if the settings say so.
func (r *Runner) sharePrompts() {
	s := r.settings.Load()
	x := &prompts{
		enabled: s.SharedPrompts && s.EvenLoad && s.PeerAddress.IsValid(), balancer: r.balancer, sharing: r.sharing, now: time.Now,
		added: make(chan struct{}, 1), readings: make(map[uint64]balancer.Reading),
	}
	x.announcer = announcer.New(func() time.Time { return x.now() }, x.send, r.sharing.numEntries)
	r.prompts = x
	r.meter.Register("prompts", x.Counters)
	if !x.enabled {
		return
	}
	r.forwarder.OnPrompt, r.forwarder.OnPromptRead, r.forwarder.OnPromptUnread = x.sent, x.read, x.unread
	others := r.sharing.broadcaster.ReceiveBytes
	r.sharing.broadcaster.ReceiveBytes = func(from netip.AddrPort, data []byte) {
		if announcer.IsAnnouncement(data) {
			x.receive(from, data)
			return
		}
		others(from, data)
	}
}

func (x *prompts) send(data []byte) {
	x.sharing.broadcaster.SendBytes(nil, data)
}

// sent records a prompt that this entry has sent, and announces it if it is long.
func (x *prompts) sent(p forwarder.Prompt) {
	if p.Tokens <= 0 || p.Tokens > announcer.MaxTokens {
		return
	}
	model := announcer.Hash(p.Model)
	d, ok := x.readingTime(p.Upstream, model, p.Tokens)
	if !ok || d < balancer.MinReading {
		return
	}
	if own, ok := x.balancer.AddOwnReading(p.Upstream, p.SentAt, d); ok {
		x.mu.Lock()
		x.readings[p.Attempt] = own
		x.mu.Unlock()
	}
	x.announcer.Add(announcer.Prompt{
		ID: p.Attempt, Upstream: announcer.Hash(string(p.Upstream)), Model: model, Tokens: p.Tokens, SentAt: p.SentAt, ReadAt: p.SentAt.Add(d),
	})
	select {
	case x.added <- struct{}{}:
	default:
	}
}

// readingTime returns the time that an upstream takes to read tokens of a prompt, or false if it is not known.
func (x *prompts) readingTime(u identifier.Upstream, model uint64, tokens int) (time.Duration, bool) {
	return x.speeds.Time(model, float64(tokens), x.balancer.Slowdown(u))
}

// read records that the first event of a request has come a time after the request was sent.
func (x *prompts) read(p forwarder.Prompt, took time.Duration) {
	x.speeds.Observe(announcer.Hash(p.Model), float64(p.Tokens), x.balancer.Slowdown(p.Upstream), took)
	x.takeReading(p)
	x.balancer.EndReading(p.Upstream, p.SentAt)
}

// unread records that the attempt of a prompt has ended without an event, so that its upstream does not read it any more, or never has.
// The other entries do not learn of it if the prompt has been announced.
func (x *prompts) unread(p forwarder.Prompt) {
	x.announcer.Remove(p.Attempt)
	x.balancer.EndUnread(x.takeReading(p))
}

// takeReading removes and returns what the balancer counts for a prompt of this entry, if anything.
func (x *prompts) takeReading(p forwarder.Prompt) balancer.Reading {
	x.mu.Lock()
	defer x.mu.Unlock()
	own := x.readings[p.Attempt]
	delete(x.readings, p.Attempt)
	return own
}

// receive handles an announcement of another entry.
func (x *prompts) receive(from netip.AddrPort, data []byte) {
	a, err := announcer.Decode(data)
	if err != nil {
		x.invalid.Add(1)
		return
	}
	if !slices.Contains(x.sharing.peerAddresses(), from) {
		x.ignored.Add(1)
		return
	}
	u, ok := x.balancer.UpstreamByHash(a.Upstream)
	if !ok {
		x.ignored.Add(1)
		return
	}
	d, ok := x.readingTime(u, a.Model, a.Tokens)
	if !ok || d < balancer.MinReading || !x.balancer.AddReading(u, x.now().Add(-a.Age), d) {
		x.ignored.Add(1)
		return
	}
	x.heard.Add(1)
}

// run sends announcements until ctx ends, so that requests do not wait for datagrams to many entries.
func (x *prompts) run(ctx context.Context) error {
	if !x.enabled {
		return nil
	}
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-x.added:
		}
		x.announcer.Flush()
	}
}

// Counters returns the totals since the start.
func (x *prompts) Counters() map[string]int64 {
	m := x.announcer.Counters()
	m["heard"], m["ignored"], m["invalid"] = x.heard.Load(), x.ignored.Load(), x.invalid.Load()
	return m
}
