package announcer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/announcer"
)

// playPrompts observes prompts of a model that engines read at a speed, one in a hundred of them long, a third after another prompt.
func playPrompts(s *announcer.Speeds, rng *rand.Rand, model uint64, perSecond float64, n int) {
	for range n {
		tokens := float64(200 + rng.IntN(3000))
		if rng.IntN(100) == 0 {
			tokens = float64(10_000 + rng.IntN(40_000))
		}
		wait, slowdown := 0.02, 0.8+0.4*rng.Float64()
		if rng.IntN(3) == 0 {
			wait += 0.3 * rng.ExpFloat64()
		}
		s.Observe(model, tokens, slowdown, time.Duration((wait+tokens*slowdown/perSecond)*float64(time.Second)))
	}
}

// Guards against callers of whom up to ten untrue lengths of prompts make the speed of reading unknown or wrong by more than a third, and against
// a speed that is still wrong by that after the 2,000 prompts that follow.
func TestUntrueLengthsHaveBoundedEffect(t *testing.T) {
	for name, x := range map[string]struct {
		tokens float64
		took   time.Duration
	}{
		"long, read at once":        {1_000_000, 100 * time.Millisecond},
		"longest, read at once":     {announcer.MaxTokens, 0},
		"long, at 64,000":           {64_000, 0},
		"short, read slowly":        {1, time.Hour},
		"long, read slowly":         {64_000, time.Hour},
		"long, read at a low speed": {1_000_000, time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(3, 4))
			var s announcer.Speeds
			check := func(when string) {
				d, known := s.Time(1, 45_000, 1)
				t.Logf("%s: %v, known %v", when, d, known)
				must.True(t, known, must.Sprint(when))
				must.Between(t, 0.5*2/3, d.Seconds(), 0.5*4/3, must.Sprint(when))
			}
			playPrompts(&s, rng, 1, 90_000, 3000)
			check("before")
			s.Observe(1, x.tokens, 1, x.took)
			check("after one sample")
			for range 9 {
				s.Observe(1, x.tokens, 1, x.took)
			}
			check("after ten samples")
			playPrompts(&s, rng, 1, 90_000, 2000)
			check("after 2,000 further prompts")
		})
	}
}

// Guards against a speed that follows no change because prompts at the new speed count as untrue.
func TestSpeedFollowsChange(t *testing.T) {
	for _, perSecond := range []float64{30_000, 270_000} {
		rng := rand.New(rand.NewPCG(3, 4))
		var s announcer.Speeds
		playPrompts(&s, rng, 1, 90_000, 3000)
		playPrompts(&s, rng, 1, perSecond, 12_000)
		d, known := s.Time(1, 45_000, 1)
		t.Logf("%v tokens/s: %v, known %v", perSecond, d, known)
		must.True(t, known)
		want := 45_000 / perSecond
		must.Between(t, want*2/3, d.Seconds(), want*4/3)
	}
}

// Guards against names of models, which callers state, that keep the speeds of served models from being learned or drop learned ones.
func TestModelNamesAreEvicted(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var s announcer.Speeds
	playPrompts(&s, rng, 1, 90_000, 3000)
	for m := range uint64(200) {
		s.Observe(1000+m, 100, 1, time.Second)
		playPrompts(&s, rng, 1, 90_000, 1)
	}
	// A model that comes later, with as many prompts of made-up names as of its own.
	for i := range uint64(3000) {
		s.Observe(10_000+i, 100, 1, time.Second)
		playPrompts(&s, rng, 1, 90_000, 1)
		playPrompts(&s, rng, 2, 90_000, 1)
	}
	for _, model := range []uint64{1, 2} {
		d, known := s.Time(model, 45_000, 1)
		must.True(t, known, must.Sprint(model))
		must.Between(t, 0.5*2/3, d.Seconds(), 0.5*4/3)
	}
}

// Guards against models that are no longer served and keep the table full.
func TestFormerModelsAreEvicted(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var s announcer.Speeds
	for m := range uint64(64) {
		playPrompts(&s, rng, 1000+m, 90_000, 500)
	}
	for range 3000 {
		for m := range uint64(3) {
			playPrompts(&s, rng, 1+m, 90_000, 1)
		}
	}
	for m := range uint64(3) {
		_, known := s.Time(1+m, 45_000, 1)
		must.True(t, known)
	}
}
