// Package reaper closes callers' connections that are idle, or have incomplete headers, for longer than limits that may change at
// any time, and stops servers, without closing a connection whose request was read.
package reaper
