package peer

import "time"

// A node that starts finds the others by a few addresses, mostly of hosts in other
// domains. It is led to members of its own domain and region, and gets everything else
// from these. If each of a herd of newcomers were sent the whole table by the few nodes
// of the settings, that would grow with the square of the hosts, much of it over the
// paid link.
const (
	// maxNewcomerMembers is how many members a newcomer may know already.
	maxNewcomerMembers = 8
	// introductionPeriod is how long a link to a newcomer stays restricted. One that has found
	// nobody by then gets what any other peer does.
	introductionPeriod = 5 * time.Second
)

// shouldIntroduce tells whether a link that has just come up need only lead its peer to
// others of its region: it knows hardly anybody, and this node knows some of them.
func (c *Core) shouldIntroduce(l *link, hi Hello) bool {
	if l.outbound || l.domain == c.self.Domain || hi.Members == 0 || hi.Members > maxNewcomerMembers {
		return false
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

// introductionOnly tells whether a link still only leads a newcomer to its own domain.
func (c *Core) introductionOnly(l *link) bool { return c.now.Before(l.introductionUntil) }

// introduce sends a newcomer the members of its domain and the bridges of its region.
func (c *Core) introduce(l *link) {
	for _, name := range c.table.names() {
		hosts := c.hostsOf(name)
		switch {
		case name == l.domain:
		case c.table.domains[name].region == l.region:
			hosts = hosts[:min(len(hosts), bridgesPerDomain)]
		default:
			continue
		}
		c.sendRecords(l, hosts, false)
	}
}
