package snapshot_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"briarrock.example/mesh/snapshot"
)

func newSnapshot(n, slots int) *snapshot.Snapshot {
	s := &snapshot.Snapshot{Mesh: "test"}
	for i := range n {
		s.Services = append(s.Services, snapshot.Service{
			Name: fmt.Sprintf("service-%03d", i), Upstreams: 4, Slots: slots, Conns: 120,
			Routes: []snapshot.Route{{Path: "/a", Methods: []string{"GET"}, Deadline: time.Second}},
		})
	}
	s.Inventory = snapshot.NewInventory(s.Services)
	return s
}

func encode(c *qt.C, s *snapshot.Snapshot) ([]byte, snapshot.Hash) {
	b, err := snapshot.Encode(s)
	c.Assert(err, qt.IsNil)
	return b, snapshot.Sum(b)
}

// TestOpen truncates an encoded snapshot at every length and corrupts it at
// every byte. A proxy that accepted a damaged snapshot would serve a part of a
// version, so Open must detect the damage before any of the content is used.
func TestOpen(t *testing.T) {
	c := qt.New(t)
	good, hash := encode(c, newSnapshot(20, 6))
	_, err := snapshot.Open(good, hash)
	c.Assert(err, qt.IsNil)
	for n := range good {
		_, err := snapshot.Open(good[:n], hash)
		c.Assert(errors.Is(err, snapshot.ErrHash), qt.IsTrue)
		bad := append([]byte(nil), good...)
		bad[n] ^= 1
		_, err = snapshot.Open(bad, hash)
		c.Assert(errors.Is(err, snapshot.ErrHash), qt.IsTrue)
	}
	_, err = snapshot.Open(make([]byte, snapshot.MaxBytes+1), hash)
	c.Assert(errors.Is(err, snapshot.ErrBounds), qt.IsTrue)
}

// TestInventory checks that Open rejects snapshots whose bytes match their hash
// but whose content does not match the inventory.
func TestInventory(t *testing.T) {
	c := qt.New(t)
	for name, corrupt := range map[string]func(*snapshot.Snapshot){
		"a service is missing":       func(s *snapshot.Snapshot) { s.Services = s.Services[1:] },
		"a route is missing":         func(s *snapshot.Snapshot) { s.Services[0].Routes = nil },
		"a service has another name": func(s *snapshot.Snapshot) { s.Services[0].Name = "a" },
		"a dependency is missing":    func(s *snapshot.Snapshot) { s.Services[0].Depends = []string{"nowhere"} },
		"no upstreams":               func(s *snapshot.Snapshot) { s.Services[0].Upstreams = 0 },
		"out of order": func(s *snapshot.Snapshot) {
			s.Services[0], s.Services[1] = s.Services[1], s.Services[0]
			s.Inventory = snapshot.NewInventory(s.Services)
		},
	} {
		s := newSnapshot(3, 6)
		corrupt(s)
		b, hash := encode(c, s)
		_, err := snapshot.Open(b, hash)
		c.Check(errors.Is(err, snapshot.ErrInventory), qt.IsTrue, qt.Commentf("%s: %v", name, err))
	}
}

// TestDelta checks that a delta restores the content against its base, and that
// a wrong base never yields content with the expected hash.
func TestDelta(t *testing.T) {
	c := qt.New(t)
	old, _ := encode(c, newSnapshot(170, 6))
	now, hash := encode(c, newSnapshot(170, 7))
	for _, base := range [][]byte{nil, old} {
		p, err := snapshot.Pack(base, now)
		c.Assert(err, qt.IsNil)
		back, err := snapshot.Unpack(base, p)
		c.Assert(err, qt.IsNil)
		c.Assert(snapshot.Sum(back), qt.Equals, hash)
	}
	p, err := snapshot.Pack(old, now)
	c.Assert(err, qt.IsNil)
	other, _ := encode(c, newSnapshot(9, 9))
	wrong, err := snapshot.Unpack(other, p)
	if err == nil {
		c.Assert(snapshot.Sum(wrong), qt.Not(qt.Equals), hash)
	}
}

// TestDecompressionBomb checks that a small delta cannot be decompressed to
// more than MaxBytes.
func TestDecompressionBomb(t *testing.T) {
	c := qt.New(t)
	p, err := snapshot.Pack(nil, make([]byte, 4*snapshot.MaxBytes))
	c.Assert(err, qt.IsNil)
	c.Assert(len(p) < 1<<16, qt.IsTrue)
	_, err = snapshot.Unpack(nil, p)
	c.Assert(errors.Is(err, snapshot.ErrDelta), qt.IsTrue)
}

// FuzzOpen checks that no input from a peer is accepted as a snapshot that
// fails Verify, or crashes the process.
func FuzzOpen(f *testing.F) {
	b, err := snapshot.Encode(newSnapshot(2, 6))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xa3, 1, 0x61, 'a', 2, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := snapshot.Open(b, snapshot.Sum(b))
		if err == nil && s.Verify() != nil {
			t.Fatal("Open accepted a snapshot that fails Verify")
		}
	})
}

// FuzzUnpack checks that no delta from a peer crashes the process or yields
// more than MaxBytes.
func FuzzUnpack(f *testing.F) {
	base := []byte("a base that is somewhat longer than a few bytes")
	p, err := snapshot.Pack(base, []byte("a base that is somewhat longer than most"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(base, p)
	f.Add([]byte{}, []byte{0x28, 0xb5, 0x2f, 0xfd})
	f.Fuzz(func(t *testing.T, base, p []byte) {
		b, err := snapshot.Unpack(base, p)
		if err == nil && len(b) > snapshot.MaxBytes {
			t.Fatal("Unpack returned more than MaxBytes")
		}
	})
}
