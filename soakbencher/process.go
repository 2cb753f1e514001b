package soakbencher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The ports of an entry on its own loopback host.
const (
	callerPort = 7001
	readyPort  = 7002
	debugPort  = 7003
)

// hosts numbers the loopback hosts of this process. The system never takes the port of an outgoing connection from them, so
// the ports are free again after a restart.
var hosts atomic.Int64

// entry is one entry process with its faults.
type entry struct {
	name    string
	program string
	args    []string
	file    string
	host    string
	log     *os.File
	store   *proxy

	mu sync.Mutex
	// cmd is nil while the process is not running; incarnation counts the starts.
	cmd         *exec.Cmd
	incarnation int
	paused      bool
	stopping    bool
	// disturbedUntil is the end of the last fault of the process, with the time to recover from it.
	disturbedUntil time.Time
}

func newEntry(dir, name, program string, args []string, store *proxy) (*entry, error) {
	n := hosts.Add(1)
	pid := os.Getpid()
	e := &entry{
		name: name, program: program, args: args, file: filepath.Join(dir, name+".yaml"), store: store,
		host: fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%250, n%250+1),
	}
	log, err := os.Create(filepath.Join(dir, name+".log")) //nolint:gosec // The directory is that of the run.
	if err != nil {
		return nil, fmt.Errorf("soakbencher: log of %s: %w", name, err)
	}
	e.log = log
	return e, e.writeSettings(shutdownTime)
}

// shutdownTime is what an entry has to stop.
const shutdownTime = 4 * time.Second

func (e *entry) writeSettings(shutdown time.Duration) error {
	text := fmt.Sprintf(`instance: %s
data-centre: dc-a
region: r
data-centres:
  - name: dc-a
    region: r
caller-address: "%s:%d"
ready-address: "%s:%d"
debug-address: "%s:%d"
store: "%s"
memory-bytes: 200000000
shutdown: %v
exposure: 0.15
contact: 3s
retries:
  ratio: 0.9
  extra: 56
`, e.name, e.host, callerPort, e.host, readyPort, e.host, debugPort, e.store.address(), shutdown)
	if err := os.WriteFile(e.file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("soakbencher: settings of %s: %w", e.name, err)
	}
	return nil
}

// start starts the process; one that is running stays.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		return nil
	}
	// The process outlives no context: stop and kill end it by its id.
	cmd := exec.CommandContext(context.Background(), e.program, append(e.args, "--settings", e.file)...) //nolint:gosec // The program under test.
	cmd.Stdout, cmd.Stderr = e.log, e.log
	// In the group of the soak, a paused entry would end the others by SIGHUP if that group became orphaned.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("soakbencher: start %s: %w", e.name, err)
	}
	e.cmd, e.paused, e.stopping = cmd, false, false
	e.incarnation++
	e.disturb(startTime)
	return nil
}

// startTime is what a process needs to serve after its start, and a caller to notice.
const startTime = 3 * time.Second

// disturb notes a fault that lasts for d; e.mu is held.
func (e *entry) disturb(d time.Duration) {
	if until := time.Now().Add(d); until.After(e.disturbedUntil) {
		e.disturbedUntil = until
	}
}

// signal sends a signal to the process, if it runs.
func (e *entry) signal(s syscall.Signal, disturbance time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disturb(disturbance)
	if e.cmd == nil {
		return
	}
	if err := e.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return
	}
	switch s {
	case syscall.SIGSTOP:
		e.paused = true
	case syscall.SIGCONT:
		e.paused = false
	case syscall.SIGTERM:
		e.stopping = true
	default:
	}
}

// wait waits for the end of the process and returns its error.
func (e *entry) wait() error {
	e.mu.Lock()
	cmd := e.cmd
	e.mu.Unlock()
	if cmd == nil {
		return nil
	}
	err := cmd.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == cmd {
		e.cmd = nil
	}
	return err
}

// state returns the number of the run, and whether callers may open connections to it.
func (e *entry) state() (incarnation int, open, calm bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation, e.cmd != nil && !e.stopping, time.Now().After(e.disturbedUntil)
}

func (e *entry) address() netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s:%d", e.host, callerPort))
}

// isReady asks the process as a load balancer does.
func (e *entry) isReady(ctx context.Context, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", e.host, readyPort, path), http.NoBody)
	if err != nil {
		return false
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = w.Body.Close()
	return w.StatusCode == http.StatusOK
}
