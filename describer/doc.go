// Package describer keeps the descriptions that agents give of their upstreams, from which an entry gets its upstreams.
package describer
