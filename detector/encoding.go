package detector

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// A message without the sender's addresses, as nine of ten heartbeats are, is encoded as a JSON array of instance, state,
// incarnation, revision and, if there are any, events. It takes 43 bytes instead of 93 as an object. A message with the
// addresses is an object. Later versions may append fields to the arrays; they are ignored, so that a deployment can be upgraded
// process by process.
const (
	minMessageFields = 4
	minEventFields   = 3
)

// messageObject is a message without the methods of Message, so that encoding/json encodes it as an object.
type messageObject Message

// MarshalJSON encodes a message as an array if it has no addresses of the sender, and otherwise as an object.
func (m Message) MarshalJSON() ([]byte, error) {
	if m.From != m.From.withoutAddresses() {
		return json.Marshal(messageObject(m))
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

// UnmarshalJSON decodes a message from an array or an object.
func (m *Message) UnmarshalJSON(b []byte) error {
	if !bytes.HasPrefix(bytes.TrimSpace(b), []byte("[")) {
		return json.Unmarshal(b, (*messageObject)(m))
	}
	var fields []json.RawMessage
	if err := json.Unmarshal(b, &fields); err != nil {
		return fmt.Errorf("detector: decode message: %w", err)
	}
	if len(fields) < minMessageFields {
		return fmt.Errorf("detector: decode message: %d fields", len(fields))
	}
	var events [][]json.RawMessage
	*m = Message{}
	targets := []any{&m.From.Instance, &m.From.State, &m.From.Incarnation, &m.Revision, &events}
	if err := decodeFields(fields, targets); err != nil {
		return err
	}
	for _, e := range events {
		var x Event
		if len(e) < minEventFields {
			return fmt.Errorf("detector: decode event: %d fields", len(e))
		}
		if err := decodeFields(e, []any{&x.Instance, &x.State, &x.Incarnation}); err != nil {
			return err
		}
		m.Events = append(m.Events, x)
	}
	return nil
}

// decodeFields decodes each field into the target at its index; fields without a target are ignored.
func decodeFields(fields []json.RawMessage, targets []any) error {
	for i, f := range fields[:min(len(fields), len(targets))] {
		if err := json.Unmarshal(f, targets[i]); err != nil {
			return fmt.Errorf("detector: decode field %d: %w", i, err)
		}
	}
	return nil
}
