package peer

import "time"

// A starting node joins by a few addresses. The hosts at these addresses introduce it to
// its neighbours in its own domain and to the bridge nodes of its region, from which it
// gets all other records. If the few hosts that the settings name sent the whole table and
// all changes to each of many starting nodes, their traffic would grow with the square of
// the number of hosts, much of it over the paid inter-region link.
const (
	// maxNewcomerMembers is the maximum number of members that a node may know to count
	// as a newcomer.
	maxNewcomerMembers = 8
	// introductionPeriod is how long a link to a newcomer is used for the introduction
	// only. After that it carries the same frames as any other link, in case the
	// newcomer has found no other member.
	introductionPeriod = 5 * time.Second
)

// shouldIntroduce reports whether a link that has just opened is to be used for an
// introduction only: the peer has records of hardly any members and is not a neighbour of
// this node, whose table has other members of the peer's region.
func (c *Core) shouldIntroduce(l *link, hello Hello) bool {
	if l.outbound || hello.Members == 0 || hello.Members > maxNewcomerMembers || c.isNeighbour(l.host) {
		return false
	}
	if l.domain == c.self.Domain {
		return true
	}
	for _, name := range c.table.names() {
		d := c.table.domains[name]
		if d.region != l.region || name == c.self.Domain {
			continue
		}
		if d.count > 1 || (d.count == 1 && name != l.domain) {
			return true
		}
	}
	return false
}

// introductionOnly reports whether a link is still used for an introduction only.
func (c *Core) introductionOnly(l *link) bool { return c.now.Before(l.introductionUntil) }

// introduce sends a newcomer the records of its neighbours and of the bridge nodes of
// the other domains of its region. With the bridge nodes of its own domain, and without
// the members in between, it would take the root for its parent.
func (c *Core) introduce(l *link) {
	for _, name := range c.table.names() {
		if c.table.domains[name].region != l.region {
			continue
		}
		order := c.table.members(name)
		if name == l.domain {
			c.sendRecords(l, hostNames(c.table.neighbours(name, l.host)), false)
			continue
		}
		c.sendRecords(l, hostNames(order[:min(len(order), bridgesPerDomain)]), false)
	}
}

// endIntroduction makes a link like any other, because the peer has become a neighbour.
func (c *Core) endIntroduction(l *link) {
	if !c.introductionOnly(l) {
		return
	}
	l.introductionUntil = time.Time{}
	c.compareTables(l)
}

// compareTables starts the comparison of the member tables with a peer, and sends it the
// counts of versions.
func (c *Core) compareTables(l *link) {
	if l.host < c.self.Host {
		c.send(l, c.ownDigests())
	}
	c.sendReport()
	c.sendSummaries(l)
}
