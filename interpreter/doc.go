// Package interpreter executes state charts that are parsed from YAML files, so that the states and transitions of a subsystem
// can be reviewed in one place.
package interpreter
