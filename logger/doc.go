// Package logger writes structured lines without ever blocking the caller, and bounds their number.
package logger
