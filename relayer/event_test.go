package relayer_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/relayer"
)

func event(id int, data string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data)
}

// readAll returns the events of a stream and the error or io.EOF that ended it.
func readAll(r *relayer.Reader) ([]string, error) {
	var events []string
	for {
		b, err := r.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(b))
	}
}

// Guards against events that are altered, split or joined.
func TestNext(t *testing.T) {
	long := event(3, strings.Repeat("x", 10_000))
	whole := event(1, "a") + "id:2\r\ndata: b\r\n\r\n" + long + ": comment\n\n"
	events, err := readAll(relayer.NewReader(strings.NewReader(whole), 0, true))
	must.ErrorIs(t, err, io.EOF)
	must.Eq(t, []string{event(1, "a"), "id:2\r\ndata: b\r\n\r\n", long, ": comment\n\n"}, events)
}

// Guards against passing on events of a stream that are missing, repeated, truncated or too long, or that belong to another run.
func TestNextErrors(t *testing.T) {
	for name, x := range map[string]struct {
		stream string
		err    error
		events int
	}{
		"gap":           {event(5, "a") + event(7, "b"), relayer.ErrOutOfOrder, 1},
		"repeat":        {event(5, "a") + event(5, "a"), relayer.ErrOutOfOrder, 1},
		"wrong start":   {event(4, "a"), relayer.ErrOutOfOrder, 0},
		"no number":     {"id: x\ndata: a\n\n", relayer.ErrOutOfOrder, 0},
		"partial event": {event(5, "a") + "id: 6\ndata: b\n", relayer.ErrPartialEvent, 1},
		"no id":         {event(5, "a") + "data: b\n\n", relayer.ErrOutOfOrder, 1},
		"no id first":   {"data: a\n\n", relayer.ErrOutOfOrder, 0},
		"two ids":       {event(5, "a") + "id: 6\nid: 9\ndata: b\n\n", relayer.ErrOutOfOrder, 1},
		"error text":    {event(5, "a") + "upstream is overloaded\n\n", relayer.ErrMalformedEvent, 1},
		"error object":  {event(5, "a") + "{\"error\": \"overloaded\"}\n\n", relayer.ErrMalformedEvent, 1},
		"error field":   {event(5, "a") + "error: overloaded\n\n", relayer.ErrOutOfOrder, 1},
		"head":          {event(5, "a") + "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", relayer.ErrMalformedEvent, 1},
		"head in event": {event(5, "a") + "id: 6\ndata: bHTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", relayer.ErrMalformedEvent, 1},
		"too long":      {"data: " + strings.Repeat("x", 2<<20) + "\n\n", relayer.ErrEventTooLong, 0},
	} {
		t.Run(name, func(t *testing.T) {
			events, err := readAll(relayer.NewReader(strings.NewReader(x.stream), 4, true))
			must.ErrorIs(t, err, x.err)
			must.SliceLen(t, x.events, events)
		})
	}
}

// Guards against a resume from the wrong event because the last id was not recorded in a stream whose first id was not known.
func TestUnknownFirstID(t *testing.T) {
	r := relayer.NewReader(strings.NewReader(event(9, "a")+event(10, "b")), 0, false)
	_, err := readAll(r)
	must.ErrorIs(t, err, io.EOF)
	must.EqOp(t, 10, r.LastID)
}

func FuzzNext(f *testing.F) {
	f.Add([]byte(event(1, "a") + event(2, "b")))
	f.Add([]byte("id: 1\r\n\r\n"))
	f.Add([]byte("\n\n\nid:"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := relayer.NewReader(strings.NewReader(string(b)), 0, true)
		var sum int
		for {
			e, err := r.Next()
			if err != nil {
				if errors.Is(err, io.EOF) && sum != len(b) {
					t.Fatalf("%d of %d bytes in whole events of a complete stream", sum, len(b))
				}
				return
			}
			sum += len(e)
		}
	})
}

// Guards against an event that is refused although it has all that a reader of events may meet: the engine's own field in its first line,
// comments, and fields without a space or a value.
func TestFields(t *testing.T) {
	events := []string{"x-version: 7\nid: 1\ndata: a\n\n", ": c\nid:2\nevent: e\nretry: 5\ndata\ndata:\n\n", "data: a: b\r\nid: 3\r\n: c\r\n\r\n"}
	got, err := readAll(relayer.NewReader(strings.NewReader(strings.Join(events, "")), 0, true))
	must.ErrorIs(t, err, io.EOF)
	must.Eq(t, events, got)
}

// Guards against comments that count as events, and events that do not.
func TestIsComment(t *testing.T) {
	for block, want := range map[string]bool{
		": c\n\n": true, "\n": true, "\r\n": true, ": a\r\n:\r\n\r\n": true,
		"data: a\n\n": false, "id: 1\n\n": false, ": c\ndata: a\n\n": false, "data: a\n: c\n\n": false,
	} {
		r := relayer.NewReader(strings.NewReader(block+event(1, "a")+block), 0, false)
		if want {
			_, err := r.Next()
			must.NoError(t, err)
			must.True(t, r.IsComment, must.Sprintf("%q", block))
			_, err = r.Next()
			must.NoError(t, err)
			must.False(t, r.IsComment)
			continue
		}
		_, err := r.Next()
		must.NoError(t, err)
		must.False(t, r.IsComment, must.Sprintf("%q", block))
	}
}

// Guards against a stream that keeps the memory of one large event to its end.
func TestLargeEventLeavesNoMemory(t *testing.T) {
	large, small := "data: "+strings.Repeat("x", 900<<10)+"\n\n", "data: y\n\n"
	r := relayer.NewReader(strings.NewReader(small+large+small+large+small), 0, false)
	for _, want := range []string{small, large, small, large, small} {
		b, err := r.Next()
		must.NoError(t, err)
		must.True(t, want == string(b))
		must.LessEq(t, max(64<<10, 2*len(want)), cap(b))
	}
}
