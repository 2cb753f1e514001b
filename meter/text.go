package meter

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
)

// CounterName returns the name of a counter in the text format.
func CounterName(part, name string) string {
	return prefix + "_" + sanitize(part) + "_" + sanitize(name) + "_total"
}

// LatencyName returns the name of a histogram in the text format.
func LatencyName(l Latency) string {
	return prefix + "_" + sanitize(l.Name) + "_seconds"
}

// sanitize replaces what the text format does not accept in names.
func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z') || (r >= '0' && r <= '9') {
			return r
		}
		return '_'
	}, s)
}

// labelEscaper escapes the value of a label.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// writeText writes a snapshot sorted by name, so that two scrapes of the same values are the same.
func writeText(b *strings.Builder, s tally.Snapshot) {
	helps := map[string]string{}
	for _, c := range Counters() {
		helps[c.Part+" "+c.Name] = c.Help
	}
	counters := slices.SortedFunc(maps.Values(s.Counters()), func(a, b tally.CounterSnapshot) int { return cmp.Compare(a.Name(), b.Name()) })
	for _, c := range counters {
		part, name, _ := strings.Cut(c.Name(), " ")
		full := CounterName(part, name)
		help, ok := helps[c.Name()]
		if !ok {
			help = "Counter " + name + " of the part " + part + "."
		}
		fmt.Fprintf(b, "# HELP %s %s\n# TYPE %s counter\n%s %d\n", full, help, full, full, c.Value())
	}
	writeHistograms(b, s)
}

func writeHistograms(b *strings.Builder, s tally.Snapshot) {
	all := AllLatencies()
	byName := map[string]Latency{}
	for _, l := range []Latency{all.FirstToken, all.BetweenTokens, all.Request, all.QueueWait, all.ConfigurationAge} {
		byName[l.Name] = l
	}
	histograms := slices.SortedFunc(maps.Values(s.Histograms()), func(a, b tally.HistogramSnapshot) int {
		return cmp.Or(cmp.Compare(a.Name(), b.Name()), cmp.Compare(fmt.Sprint(a.Tags()), fmt.Sprint(b.Tags())))
	})
	last := ""
	for _, h := range histograms {
		l := byName[h.Name()]
		l.Name = h.Name()
		full := LatencyName(l)
		if full != last {
			fmt.Fprintf(b, "# HELP %s %s\n# TYPE %s histogram\n", full, l.Help, full)
			last = full
		}
		labels := make([]string, 0, len(h.Tags()))
		for k, v := range h.Tags() {
			labels = append(labels, sanitize(k)+`="`+labelEscaper.Replace(v)+`"`)
		}
		slices.Sort(labels)
		writeHistogram(b, full, strings.Join(labels, ","), h.Durations())
	}
}

// writeHistogram writes cumulative buckets, the count and a sum that counts each sample at its upper bound, since the
// scope keeps no sum; samples beyond the last bound count at that bound.
func writeHistogram(b *strings.Builder, full, labels string, samples map[time.Duration]int64) {
	bounds := slices.Sorted(maps.Keys(samples))
	total, sum, last := int64(0), 0.0, 0.0
	for _, bound := range bounds {
		total += samples[bound]
		if bound == time.Duration(1<<63-1) {
			sum += last * float64(samples[bound])
			continue
		}
		last = bound.Seconds()
		sum += last * float64(samples[bound])
		fmt.Fprintf(b, "%s_bucket{%s,le=\"%s\"} %d\n", full, labels, strconv.FormatFloat(last, 'g', -1, 64), total)
	}
	fmt.Fprintf(b, "%s_bucket{%s,le=\"+Inf\"} %d\n", full, labels, total)
	fmt.Fprintf(b, "%s_sum{%s} %s\n%s_count{%s} %d\n", full, labels, strconv.FormatFloat(sum, 'g', -1, 64), full, labels, total)
}
