package peer

import "time"

// A starting node joins by a few addresses, mostly of hosts in other domains. These
// hosts introduce it to members of its own domain and region, from which it gets all
// other records. If the few hosts that the settings name sent the whole table to each
// of many starting nodes, the traffic would grow with the square of the number of
// hosts, much of it over the billed link between regions.
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
// introduction only: the peer knows hardly any members, and this node knows other
// members of the peer's region.
func (c *Core) shouldIntroduce(l *link, hello Hello) bool {
	if l.outbound || l.domain == c.self.Domain || hello.Members == 0 || hello.Members > maxNewcomerMembers {
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

// introductionOnly reports whether a link is still used for an introduction only.
func (c *Core) introductionOnly(l *link) bool { return c.now.Before(l.introductionUntil) }

// introduce sends a newcomer the records of its domain's members and of the bridges of
// its region's other domains.
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
