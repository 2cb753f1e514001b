// Package demonstrator runs a whole deployment on loopback with stand-ins for the platform and the engines.
package demonstrator
