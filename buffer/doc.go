// Package buffer provides the bounded ring that joins goroutines; only other packages of this module need it.
package buffer
