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
	return namePrefix + "_" + sanitize(part) + "_" + sanitize(name) + "_total"
}

// GaugeName returns the name of a gauge in the text format.
func GaugeName(part, name string) string {
	return namePrefix + "_" + sanitize(part) + "_" + sanitize(name)
}

// LatencyName returns the name of a histogram in the text format.
func LatencyName(l LatencyHistogram) string {
	return namePrefix + "_" + sanitize(l.Name) + "_seconds"
}

// sanitize replaces each character that the text format does not accept in a name by an underscore.
func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z') || (r >= '0' && r <= '9') {
			return r
		}
		return '_'
	}, s)
}

// labelEscaper escapes a label value as the text format requires.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// writeText writes a snapshot sorted by name, so that scrapes of the same values are identical.
func writeText(b *strings.Builder, s tally.Snapshot) {
	helps := map[string]string{}
	for _, c := range Counters() {
		helps[c.Part+" "+c.Name] = c.Help
	}
	counters := slices.SortedFunc(maps.Values(s.Counters()), func(a, b tally.CounterSnapshot) int { return cmp.Compare(a.Name(), b.Name()) })
	for _, c := range counters {
		part, name, _ := strings.Cut(c.Name(), " ")
		metric := CounterName(part, name)
		help, ok := helps[c.Name()]
		if !ok {
			help = "Counter " + name + " of the part " + part + "."
		}
		fmt.Fprintf(b, "# HELP %s %s\n# TYPE %s counter\n%s %d\n", metric, help, metric, metric, c.Value())
	}
	writeGauges(b, s)
	writeHistograms(b, s)
}

func writeGauges(b *strings.Builder, s tally.Snapshot) {
	gauges := slices.SortedFunc(maps.Values(s.Gauges()), func(a, b tally.GaugeSnapshot) int {
		return cmp.Or(cmp.Compare(a.Name(), b.Name()), cmp.Compare(fmt.Sprint(a.Tags()), fmt.Sprint(b.Tags())))
	})
	last := ""
	for _, g := range gauges {
		part, name, _ := strings.Cut(g.Name(), " ")
		metric := GaugeName(part, name)
		if metric != last {
			fmt.Fprintf(b, "# HELP %s Gauge %s of the part %s.\n# TYPE %s gauge\n", metric, name, part, metric)
		}
		last = metric
		labels := ""
		for label, value := range g.Tags() { // at most one
			labels = "{" + sanitize(label) + `="` + labelEscaper.Replace(value) + `"}`
		}
		fmt.Fprintf(b, "%s%s %s\n", metric, labels, strconv.FormatFloat(g.Value(), 'f', -1, 64))
	}
}

func writeHistograms(b *strings.Builder, s tally.Snapshot) {
	all := AllLatencies()
	byName := map[string]LatencyHistogram{}
	for _, l := range []LatencyHistogram{all.FirstToken, all.BetweenTokens, all.Request, all.QueueWait, all.ConfigurationAge} {
		byName[l.Name] = l
	}
	histograms := slices.SortedFunc(maps.Values(s.Histograms()), func(a, b tally.HistogramSnapshot) int {
		return cmp.Or(cmp.Compare(a.Name(), b.Name()), cmp.Compare(fmt.Sprint(a.Tags()), fmt.Sprint(b.Tags())))
	})
	lastMetric := ""
	for _, h := range histograms {
		l := byName[h.Name()]
		l.Name = h.Name()
		metric := LatencyName(l)
		if metric != lastMetric {
			fmt.Fprintf(b, "# HELP %s %s\n# TYPE %s histogram\n", metric, l.Help, metric)
			lastMetric = metric
		}
		labels := make([]string, 0, len(h.Tags()))
		for k, v := range h.Tags() {
			labels = append(labels, sanitize(k)+`="`+labelEscaper.Replace(v)+`"`)
		}
		slices.Sort(labels)
		writeHistogram(b, metric, strings.Join(labels, ","), h.Durations())
	}
}

// writeHistogram writes cumulative buckets, the count and a sum. The scope keeps no sum, so each sample adds the upper
// bound of its bucket; samples beyond the last finite bound add that bound.
func writeHistogram(b *strings.Builder, metric, labels string, samples map[time.Duration]int64) {
	bounds := slices.Sorted(maps.Keys(samples))
	total, sum, lastBound := int64(0), 0.0, 0.0
	for _, bound := range bounds {
		total += samples[bound]
		if bound == time.Duration(1<<63-1) {
			sum += lastBound * float64(samples[bound])
			continue
		}
		lastBound = bound.Seconds()
		sum += lastBound * float64(samples[bound])
		fmt.Fprintf(b, "%s_bucket{%s,le=\"%s\"} %d\n", metric, labels, strconv.FormatFloat(lastBound, 'g', -1, 64), total)
	}
	fmt.Fprintf(b, "%s_bucket{%s,le=\"+Inf\"} %d\n", metric, labels, total)
	fmt.Fprintf(b, "%s_sum{%s} %s\n%s_count{%s} %d\n", metric, labels, strconv.FormatFloat(sum, 'g', -1, 64), metric, labels, total)
}
