// Package snapshot is the immutable, compiled form of the operator's text:
// what one version of the configuration says, in the form that nodes hold,
// send to each other and serve from.
//
// A Snapshot is made by package text, encoded once in deterministic CBOR
// (RFC 8949, section 4.2) and from then on named by the hash of these bytes.
// Two nodes with the same Hash hold the same bytes, whatever way they took.
//
//	b, _ := snapshot.Encode(s)
//	h := snapshot.Sum(b)
//	s, err := snapshot.Open(b, h) // hash, bounds and inventory checked
//
// Open is the only way back from bytes: it checks the hash, decodes strictly
// and verifies the inventory, so that a half-made snapshot can't be used.
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

// Bounds of a snapshot. The text compiler and Open both enforce them.
const (
	// MaxBytes bounds an encoded snapshot.
	MaxBytes = 8 << 20
	// MaxServices bounds the services of one mesh.
	MaxServices = 4096
	// MaxRoutes bounds the routes of one service.
	MaxRoutes = 256
)

// Sentinel errors of Open and Apply.
var (
	ErrHash      = errors.New("snapshot: content does not match its hash")
	ErrInventory = errors.New("snapshot: inventory is not complete")
	ErrBounds    = errors.New("snapshot: too large")
	ErrDelta     = errors.New("snapshot: delta does not fit its base")
)

// Mode says how often a request of a route may run.
type Mode uint8

const (
	// Repeatable requests may be sent again after a failure.
	Repeatable Mode = iota
	// Once requests run at most once.
	Once
)

// String returns the mode's word in the operator's text.
func (m Mode) String() string {
	if m == Once {
		return "once"
	}
	return "repeatable"
}

// Priority orders the queue of a target; a higher one goes first.
type Priority uint8

// The priorities that the text has words for, from the least urgent.
const (
	Bulk Priority = iota
	Normal
	Urgent
	// MaxPriority is the highest priority that there is.
	MaxPriority Priority = 9
)

// String returns the priority's word in the operator's text.
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
	// Aim is the time within which an answer is worth most to the caller; 0 if
	// the text doesn't say.
	Aim time.Duration `cbor:"8,keyasint,omitempty"`
	// Again lets a request that may be repeated be sent again when its target
	// answers that it failed (a 5xx); by default such an answer is final.
	Again bool `cbor:"9,keyasint,omitempty"`
}

// QueueBySlots as a service's Queue is twice the slots that each of its targets
// announces: what waits is then begun within two usual requests' time.
const QueueBySlots = -1

// Service is one service: its limits per target, what it needs and its routes.
type Service struct {
	Name      string   `cbor:"1,keyasint"`
	Depends   []string `cbor:"2,keyasint,omitempty"`
	Upstreams int      `cbor:"3,keyasint"`
	Slots     int      `cbor:"4,keyasint"`
	Conns     int      `cbor:"5,keyasint"`
	Queue     int      `cbor:"6,keyasint,omitempty"`
	Routes    []Route  `cbor:"7,keyasint,omitempty"`
	// Health is the path by which a target tells whether it is well; empty if
	// it has none.
	Health string `cbor:"8,keyasint,omitempty"`
}

// Inventory counts and names exactly what a snapshot must hold.
type Inventory struct {
	Services []string `cbor:"1,keyasint"`
	Routes   int      `cbor:"2,keyasint"`
	Entries  int      `cbor:"3,keyasint,omitempty"`
}

// Snapshot is one version's content. Services are sorted by name. It is never
// changed after it was made.
type Snapshot struct {
	Mesh      string    `cbor:"1,keyasint"`
	Services  []Service `cbor:"2,keyasint"`
	Inventory Inventory `cbor:"3,keyasint"`
	Entries   []Entry   `cbor:"4,keyasint,omitempty"`
	Limits    Limits    `cbor:"5,keyasint"`
}

// Service finds a service by name.
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

// Hash names content: BLAKE3, 256 bits.
type Hash [32]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Short returns the first eight hexadecimal digits, for people.
func (h Hash) Short() string { return hex.EncodeToString(h[:4]) }

// IsZero tells whether the hash names nothing.
func (h Hash) IsZero() bool { return h == Hash{} }

// ParseHash reads what String wrote.
func ParseHash(s string) (Hash, error) {
	var h Hash
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(h) {
		return h, errors.Errorf("snapshot: %q is not a hash", s)
	}
	copy(h[:], b)
	return h, nil
}

// Sum names content by its hash.
func Sum(b []byte) Hash { return blake3.Sum256(b) }

// Encode returns the one encoding of s.
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

// Open decodes b after checking that it is whole: within MaxBytes, equal to
// hash, and complete by its own inventory. Its errors wrap ErrBounds, ErrHash
// or ErrInventory.
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

// Verify checks that the snapshot holds exactly what its inventory lists and
// that nothing in it points at something that it doesn't hold.
//
// It guards against a version that was compiled or cut short by a fault: its
// symptom would be a route that answers from nowhere. Since every reference is
// looked up in the same immutable value, a version that passes can't lose one
// later.
func (s *Snapshot) Verify() error {
	if len(s.Services) > MaxServices {
		return ErrBounds
	}
	if len(s.Services) != len(s.Inventory.Services) {
		return errors.Wrapf(ErrInventory, "%d services of %d", len(s.Services), len(s.Inventory.Services))
	}
	routes := 0
	for i := range s.Services {
		svc := &s.Services[i]
		if svc.Name != s.Inventory.Services[i] {
			return errors.Wrapf(ErrInventory, "service %q where %q is listed", svc.Name, s.Inventory.Services[i])
		}
		if i > 0 && s.Services[i-1].Name >= svc.Name {
			return errors.Wrapf(ErrInventory, "service %q out of order", svc.Name)
		}
		if err := s.verifyService(svc); err != nil {
			return err
		}
		routes += len(svc.Routes)
	}
	if routes != s.Inventory.Routes {
		return errors.Wrapf(ErrInventory, "%d routes of %d", routes, s.Inventory.Routes)
	}
	return s.verifyEntries()
}

func (s *Snapshot) verifyService(svc *Service) error {
	if svc.Upstreams < 1 || svc.Slots < 1 || svc.Conns < 1 {
		return errors.Wrapf(ErrInventory, "service %q has no upstreams", svc.Name)
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

// NewInventory lists what services hold.
func NewInventory(services []Service) Inventory {
	inv := Inventory{Services: make([]string, 0, len(services))}
	for i := range services {
		inv.Services = append(inv.Services, services[i].Name)
		inv.Routes += len(services[i].Routes)
	}
	return inv
}

// Allows tells whether a caller may use the route.
func (r Route) Allows(caller string) bool {
	return len(r.Callers) == 0 || slices.Contains(r.Callers, caller)
}
