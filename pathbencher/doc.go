// Package pathbencher measures what entry and agent add to a call of the engine.
package pathbencher
