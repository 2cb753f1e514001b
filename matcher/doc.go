// Package matcher finds the route and the client account of a request to an entry without agents.
package matcher
