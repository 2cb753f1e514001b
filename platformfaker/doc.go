// Package platformfaker fakes the platform's table, object store, weight store, rating service and instance list.
package platformfaker
