package linearizer

// CommitCall is the input of a commit on top of the revision Base.
type CommitCall struct {
	Base uint64
}

// CommitReply is the output of a commit. A commit that failed but may still take effect has an unknown outcome and no reply.
type CommitReply struct {
	// Accepted is set when the change was committed as Revision. Otherwise another commit came first, and Revision is the
	// current one, or 0 if it was not read.
	Accepted bool
	Revision uint64
}

// CheckCommits returns the configurations whose histories are not linearizable. Each commit must build on the current
// revision and increment it.
func CheckCommits(h *History[CommitCall, CommitReply]) []string {
	return violatingKeys(h, model[uint64, CommitCall, CommitReply](applyCommit))
}

func applyCommit(revision uint64, c *call[CommitCall, CommitReply]) (uint64, bool) {
	next := revision
	if revision == c.input.Base {
		next++
	}
	r := c.reply
	switch {
	case r == nil:
		return next, true
	case r.Accepted:
		return next, revision == c.input.Base && r.Revision == next
	}
	return revision, revision != c.input.Base && (r.Revision == 0 || r.Revision == revision)
}
