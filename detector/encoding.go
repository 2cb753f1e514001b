package detector

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// A message without the sender's addresses, as nine heartbeats of ten are, is encoded as a JSON array of instance, state,
// incarnation, revision and, if there are any, events. It takes 43 bytes in place of 93 as an object. A message with
// the addresses is an object. Later versions may append fields, which are passed over, so that a deployment can be upgraded
// process by process.
const (
	leastFields = 4
	eventFields = 3
)

// plain is a message without the methods of Message, for the object form.
type plain Message

// MarshalJSON encodes a message in the shorter of its two forms.
func (m Message) MarshalJSON() ([]byte, error) {
	if m.From != m.From.brief() {
		return json.Marshal(plain(m))
	}
	fields := []any{m.From.Instance, m.From.State, m.From.Incarnation, m.Revision}
	if len(m.Events) > 0 {
		events := make([][]any, len(m.Events))
		for i, e := range m.Events {
			events[i] = []any{e.Instance, e.State, e.Incarnation}
		}
		fields = append(fields, events)
	}
	return json.Marshal(fields)
}

// UnmarshalJSON decodes both forms of a message.
func (m *Message) UnmarshalJSON(b []byte) error {
	if !bytes.HasPrefix(bytes.TrimSpace(b), []byte("[")) {
		return json.Unmarshal(b, (*plain)(m))
	}
	var fields []json.RawMessage
	if err := json.Unmarshal(b, &fields); err != nil {
		return fmt.Errorf("detector: decode message: %w", err)
	}
	if len(fields) < leastFields {
		return fmt.Errorf("detector: decode message: %d fields", len(fields))
	}
	var events [][]json.RawMessage
	*m = Message{}
	parts := []any{&m.From.Instance, &m.From.State, &m.From.Incarnation, &m.Revision, &events}
	if err := decodeFields(fields, parts); err != nil {
		return err
	}
	for _, e := range events {
		var x Event
		if len(e) < eventFields {
			return fmt.Errorf("detector: decode event: %d fields", len(e))
		}
		if err := decodeFields(e, []any{&x.Instance, &x.State, &x.Incarnation}); err != nil {
			return err
		}
		m.Events = append(m.Events, x)
	}
	return nil
}

// decodeFields decodes each field into the part at its index; fields beyond the parts are passed over.
func decodeFields(fields []json.RawMessage, parts []any) error {
	for i, f := range fields[:min(len(fields), len(parts))] {
		if err := json.Unmarshal(f, parts[i]); err != nil {
			return fmt.Errorf("detector: decode field %d: %w", i, err)
		}
	}
	return nil
}
