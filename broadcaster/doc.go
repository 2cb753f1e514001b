// Package broadcaster sends small messages to all other entries in datagrams. Each message is sent several times, as datagrams are
// lost, and received once.
package broadcaster
