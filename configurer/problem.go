package configurer

import (
	"fmt"
	"strings"
)

// Problem is one reason why a file or a configuration is refused.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1 and is 0 when the value did not come from a file.
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String returns the problem as file:line: field: message.
func (p Problem) String() string {
	location := p.File
	if p.Line > 0 {
		location += fmt.Sprintf(":%d", p.Line)
	}
	if p.Field == "" {
		return location + ": " + p.Message
	}
	return location + ": " + p.Field + ": " + p.Message
}

// InvalidError lists every problem of a refused file or configuration.
type InvalidError struct {
	Problems []Problem
	// Malformed is set if the file as a whole could not be read, for instance because it is not YAML.
	Malformed bool
}

// Error lists the problems, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("configurer: %d problem(s)", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
