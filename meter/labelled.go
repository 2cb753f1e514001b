package meter

// labelledGauges are the gauges of a part by name and value of a label.
type labelledGauges struct {
	label  string
	values func() map[string]map[string]float64
}

// RegisterLabelledGauges adds values of a part that go up and down, by their name and the value of a label, and panics if the part has
// some already. A value that is no longer returned becomes 0.
func (m *Meter) RegisterLabelledGauges(part, label string, values func() map[string]map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, taken := m.labelled[part]; taken {
		panic("meter: the labelled gauges of " + part + " are registered twice")
	}
	m.labelled[part] = labelledGauges{label, values}
}

// collectLabelled sets the gauges of a part. The mutex scrapeMu must be held.
func (m *Meter) collectLabelled(part string, g labelledGauges) {
	for name, byLabel := range g.values() {
		full := part + " " + name
		last := m.labelValues[full]
		if last == nil {
			last = map[string]bool{}
			m.labelValues[full] = last
		}
		for value := range last {
			if _, ok := byLabel[value]; !ok {
				m.scope.Tagged(map[string]string{g.label: value}).Gauge(full).Update(0)
			}
		}
		for value, x := range byLabel {
			if !last[value] && !m.addSeries() {
				continue
			}
			last[value] = true
			m.scope.Tagged(map[string]string{g.label: value}).Gauge(full).Update(x)
		}
	}
}

// addSeries counts a further series, and returns false if there are too many.
func (m *Meter) addSeries() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seriesCount >= maxSeries {
		return false
	}
	m.seriesCount++
	return true
}
