//go:build !linux

package slopesbencher

import "os/exec"

// endWithParent does nothing: no process is measured on this system.
func endWithParent(*exec.Cmd) {}
