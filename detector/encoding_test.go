package detector_test

import (
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/identifier"
)

// Guards against a field that is lost in the array form or the object form of a message.
func TestMessageEncoding(t *testing.T) {
	states := []detector.State{detector.Live, detector.Suspect, detector.Leaving, detector.Dead}
	rapid.Check(t, func(t *rapid.T) {
		instance := func() identifier.Instance { return identifier.Instance(rapid.StringN(1, 30, -1).Draw(t, "instance")) }
		m := detector.Message{
			From: detector.Member{
				Instance: instance(), State: rapid.SampledFrom(states).Draw(t, "state"), Incarnation: rapid.Uint64().Draw(t, "incarnation"),
			},
			Revision: rapid.Uint64().Draw(t, "revision"),
		}
		if rapid.Bool().Draw(t, "full") {
			m.From.DataCentre, m.From.Region, m.From.Role = "dc-1", "ie-west", detector.RoleAgent
			m.From.Control, m.From.Data = netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("[::1]:7001")
		}
		for range rapid.IntRange(0, 4).Draw(t, "events") {
			m.Events = append(m.Events, detector.Event{
				Instance: instance(), State: rapid.SampledFrom(states).Draw(t, "event"), Incarnation: rapid.Uint64().Draw(t, "of"),
			})
		}
		b, err := json.Marshal(m)
		must.NoError(t, err)
		var got detector.Message
		must.NoError(t, json.Unmarshal(b, &got))
		must.Eq(t, m, got)
	})
}

// Guards against a malformed message that is accepted as a heartbeat.
func TestMalformedMessages(t *testing.T) {
	for name, text := range map[string]string{
		"too few fields":    `["a","live",1]`,
		"wrong type":        `["a","live","1",2]`,
		"event too short":   `["a","live",1,2,[["b","dead"]]]`,
		"event not a list":  `["a","live",1,2,["b"]]`,
		"negative revision": `["a","live",1,-2]`,
	} {
		t.Run(name, func(t *testing.T) {
			var m detector.Message
			must.Error(t, json.Unmarshal([]byte(text), &m))
		})
	}
}

// Guards against a process that rejects the heartbeats of a later version, which may append fields, while a deployment is
// upgraded.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	var got, want detector.Message
	must.NoError(t, json.Unmarshal([]byte(`["a","live",1,2,[["b","dead",3,"new"]],{"new":true}]`), &got))
	must.NoError(t, json.Unmarshal([]byte(`["a","live",1,2,[["b","dead",3]]]`), &want))
	must.Eq(t, want, got)
	must.Len(t, 1, got.Events)
}

// Guards against a message from a peer that makes the decoder panic, or that changes when it is encoded again.
func FuzzMessage(f *testing.F) {
	for _, text := range []string{
		`["a","live",1,2]`, `["a","live",1,2,[["b","dead",3]]]`, `{"from":{"instance":"a"}}`, `[[],0]`, `["a",{},-1,1e9]`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m, again detector.Message
		if json.Unmarshal(data, &m) != nil {
			return
		}
		b, err := json.Marshal(m)
		must.NoError(t, err)
		must.NoError(t, json.Unmarshal(b, &again))
		must.Eq(t, m, again)
	})
}
