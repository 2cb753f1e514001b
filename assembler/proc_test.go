package assembler_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/dumper"
)

// proc is an entry or agent process under test. Its listeners use fixed ports on a loopback address of its own.
type proc struct {
	t        *testing.T
	name     string
	role     string
	settings string
	host     string
	cmd      *exec.Cmd
	log      bytes.Buffer
	done     chan error
}

// newProc writes the settings of a process. Each process has a loopback address of its own. The system takes the ports of
// outgoing connections from other addresses, so the ports are still free when the process restarts.
func (d *deployment) newProc(name, role, extraSettings string) *proc {
	n := processHosts.Add(1)
	p := &proc{
		t: d.t, name: name, role: role, settings: filepath.Join(d.dir, name+".yaml"),
		host: fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250, n),
	}
	text := fmt.Sprintf("instance: %s\ndata-centre: %s\nregion: pt-centro\nplatform:\n%s%s%s",
		name, d.dataCentre(name), d.platform, extraSettings, d.tls)
	listeners := map[string][]string{"entry": {"control", "debug", "caller", "admin"}, "agent": {"control", "debug", "data"}}
	for _, l := range listeners[role] {
		text += fmt.Sprintf("%s-address: %s\n", l, p.address(l))
	}
	must.NoError(d.t, os.WriteFile(p.settings, []byte(text), 0o600))
	d.procs[name] = p
	return p
}

// address returns the address of a listener.
func (p *proc) address(listener string) netip.AddrPort {
	ports := map[string]uint16{"control": 20001, "debug": 20002, "caller": 20003, "admin": 20004, "data": 20005}
	return netip.AddrPortFrom(netip.MustParseAddr(p.host), ports[listener])
}

func (p *proc) start() {
	p.t.Helper()
	p.cmd = exec.Command(binary, p.role, "--settings", p.settings, "--log-level", "warn")
	p.log.Reset()
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	// Pdeathsig: otherwise processes would outlive a test binary that is killed at its time limit. Setpgid: when the shell that
	// started the tests exits, their process group is orphaned, and a stopped process in it would cause SIGHUP for the others.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	must.NoError(p.t, p.cmd.Start())
	done := make(chan error, 1)
	p.done = done
	cmd := p.cmd
	go func() { done <- cmd.Wait(); close(done) }()
	p.t.Cleanup(func() {
		// Kill fails if the process has already exited.
		_ = cmd.Process.Kill()
		if err := <-done; err != nil && p.t.Failed() {
			p.t.Logf("%s: %v", p.name, err)
		}
		if p.t.Failed() {
			p.t.Logf("%s:\n%s", p.name, p.log.String())
		}
	})
}

func (p *proc) signal(s syscall.Signal) {
	p.t.Helper()
	must.NoError(p.t, p.cmd.Process.Signal(s))
}

// wait waits for the process to exit and returns its error.
func (p *proc) wait() error {
	p.t.Helper()
	select {
	case err := <-p.done:
		return err
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not end", p.name)
		return nil
	}
}

// terminate sends SIGTERM and expects the process to exit without an error, which means that it has drained.
func (p *proc) terminate() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	must.NoError(p.t, p.wait(), must.Sprint(p.name))
}

// state decodes the state of one component from the state dump into v.
func (p *proc) state(part string, v any) error {
	ctx, cancel := context.WithTimeout(p.t.Context(), 5*time.Second)
	defer cancel()
	d, err := dumper.Fetch(ctx, p.address("debug"))
	if err != nil {
		return err
	}
	return json.Unmarshal(d.Parts[part], v)
}

// revision returns the configuration revision in force, or 0 while the process does not answer.
func (p *proc) revision() uint64 {
	var s struct {
		Revision uint64 `json:"revision"`
	}
	if p.state("distributor", &s) != nil {
		return 0
	}
	return s.Revision
}
