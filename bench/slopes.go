package main

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"briarrock.example/briarrockd/caller"
	"briarrock.example/briarrockd/peer"
	"briarrock.example/mesh/snapshot"
)

func slopesBenchmark() benchmark {
	return benchmark{name: "slopes", help: "memory, processor time and bytes by members, domains and services", run: slopes}
}

// memberCounts are the numbers of members of the mesh, in sixteen domains of four
// regions.
var memberCounts = []int{250, 500, 1000, 2000, 4000}

// domainCount is the number of domains, four in each region.
const domainCount = 16

// slopes measures one peer.Core and the data that the rest of its node holds, at
// mesh sizes that don't fit on one machine as complete nodes.
func slopes(options) (*table, error) {
	t := &table{
		Name: "slopes of one node",
		Note: "16 domains in 4 regions, 170 services, one target a member; memory of the member table, its published copy and the call table; " +
			"processor time of one step each",
		Heads: []string{
			"members", "memory KB", "B/member", "tick µs", "member news µs", "call table µs", "news B",
			"listing B/domain", "join B", "change µs", "push B",
		},
	}
	for _, n := range memberCounts {
		row, err := measureNode(n)
		if err != nil {
			return nil, err
		}
		t.add(row...)
	}
	return t, nil
}

// member returns member i of the mesh; members belong to the domains in turn.
func member(i int) peer.Member {
	d := i % domainCount
	return peer.Member{
		Host: fmt.Sprintf("host-%04d", i), Domain: fmt.Sprintf("domain-%02d", d), Region: fmt.Sprintf("region-%d", d/4),
		PeerAddr: fmt.Sprintf("10.%d.%d.%d:7103", d, i/250, i%250), CallAddr: fmt.Sprintf("10.%d.%d.%d:7102", d, i/250, i%250),
		Incarnation: 1796256000000 + uint64(i), Targets: []peer.Target{{Service: fmt.Sprintf("service-%03d", i%170), Slots: 6}},
	}
}

// benchNode is a peer.Core with the data that the rest of its node holds.
type benchNode struct {
	core    *peer.Core
	now     time.Time
	members []peer.Member
	table   *caller.Table
	snap    *snapshot.Snapshot
}

// step passes a message to the core and stores the members that it publishes.
func (s *benchNode) step(m peer.Msg) {
	for _, c := range s.core.Step(s.now, m) {
		if p, ok := c.(peer.PublishMembers); ok {
			s.members = p.Members
		}
	}
}

// measureNode measures a node of a mesh with n members and returns a row of the table.
func measureNode(n int) ([]any, error) {
	snap, old, err := compile(170, 1)
	if err != nil {
		return nil, err
	}
	before := heapBytes()
	s := &benchNode{now: time.Now(), snap: snap}
	s.core = peer.New(peer.Config{Self: member(0), StoreRegion: "region-0"}, rand.New(rand.NewPCG(1, 1)), s.now)
	s.step(peer.LinkUp{Link: 1, Hello: peer.Hello{Member: member(16)}, Addr: "x"})
	joinBytes := 0
	for i := 1; i < n; i += 200 {
		var batch []peer.Member
		for j := i; j < min(i+200, n); j++ {
			batch = append(batch, member(j))
		}
		f := peer.Records{Members: batch}
		joinBytes += frameSize(f)
		s.step(peer.Received{Link: 1, Frame: f})
	}
	s.step(peer.Tick{})
	s.table = caller.NewTable(1, s.snap, s.members)
	mem := heapBytes() - before
	if s.core.Members() != n {
		return nil, errors.Errorf("got %d members, want %d", s.core.Members(), n)
	}
	tick := meanMicros(200, func(int) { s.now = s.now.Add(10 * time.Microsecond); s.step(peer.Tick{}) })
	m := member(n / 2)
	update := meanMicros(200, func(i int) {
		m.Seq = uint64(i + 1)
		s.now = s.now.Add(10 * time.Microsecond)
		s.step(peer.Received{Link: 1, Frame: peer.Records{Members: []peer.Member{m}}})
		s.step(peer.Tick{})
	})
	rebuildTable := meanMicros(50, func(int) { s.table = caller.NewTable(1, s.snap, s.members) })
	change, push, err := s.measureChange(old)
	if err != nil {
		return nil, err
	}
	runtime.KeepAlive(s)
	return []any{
		n, mem / 1e3, mem / float64(n), tick, update, rebuildTable, frameSize(peer.Records{Members: []peer.Member{m}}),
		frameSize(listing(n)), joinBytes, change, push,
	}, nil
}

// measureChange measures the processing of a pushed version, from its frame to the
// call table, in microseconds, and the size of the frame in bytes.
func (s *benchNode) measureChange(old []byte) (float64, int, error) {
	hash := snapshot.Sum(old)
	s.step(peer.Committed{Version: 1, Hash: hash, Content: old})
	base, version := old, uint64(1)
	size := 0
	var failed error
	const rounds = 30
	frames := make([]peer.Content, 0, rounds)
	snaps := make([]*snapshot.Snapshot, 0, rounds)
	for i := range rounds {
		snap, b, err := compile(170, i+2)
		if err != nil {
			return 0, 0, err
		}
		p, err := snapshot.Pack(base, b)
		if err != nil {
			return 0, 0, errors.Wrap(err, "packing a version")
		}
		version++
		f := peer.Content{Version: version, Hash: snapshot.Sum(b), Base: snapshot.Sum(base), Packed: p, Push: true, HeldRemotely: true}
		frames, snaps = append(frames, f), append(snaps, snap)
		base, size = b, frameSize(f)
	}
	took := meanMicros(rounds, func(i int) {
		s.step(peer.Received{Link: 1, Frame: frames[i]})
		s.table = caller.NewTable(frames[i].Version, snaps[i], s.members)
		if got, _ := s.core.Version(); got != frames[i].Version {
			failed = errors.Errorf("got version %d, want %d", got, frames[i].Version)
		}
	})
	return took, size, failed
}

// meanMicros returns the mean duration of f in microseconds.
func meanMicros(rounds int, f func(i int)) float64 {
	started := time.Now()
	for i := range rounds {
		f(i)
	}
	return float64(time.Since(started).Nanoseconds()) / float64(rounds) / 1000
}

// frameSize returns the size of a frame in bytes.
func frameSize(f peer.Frame) int {
	b, err := peer.EncodeFrame(f)
	if err != nil {
		return 0
	}
	return len(b)
}

// listing returns the listing of one domain of a mesh with n members.
func listing(n int) peer.Listing {
	f := peer.Listing{Domain: "domain-00"}
	for i := 0; i < n; i += domainCount {
		m := member(i)
		f.Entries = append(f.Entries, peer.Entry{Host: m.Host, Incarnation: m.Incarnation})
	}
	return f
}
