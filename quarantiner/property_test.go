package quarantiner_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/quarantiner"
)

// Guards against facts in an order that ends the process, more trials than three, or a refusal without a time to return.
func TestFactsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(newClock())
		part := rapid.Custom(func(t *rapid.T) quarantiner.Part { return quarantiner.Part(rapid.IntRange(1, 4).Draw(t, "part")) })
		parts := rapid.SliceOfN(part, 0, 3)
		account := rapid.SampledFrom([]identifier.ClientAccount{one, two, ""})
		upstream := rapid.Custom(func(t *rapid.T) identifier.Upstream {
			return identifier.Upstream(rapid.StringMatching("u[0-9]").Draw(t, "upstream"))
		})
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(t *rapid.T) {
				c := quarantiner.Crash{Upstream: upstream.Draw(t, "crashed")}
				c.Add(account.Draw(t, "account"), parts.Draw(t, "parts"))
				if rapid.Bool().Draw(t, "own") {
					f.ReportCrash(c)
					return
				}
				f.Apply(quarantiner.Fact{Crash: &c})
			},
			"answered": func(t *rapid.T) {
				if list := parts.Draw(t, "parts"); rapid.Bool().Draw(t, "own") {
					f.Answered(list)
				} else {
					f.Apply(quarantiner.Fact{Answered: list})
				}
			},
			"block": func(t *rapid.T) {
				f.Apply(quarantiner.Fact{Block: &quarantiner.Block{
					Part: part.Draw(t, "part"), Trials: rapid.IntRange(0, 4).Draw(t, "trials"), Cleared: rapid.Bool().Draw(t, "cleared"),
					Scope: quarantiner.Scope{Account: account.Draw(t, "account"), Everyone: rapid.Bool().Draw(t, "everyone")},
				}})
			},
			"admit": func(t *rapid.T) {
				v := f.Admit(account.Draw(t, "account"), parts.Draw(t, "parts"))
				must.True(t, !v.Refused || v.RetryAt.After(f.now))
				must.True(t, !v.TrialDue || v.Refused && v.Block.Trials < 3)
			},
			"repeat": func(t *rapid.T) {
				f.MayRepeat(account.Draw(t, "account"), parts.Draw(t, "parts"), upstream.Draw(t, "lost"))
			},
			"time": func(t *rapid.T) {
				f.advance(time.Duration(rapid.IntRange(0, 40_000).Draw(t, "ms")) * time.Millisecond)
			},
			"sweep": func(*rapid.T) { f.Sweep() },
			"": func(t *rapid.T) {
				must.LessEq(t, 4, len(f.State().(map[string]quarantiner.PartState)))
			},
		})
	})
}
