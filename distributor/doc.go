// Package distributor distributes each configuration revision from the table to every process and never applies an older one.
package distributor
