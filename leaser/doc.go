// Package leaser holds named leases in the table, each term with a fencing token that is higher than all before it.
package leaser
