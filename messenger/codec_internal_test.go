package messenger

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against panics and unbounded memory use on malformed input, and against messages that change when they are written and
// read again.
func FuzzReadObject(f *testing.F) {
	for _, s := range []string{"\x00\x00\x00\x02{}", "\x00\x00\x00\x09{}", "\xff\xff\xff\xff{}", "\x00\x00\x00\x01{", ""} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		var got json.RawMessage
		if err := (codec{}).ReadObject(bufio.NewReader(bytes.NewReader(in)), &got); err != nil {
			return
		}
		var out bytes.Buffer
		must.NoError(t, codec{}.WriteObject(&out, got))
		var again json.RawMessage
		must.NoError(t, codec{}.ReadObject(bufio.NewReader(&out), &again))
		var a, b bytes.Buffer
		must.NoError(t, errors.Join(json.Compact(&a, got), json.Compact(&b, again)))
		must.Eq(t, len(a.String()) > 0, len(b.String()) > 0)
	})
}
