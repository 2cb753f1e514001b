// Package demonstrator runs all parts of a deployment on loopback with fakes of the platform and its upstreams.
package demonstrator
