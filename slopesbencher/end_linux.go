package slopesbencher

import (
	"os/exec"
	"syscall"
)

// endWithParent lets the kernel end a process under measurement if the bench is killed.
func endWithParent(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
