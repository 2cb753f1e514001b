// Package describer keeps what the agents say about their upstreams, which gives an entry the upstreams to choose from.
package describer
