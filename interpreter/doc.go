// Package interpreter runs state charts that are read from YAML files, so that the states and transitions of a
// subsystem stand in one reviewable place.
package interpreter
