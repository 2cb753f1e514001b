// Package questioner generates a complete configuration from a team's answers to a questionnaire, which it asks in a
// terminal or reads from a file.
package questioner
