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

func slopesMeasure() measure {
	return measure{name: "slopes", help: "memory, processor time and bytes by members, domains and services", run: slopes}
}

// Sizes of the slopes: members in all, sixteen domains in four regions.
var slopeMembers = []int{250, 500, 1000, 2000, 4000}

const slopeDomains = 16

// slopes measures one Core and what the rest of its node keeps, at sizes that
// don't fit on one machine as whole nodes.
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
	for _, n := range slopeMembers {
		row, err := slope(n)
		if err != nil {
			return nil, err
		}
		t.add(row...)
	}
	return t, nil
}

func slopeMember(i int) peer.Member {
	d := i % slopeDomains
	return peer.Member{
		Host: fmt.Sprintf("host-%04d", i), Domain: fmt.Sprintf("domain-%02d", d), Region: fmt.Sprintf("region-%d", d/4),
		PeerAddr: fmt.Sprintf("10.%d.%d.%d:7103", d, i/250, i%250), CallAddr: fmt.Sprintf("10.%d.%d.%d:7102", d, i/250, i%250),
		Incarnation: 1796256000000 + uint64(i), Targets: []peer.Target{{Service: fmt.Sprintf("service-%03d", i%170), Slots: 6}},
	}
}

// node is a Core with what its node keeps beside it.
type slopeNode struct {
	heart   *peer.Core
	now     time.Time
	members []peer.Member
	table   *caller.Table
	snap    *snapshot.Snapshot
}

func (s *slopeNode) step(m peer.Msg) {
	for _, c := range s.heart.Step(s.now, m) {
		if p, ok := c.(peer.PublishMembers); ok {
			s.members = p.Members
		}
	}
}

func slope(n int) ([]any, error) {
	snap, old, err := compiled(170, 1)
	if err != nil {
		return nil, err
	}
	before := heapNow()
	s := &slopeNode{now: time.Now(), snap: snap}
	s.heart = peer.New(peer.Config{Self: slopeMember(0), StoreRegion: "region-0"}, rand.New(rand.NewPCG(1, 1)), s.now)
	s.step(peer.LinkUp{Link: 1, Hello: peer.Hello{Member: slopeMember(16)}, Addr: "x"})
	joined := 0
	for i := 1; i < n; i += 200 {
		var batch []peer.Member
		for j := i; j < min(i+200, n); j++ {
			batch = append(batch, slopeMember(j))
		}
		f := peer.Records{Members: batch}
		joined += frameSize(f)
		s.step(peer.Received{Link: 1, Frame: f})
	}
	s.step(peer.Tick{})
	s.table = caller.NewTable(1, s.snap, s.members)
	mem := heapNow() - before
	if s.heart.Members() != n {
		return nil, errors.Errorf("%d members, not %d", s.heart.Members(), n)
	}
	tick := timed(200, func(int) { s.now = s.now.Add(10 * time.Microsecond); s.step(peer.Tick{}) })
	m := slopeMember(n / 2)
	news := timed(200, func(i int) {
		m.Seq = uint64(i + 1)
		s.now = s.now.Add(10 * time.Microsecond)
		s.step(peer.Received{Link: 1, Frame: peer.Records{Members: []peer.Member{m}}})
		s.step(peer.Tick{})
	})
	retable := timed(50, func(int) { s.table = caller.NewTable(1, s.snap, s.members) })
	change, push, err := s.change(old)
	if err != nil {
		return nil, err
	}
	runtime.KeepAlive(s)
	return []any{
		n, mem / 1e3, mem / float64(n), tick, news, retable, frameSize(peer.Records{Members: []peer.Member{m}}),
		frameSize(listingOf(n)), joined, change, push,
	}, nil
}

// change measures a pushed version, from the frame to the table, and its size.
func (s *slopeNode) change(old []byte) (float64, int, error) {
	hash := snapshot.Sum(old)
	s.step(peer.Committed{Version: 1, Hash: hash, Content: old})
	base, version := old, uint64(1)
	size := 0
	var failed error
	const rounds = 30
	frames := make([]peer.Content, 0, rounds)
	snaps := make([]*snapshot.Snapshot, 0, rounds)
	for i := range rounds {
		snap, b, err := compiled(170, i+2)
		if err != nil {
			return 0, 0, err
		}
		p, err := snapshot.Pack(base, b)
		if err != nil {
			return 0, 0, errors.WithStack(err)
		}
		version++
		f := peer.Content{Version: version, Hash: snapshot.Sum(b), Base: snapshot.Sum(base), Packed: p, Push: true, HeldRemotely: true}
		frames, snaps = append(frames, f), append(snaps, snap)
		base, size = b, frameSize(f)
	}
	took := timed(rounds, func(i int) {
		s.step(peer.Received{Link: 1, Frame: frames[i]})
		s.table = caller.NewTable(frames[i].Version, snaps[i], s.members)
		if got, _ := s.heart.Version(); got != frames[i].Version {
			failed = errors.Errorf("version %d, not %d", got, frames[i].Version)
		}
	})
	return took, size, failed
}

// timed is the mean time of f in microseconds.
func timed(rounds int, f func(i int)) float64 {
	began := time.Now()
	for i := range rounds {
		f(i)
	}
	return float64(time.Since(began).Nanoseconds()) / float64(rounds) / 1000
}

func frameSize(f peer.Frame) int {
	b, err := peer.EncodeFrame(f)
	if err != nil {
		return 0
	}
	return len(b)
}

func listingOf(n int) peer.Listing {
	f := peer.Listing{Domain: "domain-00"}
	for i := 0; i < n; i += slopeDomains {
		m := slopeMember(i)
		f.Entries = append(f.Entries, peer.Entry{Host: m.Host, Incarnation: m.Incarnation})
	}
	return f
}
