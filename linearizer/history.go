package linearizer

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// never is the end of a call whose outcome is unknown: it may take effect at any time after its begin, or not at all.
const never = time.Duration(math.MaxInt64)

// History holds the calls on the objects of one kind, each named by a key. It is not safe for concurrent use.
type History[C, R any] struct {
	calls []call[C, R]
}

// call is one call; reply is nil while its outcome is unknown.
type call[C, R any] struct {
	key        string
	in         C
	reply      *R
	begin, end time.Duration
}

// Begin records the invocation of a call on the object key at a time since the start, and returns its number. Without
// an End the outcome of the call is unknown.
func (h *History[C, R]) Begin(key string, in C, at time.Duration) int {
	h.calls = append(h.calls, call[C, R]{key: key, in: in, begin: at, end: never})
	return len(h.calls) - 1
}

// End records the response of the call with a number from Begin.
func (h *History[C, R]) End(n int, r R, at time.Duration) {
	h.calls[n].reply, h.calls[n].end = &r, at
}

// Len returns the number of calls.
func (h *History[C, R]) Len() int { return len(h.calls) }

// model is the sequential behaviour of one object, which begins with the zero state. apply returns the state after a
// call and whether the reply is possible. For a call without a reply it returns the state if the call takes effect.
type model[S comparable, C, R any] func(s S, c *call[C, R]) (S, bool)

// step returns the possible states after a call. Both states of a call without a reply are followed at once, because the
// search would otherwise try each combination of the calls of an outage.
func (m model[S, C, R]) step(state, in, _ any) []any {
	s, c := state.(S), in.(*call[C, R])
	next, ok := m(s, c)
	switch {
	case !ok:
		return nil
	case c.reply == nil && next != s:
		return []any{s, next}
	}
	return []any{next}
}

// check returns the keys whose calls have no order that the model allows and that respects their times, in the order of
// the keys.
func check[S comparable, C, R any](h *History[C, R], m model[S, C, R]) []string {
	byKey := map[string][]porcupine.Operation{}
	for i := range h.calls {
		c := &h.calls[i]
		byKey[c.key] = append(byKey[c.key], porcupine.Operation{
			// Every call is a client of its own, because a caller may go on after a call that it gave up.
			ClientId: i, Input: c, Call: int64(c.begin), Return: int64(c.end),
		})
	}
	var first S
	pm := (&porcupine.NondeterministicModel{Init: func() []any { return []any{first} }, Step: m.step}).ToModel()
	var broken []string
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		if !porcupine.CheckOperations(pm, byKey[key]) {
			broken = append(broken, key)
		}
	}
	return broken
}
