// Package distributor brings each configuration revision from the table to every process, and never an older one.
package distributor
