// Package snapshot defines the immutable, compiled form of one version of the
// configuration. Nodes store snapshots, send them to each other and route
// requests by them.
//
// Package text compiles the operator's text to a Snapshot. The Snapshot is
// encoded once in deterministic CBOR (RFC 8949, section 4.2) and is then
// identified by the hash of these bytes. Two nodes with the same Hash have the
// same bytes, regardless of how they received them.
//
//	b, _ := snapshot.Encode(s)
//	h := snapshot.Sum(b)
//	s, err := snapshot.Open(b, h) // hash, bounds and inventory checked
//
// Open is the only function that decodes a snapshot. It checks the hash,
// decodes strictly and verifies the inventory, so that an incomplete snapshot
// cannot be used.
package snapshot

import (
	"encoding/hex"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/zeebo/blake3"

	"briarrock.example/mesh/codec"
)

// Limits of a snapshot. The text compiler and Open both enforce them.
const (
	// MaxBytes is the maximum size of an encoded snapshot.
	MaxBytes = 8 << 20
	// MaxServices is the maximum number of services of one mesh.
	MaxServices = 4096
	// MaxRoutes is the maximum number of routes of one service.
	MaxRoutes = 256
)

// Sentinel errors of Encode, Open and Unpack.
var (
	ErrHash      = errors.New("snapshot: content does not match its hash")
	ErrInventory = errors.New("snapshot: inventory is not complete")
	ErrBounds    = errors.New("snapshot: too large")
	ErrDelta     = errors.New("snapshot: delta does not fit its base")
)

// Mode is the execution guarantee for the requests of a route.
type Mode uint8

const (
	// Repeatable requests may be retried after a failure.
	Repeatable Mode = iota
	// Once requests are executed at most once.
	Once
)

// String returns the mode's name in the operator's text.
func (m Mode) String() string {
	if m == Once {
		return "once"
	}
	return "repeatable"
}

// Priority orders the requests in a target's queue. Higher priorities are sent
// first.
type Priority uint8

// The priorities with a name in the operator's text, in ascending order, and
// the maximum.
const (
	Bulk Priority = iota
	Normal
	Urgent
	// MaxPriority is the highest priority.
	MaxPriority Priority = 9
)

// String returns the priority's name in the operator's text, or "urgent+N" for
// a priority N above Urgent, which has no name there.
func (p Priority) String() string {
	switch p {
	case Bulk:
		return "bulk"
	case Normal:
		return "normal"
	case Urgent:
		return "urgent"
	default:
		return "urgent+" + strconv.Itoa(int(p-Urgent))
	}
}

// Route is one route of a service with its policy.
type Route struct {
	Path     string        `cbor:"1,keyasint"`
	Methods  []string      `cbor:"2,keyasint,omitempty"`
	Mode     Mode          `cbor:"3,keyasint,omitempty"`
	Deadline time.Duration `cbor:"4,keyasint"`
	Retries  int           `cbor:"5,keyasint,omitempty"`
	Callers  []string      `cbor:"6,keyasint,omitempty"`
	Priority Priority      `cbor:"7,keyasint,omitempty"`
	// Aim is the target response time: a response within Aim has the most value
	// to the caller. 0 means that none is configured.
	Aim time.Duration `cbor:"8,keyasint,omitempty"`
	// Again allows a Repeatable request to be retried after a 5xx response of
	// its target. By default such a response is final.
	Again bool `cbor:"9,keyasint,omitempty"`
	// Open allows requests without a caller's key. It has no effect in a mesh
	// without workspaces, where no route needs a key.
	Open bool `cbor:"10,keyasint,omitempty"`
}

// QueueBySlots as Service.Queue sets each target's queue length to twice the
// number of slots that the target announces. A queued request then starts
// within the duration of two usual requests.
const QueueBySlots = -1

// Service is one service: its limits per target, its dependencies and its
// routes. Slots limits the concurrent requests of one target, Queue the requests
// that wait for a slot; see QueueBySlots.
type Service struct {
	Name      string   `cbor:"1,keyasint"`
	Depends   []string `cbor:"2,keyasint,omitempty"`
	Upstreams int      `cbor:"3,keyasint"`
	Slots     int      `cbor:"4,keyasint"`
	Conns     int      `cbor:"5,keyasint"`
	Queue     int      `cbor:"6,keyasint,omitempty"`
	Routes    []Route  `cbor:"7,keyasint,omitempty"`
	// Health is the path of the targets' health endpoint; empty if there is
	// none.
	Health string `cbor:"8,keyasint,omitempty"`
}

// Inventory lists the services and counts the routes and entries that a
// snapshot must contain. It is used to detect an incomplete snapshot.
type Inventory struct {
	Services []string `cbor:"1,keyasint"`
	Routes   int      `cbor:"2,keyasint"`
	// Entries counts the entries and the workspaces. Builds that know no
	// workspaces count the entries only, so they reject a snapshot that has
	// any, and do not serve its routes to callers without a key.
	Entries int `cbor:"3,keyasint,omitempty"`
}

// Snapshot is the content of one version of the configuration. Services are
// sorted by name. A Snapshot is immutable.
type Snapshot struct {
	Mesh      string    `cbor:"1,keyasint"`
	Services  []Service `cbor:"2,keyasint"`
	Inventory Inventory `cbor:"3,keyasint"`
	Entries   []Entry   `cbor:"4,keyasint,omitempty"`
	Limits    Limits    `cbor:"5,keyasint"`
	// Workspaces are the workspaces of the mesh. If there are any, only routes
	// that are Open serve requests without a key.
	Workspaces []Workspace `cbor:"6,keyasint,omitempty"`
}

// Service returns the service with the given name by binary search.
func (s *Snapshot) Service(name string) (*Service, bool) {
	lo, hi := 0, len(s.Services)
	for lo < hi {
		mid := (lo + hi) / 2
		if s.Services[mid].Name < name {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == len(s.Services) || s.Services[lo].Name != name {
		return nil, false
	}
	return &s.Services[lo], true
}

// Hash is a content hash: BLAKE3 with 256 bits.
type Hash [32]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Short returns the first eight hexadecimal digits, for display.
func (h Hash) Short() string { return hex.EncodeToString(h[:4]) }

// IsZero reports whether h is the zero Hash, which identifies no content.
func (h Hash) IsZero() bool { return h == Hash{} }

// ParseHash parses the output of Hash.String.
func ParseHash(s string) (Hash, error) {
	var h Hash
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(h) {
		return h, errors.Errorf("snapshot: %q is not a hash", s)
	}
	copy(h[:], b)
	return h, nil
}

// Sum returns the content hash of b.
func Sum(b []byte) Hash { return blake3.Sum256(b) }

// Encode returns the deterministic encoding of s. It returns ErrBounds if the
// encoding is larger than MaxBytes.
func Encode(s *Snapshot) ([]byte, error) {
	b, err := codec.Encode(s)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot: encode")
	}
	if len(b) > MaxBytes {
		return nil, ErrBounds
	}
	return b, nil
}

// Open decodes and verifies an encoded snapshot: b must not be larger than
// MaxBytes, must have the given hash and must be complete according to its
// inventory. Its errors wrap ErrBounds, ErrHash or ErrInventory.
func Open(b []byte, hash Hash) (*Snapshot, error) {
	if len(b) > MaxBytes {
		return nil, ErrBounds
	}
	if Sum(b) != hash {
		return nil, ErrHash
	}
	s := new(Snapshot)
	if err := codec.Decode(b, s); err != nil {
		return nil, errors.Wrap(ErrInventory, err.Error())
	}
	if err := s.Verify(); err != nil {
		return nil, err
	}
	return s, nil
}

// Verify checks that the snapshot contains exactly what its inventory lists and
// that every reference in it points to something that it contains.
//
// It guards against a version that a fault in compilation or transfer left
// incomplete, which would show as a route without a service behind it. Since
// every reference is resolved within the same immutable value, a snapshot that
// passes cannot get a dangling reference later.
func (s *Snapshot) Verify() error {
	if len(s.Services) > MaxServices {
		return ErrBounds
	}
	if len(s.Services) != len(s.Inventory.Services) {
		return errors.Wrapf(ErrInventory, "%d services where the inventory lists %d", len(s.Services), len(s.Inventory.Services))
	}
	routes := 0
	for i := range s.Services {
		svc := &s.Services[i]
		if svc.Name != s.Inventory.Services[i] {
			return errors.Wrapf(ErrInventory, "service %q where the inventory lists %q", svc.Name, s.Inventory.Services[i])
		}
		if i > 0 && s.Services[i-1].Name >= svc.Name {
			return errors.Wrapf(ErrInventory, "service %q is not in sorted order", svc.Name)
		}
		if err := s.verifyService(svc); err != nil {
			return err
		}
		routes += len(svc.Routes)
	}
	if routes != s.Inventory.Routes {
		return errors.Wrapf(ErrInventory, "%d routes where the inventory lists %d", routes, s.Inventory.Routes)
	}
	if err := s.verifyWorkspaces(); err != nil {
		return err
	}
	return s.verifyEntries()
}

func (s *Snapshot) verifyService(svc *Service) error {
	if svc.Upstreams < 1 || svc.Slots < 1 || svc.Conns < 1 {
		return errors.Wrapf(ErrInventory, "service %q has no upstreams, slots or connections", svc.Name)
	}
	if len(svc.Routes) > MaxRoutes {
		return ErrBounds
	}
	for _, d := range svc.Depends {
		if _, ok := s.Service(d); !ok {
			return errors.Wrapf(ErrInventory, "service %q depends on %q, which is missing", svc.Name, d)
		}
	}
	return nil
}

// NewInventory returns the inventory of services, without entries.
func NewInventory(services []Service) Inventory {
	inv := Inventory{Services: make([]string, 0, len(services))}
	for i := range services {
		inv.Services = append(inv.Services, services[i].Name)
		inv.Routes += len(services[i].Routes)
	}
	return inv
}

// Allows reports whether a caller may use the route. An empty Callers list
// allows all callers.
func (r Route) Allows(caller string) bool {
	return len(r.Callers) == 0 || slices.Contains(r.Callers, caller)
}
