// Package rolloutbencher measures how bad versions are detected and how often good ones are rolled back.
package rolloutbencher
