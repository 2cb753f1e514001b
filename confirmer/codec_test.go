package confirmer_test

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/confirmer"
)

// Guards against a message that is read as another one, or whose bytes exceed what a datagram may have.
func TestMessagesAreReadAsSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := rapid.Map(rapid.Int64Range(0, int64(100*365*24*time.Hour)), func(n int64) time.Duration { return time.Duration(n) })
		stamp := func(name string) confirmer.Stamp {
			return confirmer.Stamp{Start: rapid.Uint64().Draw(t, name), Sent: age.Draw(t, name)}
		}
		m := confirmer.Message{Kind: confirmer.Kind(rapid.IntRange(1, 3).Draw(t, "kind")), Stamp: stamp("stamp")}
		switch m.Kind {
		case confirmer.KindClaim:
			lowest := rapid.Uint64().Draw(t, "lowest")
			m.Claim = confirmer.Claim{
				Table: confirmer.TableID(rapid.Byte().Draw(t, "table")), Round: rapid.Uint32().Draw(t, "round"), Era: rapid.Uint64().Draw(t, "era"),
				Lowest: lowest, Highest: rapid.Uint64Range(lowest, math.MaxUint64).Draw(t, "highest"), Age: age.Draw(t, "age"),
			}
		case confirmer.KindAnswer:
			m.Echo = stamp("echo")
		case confirmer.KindQuestion:
		}
		data := m.Encode()
		must.LessEq(t, confirmer.MaxBytes, len(data))
		must.Less(t, ' ', rune(data[0]))
		got, err := confirmer.Decode(data)
		must.NoError(t, err)
		must.Eq(t, m, got)
	})
}

// Guards against datagrams that are no messages and end the process, or that state times out of range.
func TestInvalidDatagrams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 120).Draw(t, "data")
		if len(data) > 0 && rapid.Bool().Draw(t, "kind") {
			data[0] = rapid.ByteRange(0, 4).Draw(t, "kind")
		}
		m, err := confirmer.Decode(data)
		if err == nil {
			must.True(t, m.Claim.Age >= 0 && m.Stamp.Sent >= 0 && m.Echo.Sent >= 0 && m.Claim.Lowest <= m.Claim.Highest)
			must.Eq(t, data, m.Encode())
		}
	})
	valid := (&confirmer.Message{Kind: confirmer.KindClaim, Claim: confirmer.Claim{Lowest: 3, Highest: 3, Age: time.Second}}).Encode()
	for name, data := range map[string][]byte{
		"nothing": nil, "kind alone": {1}, "text": []byte(`{"from":"e1"}`), "too short": valid[:len(valid)-1], "too long": append(bytes.Clone(valid), 0),
		"last change before the first": (&confirmer.Message{Kind: confirmer.KindClaim, Claim: confirmer.Claim{Lowest: 4, Highest: 3}}).Encode(),
		"negative age":                 append(bytes.Clone(valid[:len(valid)-8]), 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff),
		"huge age":                     append(bytes.Clone(valid[:len(valid)-8]), 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff),
	} {
		_, err := confirmer.Decode(data)
		must.ErrorIs(t, err, confirmer.ErrInvalid, must.Sprint(name))
	}
}

// Guards against more than three datagrams a second and table at an entry, sent or received, at any size of the fleet: claims of checks,
// questions for clocks and answers to them, which two tables share.
func TestDatagramsOfFleet(t *testing.T) {
	const lifetime, tables, check = 4 * time.Minute, 2, 1500 * time.Millisecond
	for n := 4; n <= 330; n++ {
		claims := 1 / check.Seconds()
		questions := float64(n-1) / lifetime.Seconds() / tables
		must.LessEq(t, 3, claims+2*questions, must.Sprint(n))
		must.LessEq(t, 1/confirmer.QuestionInterval.Seconds(), tables*questions+0.01)
	}
}
