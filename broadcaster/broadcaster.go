package broadcaster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/buffer"
	"github.com/siskinfront/siskinfront/identifier"
)

const (
	// MaxDatagramBytes bounds a datagram, so that it is not fragmented on the usual links.
	MaxDatagramBytes = 1400
	// ringSlots bounds the messages that wait to be sent; further ones are dropped and counted.
	ringSlots = 256
	// messageMemory bounds the messages that are remembered to drop repeats of them.
	messageMemory = 4096
	// maxReadBackoff bounds the pause after a failed read.
	maxReadBackoff = 100 * time.Millisecond
)

// repeatDelays returns the times after which a message is sent once more.
func repeatDelays() []time.Duration {
	return []time.Duration{150 * time.Millisecond, 500 * time.Millisecond}
}

// envelope is a message with what identifies it.
type envelope[T any] struct {
	From identifier.Instance `json:"from"`
	// Start is when the sender started, in Unix nanoseconds, and Number counts its messages since then.
	Start  int64  `json:"start"`
	Number uint64 `json:"number"`
	Body   T      `json:"body"`
}

// outgoing is an encoded message to some entries, or to all others if to is nil.
type outgoing struct {
	data []byte
	to   []netip.AddrPort
}

type messageID struct {
	from   identifier.Instance
	start  int64
	number uint64
}

// Broadcaster sends messages of type T to the other entries; it is safe for concurrent use.
type Broadcaster[T any] struct {
	// Receive is called with each message of another entry and its address; calls do not overlap.
	Receive func(from netip.AddrPort, body T)
	// ReceiveBytes is called with each datagram that begins with a byte below a space, which no JSON text does; calls do not overlap
	// those of Receive. It may not keep the bytes.
	ReceiveBytes func(from netip.AddrPort, data []byte)

	self   identifier.Instance
	start  int64
	log    *slog.Logger
	conn   atomic.Pointer[net.UDPConn]
	peers  atomic.Pointer[[]netip.AddrPort]
	queue  *buffer.Ring[outgoing]
	number atomic.Uint64

	mu   sync.Mutex
	seen map[messageID]struct{}
	// order holds the remembered messages, oldest first.
	order []messageID

	sent, received, repeated, dropped, invalid, failed atomic.Int64
}

// New returns a broadcaster of one entry; Receive must be set before Run.
func New[T any](self identifier.Instance, log *slog.Logger) *Broadcaster[T] {
	return &Broadcaster[T]{
		Receive: func(netip.AddrPort, T) {}, ReceiveBytes: func(netip.AddrPort, []byte) {}, self: self, start: time.Now().UnixNano(), log: log, queue: buffer.NewRing[outgoing](ringSlots),
		seen: map[messageID]struct{}{},
	}
}

// SetPeers replaces the addresses of the other entries.
func (b *Broadcaster[T]) SetPeers(peers []netip.AddrPort) {
	peers = slices.Clone(peers)
	b.peers.Store(&peers)
}

// Send sends a message to all other entries without waiting; if too many messages wait, it is dropped.
func (b *Broadcaster[T]) Send(body T) {
	b.enqueue(nil, body)
}

// SendToSome is Send to some of the other entries.
func (b *Broadcaster[T]) SendToSome(to []netip.AddrPort, body T) {
	if len(to) > 0 {
		b.enqueue(to, body)
	}
}

func (b *Broadcaster[T]) enqueue(to []netip.AddrPort, body T) {
	data := b.encode(body)
	if data != nil && b.queue.Offer(outgoing{data, to}) != nil {
		b.dropped.Add(1)
	}
}

// SendTo sends a message once to one entry.
func (b *Broadcaster[T]) SendTo(to netip.AddrPort, body T) {
	conn, data := b.conn.Load(), b.encode(body)
	if conn == nil || data == nil {
		return
	}
	b.write(conn, to, data)
}

// SendBytes sends a datagram once to some entries, or to all others if to is nil. It begins with a byte below a space.
func (b *Broadcaster[T]) SendBytes(to []netip.AddrPort, data []byte) {
	b.transmit(outgoing{data, to})
}

// encode returns a datagram with a message, or nil if that is not possible.
func (b *Broadcaster[T]) encode(body T) []byte {
	data, err := json.Marshal(envelope[T]{b.self, b.start, b.number.Add(1), body})
	if err != nil || len(data) > MaxDatagramBytes {
		b.invalid.Add(1)
		b.log.Error("message to the other entries cannot be sent", "bytes", len(data), "error", err)
		return nil
	}
	return data
}

// Run sends and receives on an address until ctx ends.
func (b *Broadcaster[T]) Run(ctx context.Context, address netip.AddrPort) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return fmt.Errorf("broadcaster: listen on %s: %w", address, err)
	}
	b.conn.Store(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var duties sync.WaitGroup
	defer duties.Wait()
	duties.Go(func() { b.sendQueued(ctx) })
	return b.receive(ctx, conn)
}

// sendQueued sends the messages in the queue, each at once and again after repeatDelays.
func (b *Broadcaster[T]) sendQueued(ctx context.Context) {
	for {
		m, err := b.queue.Take(ctx)
		if err != nil {
			return
		}
		b.transmit(m)
		for _, d := range repeatDelays() {
			time.AfterFunc(d, func() {
				if ctx.Err() == nil {
					b.transmit(m)
				}
			})
		}
	}
}

func (b *Broadcaster[T]) transmit(m outgoing) {
	conn, peers := b.conn.Load(), b.peers.Load()
	to := m.to
	if to == nil && peers != nil {
		to = *peers
	}
	if conn == nil {
		return
	}
	for _, p := range to {
		b.write(conn, p, m.data)
	}
}

func (b *Broadcaster[T]) write(conn *net.UDPConn, to netip.AddrPort, data []byte) {
	if _, err := conn.WriteToUDPAddrPort(data, to); err != nil {
		b.failed.Add(1)
		return
	}
	b.sent.Add(1)
}

func (b *Broadcaster[T]) receive(ctx context.Context, conn *net.UDPConn) error {
	data := make([]byte, MaxDatagramBytes+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(data)
		if ctx.Err() != nil {
			return nil //nolint:nilerr // The end of ctx closes the connection.
		}
		switch {
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("broadcaster: read: %w", err)
		case err != nil:
			// A peer without a listener causes such errors.
			b.failed.Add(1)
			time.Sleep(maxReadBackoff)
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if n > 0 && data[0] < ' ' {
			b.received.Add(1)
			b.ReceiveBytes(from, data[:n])
			continue
		}
		var e envelope[T]
		if n > MaxDatagramBytes || json.Unmarshal(data[:n], &e) != nil {
			b.invalid.Add(1)
			continue
		}
		if e.From == b.self || !b.isNew(messageID{e.From, e.Start, e.Number}) {
			b.repeated.Add(1)
			continue
		}
		b.received.Add(1)
		b.Receive(from, e.Body)
	}
}

// isNew reports whether a message has not been received before, and remembers it.
func (b *Broadcaster[T]) isNew(id messageID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.seen[id]; ok {
		return false
	}
	if len(b.order) == messageMemory {
		delete(b.seen, b.order[0])
		b.order = b.order[1:]
	}
	b.seen[id] = struct{}{}
	b.order = append(b.order, id)
	return true
}

// Counters returns the totals since the start; datagrams are counted for each receiver.
func (b *Broadcaster[T]) Counters() map[string]int64 {
	return map[string]int64{
		"datagrams-sent": b.sent.Load(), "datagrams-failed": b.failed.Load(), "messages-received": b.received.Load(),
		"repeats-dropped": b.repeated.Load(), "messages-dropped": b.dropped.Load(), "messages-invalid": b.invalid.Load(),
	}
}
