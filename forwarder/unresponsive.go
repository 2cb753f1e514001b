package forwarder

import (
	"slices"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
)

// exclusionTime is how long an unresponsive upstream gets no requests while others are left. One refused or timed-out connection
// is enough to exclude it, because each further attempt costs a request the time to open a connection.
const exclusionTime = time.Second

// unresponsiveList holds the upstreams that are excluded from the choice for exclusionTime; it is safe for concurrent use.
type unresponsiveList struct {
	mu    sync.Mutex
	names []identifier.Upstream
	until []time.Time
}

// add excludes an upstream, anew if it is listed already.
func (l *unresponsiveList) add(name identifier.Upstream, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.names, name); i >= 0 {
		l.until[i] = now.Add(exclusionTime)
		return
	}
	l.names, l.until = append(l.names, name), append(l.until, now.Add(exclusionTime))
}

// appendTo appends the names of the excluded upstreams and drops those whose time is over.
func (l *unresponsiveList) appendTo(names []identifier.Upstream, now time.Time) []identifier.Upstream {
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
