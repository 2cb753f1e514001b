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
	peerPort   = 7004
)

// lastHost is the number of the last loopback address that this process assigned to an entry. The operating system uses these
// addresses for no outgoing connection, so their ports are free when an entry restarts.
var lastHost atomic.Int64

// entry is an entry process with the faults that affect it.
type entry struct {
	name         string
	program      string
	args         []string
	settingsFile string
	host         string
	logFile      *os.File
	storeProxy   *proxy

	mu sync.Mutex
	// process is nil while none is running; incarnation counts the starts.
	process     *process
	incarnation int
	paused      bool
	stopping    bool
	// disturbedUntil is the end of the last fault of the process and of the recovery from it.
	disturbedUntil time.Time
}

// process is a started process. A stop and a kill may wait for its end at the same time.
type process struct {
	*exec.Cmd
	// ended is closed at its end, after err was set.
	ended chan struct{}
	err   error
}

func newEntry(dir, name, program string, args []string, store *proxy) (*entry, error) {
	n := lastHost.Add(1)
	pid := os.Getpid()
	e := &entry{
		name: name, program: program, args: args, settingsFile: filepath.Join(dir, name+".yaml"), storeProxy: store,
		host: fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%250, n%250+1),
	}
	log, err := os.Create(filepath.Join(dir, name+".log")) //nolint:gosec // The directory is that of the run.
	if err != nil {
		return nil, fmt.Errorf("soakbencher: log of %s: %w", name, err)
	}
	e.logFile = log
	return e, e.writeSettings(shutdownTimeout)
}

// shutdownTimeout is the time that the settings give an entry for a graceful stop.
const shutdownTimeout = 4 * time.Second

func (e *entry) writeSettings(shutdown time.Duration) error {
	text := fmt.Sprintf(`instance: %s
data-centre: dc-a
region: r
data-centres: [{name: dc-a, region: r}, {name: dc-b, region: r}]
evacuate-time: %v
cold: {over: %v, slack: %v}
caller-address: "%s:%d"
ready-address: "%s:%d"
debug-address: "%s:%d"
peer-address: "%s:%d"
store: "%s"
memory-bytes: 200000000
shutdown: %v
exposure: 0.15
contact: 3s
retries:
  ratio: 0.9
  extra: 56
`, e.name, evacuateTime, coldOver, coldSlack, e.host, callerPort, e.host, readyPort, e.host, debugPort, e.host, peerPort, e.storeProxy.address(), shutdown)
	if err := os.WriteFile(e.settingsFile, []byte(text), 0o600); err != nil {
		return fmt.Errorf("soakbencher: settings of %s: %w", e.name, err)
	}
	return nil
}

// start starts the process unless it is running.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		return nil
	}
	// No context ends the process: stopEntry and kill signal it by its id.
	//nolint:gosec // The program under test.
	cmd := exec.CommandContext(context.Background(), e.program, append(e.args, "--settings", e.settingsFile)...)
	cmd.Stdout, cmd.Stderr = e.logFile, e.logFile
	// Each entry has its own process group. If the group of the soak became orphaned while one entry in it was paused, the
	// kernel would send SIGHUP to all of its processes and end them.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("soakbencher: start %s: %w", e.name, err)
	}
	p := &process{Cmd: cmd, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		p.err = p.Wait()
	}()
	e.process, e.paused, e.stopping = p, false, false
	e.incarnation++
	e.noteFault(startupTime)
	return nil
}

// startupTime is how long a started process takes to serve, and callers to use it again.
const startupTime = 3 * time.Second

// noteFault extends disturbedUntil to at least d from now; e.mu is held.
func (e *entry) noteFault(d time.Duration) {
	if until := time.Now().Add(d); until.After(e.disturbedUntil) {
		e.disturbedUntil = until
	}
}

// signal sends a signal to the process if it is running, and counts it as disturbed for a time.
func (e *entry) signal(s syscall.Signal, disturbance time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteFault(disturbance)
	if e.process == nil {
		return
	}
	if err := e.process.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
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
	p := e.process
	e.mu.Unlock()
	if p == nil {
		return nil
	}
	<-p.ended
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process == p {
		e.process = nil
	}
	return p.err
}

// state returns the incarnation, whether the process accepts connections (it is running and not stopping), and whether no fault
// affects it.
func (e *entry) state() (incarnation int, open, undisturbed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation, e.process != nil && !e.stopping, time.Now().After(e.disturbedUntil)
}

func (e *entry) address() netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s:%d", e.host, callerPort))
}

// isReady requests the readiness path as a load balancer does.
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
