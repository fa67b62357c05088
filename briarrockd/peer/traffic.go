package peer

import (
	"net"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// trafficMetric counts control bytes, by distance (far) and direction (way).
const trafficMetric = "briarrock_control_bytes_total"

// traffic counts the bytes of links, including the overhead of TLS. In each pair the
// first counter is of written bytes, the second of read bytes.
type traffic struct {
	self        Member
	domain      [2]*metrics.Counter // within the failure domain
	region      [2]*metrics.Counter // within the region, between failure domains
	interRegion [2]*metrics.Counter // between regions
}

func newTraffic(set *metrics.Set, self Member) *traffic {
	pair := func(far string) [2]*metrics.Counter {
		name := trafficMetric + `{far="` + far + `",way=`
		return [2]*metrics.Counter{
			set.GetOrCreateCounter(name + `"out"}`),
			set.GetOrCreateCounter(name + `"in"}`),
		}
	}
	return &traffic{self: self, domain: pair("domain"), region: pair("region"), interRegion: pair("paid")}
}

// countedConn counts the bytes of a connection. Bytes that pass before the peer is
// known are added to the counters once setPeer is called.
type countedConn struct {
	net.Conn
	traffic   *traffic
	counters  atomic.Pointer[[2]*metrics.Counter]
	uncounted [2]atomic.Int64
}

func (t *traffic) wrap(c net.Conn) *countedConn { return &countedConn{Conn: c, traffic: t} }

// setPeer selects the counters by the domain and region of the peer.
func (c *countedConn) setPeer(m Member) {
	pair := &c.traffic.interRegion
	switch {
	case m.Domain == c.traffic.self.Domain:
		pair = &c.traffic.domain
	case m.Region == c.traffic.self.Region:
		pair = &c.traffic.region
	}
	c.counters.Store(pair)
	for dir := range c.uncounted {
		pair[dir].Add(int(c.uncounted[dir].Swap(0)))
	}
}

// add counts n bytes; dir is 0 for written bytes, 1 for read bytes.
func (c *countedConn) add(dir, n int) {
	if pair := c.counters.Load(); pair != nil {
		pair[dir].Add(n)
		return
	}
	c.uncounted[dir].Add(int64(n))
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.add(0, n)
	return n, err
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.add(1, n)
	return n, err
}

// Traffic is the control bytes of a node since its start, both directions added up.
type Traffic struct {
	Domain      uint64 `json:"domain"`
	Region      uint64 `json:"region"`
	InterRegion uint64 `json:"paid"`
	// InterRegionOut is the part of InterRegion that this node wrote. Its sum over all
	// nodes counts each byte on the paid inter-region links once.
	InterRegionOut uint64 `json:"paidout"`
}

// Traffic returns the control bytes since the start.
func (t *Transport) Traffic() Traffic {
	sum := func(p [2]*metrics.Counter) uint64 { return p[0].Get() + p[1].Get() }
	return Traffic{sum(t.traffic.domain), sum(t.traffic.region), sum(t.traffic.interRegion), t.traffic.interRegion[0].Get()}
}
