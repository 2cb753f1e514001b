// Package watcher knows which versions an engine has loaded and whether it answers.
package watcher
