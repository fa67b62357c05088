package peer

import (
	"net"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// The metric of control bytes, by how far they go and in which direction.
const trafficMetric = "briarrock_control_bytes_total"

// traffic counts the bytes of links, TLS included.
type traffic struct {
	self        Member
	domain      [2]*metrics.Counter // written, read; within the failure domain
	region      [2]*metrics.Counter // within the region
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

// countedConn counts its bytes. What passes before the other side is known is
// counted once it is.
type countedConn struct {
	net.Conn
	traffic   *traffic
	counters  atomic.Pointer[[2]*metrics.Counter]
	uncounted [2]atomic.Int64
}

func (t *traffic) wrap(c net.Conn) *countedConn { return &countedConn{Conn: c, traffic: t} }

// setPeer says who is at the other side.
func (c *countedConn) setPeer(m Member) {
	pair := &c.traffic.interRegion
	switch {
	case m.Domain == c.traffic.self.Domain:
		pair = &c.traffic.domain
	case m.Region == c.traffic.self.Region:
		pair = &c.traffic.region
	}
	c.counters.Store(pair)
	for way := range c.uncounted {
		pair[way].Add(int(c.uncounted[way].Swap(0)))
	}
}

func (c *countedConn) add(way, n int) {
	if pair := c.counters.Load(); pair != nil {
		pair[way].Add(n)
		return
	}
	c.uncounted[way].Add(int64(n))
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

// Traffic is the control bytes of a node so far, both directions added up.
type Traffic struct {
	Domain      uint64 `json:"domain"`
	Region      uint64 `json:"region"`
	InterRegion uint64 `json:"paid"`
	// PaidOut is the part of Paid that this node wrote, so that adding up
	// over the nodes counts each byte of the paid link once.
	InterRegionOut uint64 `json:"paidout"`
}

// Traffic returns the control bytes so far.
func (t *Transport) Traffic() Traffic {
	sum := func(p [2]*metrics.Counter) uint64 { return p[0].Get() + p[1].Get() }
	return Traffic{sum(t.traffic.domain), sum(t.traffic.region), sum(t.traffic.interRegion), t.traffic.interRegion[0].Get()}
}
