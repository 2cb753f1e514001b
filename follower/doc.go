// Package follower keeps a copy of a table up to date by following its changes, also across outages of the store and after the
// store has dropped its history of changes.
package follower
