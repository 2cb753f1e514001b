// Package dumper collects the states of the parts of a process into one JSON document for operators.
package dumper
