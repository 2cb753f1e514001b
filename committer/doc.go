// Package committer stores the configuration in the table as items with a history of changes, and commits conditionally.
package committer
