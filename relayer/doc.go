// Package relayer splits a stream of server-sent events into whole events and checks their ids.
package relayer
