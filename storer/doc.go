// Package storer holds the clients of the platform's table, object store, weight store, rating service and instance list.
package storer
