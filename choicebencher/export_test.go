package choicebencher

import (
	"context"

	"github.com/siskinfront/siskinfront/bencher"
)

// RunSmall is the experiment at a size that the race detector runs in seconds.
func RunSmall(ctx context.Context, p bencher.Params) (bencher.Report, error) {
	return compare(ctx, p, []size{
		{workers: 20, entries: 3, versions: 2, dataCentres: 4, regions: 1},
		{workers: 48, entries: 8, versions: 3, dataCentres: 4, regions: 2},
	}, 1000)
}
