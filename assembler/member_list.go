package assembler

import (
	"context"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
)

// remoteListAge is the age after which the lists of other data centres are read again. They matter when the own data
// centre has failed, and reading all ten each 5 s would take a tenth of a node's control traffic.
const remoteListAge = 60 * time.Second

// memberList reads the platform's list of the own data centre, and less often those of the others.
type memberList struct {
	source func(context.Context, identifier.DataCentre) ([]storer.Instance, error)
	own    identifier.DataCentre
	others []identifier.DataCentre

	// The fields below are used by the detector's list duty alone.
	remote    map[identifier.DataCentre][]storer.Instance
	refreshAt time.Time
}

func newMemberList(
	source func(context.Context, identifier.DataCentre) ([]storer.Instance, error), own identifier.DataCentre,
	all []identifier.DataCentre,
) *memberList {
	return &memberList{
		source: source, own: own, remote: map[identifier.DataCentre][]storer.Instance{},
		others: slices.DeleteFunc(slices.Clone(all), func(d identifier.DataCentre) bool { return d == own }),
	}
}

// read returns the instances of all data centres that this process needs. A data centre whose list cannot be read
// keeps its last one.
func (l *memberList) read(ctx context.Context) ([]storer.Instance, error) {
	list, err := l.source(ctx, l.own)
	if err != nil {
		return nil, err
	}
	list = slices.Clone(list)
	now := time.Now()
	due := !now.Before(l.refreshAt)
	for _, d := range l.others {
		// An empty list is read again at once: after a start of the whole deployment it lags.
		if due || len(l.remote[d]) == 0 {
			if remote, err := l.source(ctx, d); err == nil {
				l.remote[d] = remote
			}
		}
		list = append(list, l.remote[d]...)
	}
	if due {
		l.refreshAt = now.Add(remoteListAge)
	}
	return list, nil
}
