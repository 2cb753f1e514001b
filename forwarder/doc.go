// Package forwarder is the path of one request through an entry without agents: route, client account, version, model and
// upstream, attempts within the retry budget, and the relay of the response.
package forwarder
