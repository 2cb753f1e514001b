package announcer_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/announcer"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against a datagram that another version or a stranger may send and that stops an entry, or is taken with a value out of range,
// and against an announcement that changes on its way or has 64 bytes and more.
func TestGeneratedDatagrams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		valid := announcer.Announcement{
			Upstream: rapid.Uint64().Draw(t, "upstream"), Model: rapid.Uint64().Draw(t, "model"),
			Tokens: rapid.IntRange(1, announcer.MaxTokens).Draw(t, "tokens"), Age: time.Duration(rapid.IntRange(0, 65535).Draw(t, "age")) * time.Millisecond,
		}
		b := valid.Encode()
		if got, err := announcer.Decode(b); err != nil || got != valid || !announcer.IsAnnouncement(b) || len(b) >= 64 {
			t.Fatalf("decoded %+v of %+v, %v", got, valid, err)
		}
		b = rapid.OneOf(rapid.SliceOfN(rapid.Byte(), 0, 80), rapid.Custom(func(t *rapid.T) []byte {
			x := append([]byte(nil), b...)
			x[rapid.IntRange(0, len(x)-1).Draw(t, "index")] = rapid.Byte().Draw(t, "value")
			return x[:rapid.IntRange(0, len(x)).Draw(t, "length")]
		})).Draw(t, "datagram")
		if a, err := announcer.Decode(b); err == nil && (a.Tokens < 1 || a.Tokens > announcer.MaxTokens || a.Age < 0 || a.Age > 66*time.Second || len(b) != 23) {
			t.Fatalf("datagram %x was taken as %+v", b, a)
		}
	})
	for _, a := range []announcer.Announcement{{Tokens: -1}, {Tokens: 1 << 40, Age: -time.Hour}, {Tokens: 1, Age: 1 << 62}} {
		got, err := announcer.Decode(a.Encode())
		must.EqOp(t, a.Tokens > 0, err == nil)
		must.LessEq(t, announcer.MaxTokens, got.Tokens)
	}
	for _, b := range [][]byte{nil, {}, {16}, []byte("null"), make([]byte, 23), make([]byte, 1400)} {
		_, err := announcer.Decode(b)
		must.ErrorIs(t, err, announcer.ErrInvalid)
	}
}

// Guards against more than 8 announcements in any second, more than 1.5 KB/s sent or received with the headers of packets, shorter
// prompts that go before longer ones, and prompts that are announced after they were read.
func TestTrafficIsBounded(t *testing.T) {
	for _, entries := range []int{1, 2, 4, 30, 330} {
		rng, now := rand.New(rand.NewPCG(1, uint64(entries))), start
		var sentAt []time.Time
		var waiting []announcer.Prompt
		bytes := 0
		a := announcer.New(func() time.Time { return now }, func(b []byte) {
			m, err := announcer.Decode(b)
			must.NoError(t, err)
			sentAt, bytes = append(sentAt, now), bytes+(len(b)+28)*(entries-1)
			waiting = slices.DeleteFunc(waiting, func(p announcer.Prompt) bool { return !now.Before(p.ReadAt) })
			must.SliceNotEmpty(t, waiting)
			i := 0
			for j, p := range waiting {
				if p.Tokens > waiting[i].Tokens {
					i = j
				}
			}
			must.EqOp(t, waiting[i].Tokens, m.Tokens)
			waiting = slices.Delete(waiting, i, i+1)
		}, func() int { return entries })
		const seconds = 100
		for i := range seconds * 100 {
			now = start.Add(time.Duration(i) * 10 * time.Millisecond)
			if i%10 == 0 {
				a.Flush()
			}
			if rng.IntN(6) == 0 {
				// At most 32 wait, as each is read within a second.
				p := announcer.Prompt{Tokens: 1 + rng.IntN(70_000), SentAt: now, ReadAt: now.Add(time.Duration(1+rng.IntN(1000)) * time.Millisecond)}
				waiting = append(waiting, p)
				a.Add(p)
				a.Flush()
			}
		}
		for i := range sentAt {
			if i >= 8 {
				must.GreaterEq(t, time.Second, sentAt[i].Sub(sentAt[i-8]))
			}
		}
		t.Logf("%d entries: %d announcements, %d bytes/s", entries, len(sentAt), bytes/seconds)
		must.LessEq(t, 1500*(seconds+1)/seconds+(23+28)*(entries-1)/seconds, bytes/seconds)
		if entries == 1 {
			must.SliceEmpty(t, sentAt)
		} else {
			must.GreaterEq(t, min(1000, 300*(entries-1)), bytes/seconds)
		}
	}
}

// Guards against a speed of reading that is wrong by more than a third although prompts wait behind others, that is taken from few or
// contradictory samples, or that mixes models.
func TestSpeedOfReadingIsLearned(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var s announcer.Speeds
	_, known := s.Time(1, 30_000, 1)
	must.False(t, known)
	play := func(model uint64, perSecond float64, n int) {
		for range n {
			tokens := float64(200 + rng.IntN(3000))
			if rng.IntN(100) == 0 {
				tokens = float64(10_000 + rng.IntN(40_000))
			}
			wait, slowdown := 0.02, 0.8+0.4*rng.Float64()
			if rng.IntN(3) == 0 {
				wait += 0.3 * rng.ExpFloat64() // another prompt is read
			}
			s.Observe(model, tokens, slowdown, time.Duration((wait+tokens*slowdown/perSecond)*float64(time.Second)))
		}
	}
	play(1, 90_000, 10)
	_, known = s.Time(1, 30_000, 1)
	must.False(t, known)
	play(1, 90_000, 3000)
	play(2, 30_000, 3000)
	for model, want := range map[uint64]float64{1: 0.5, 2: 1.5} {
		d, known := s.Time(model, 45_000, 1)
		must.True(t, known)
		must.Between(t, want*2/3, d.Seconds(), want*4/3)
		slow, _ := s.Time(model, 45_000, 2)
		must.Between(t, 1.99*d.Seconds(), slow.Seconds(), 2.01*d.Seconds())
	}
	// With times that do not depend on the length, the slope of few samples is positive for every other model.
	knownModels := 0
	for model := uint64(10); model < 50; model++ {
		for range 25 {
			s.Observe(model, float64(200+rng.IntN(50_000)), 1, time.Duration(rng.IntN(int(time.Second))))
		}
		if _, known := s.Time(model, 45_000, 1); known {
			knownModels++
		}
	}
	must.LessEq(t, 8, knownModels)
}

// Guards against requests that wait until an announcement is sent to all other entries.
func TestAddDoesNotWaitForDatagrams(t *testing.T) {
	sending, release := make(chan struct{}), make(chan struct{})
	a := announcer.New(time.Now, func([]byte) {
		sending <- struct{}{}
		<-release
	}, func() int { return 330 })
	p := announcer.Prompt{Tokens: 5, SentAt: time.Now(), ReadAt: time.Now().Add(time.Hour)}
	a.Add(p)
	go a.Flush()
	<-sending
	added := make(chan struct{})
	go func() {
		a.Add(p)
		close(added)
	}()
	select {
	case <-added:
	case <-time.After(5 * time.Second):
		t.Error("Add waits for a datagram")
	}
	close(release)
	<-added
}
