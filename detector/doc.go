// Package detector determines which instances are live, leaving or dead, from the platform's list and from heartbeats.
package detector
