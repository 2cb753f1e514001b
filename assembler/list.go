package assembler

import (
	"context"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
)

// remoteListMaxAge is the age after which the lists of other data centres are read again. They are needed when the local data
// centre has failed. Reading the lists of all ten data centres every 5 s would cost a tenth of an instance's control traffic.
const remoteListMaxAge = 60 * time.Second

// memberList reads the platform's list of instances for the local data centre, and less often those of the others.
type memberList struct {
	fetchList         func(context.Context, identifier.DataCentre) ([]storer.Instance, error)
	localDataCentre   identifier.DataCentre
	remoteDataCentres []identifier.DataCentre

	// The fields below are used only by read, which the detector calls from one goroutine.
	remoteLists map[identifier.DataCentre][]storer.Instance
	refreshAt   time.Time
}

func newMemberList(
	fetchList func(context.Context, identifier.DataCentre) ([]storer.Instance, error), localDataCentre identifier.DataCentre,
	all []identifier.DataCentre,
) *memberList {
	return &memberList{
		fetchList: fetchList, localDataCentre: localDataCentre, remoteLists: map[identifier.DataCentre][]storer.Instance{},
		remoteDataCentres: slices.DeleteFunc(slices.Clone(all), func(d identifier.DataCentre) bool { return d == localDataCentre }),
	}
}

// read returns the instances of all data centres that this process needs. If the list of another data centre can't be
// read, its last list is used.
func (l *memberList) read(ctx context.Context) ([]storer.Instance, error) {
	list, err := l.fetchList(ctx, l.localDataCentre)
	if err != nil {
		return nil, err
	}
	list = slices.Clone(list)
	now := time.Now()
	due := !now.Before(l.refreshAt)
	for _, d := range l.remoteDataCentres {
		// An empty list is read again on the next call: it may still be incomplete while the whole deployment starts.
		if due || len(l.remoteLists[d]) == 0 {
			if remote, err := l.fetchList(ctx, d); err == nil {
				l.remoteLists[d] = remote
			}
		}
		list = append(list, l.remoteLists[d]...)
	}
	if due {
		l.refreshAt = now.Add(remoteListMaxAge)
	}
	return list, nil
}
