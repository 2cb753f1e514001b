package interpreter_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/interpreter"
)

const doorChart = `
name: door
initial: closed
states:
  closed: {on: {open: opened}}
  opened: {on: {close: closed, remove: removed}}
  removed: {final: true}
`

// Guards against malformed charts that Parse accepts, and against events without a transition that Fire silently ignores.
func TestChart(t *testing.T) {
	c, err := interpreter.Parse([]byte(doorChart))
	must.NoError(t, err)
	m := interpreter.NewMachine(c)
	must.ErrorIs(t, m.Fire("close"), interpreter.ErrNoTransition)
	must.NoError(t, m.Fire("open"))
	must.NoError(t, m.Fire("remove"))
	must.True(t, m.Final())

	for name, text := range map[string]string{
		"undefined target":      "name: x\ninitial: a\nstates: {a: {on: {go: b}}}",
		"undefined initial":     "name: x\ninitial: b\nstates: {a: {}}",
		"unknown key":           "name: x\ninitial: a\nstates: {a: {}}\ncolour: red",
		"final with transition": "name: x\ninitial: a\nstates: {a: {final: true, on: {go: a}}}",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := interpreter.Parse([]byte(text))
			must.Error(t, err)
		})
	}
}
