// Package harness runs the entries of a review case as separate processes beside stand-ins, all on loopback addresses.
package harness

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/siskinfront/siskinfront/platform"
	"github.com/siskinfront/siskinfront/platform/standin"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

const (
	// readyTimeout is how long an entry may take to become ready.
	readyTimeout = 15 * time.Second
	// stopTimeout is how long a process may take to end after SIGTERM.
	stopTimeout = 9 * time.Second
)

// Case is one run of a case.
type Case struct {
	// Trouble is unset if the disruption is left out.
	Trouble  bool
	Store    *standin.Store
	Operator *standin.Operator

	dir     string
	program string
	began   time.Time
	entries []*Entry

	mu  sync.Mutex
	out *bufio.Writer
}

// Main runs a case, which returns the number of times that the rule was broken, and ends the process with its exit code. The arguments
// are the program of the entry and the file of the record.
func Main(run func(*Case) (int, error)) {
	os.Exit(execute(run))
}

func execute(run func(*Case) (int, error)) int {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: CASE ENTRY-PROGRAM RECORD [ARGUMENT...]")
		return exitFailed
	}
	broken, err := record(run)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	case broken > 0:
		fmt.Printf("rule broken: %d\n", broken)
		return exitBroken
	}
	fmt.Println("rule held")
	return exitHeld
}

func record(run func(*Case) (int, error)) (broken int, err error) {
	f, err := os.Create(filepath.Clean(os.Args[2])) //nolint:gosec // The caller of the command names the file.
	if err != nil {
		return 0, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return 0, errors.Join(err, f.Close())
	}
	c := &Case{
		Trouble: os.Getenv("TROUBLE") != "0", dir: dir, program: os.Args[1], began: time.Now(), out: bufio.NewWriter(f),
	}
	if c.Store, err = standin.NewStore(); err != nil {
		return 0, errors.Join(err, f.Close())
	}
	c.Operator = standin.NewOperator(c.Store)
	defer func() {
		for _, e := range c.entries {
			e.end()
		}
		c.Store.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		err = errors.Join(err, c.out.Flush(), f.Close(), os.RemoveAll(dir))
	}()
	c.Log("trouble %v", c.Trouble)
	return run(c)
}

// Log writes a line with the time since the start to the record.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.out, "%9.4f ", time.Since(c.began).Seconds())
	fmt.Fprintf(c.out, format+"\n", args...)
}

// Entry is one process of the entry.
type Entry struct {
	Name string
	// Address is where callers connect.
	Address netip.AddrPort

	ready        netip.AddrPort
	settingsFile string
	cmd          *exec.Cmd
	ended        chan struct{}
}

// freeAddresses returns different loopback addresses with ports that are free for TCP and UDP now.
func freeAddresses(n int) ([]netip.AddrPort, error) {
	var lc net.ListenConfig
	addresses := make([]netip.AddrPort, 0, n)
	for len(addresses) < n {
		l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		// The listeners stay open until all addresses are found, so that none is found twice.
		defer func() { _ = l.Close() }()
		address := netip.MustParseAddrPort(l.Addr().String())
		p, err := lc.ListenPacket(context.Background(), "udp", address.String())
		if err != nil {
			continue
		}
		_ = p.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// startTries bounds the starts of an entry: another program may take one of its ports before it does.
const startTries = 3

// StartEntry starts an entry and returns when it is ready.
func (c *Case) StartEntry(name string) (*Entry, error) {
	var errs []error
	for range startTries {
		e, err := c.startEntry(name)
		if err == nil {
			return e, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}

// startEntry starts an entry with the settings that deploy/settings.yaml.tmpl renders for a small deployment.
func (c *Case) startEntry(name string) (*Entry, error) {
	a, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	settings := fmt.Sprintf(`instance: %q
data-centre: "dc-a"
region: "r"
data-centres:
  - name: dc-a
    region: "r"
caller-address: %q
ready-address: %q
debug-address: %q
peer-address: %q
store: %q
store-reads-per-second: 2000
memory-bytes: 284000000
shutdown: 8s
exposure: 0.15
exposure-slack: 30
retries:
  ratio: 0.9
  extra: 58
session-time: 5s
contact: 3000ms
leave-time: 2000ms
apply-time: 2000ms
`, name, a[0], a[1], a[2], a[3], c.Store.Address())
	e := &Entry{Name: name, Address: a[0], ready: a[1], settingsFile: filepath.Join(c.dir, name+".yaml"), ended: make(chan struct{})}
	if err := os.WriteFile(e.settingsFile, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.dir, name+".log")) //nolint:gosec // The directory is that of the run.
	if err != nil {
		return nil, err
	}
	// No context ends the process: end signals it by its id.
	e.cmd = exec.CommandContext(context.Background(), c.program) //nolint:gosec // The program of the deploy file.
	e.cmd.Env = append(os.Environ(), "SISKINFRONT_BOOT="+e.settingsFile)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := e.cmd.Start(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	c.entries = append(c.entries, e)
	go func() {
		// The error is that of a process that was killed.
		_ = e.cmd.Wait()
		_ = log.Close()
		close(e.ended)
	}()
	return e, c.awaitReady(e)
}

func (c *Case) awaitReady(e *Entry) error {
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(20 * time.Millisecond) {
		if e.isReady() {
			c.Log("entry %s is ready at %s", e.Name, e.Address)
			return nil
		}
		if e.Ended() || time.Now().After(deadline) {
			e.end()
			return fmt.Errorf("entry %s is not ready", e.Name)
		}
	}
}

func (e *Entry) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ready.String()+platform.ReadyPath(), http.NoBody)
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

// Signal sends a signal to the process.
func (e *Entry) Signal(s syscall.Signal) {
	// The error is that of a process that has ended.
	_ = e.cmd.Process.Signal(s)
}

// Ended reports whether the process has ended.
func (e *Entry) Ended() bool {
	select {
	case <-e.ended:
		return true
	default:
		return false
	}
}

// end ends the process.
func (e *Entry) end() {
	e.Signal(syscall.SIGCONT)
	e.Signal(syscall.SIGKILL)
	select {
	case <-e.ended:
	case <-time.After(stopTimeout):
	}
}
