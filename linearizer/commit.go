package linearizer

// CommitCall is a commit on top of a revision.
type CommitCall struct {
	Base uint64
}

// CommitReply is what the commit returned; an error after which it may still take effect has no reply.
type CommitReply struct {
	// Accepted is set when the change was accepted as Revision. Otherwise the commit lost to a change of another, and
	// Revision is the current one or 0 if that was not read.
	Accepted bool
	Revision uint64
}

// CheckCommits returns the configurations whose histories contradict revisions that each follow from the one before.
func CheckCommits(h *History[CommitCall, CommitReply]) []string {
	return check(h, model[uint64, CommitCall, CommitReply](applyCommit))
}

func applyCommit(revision uint64, c *call[CommitCall, CommitReply]) (uint64, bool) {
	next := revision
	if revision == c.in.Base {
		next++
	}
	r := c.reply
	switch {
	case r == nil:
		return next, true
	case r.Accepted:
		return next, revision == c.in.Base && r.Revision == next
	}
	return revision, revision != c.in.Base && (r.Revision == 0 || r.Revision == revision)
}
