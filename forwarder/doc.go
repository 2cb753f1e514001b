// Package forwarder passes requests through an entry without agents: it determines route, client account, version, model and
// upstream, makes attempts within the retry budget and relays the response.
package forwarder
