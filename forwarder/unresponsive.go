package forwarder

import (
	"slices"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// setAside is how long an upstream that did not answer gets no request while others are left. One refused or timed out
// connection is enough, because each further try costs a request the time to open one.
const setAside = time.Second

// silentList holds the upstreams that did not answer; it is safe for concurrent use.
type silentList struct {
	mu    sync.Mutex
	names []identifier.Upstream
	until []time.Time
}

// add sets an upstream aside.
func (l *silentList) add(name identifier.Upstream, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.names, name); i >= 0 {
		l.until[i] = now.Add(setAside)
		return
	}
	l.names, l.until = append(l.names, name), append(l.until, now.Add(setAside))
}

// appendTo appends the names of the upstreams that are set aside.
func (l *silentList) appendTo(names []identifier.Upstream, now time.Time) []identifier.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := 0; i < len(l.names); {
		if now.Before(l.until[i]) {
			names = append(names, l.names[i])
			i++
			continue
		}
		last := len(l.names) - 1
		l.names[i], l.until[i] = l.names[last], l.until[last]
		l.names, l.until = l.names[:last], l.until[:last]
	}
	return names
}
