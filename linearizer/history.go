package linearizer

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// noReply is the end of a call whose outcome is unknown: the call may take effect at any time after it began, or not at all.
const noReply = time.Duration(math.MaxInt64)

// History records the calls on objects of one kind, each identified by a key. It is not safe for concurrent use.
type History[C, R any] struct {
	calls []call[C, R]
}

// call is one call on an object; reply is nil while its outcome is unknown.
type call[C, R any] struct {
	key        string
	input      C
	reply      *R
	begin, end time.Duration
}

// Begin records the invocation of a call on the object key and returns the call's number; at is the time since the start of
// the history. The outcome of the call is unknown until End records it.
func (h *History[C, R]) Begin(key string, in C, at time.Duration) int {
	h.calls = append(h.calls, call[C, R]{key: key, input: in, begin: at, end: noReply})
	return len(h.calls) - 1
}

// End records the response of the call with a number from Begin.
func (h *History[C, R]) End(n int, r R, at time.Duration) {
	h.calls[n].reply, h.calls[n].end = &r, at
}

// Len returns the number of calls.
func (h *History[C, R]) Len() int { return len(h.calls) }

// model is the sequential specification of one object, whose initial state is the zero value. It returns the state after a
// call and whether the reply is possible in state s. For a call without a reply it returns the state if the call takes effect.
type model[S comparable, C, R any] func(s S, c *call[C, R]) (S, bool)

// step returns the possible states after a call. For a call without a reply it returns both states, so that they are followed
// together; otherwise the search would try every combination of the calls that an outage left without replies.
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

// violatingKeys returns, sorted, the keys whose calls have no sequential order that the model allows and that respects
// their begin and end times.
func violatingKeys[S comparable, C, R any](h *History[C, R], m model[S, C, R]) []string {
	byKey := map[string][]porcupine.Operation{}
	for i := range h.calls {
		c := &h.calls[i]
		byKey[c.key] = append(byKey[c.key], porcupine.Operation{
			// Every call gets its own client ID, because a caller may make further calls after one that it abandoned.
			ClientId: i, Input: c, Call: int64(c.begin), Return: int64(c.end),
		})
	}
	var initial S
	porcupineModel := (&porcupine.NondeterministicModel{Init: func() []any { return []any{initial} }, Step: m.step}).ToModel()
	var keys []string
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		if !porcupine.CheckOperations(porcupineModel, byKey[key]) {
			keys = append(keys, key)
		}
	}
	return keys
}
