package inspector

import (
	"errors"

	"github.com/siskinfront/siskinfront/configurer"
)

// Severity tells whether a finding refuses a configuration.
type Severity string

// The severities of findings.
const (
	// SeverityError marks a finding because of which the configuration is refused.
	SeverityError Severity = "error"
	// SeverityWarning marks a probable mistake in an accepted configuration.
	SeverityWarning Severity = "warning"
)

// Finding is one error or warning with its place in a file.
type Finding struct {
	Severity Severity `json:"severity"`
	File     string   `json:"file"`
	// Line counts from 1 and is 0 if the finding has no place in the file.
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// Check returns the findings of a configuration file in the order of its sections. The configuration, which keeps the
// order of the file, is nil if the file has errors.
func Check(file string, data []byte) (c *configurer.Configuration, findings []Finding, malformed bool) {
	c, d := configurer.ParseDocument(file, data)
	if err := d.Err(); err != nil {
		findings, malformed = ErrorFindings(err)
		return nil, findings, malformed
	}
	for _, w := range Warnings(c) {
		findings = append(findings, Finding{
			Severity: SeverityWarning, File: file, Line: d.Line(w.Field), Field: w.Field, Message: w.Message,
		})
	}
	return c, findings, false
}

// ErrorFindings returns the problems of a configurer.InvalidError as findings, or nil for another error.
func ErrorFindings(err error) (findings []Finding, malformed bool) {
	var invalid *configurer.InvalidError
	if !errors.As(err, &invalid) {
		return nil, false
	}
	for _, p := range invalid.Problems {
		findings = append(findings, Finding{
			Severity: SeverityError, File: p.File, Line: p.Line, Field: p.Field, Message: p.Message,
		})
	}
	return findings, invalid.Malformed
}
