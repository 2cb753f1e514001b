// Package committer keeps the configuration in the table: its items, the changes that led to it, and conditional commits.
package committer
