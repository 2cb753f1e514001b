// Package questioner turns a team's answers into a complete configuration, asked in a terminal or read from a file.
package questioner
