package replayer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// ErrInvalidTrace is wrapped by every error about the content of a trace.
var ErrInvalidTrace = errors.New("replayer: invalid trace")

// maxLineBytes bounds one line of a trace or of an event stream.
const maxLineBytes = 1 << 20

// Entry is one request of a trace.
type Entry struct {
	// Offset is the time from the start of the trace to the request.
	Offset        Offset                   `json:"offset"`
	ClientAccount identifier.ClientAccount `json:"client-account"`
	// Call is set for a call to a plain service, whose body is the prompt; WorkKind and Model are then empty.
	Call     *Call               `json:"call,omitempty"`
	WorkKind identifier.WorkKind `json:"work-kind,omitempty"`
	Model    identifier.Model    `json:"model,omitempty"`
	Session  identifier.Session  `json:"session,omitempty"`
	// IdempotencyKey makes a later entry with the same key return the first result.
	IdempotencyKey string `json:"idempotency-key,omitempty"`
	Stream         bool   `json:"stream,omitempty"`
	MaxTokens      int    `json:"max-tokens,omitempty"`
	Prompt         string `json:"prompt"`
	Expect         Expect `json:"expect"`
}

// Call is the route of one call to a plain service.
type Call struct {
	Service identifier.Service `json:"service"`
	Method  string             `json:"method"`
	// Path starts with a slash.
	Path string `json:"path"`
}

// Rank returns the rank that a configuration gives the entry, or an empty one if its kind of work or service is unknown.
func (e *Entry) Rank(cfg *configurer.Configuration) identifier.Rank {
	if e.Call != nil {
		if s := cfg.Service(e.Call.Service); s != nil {
			return s.Rank
		}
		return ""
	}
	if k := cfg.WorkKind(e.WorkKind); k != nil {
		return k.Rank
	}
	return ""
}

// NonIdempotent reports whether the entry may run at most once under a configuration.
func (e *Entry) NonIdempotent(cfg *configurer.Configuration) bool {
	if e.Call == nil {
		k := cfg.WorkKind(e.WorkKind)
		return k != nil && k.NonIdempotent
	}
	s := cfg.Service(e.Call.Service)
	return s != nil && slices.ContainsFunc(s.NonIdempotent, func(c configurer.CallPattern) bool {
		return strings.EqualFold(c.Method, e.Call.Method) && strings.HasPrefix(e.Call.Path, c.Path)
	})
}

// Expect holds the outcomes that the caller may see.
type Expect struct {
	// Statuses lists the permitted status codes.
	Statuses []int `json:"statuses"`
	// Code is the permitted error code when the status is not 200; empty permits any.
	Code string `json:"code,omitempty"`
	// SameAnswerAs is the position, counted from 1, of an earlier entry whose answer must be returned again; 0 means none.
	SameAnswerAs int `json:"same-answer-as,omitempty"`
}

// Permits reports whether a status and an error code are among the permitted outcomes.
func (e Expect) Permits(status int, code string) bool {
	return slices.Contains(e.Statuses, status) && (status == 200 || e.Code == "" || e.Code == code)
}

// Offset is a duration since the start of a trace, encoded as text such as 1.5s.
type Offset time.Duration

// MarshalText encodes the offset in the format of time.Duration.
func (o Offset) MarshalText() ([]byte, error) {
	return []byte(time.Duration(o).String()), nil
}

// UnmarshalText decodes an offset in the format of time.Duration and rejects negative ones.
func (o *Offset) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%w: offset %q: %w", ErrInvalidTrace, b, err)
	}
	if d < 0 {
		return fmt.Errorf("%w: offset %q is negative", ErrInvalidTrace, b)
	}
	*o = Offset(d)
	return nil
}

// Trace is a sequence of recorded or generated requests in the order of their offsets.
type Trace struct {
	Entries []Entry
}

// Read reads a trace with one JSON object per line; an error about a line names its number.
func Read(r io.Reader) (*Trace, error) {
	var t Trace
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for n := 1; s.Scan(); n++ {
		if len(bytes.TrimSpace(s.Bytes())) == 0 {
			continue
		}
		e, err := decodeEntry(s.Bytes())
		if err != nil {
			return nil, fmt.Errorf("replayer: line %d: %w", n, err)
		}
		if err := t.add(e); err != nil {
			return nil, fmt.Errorf("replayer: line %d: %w", n, err)
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("replayer: read trace: %w", err)
	}
	return &t, nil
}

func decodeEntry(line []byte) (Entry, error) {
	var e Entry
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(&e); err != nil {
		return Entry{}, fmt.Errorf("%w: %w", ErrInvalidTrace, err)
	}
	return e, nil
}

func (t *Trace) add(e Entry) error {
	switch {
	case e.ClientAccount == "":
		return fmt.Errorf("%w: client-account is missing", ErrInvalidTrace)
	case e.Call != nil && (e.Call.Service == "" || e.Call.Method == "" || !strings.HasPrefix(e.Call.Path, "/")):
		return fmt.Errorf("%w: call needs a service, a method and a path that starts with a slash", ErrInvalidTrace)
	case e.Call != nil && e.Stream:
		return fmt.Errorf("%w: call cannot be a stream", ErrInvalidTrace)
	case len(e.Expect.Statuses) == 0:
		return fmt.Errorf("%w: expect.statuses is empty", ErrInvalidTrace)
	case e.Expect.SameAnswerAs < 0 || e.Expect.SameAnswerAs > len(t.Entries):
		return fmt.Errorf("%w: expect.same-answer-as %d is not an earlier entry", ErrInvalidTrace, e.Expect.SameAnswerAs)
	case len(t.Entries) > 0 && e.Offset < t.Entries[len(t.Entries)-1].Offset:
		return fmt.Errorf("%w: offset is before that of the preceding entry", ErrInvalidTrace)
	}
	t.Entries = append(t.Entries, e)
	return nil
}

// Write writes the trace, one JSON object per line.
func (t *Trace) Write(w io.Writer) error {
	e := json.NewEncoder(w)
	for i := range t.Entries {
		if err := e.Encode(&t.Entries[i]); err != nil {
			return fmt.Errorf("replayer: write entry %d: %w", i+1, err)
		}
	}
	return nil
}
