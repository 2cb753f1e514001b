package distributor

import (
	"context"
	"fmt"

	"github.com/siskinfront/siskinfront/identifier"
)

// Pull asks one peer for the changes after the revision in force: a peer that is known to be ahead, for a reader a random
// instance of another data centre, or else alternately the parent and a random member.
func (d *Distributor) Pull(ctx context.Context) error {
	peer := d.choosePeer()
	if peer == "" || d.pull == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, d.callTimeout)
	defer cancel()
	d.pulls.Add(1)
	u, err := d.pull(ctx, peer, d.Revision())
	if err != nil {
		return fmt.Errorf("distributor: pull from %s: %w", peer, err)
	}
	d.mu.Lock()
	d.peerAnswered = true
	d.mu.Unlock()
	d.Receive(ctx, u)
	return nil
}

func (d *Distributor) choosePeer() identifier.Instance {
	members := d.members()
	tree := d.tree()
	parent := tree.Parent(d.self)
	remotes := []identifier.Instance(nil)
	if tree.IsReader(d.self) {
		remotes = d.remotes()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if peer := d.peerAhead; peer != "" {
		// Clearing it here keeps a peer that does not answer from being asked again before it reports a revision again.
		d.peerAhead = ""
		return peer
	}
	d.peerChoices++
	if len(remotes) > 0 {
		return remotes[d.rand.IntN(len(remotes))]
	}
	if d.peerChoices%2 == 1 || len(members) < 2 {
		return parent
	}
	peer := members[d.rand.IntN(len(members))]
	if peer == d.self {
		return parent
	}
	return peer
}

// PullStep pulls from one peer if the pull interval has passed or a peer is known to be ahead; every process runs it.
func (d *Distributor) PullStep(ctx context.Context) {
	d.mu.Lock()
	now := d.now()
	due := d.peerAhead != "" || !now.Before(d.nextPullAt)
	if due {
		d.nextPullAt = now.Add(d.pullInterval)
	}
	d.mu.Unlock()
	if !due {
		return
	}
	if err := d.Pull(ctx); err != nil {
		d.failures.Add(1)
		d.mu.Lock()
		defer d.mu.Unlock()
		// The next step is due at once and asks another peer.
		d.nextPullAt = d.now()
	}
}
