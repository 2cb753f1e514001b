// Package leaser acquires and renews named leases in the table; each term has a higher fencing token than all earlier ones.
package leaser
