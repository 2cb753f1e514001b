package broadcaster_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/siskinfront/siskinfront/broadcaster"
	"github.com/siskinfront/siskinfront/identifier"
)

// entry is a running broadcaster and the messages that it has received.
type entry struct {
	*broadcaster.Broadcaster[string]
	address netip.AddrPort

	mu       sync.Mutex
	received []string
}

func (e *entry) messages() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.received...)
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	return netip.MustParseAddrPort(c.LocalAddr().String())
}

func start(t *testing.T, name identifier.Instance) *entry {
	t.Helper()
	return startAt(t, name, freeAddress(t))
}

// startAt starts a broadcaster and waits until it listens.
func startAt(t *testing.T, name identifier.Instance, address netip.AddrPort) *entry {
	t.Helper()
	e := &entry{Broadcaster: broadcaster.New[string](name, slog.New(slog.DiscardHandler)), address: address}
	e.Receive = func(from netip.AddrPort, m string) {
		must.True(t, from.IsValid())
		e.mu.Lock()
		defer e.mu.Unlock()
		e.received = append(e.received, m)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx, e.address) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	c, err := net.Dial("udp4", e.address.String())
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	must.Wait(t, wait.InitialSuccess(wait.Timeout(5*time.Second), wait.Gap(time.Millisecond), wait.BoolFunc(func() bool {
		_, _ = c.Write([]byte("no message"))
		return e.Counters()["messages-invalid"] > 0
	})))
	return e
}

// Guards against messages that are lost because a receiver listens a moment later.
func TestReceiverStartsLate(t *testing.T) {
	a, late := start(t, "a"), freeAddress(t)
	a.SetPeers([]netip.AddrPort{late})
	a.Send("message")
	time.Sleep(50 * time.Millisecond)
	b := startAt(t, "b", late)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(2*time.Second), wait.BoolFunc(func() bool { return len(b.messages()) == 1 })))
}

// Guards against repeats that are received as new messages.
func TestMessagesArriveOnce(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	late := freeAddress(t)
	a.SetPeers([]netip.AddrPort{b.address, late, a.address})
	a.Send("first")
	a.Send("second")
	must.Wait(t, wait.InitialSuccess(wait.Timeout(2*time.Second), wait.BoolFunc(func() bool { return len(b.messages()) == 2 })))
	time.Sleep(700 * time.Millisecond)
	must.SliceContainsAll(t, []string{"first", "second"}, b.messages())
	must.EqOp(t, 4, b.Counters()["repeats-dropped"])
	must.SliceEmpty(t, a.messages())

	// A message to one entry is sent once.
	a.SendTo(b.address, "alone")
	must.Wait(t, wait.InitialSuccess(wait.Timeout(2*time.Second), wait.BoolFunc(func() bool { return len(b.messages()) == 3 })))

	// A message to some entries reaches only them.
	c := start(t, "c")
	a.SetPeers([]netip.AddrPort{b.address, c.address})
	a.SendToSome([]netip.AddrPort{c.address}, "some")
	a.SendToSome(nil, "none")
	must.Wait(t, wait.InitialSuccess(wait.Timeout(2*time.Second), wait.BoolFunc(func() bool { return len(c.messages()) == 1 })))
	must.Eq(t, []string{"some"}, c.messages())
	must.SliceLen(t, 3, b.messages())

	// A restart under the same name begins its numbers anew.
	again := start(t, "a")
	again.SetPeers([]netip.AddrPort{b.address})
	again.Send("third")
	must.Wait(t, wait.InitialSuccess(wait.Timeout(2*time.Second), wait.BoolFunc(func() bool { return len(b.messages()) == 4 })))
}

// Guards against an entry that stops receiving, or grows, because of datagrams that are no messages.
func TestInvalidDatagrams(t *testing.T) {
	b := start(t, "b")
	c, err := net.Dial("udp4", b.address.String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.Wait(t, wait.InitialSuccess(wait.Timeout(2*time.Second), wait.Gap(20*time.Millisecond), wait.BoolFunc(func() bool {
		for _, x := range []string{"", "no message", `{"from":3}`, strings.Repeat("x", 20000)} {
			_, _ = c.Write([]byte(x))
		}
		return b.Counters()["messages-invalid"] >= 3
	})))
	a := start(t, "a")
	a.SetPeers([]netip.AddrPort{b.address})
	a.Send("message")
	must.Wait(t, wait.InitialSuccess(wait.Timeout(2*time.Second), wait.BoolFunc(func() bool { return len(b.messages()) == 1 })))
	time.Sleep(50 * time.Millisecond)
	before := a.Counters()["messages-invalid"]
	a.Send(strings.Repeat("x", 2000))
	must.EqOp(t, before+1, a.Counters()["messages-invalid"])
}
