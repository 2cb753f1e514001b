// Package identifier defines the typed names that every other package shares.
package identifier
