// Package buffer provides a bounded queue that passes values between goroutines; it is meant for other packages of this module
// only.
package buffer
