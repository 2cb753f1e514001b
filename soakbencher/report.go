package soakbencher

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"github.com/siskinfront/siskinfront/bencher"
)

// report returns the results and removes the logs of the run unless an invariant was violated.
func (s *soak) report(seed uint64) (bencher.Report, error) {
	// A planned stop that has not ended may still check its time.
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.results))
	total, violations := 0, 0
	for name, r := range s.results {
		names = append(names, name)
		total += r.checks
		violations += r.violations
	}
	if total == 0 || len(s.calls) == 0 {
		return bencher.Report{}, errNothingChecked
	}
	sort.Strings(names)
	x := bencher.Report{
		Columns: []string{"promise", "checks", "broken", "first"}, XLabel: "time in s", YLabel: "part of the calls that succeeded",
		Series: []bencher.Series{s.successSeries()},
	}
	for _, name := range names {
		r := s.results[name]
		x.Rows = append(x.Rows, []string{name, strconv.Itoa(r.checks), strconv.Itoa(r.violations), r.firstViolation})
		x.Bounds = append(x.Bounds, bencher.Bound{Name: name, Measured: float64(r.violations), Limit: 0, AtMost: true, Invariant: true})
	}
	events := filepath.Join(s.dir, "events.txt")
	if err := os.WriteFile(events, []byte(strings.Join(s.events, "\n")+"\n"), 0o600); err != nil {
		return x, fmt.Errorf("soakbencher: %w", err)
	}
	if violations > 0 {
		x.Rows = append(x.Rows, []string{"logs of seed " + strconv.FormatUint(seed, 10), "", "", s.dir})
		return x, nil
	}
	if err := os.RemoveAll(s.dir); err != nil {
		return x, fmt.Errorf("soakbencher: %w", err)
	}
	return x, nil
}

// successSeries returns the share of the calls sent in each second that succeeded.
func (s *soak) successSeries() bencher.Series {
	sent, served := map[int]float64{}, map[int]float64{}
	last := 0
	for _, c := range s.calls {
		t := int(c.sentAt.Sub(s.startedAt).Seconds())
		last = max(last, t)
		sent[t]++
		if c.complete && c.status == 200 {
			served[t]++
		}
	}
	x := bencher.Series{Name: "service"}
	for t := range last + 1 {
		if sent[t] > 0 {
			x.Points = append(x.Points, bencher.Point{X: float64(t), Y: served[t] / sent[t]})
		}
	}
	return x
}
