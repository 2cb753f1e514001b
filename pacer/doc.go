// Package pacer decides how often an entry reads a table of the store, from the time within which a change must be in effect, the
// number of entries and the rate of reads that the store takes from all of them.
package pacer
