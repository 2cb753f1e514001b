// Package linearizer checks recorded concurrent calls of claims, leases and commits against sequential models.
package linearizer
