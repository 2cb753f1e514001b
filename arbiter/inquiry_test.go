package arbiter_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/arbiter"
)

// Guards against an entry that starts with a configuration that others have replaced, and against one that waits for others that are
// starting too, that are gone, or that do not exist.
func TestInquiry(t *testing.T) {
	shown := candidate(10, 1, 2, 80)
	same, later, other := arbiter.Claim{Revision: 10, Digest: 1}, arbiter.Claim{Revision: 12, Digest: 2}, arbiter.Claim{Revision: 10, Digest: 9}
	for name, x := range map[string]struct {
		asked   int
		answers []arbiter.Claim
		// after is how long after the begin the configuration may be used.
		after time.Duration
	}{
		"alone":                    {0, nil, 0},
		"others agree":             {3, []arbiter.Claim{same, same}, 0},
		"others have earlier ones": {1, []arbiter.Claim{{Revision: 9, Digest: 4}}, 0},
		"others start":             {3, []arbiter.Claim{{Starts: true}, {Starts: true}}, 0},
		"no answers":               {3, nil, 200 * time.Millisecond},
		"few answers":              {3, []arbiter.Claim{same}, 200 * time.Millisecond},
		"a later revision":         {3, []arbiter.Claim{same, later, same}, 4 * hold},
		"another of the revision":  {1, []arbiter.Claim{other}, 4 * hold},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Unix(1000, 0)
			i := arbiter.NewInquiry(hold)
			i.Begin(began)
			i.Ask(x.asked, began)
			for n, c := range x.answers {
				i.Answer(string(rune('a'+n)), c)
			}
			if x.after > 0 {
				must.False(t, i.Allows(&shown, began.Add(x.after-1)))
			}
			must.True(t, i.Allows(&shown, began.Add(x.after)))
		})
	}
}

// Guards against an entry that waits for others although the store has never come back from a copy: after a power failure of all machines,
// callers that return at once were refused for 0.2 s.
func TestNoInquiryInFirstEra(t *testing.T) {
	shown := candidate(10, 1, 0, 80)
	i := arbiter.NewInquiry(hold)
	i.Begin(time.Unix(1000, 0))
	must.True(t, i.Allows(&shown, time.Unix(1000, 0)))
}

// Guards against an inquiry that goes on after the others have taken over what the store shows, and against one that ends because they
// no longer answer.
func TestInquiryAsksAgain(t *testing.T) {
	shown, now := candidate(10, 1, 2, 80), time.Unix(1000, 0)
	i := arbiter.NewInquiry(hold)
	i.Begin(now)
	i.Ask(2, now)
	i.Answer("a", arbiter.Claim{Revision: 12, Digest: 2})
	must.False(t, i.Allows(&shown, now))
	i.Ask(2, now)
	now = now.Add(hold)
	must.False(t, i.Allows(&shown, now))
	i.Answer("a", arbiter.Claim{Revision: 10, Digest: 1})
	must.False(t, i.Allows(&shown, now))
	i.Answer("b", arbiter.Claim{Revision: 10, Digest: 1})
	must.True(t, i.Allows(&shown, now))
}

// Guards against an entry that sends more than the limit for control while the others contradict the store, and against one that asks late
// after the operator has written again.
func TestContradictedInquiryAsksLess(t *testing.T) {
	shown, now := candidate(10, 1, 2, 80), time.Unix(1000, 0)
	i := arbiter.NewInquiry(10 * time.Second)
	i.Begin(now)
	rounds := 0
	for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
		must.False(t, i.Allows(&shown, now))
		if i.IsAskDue(&shown, now) {
			rounds++
			i.Ask(1, now)
			i.Answer("a", arbiter.Claim{Revision: 12, Digest: 2})
		}
	}
	must.Between(t, 8, rounds, 15)
	again := candidate(11, 3, 2, 90)
	must.True(t, i.IsAskDue(&again, now))
	i.Ask(1, now)
	must.False(t, i.IsAskDue(&again, now.Add(99*time.Millisecond)))
	must.True(t, i.IsAskDue(&again, now.Add(100*time.Millisecond)))
}
