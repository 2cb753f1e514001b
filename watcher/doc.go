// Package watcher polls an engine for the versions that it has loaded and tracks whether it responds.
package watcher
