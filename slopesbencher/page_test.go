//go:build !race

package slopesbencher_test

import (
	"math"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/slopesbencher"
)

// pageError is the relative error that docs/CAPACITY.md states for slopes in bytes.
const pageError = 0.15

// Guards against a capacity page that states sizes which the code no longer has. Processor times depend on the machine and
// are not compared. The race detector changes the sizes of allocations, so the test is not built with it.
func TestPageHoldsTheMeasuredBytes(t *testing.T) {
	text, err := os.ReadFile("../docs/CAPACITY.md")
	must.NoError(t, err)
	page := map[string]float64{}
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(line, " | ")
		if len(cells) != 7 || !strings.HasPrefix(cells[1], "bytes") {
			continue
		}
		perUnit, err := strconv.ParseFloat(cells[5], 64)
		must.NoError(t, err)
		page[strings.TrimPrefix(cells[0], "| ")] = perUnit
	}
	report, err := slopesbencher.Experiment("").Run(t.Context(), bencher.Params{Seed: 1})
	must.NoError(t, err)
	checked := 0
	for _, row := range report.Rows {
		if !strings.HasPrefix(row[1], "bytes") {
			continue
		}
		want, ok := page[row[0]]
		must.True(t, ok, must.Sprint(row[0]+" is missing on the page"))
		got, err := strconv.ParseFloat(row[5], 64)
		must.NoError(t, err)
		// A slope near zero, such as that of heartbeats, is noise, so its relative error says nothing; it only has to stay near zero.
		must.LessEq(t, max(pageError*math.Abs(want), 0.1), math.Abs(got-want), must.Sprintf("%s: page %g, measured %g", row[0], want, got))
		checked++
	}
	must.Eq(t, len(page), checked)
	must.Positive(t, checked)
}
