// Package authenticator checks the keys of callers and operators and provides mutual TLS from files.
package authenticator
