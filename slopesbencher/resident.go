package slopesbencher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/dumper"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	// settleTime is the time after the start within which a process has loaded its configuration and fetched the descriptions
	// of 440 upstreams.
	settleTime = 24 * time.Second
	// samplingTime is the time after settleTime during which the resident size is read; the largest counts.
	samplingTime = 6 * time.Second
	// samplingInterval is the time between two readings of the resident size.
	samplingInterval = 200 * time.Millisecond
	// parallelProcesses bounds the measured processes that run at once, each with its own stand-ins for platform and members.
	parallelProcesses = 3
	// residentAccounts is the number of client accounts while the number of members varies, and residentMembers the converse.
	residentAccounts = int(accounts)
	residentMembers  = int(membersPerDataCentre)
	residentByMember = "member of the data centre"
)

// measureResidentSizes measures the resident size of entry and agent processes on loopback. It measures nothing without a
// binary, or on systems without Linux's /proc.
func measureResidentSizes(ctx context.Context, binary string) ([]LinearFit, error) {
	if binary == "" || runtime.GOOS != "linux" {
		return nil, nil
	}
	var list []LinearFit
	for _, r := range []string{"entry", "agent"} {
		for _, x := range []struct {
			unit  string
			sizes []int
			size  func(n int) (members, accounts int)
		}{
			{residentByMember, []int{25, residentMembers, 2 * residentMembers}, func(n int) (int, int) { return n, residentAccounts }},
			{"client account", []int{50, residentAccounts, 1000}, func(n int) (int, int) { return residentMembers, n }},
		} {
			values := make([]float64, len(x.sizes))
			g, ctx := errgroup.WithContext(ctx)
			g.SetLimit(parallelProcesses)
			for i, n := range x.sizes {
				g.Go(func() (err error) {
					members, accounts := x.size(n)
					values[i], err = measureResidentSize(ctx, binary, r, &standIns{number: 1 + i}, members, accounts)
					return err
				})
			}
			if err := g.Wait(); err != nil {
				return nil, err
			}
			list = append(list, fitLine(r+" process, by "+x.unit, "resident bytes per "+x.unit, x.sizes, values))
		}
	}
	return list, nil
}

// measureResidentSize runs one process against stand-ins and returns its largest resident size in bytes after it has settled.
func measureResidentSize(ctx context.Context, binary, role string, s *standIns, n, accounts int) (size float64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	s.ctx = ctx
	defer func() {
		cancel()
		err = errors.Join(err, s.close())
	}()
	if err := s.start(n, accounts); err != nil {
		return 0, err
	}
	debug, file, err := s.writeSettings(role)
	if err != nil {
		return 0, err
	}
	var log bytes.Buffer
	cmd := exec.CommandContext(ctx, binary, role, "--settings", file, "--log-level", "warn") //nolint:gosec // The own program.
	cmd.Stderr = &log
	endWithParent(cmd)
	if err := cmd.Start(); err != nil {
		return 0, fmt.Errorf("slopesbencher: start %s: %w", role, err)
	}
	defer func() {
		cancel()
		// Wait returns an error because the canceled ctx has killed the process.
		_ = cmd.Wait()
	}()
	size, err = largestResidentSize(ctx, cmd.Process.Pid)
	if err == nil {
		err = checkSettled(ctx, debug, n)
	}
	if err != nil {
		return 0, fmt.Errorf("slopesbencher: %s with %d members: %w: %s", role, n, err, log.Bytes())
	}
	return size, nil
}

// largestResidentSize returns the largest resident size of a process, read during samplingTime after settleTime.
func largestResidentSize(ctx context.Context, pid int) (float64, error) {
	largest := 0.0
	begin := time.Now()
	for time.Since(begin) < settleTime+samplingTime {
		if err := storer.Sleep(ctx, samplingInterval); err != nil {
			return 0, err
		}
		size, err := residentSize(pid)
		if err != nil {
			return 0, err
		}
		if time.Since(begin) >= settleTime {
			largest = max(largest, size)
		}
	}
	return largest, nil
}

// residentSize reads the resident size of a process in bytes.
func residentSize(pid int) (float64, error) {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
	if err != nil {
		return 0, fmt.Errorf("slopesbencher: read resident size: %w", err)
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0, fmt.Errorf("slopesbencher: read resident size: %q", text)
	}
	pages, err := strconv.ParseUint(string(fields[1]), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("slopesbencher: read resident size: %w", err)
	}
	return float64(pages) * float64(os.Getpagesize()), nil
}

// checkSettled returns an error unless the process has loaded its configuration and knows n members.
func checkSettled(ctx context.Context, debug netip.AddrPort, n int) error {
	d, err := dumper.Fetch(ctx, debug)
	if err != nil {
		return err
	}
	if known := bytes.Count(d.Parts["detector"], []byte(`"instance":`)); known < n {
		return fmt.Errorf("process knows %d members", known)
	}
	if !bytes.Contains(d.Parts["distributor"], []byte(`"revision":1`)) {
		return fmt.Errorf("process has no configuration: %s", d.Parts["distributor"])
	}
	return nil
}

// residentBounds compares the resident sizes at the target size with the memory limit. The bills of a one-hour table outage
// are counted twice, because the heap may double between two garbage collections.
func residentBounds(processes []LinearFit, s map[string]*LinearFit) []bencher.Bound {
	rates := map[string]float64{"entry": requestRate / entries, "agent": requestRate / workers}
	var list []bencher.Bound
	for i := range processes {
		p := &processes[i]
		role, by, _ := strings.Cut(p.Name, " process, by ")
		if by != residentByMember {
			continue
		}
		size := p.At(membersPerDataCentre)
		bills := 2 * s["bills that wait"].PerUnit * rates[role] * billOutageSeconds
		list = append(list,
			bencher.Bound{Name: role + " resident, MB", Measured: size / 1e6, Limit: maxMemoryBytes / 1e6, AtMost: true},
			bencher.Bound{Name: role + " resident with an hour of bills, MB", Measured: (size + bills) / 1e6, Limit: maxMemoryBytes / 1e6, AtMost: true})
	}
	return list
}
