package announcer

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPerSecond bounds the announcements of an entry in any second.
	maxPerSecond = 8
	// sentBytesPerSecond bounds what an entry sends, and so what it receives from others that keep to it: 3 KB/s in all.
	sentBytesPerSecond = 1500
	// packetBytes is the length of an announcement with the headers of IP and UDP.
	packetBytes = messageBytes + 28
	// maxPending bounds the prompts that wait to be announced.
	maxPending = 32
)

// Prompt is a long prompt that this entry has sent.
type Prompt struct {
	// ID tells the prompts of an entry apart for Remove.
	ID              uint64
	Upstream, Model uint64
	Tokens          int
	SentAt          time.Time
	// ReadAt is when the upstream is expected to have read it; from then on it is not announced any more.
	ReadAt time.Time
}

// Announcer announces long prompts as often as the bounds on the traffic allow, the longest first; it is safe for concurrent use.
type Announcer struct {
	now        func() time.Time
	send       func([]byte)
	numEntries func() int

	mu sync.Mutex
	// pending holds the prompts that wait, the longest first.
	pending []Prompt
	// sentAt holds the times of the last announcements, the oldest first.
	sentAt []time.Time

	sent, dropped atomic.Int64
}

// New returns an announcer that sends datagrams to all other entries, of which there are with this one as many as numEntries returns.
func New(now func() time.Time, send func([]byte), numEntries func() int) *Announcer {
	return &Announcer{now: now, send: send, numEntries: numEntries}
}

// Add adds a prompt that the next Flush announces if the bounds allow.
func (a *Announcer) Add(p Prompt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	i, _ := slices.BinarySearchFunc(a.pending, p, func(x, p Prompt) int { return cmp.Compare(p.Tokens, x.Tokens) })
	a.pending = slices.Insert(a.pending, i, p)
	if len(a.pending) > maxPending {
		a.pending = a.pending[:maxPending]
		a.dropped.Add(1)
	}
}

// Remove drops a prompt that still waits to be announced, since no upstream reads it any more.
func (a *Announcer) Remove(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := len(a.pending)
	a.pending = slices.DeleteFunc(a.pending, func(p Prompt) bool { return p.ID == id })
	a.dropped.Add(int64(before - len(a.pending)))
}

// Flush announces prompts while the bounds allow it; it is to be called some times in a second and after Add.
func (a *Announcer) Flush() {
	others := a.numEntries() - 1
	for {
		m, ok := a.next(others)
		if !ok {
			return
		}
		// The mutex is not held here: a datagram to each of some hundred entries takes long, and requests call Add.
		a.send(m.Encode())
		a.sent.Add(1)
	}
}

// next takes the longest prompt that waits, or returns false if there is none or the bounds do not allow another announcement.
func (a *Announcer) next(others int) (Announcement, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	before := len(a.pending)
	a.pending = slices.DeleteFunc(a.pending, func(p Prompt) bool { return !now.Before(p.ReadAt) })
	a.dropped.Add(int64(before - len(a.pending)))
	if others <= 0 {
		a.pending = nil
	}
	if len(a.pending) == 0 || !a.take(now, others) {
		return Announcement{}, false
	}
	p := a.pending[0]
	a.pending = slices.Delete(a.pending, 0, 1)
	return Announcement{Upstream: p.Upstream, Model: p.Model, Tokens: p.Tokens, Age: now.Sub(p.SentAt)}, true
}

// take reports whether an announcement may be sent now, and counts it. In any second there are at most maxPerSecond, or as many as the
// bound on the bytes allows; if that is less than one, the second is longer.
func (a *Announcer) take(now time.Time, others int) bool {
	rate := min(maxPerSecond, float64(sentBytesPerSecond)/float64(packetBytes*others))
	n := max(int(rate), 1)
	window := time.Duration(float64(n) / rate * float64(time.Second))
	a.sentAt = slices.DeleteFunc(a.sentAt, func(at time.Time) bool { return now.Sub(at) >= window })
	if len(a.sentAt) >= n {
		return false
	}
	a.sentAt = append(a.sentAt, now)
	return true
}

// Counters returns the totals since the start.
func (a *Announcer) Counters() map[string]int64 {
	return map[string]int64{"sent": a.sent.Load(), "dropped": a.dropped.Load()}
}
