package distributor

import (
	"context"
	"fmt"

	"github.com/siskinfront/siskinfront/identifier"
)

// Pull asks one peer for what it has beyond the own revision: one that is known to be ahead, for a reader an instance
// of another data centre, else in turn the parent and a random member.
func (d *Distributor) Pull(ctx context.Context) error {
	peer := d.nextPeer()
	if peer == "" || d.pull == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, d.callTime)
	defer cancel()
	d.pulls.Add(1)
	u, err := d.pull(ctx, peer, d.Revision())
	if err != nil {
		return fmt.Errorf("distributor: pull from %s: %w", peer, err)
	}
	d.mu.Lock()
	d.answered = true
	d.mu.Unlock()
	d.Receive(ctx, u)
	return nil
}

func (d *Distributor) nextPeer() identifier.Instance {
	members := d.members()
	tree := d.tree()
	parent := tree.Parent(d.self)
	remotes := []identifier.Instance(nil)
	if tree.IsReader(d.self) {
		remotes = d.remotes()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if peer := d.ahead; peer != "" {
		// A peer that does not answer is not asked again until it is heard again.
		d.ahead = ""
		return peer
	}
	d.turn++
	if len(remotes) > 0 {
		return remotes[d.rand.IntN(len(remotes))]
	}
	if d.turn%2 == 1 || len(members) < 2 {
		return parent
	}
	peer := members[d.rand.IntN(len(members))]
	if peer == d.self {
		return parent
	}
	return peer
}

// PullStep is one step of any process: it asks one peer if that is due, or if a peer is known to be ahead.
func (d *Distributor) PullStep(ctx context.Context) {
	d.mu.Lock()
	now := d.now()
	due := d.ahead != "" || !now.Before(d.nextPull)
	if due {
		d.nextPull = now.Add(d.pace)
	}
	d.mu.Unlock()
	if !due {
		return
	}
	if err := d.Pull(ctx); err != nil {
		d.failures.Add(1)
		d.mu.Lock()
		defer d.mu.Unlock()
		// Another peer is asked at the next step.
		d.nextPull = d.now()
	}
}
