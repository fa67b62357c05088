package peer

import "time"

// Times of retryMember.
const (
	// memberRetryDelay leaves the substitute time to send the records of its domain,
	// which may tell that the member is dead.
	memberRetryDelay    = 2 * time.Second
	memberRetryInterval = 15 * time.Second
)

// retryMember permits another dial of a member of another domain for which pickMember
// has chosen the member at the other end of l, now that its domain can be reached.
// Otherwise that link would stay in place of the one between the roots after the end of
// a partition or the restart of a root.
func (c *Core) retryMember(l *link) {
	if !l.outbound || l.domain == c.self.Domain || c.now.Sub(l.openedAt) < memberRetryDelay {
		return
	}
	order := c.table.members(l.domain)
	for _, r := range order[:min(len(order), bridgesPerDomain)] {
		d := c.dials[r.PeerAddr]
		if r.Host == l.host || d == nil || d.failures < 2 || d.inProgress || c.linkByHost[r.Host] != nil ||
			c.now.Sub(d.retriedAt) < memberRetryInterval {
			continue
		}
		// One more failure makes pickMember choose the substitute again.
		d.failures, d.nextAt, d.retriedAt = 1, c.now, c.now
	}
}

// usesRoots reports whether the mesh uses what depends on the links between the roots: the
// mesh-wide sums or roll-outs.
func (c *Core) usesRoots() bool {
	return len(c.sums.own) > 0 || len(c.sums.totals) > 0 || c.cfg.Rollouts || len(c.rollouts.states) > 0
}
