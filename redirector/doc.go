// Package redirector tracks which versions refuse work, so that requests that may run on another version are sent there
// before they are refused.
package redirector
