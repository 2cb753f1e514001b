package runner

import (
	"bytes"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/announcer"
	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/follower"
	"github.com/siskinfront/siskinfront/forwarder"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/pacer"
	"github.com/siskinfront/siskinfront/registrar"
	"github.com/siskinfront/siskinfront/streamer"
)

var peerAddress = netip.MustParseAddrPort("127.0.0.2:7340")

// newPromptRunner returns an entry that knows one other one and, if the settings allow it, the speed of reading of a model: 90,000
// tokens per second.
func newPromptRunner(change func(*Settings)) *Runner {
	s := DefaultSettings()
	s.Instance, s.PeerAddress, s.EvenLoad, s.SharedPrompts = "e1", netip.MustParseAddrPort("127.0.0.1:7340"), true, true
	change(&s)
	noCounters := func() map[string]int64 { return nil }
	r := New(s, Platform{FollowOperator: func(func() pacer.Pace, *slog.Logger, OperatorEvents) Follower {
		return Follower{Counters: noCounters}
	}, Counters: noCounters, Upstreams: follower.Source[registrar.Change]{}}, slog.New(slog.DiscardHandler))
	r.sharing.entries["e2"] = entryRecord{address: peerAddress}
	r.sharing.updatePeers()
	var list []balancer.Upstream
	for i := range 8 {
		list = append(list, balancer.Upstream{Name: identifier.Upstream(fmt.Sprintf("u%d/1", i)), Service: "s", Slots: 64})
	}
	r.balancer.Update(list)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		tokens := 500 + rng.IntN(50_000)
		r.prompts.read(forwarder.Prompt{Model: "m", Tokens: tokens}, time.Duration(float64(tokens)/90_000*float64(time.Second)))
	}
	return r
}

// choices returns how many of 400 requests go to the first upstream, with 4 to 7 others in flight at each.
func (x *prompts) choices(t testing.TB) int {
	n, rng := 0, rand.New(rand.NewPCG(5, 6))
	for range 400 {
		for _, i := range rng.Perm(8) {
			x.balancer.Report(identifier.Upstream(fmt.Sprintf("u%d/1", i)), streamer.Load{At: time.Now(), Running: 4 + rng.IntN(4)})
		}
		u, err := x.balancer.Choose(balancer.Query{Service: "s"})
		must.NoError(t, err)
		if u.Name == "u0/1" {
			n++
		}
	}
	return n
}

// Guards against requests that are sent to an upstream while it reads a long prompt of another entry or of this one, against an upstream
// that is avoided after that, and against short prompts or prompts of other models that have an effect.
func TestRequestsAvoidLongPrompts(t *testing.T) {
	var datagrams [][]byte
	sender, receiver := newPromptRunner(func(*Settings) {}).prompts, newPromptRunner(func(*Settings) {}).prompts
	sender.announcer = announcer.New(time.Now, func(b []byte) { datagrams = append(datagrams, b) }, func() int { return 2 })
	usual := receiver.choices(t)
	must.Positive(t, usual)
	sentAt := time.Now()
	sender.sent(forwarder.Prompt{Upstream: "u0/1", Model: "m", Tokens: 5000, SentAt: sentAt})
	sender.sent(forwarder.Prompt{Upstream: "u0/1", Model: "other", Tokens: 70_000, SentAt: sentAt})
	sender.announcer.Flush()
	must.SliceEmpty(t, datagrams)
	sender.sent(forwarder.Prompt{Upstream: "u0/1", Model: "m", Tokens: 400_000, SentAt: sentAt})
	sender.announcer.Flush()
	must.SliceLen(t, 1, datagrams)
	must.EqOp(t, 0, sender.choices(t))
	must.Positive(t, receiver.choices(t))
	receiver.receive(peerAddress, datagrams[0])
	must.EqOp(t, 0, receiver.choices(t))
	receiver.read(forwarder.Prompt{Upstream: "u0/1", Model: "m", Tokens: 100, SentAt: sentAt.Add(-time.Second)}, time.Second)
	must.EqOp(t, 0, receiver.choices(t))
	receiver.read(forwarder.Prompt{Upstream: "u0/1", Model: "m", Tokens: 100, SentAt: time.Now()}, 10*time.Millisecond)
	must.Positive(t, receiver.choices(t))
	must.EqOp(t, 1, receiver.Counters()["heard"])
	must.EqOp(t, 1, sender.Counters()["sent"])
}

// Guards against prompts that are announced, or announcements that are heard, without one of the settings.
func TestSharedPromptsNeedSettings(t *testing.T) {
	must.False(t, DefaultSettings().SharedPrompts)
	for name, x := range map[string]struct {
		change func(*Settings)
		want   bool
	}{
		"all":                  {func(*Settings) {}, true},
		"without peer address": {func(s *Settings) { s.PeerAddress = netip.AddrPort{} }, false},
		"without even load":    {func(s *Settings) { s.EvenLoad = false }, false},
		"without the setting":  {func(s *Settings) { s.SharedPrompts = false }, false},
	} {
		r := newPromptRunner(x.change)
		must.EqOp(t, x.want, r.forwarder.OnPrompt != nil, must.Sprint(name))
		must.EqOp(t, x.want, r.forwarder.OnPromptRead != nil, must.Sprint(name))
		a := announcer.Announcement{Upstream: announcer.Hash("u0/1"), Model: announcer.Hash("m"), Tokens: 70_000}
		r.sharing.broadcaster.ReceiveBytes(peerAddress, a.Encode())
		must.EqOp(t, x.want, r.prompts.Counters()["heard"] == 1, must.Sprint(name))
	}
}

// Guards against datagrams of addresses that are no entries, about unknown upstreams, with a length or value out of range or in another
// format, that have an effect or stop the entry, and against a claim that is no longer passed on to the part that awaits it.
func TestInvalidAnnouncements(t *testing.T) {
	r := newPromptRunner(func(s *Settings) { s.SharedConfirmations = true })
	x := r.prompts
	expected := func() string { return fmt.Sprint(r.balancer.State().(balancer.State).Upstreams[0].ExpectedTime) }
	before := expected()
	valid := announcer.Announcement{Upstream: announcer.Hash("u0/1"), Model: announcer.Hash("m"), Tokens: 70_000}
	unknown, old := valid, valid
	unknown.Upstream++
	old.Age = 60 * time.Second
	x.receive(netip.MustParseAddrPort("127.0.0.3:7340"), valid.Encode())
	x.receive(peerAddress, unknown.Encode())
	x.receive(peerAddress, old.Encode())
	must.EqOp(t, 3, x.Counters()["ignored"])
	rapid.Check(t, func(t *rapid.T) {
		data := append([]byte{16}, rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(t, "datagram")...)
		r.sharing.broadcaster.ReceiveBytes(peerAddress, data)
	})
	must.EqOp(t, before, expected())
	must.Positive(t, x.Counters()["invalid"])
	must.EqOp(t, 0, x.Counters()["heard"])
	x.receive(peerAddress, valid.Encode())
	must.EqOp(t, 1, x.Counters()["heard"])
}

// Guards against a changed setting that an operator takes to be in force although it is read at the start only.
func TestChangeOfSharedPromptsNeedsRestart(t *testing.T) {
	for _, change := range []bool{false, true} {
		r := newPromptRunner(func(*Settings) {})
		var lines bytes.Buffer
		r.log = slog.New(slog.NewJSONHandler(&lines, nil))
		s := *r.settings.Load()
		s.SharedPrompts = s.SharedPrompts != change
		r.applySettings(&s, "test")
		must.StrContains(t, lines.String(), fmt.Sprintf(`"needs-restart":%v`, change))
	}
}

// Guards against callers that state prompts of absurd lengths, and so have an effect on the choice, on what the other entries hear or on the
// speed of reading.
func TestAbsurdPromptsHaveNoEffect(t *testing.T) {
	x := newPromptRunner(func(*Settings) {}).prompts
	x.announcer = announcer.New(time.Now, func([]byte) { t.Error("an absurd prompt is announced") }, func() int { return 2 })
	expected := func() string { return fmt.Sprint(x.balancer.State().(balancer.State).Upstreams[0].ExpectedTime) }
	idle := expected()
	before, known := x.readingTime("u0/1", announcer.Hash("m"), 45_000)
	must.True(t, known)
	must.Between(t, 490*time.Millisecond, before, 510*time.Millisecond)
	for _, tokens := range []int{0, -1, math.MinInt, announcer.MaxTokens + 1, math.MaxInt} {
		p := forwarder.Prompt{Upstream: "u0/1", Model: "m", Tokens: tokens, SentAt: time.Now()}
		x.sent(p)
		x.read(p, time.Second)
	}
	x.announcer.Flush()
	must.EqOp(t, idle, expected())
	after, _ := x.readingTime("u0/1", announcer.Hash("m"), 45_000)
	must.EqOp(t, before, after)
}

// Guards against an upstream that counts as reading, here or at the other entries, after an attempt there that ended without an event.
func TestUnreadPromptsAreGivenBack(t *testing.T) {
	x := newPromptRunner(func(*Settings) {}).prompts
	datagrams := 0
	x.announcer = announcer.New(time.Now, func([]byte) { datagrams++ }, func() int { return 2 })
	usual := x.choices(t)
	must.Positive(t, usual)
	p := forwarder.Prompt{Attempt: 1, Upstream: "u0/1", Model: "m", Tokens: 400_000, SentAt: time.Now()}
	x.sent(p)
	must.EqOp(t, 0, x.choices(t))
	x.unread(p)
	must.Positive(t, x.choices(t))
	other := p
	other.Attempt = 2
	x.sent(other)
	x.unread(p)
	must.EqOp(t, 0, x.choices(t))
	x.announcer.Flush()
	must.EqOp(t, 1, datagrams)
	x.read(other, time.Second)
	must.MapEmpty(t, x.readings)
}

// Guards against strangers whose datagrams are looked up among the upstreams.
func TestStrangersAreRefusedFirst(t *testing.T) {
	x := newPromptRunner(func(*Settings) {}).prompts
	x.balancer = nil // a lookup would stop the test
	a := announcer.Announcement{Upstream: announcer.Hash("u0/1"), Model: announcer.Hash("m"), Tokens: 70_000}
	x.receive(netip.MustParseAddrPort("127.0.0.3:7340"), a.Encode())
	must.EqOp(t, 1, x.Counters()["ignored"])
}
