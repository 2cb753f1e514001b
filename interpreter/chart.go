package interpreter

import (
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
)

// State names a state of a chart.
type State string

// Event names an event that a chart reacts to.
type Event string

// ErrNoTransition is returned by Next and Fire when the state has no transition for the event.
var ErrNoTransition = errors.New("interpreter: no transition")

// Chart is an immutable state chart, which is safe for concurrent use; create one with Parse.
type Chart struct {
	Name    string                    `yaml:"name"`
	Initial State                     `yaml:"initial"`
	States  map[State]StateDefinition `yaml:"states"`
}

// StateDefinition lists the transitions of one state; a final state has none.
type StateDefinition struct {
	Final bool            `yaml:"final"`
	On    map[Event]State `yaml:"on"`
}

// Parse parses a chart from YAML. It returns an error for unknown keys, transitions to undefined states, an undefined initial
// state, and final states with transitions.
func Parse(b []byte) (*Chart, error) {
	var c Chart
	if err := yaml.UnmarshalWithOptions(b, &c, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("interpreter: parse chart: %w", err)
	}
	if _, ok := c.States[c.Initial]; !ok {
		return nil, fmt.Errorf("interpreter: chart %s: initial state %q is not defined", c.Name, c.Initial)
	}
	for name, s := range c.States {
		if s.Final && len(s.On) > 0 {
			return nil, fmt.Errorf("interpreter: chart %s: final state %q has transitions", c.Name, name)
		}
		for event, next := range s.On {
			if _, ok := c.States[next]; !ok {
				return nil, fmt.Errorf("interpreter: chart %s: state %q on %q leads to undefined state %q",
					c.Name, name, event, next)
			}
		}
	}
	return &c, nil
}

// MustParse is like Parse but panics on an error; it is meant for embedded charts.
func MustParse(b []byte) *Chart {
	c, err := Parse(b)
	if err != nil {
		panic(err.Error())
	}
	return c
}

// Next returns the state to which event leads from the state from, or ErrNoTransition.
func (c *Chart) Next(from State, event Event) (State, error) {
	next, ok := c.States[from].On[event]
	if !ok {
		return from, fmt.Errorf("%w: chart %s, state %q, event %q", ErrNoTransition, c.Name, from, event)
	}
	return next, nil
}

// Machine holds the current state in one execution of a chart; it is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// NewMachine returns a machine in the chart's initial state.
func NewMachine(c *Chart) *Machine {
	return &Machine{chart: c, state: c.Initial}
}

// Restore returns a machine in a previously stored state, or an error if the chart does not define that state.
func Restore(c *Chart, s State) (*Machine, error) {
	if _, ok := c.States[s]; !ok {
		return nil, fmt.Errorf("interpreter: chart %s: state %q is not defined", c.Name, s)
	}
	return &Machine{chart: c, state: s}, nil
}

// State returns the current state.
func (m *Machine) State() State {
	return m.state
}

// Fire applies an event; on ErrNoTransition the state is unchanged.
func (m *Machine) Fire(event Event) error {
	next, err := m.chart.Next(m.state, event)
	if err != nil {
		return err
	}
	m.state = next
	return nil
}

// Final reports whether the machine has reached a final state.
func (m *Machine) Final() bool {
	return m.chart.States[m.state].Final
}
