package slopesbencher

import (
	"os/exec"
	"syscall"
)

// endWithParent makes the kernel kill a process under measurement when the benchmark dies.
func endWithParent(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
