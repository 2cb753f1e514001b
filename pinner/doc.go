// Package pinner keeps each session on the version on which it started. The entry that owns the hash of a session in its region
// stores the version; while the owner is unreachable, every entry derives the same version from the hash and the configuration.
package pinner
