// Package follower keeps a copy of a table by following its changes, through outages and a history that was dropped.
package follower
