// Package administrator serves the administration API under /admin/v1/ with optimistic concurrency.
package administrator
