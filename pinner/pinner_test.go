package pinner_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/pinner"
)

var errDown = errors.New("down")

func configuration(exposure float64) *configurer.Configuration {
	return &configurer.Configuration{
		Models: []configurer.Model{{Name: "finch", Versions: []configurer.Version{
			{Name: "v1", State: configurer.VersionServing}, {Name: "v2", State: configurer.VersionCandidate, Exposure: exposure},
		}}},
		ClientAccounts: []configurer.ClientAccount{{Name: "a", Allowed: []configurer.AllowedModel{{Model: "finch"}}}},
	}
}

func session(i int) identifier.Session {
	return identifier.Session(fmt.Sprintf("s-%d", i))
}

// Guards against a session that changes its version between entries, during a roll-out step, or while its owner is unreachable.
func TestSessionKeepsItsVersion(t *testing.T) {
	cfg := configuration(0.3)
	names := []identifier.Instance{"e-1", "e-2", "e-3"}
	pinners := map[identifier.Instance]*pinner.Pinner{}
	unreachable := identifier.Instance("")
	for _, name := range names {
		pinners[name] = pinner.New(
			pinner.WithInstances(name, func() []identifier.Instance { return names }),
			pinner.WithConfiguration(func() *configurer.Configuration { return cfg }),
			pinner.WithAsk(func(ctx context.Context, owner identifier.Instance, q pinner.VersionRequest) (identifier.Target, error) {
				if owner == unreachable {
					return identifier.Target{}, errDown
				}
				return pinners[owner].Answer(ctx, q)
			}))
	}
	pin := func(at identifier.Instance, i int) identifier.Target {
		got, err := pinners[at].Pin(t.Context(), "a", session(i), identifier.Target{Model: "finch", Version: "v1"}, 1)
		must.NoError(t, err)
		return got
	}
	const sessions = 2000
	candidates := 0
	first := map[int]identifier.Target{}
	for i := range sessions {
		first[i] = pin("e-1", i)
		must.Eq(t, first[i], pin("e-2", i))
		if first[i].Version == "v2" {
			candidates++
		}
	}
	// The fraction of sessions on the candidate is within 4 standard deviations of the exposure.
	must.LessEq(t, 4*math.Sqrt(0.3*0.7/sessions), math.Abs(float64(candidates)/sessions-0.3))
	unreachable = "e-2"
	for i := range sessions {
		must.Eq(t, first[i], pin("e-3", i))
	}
	unreachable, cfg = "", configuration(0.9)
	for i := range sessions {
		must.Eq(t, first[i], pin("e-3", i))
	}
}

// Guards against pins that are lost after a failed write, that a new owner cannot restore, or that never expire.
func TestWritesAndExpiry(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := pinner.WithNow(func() time.Time { return now })
	var written []pinner.Pin
	fail := true
	p := pinner.New(clock, pinner.WithWrite(func(_ context.Context, batch []pinner.Pin) error {
		if fail {
			return errDown
		}
		written = append(written, batch...)
		return nil
	}))
	v1, v2 := identifier.Target{Model: "finch", Version: "v1"}, identifier.Target{Model: "finch", Version: "v2"}
	for i := range 300 {
		_, err := p.Pin(t.Context(), "a", session(i), v1, 1)
		must.NoError(t, err)
	}
	must.ErrorIs(t, p.Flush(t.Context()), errDown)
	fail = false
	must.NoError(t, p.Flush(t.Context()))
	must.Len(t, 300, written)
	must.Eq(t, 0, p.State().(pinner.State).Pending)
	next := pinner.New(clock)
	next.Restore(written)
	got, err := next.Pin(t.Context(), "a", session(7), v2, 2)
	must.NoError(t, err)
	must.Eq(t, v1, got)
	now = now.Add(time.Hour)
	got, err = next.Pin(t.Context(), "a", session(7), v2, 2)
	must.NoError(t, err)
	must.Eq(t, v2, got)
}

// Guards against a change of members that moves the sessions of the remaining owners.
func TestOwnerMovesOnlyItsOwnSessions(t *testing.T) {
	all := []identifier.Instance{"e-1", "e-2", "e-3"}
	for i := range 500 {
		before := pinner.Owner(all, "a", session(i))
		after := pinner.Owner(all[:2], "a", session(i))
		if before != "e-3" {
			must.Eq(t, before, after)
		}
	}
}
