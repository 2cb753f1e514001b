// Package reaper ends callers' connections that are idle, or send headers, for longer than limits that may change at any time.
package reaper
