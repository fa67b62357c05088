package snapshot

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// MaxEntries bounds the entries of one mesh.
const MaxEntries = 16384

// Entry is a way into the mesh by a host name and a path prefix, beside the
// routes that services have under their own names. Its requests go to one
// service or are spread over several by weight.
type Entry struct {
	Name string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	// Route is the policy; its Path is the prefix that the entry covers.
	Route        Route         `cbor:"3,keyasint"`
	Destinations []Destination `cbor:"4,keyasint"`
}

// Destination is one service's share of an entry's requests.
type Destination struct {
	Service string `cbor:"1,keyasint"`
	// Weight is the share, relative to the weights of the other parts; a part
	// of weight 0 gets no requests.
	Weight int `cbor:"2,keyasint"`
}

// Limits bound what a caller may send. A zero value sets no bound.
type Limits struct {
	// HeaderBytes and BodyBytes bound one request.
	HeaderBytes int   `cbor:"1,keyasint,omitempty"`
	BodyBytes   int64 `cbor:"2,keyasint,omitempty"`
	// HeaderTime bounds the time from a head's first byte to its last, IdleTime
	// the time between two requests on a connection.
	HeaderTime time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTime   time.Duration `cbor:"4,keyasint,omitempty"`
}

// verifyEntries checks that no entry points at a service that the snapshot
// does not hold, and that each has somewhere to send its requests.
func (s *Snapshot) verifyEntries() error {
	if len(s.Entries) > MaxEntries {
		return ErrBounds
	}
	if len(s.Entries) != s.Inventory.Entries {
		return errors.Wrapf(ErrInventory, "%d entries of %d", len(s.Entries), s.Inventory.Entries)
	}
	for i := range s.Entries {
		if err := s.verifyEntry(&s.Entries[i]); err != nil {
			return err
		}
	}
	return nil
}

func (s *Snapshot) verifyEntry(e *Entry) error {
	if e.Host == "" || !strings.HasPrefix(e.Route.Path, "/") {
		return errors.Wrapf(ErrInventory, "entry %q has no host or path", e.Name)
	}
	if !slices.ContainsFunc(e.Destinations, func(p Destination) bool { return p.Weight > 0 }) {
		return errors.Wrapf(ErrInventory, "entry %q leads nowhere", e.Name)
	}
	for _, p := range e.Destinations {
		if p.Weight < 0 {
			return errors.Wrapf(ErrInventory, "entry %q has a negative weight", e.Name)
		}
		if _, ok := s.Service(p.Service); !ok {
			return errors.Wrapf(ErrInventory, "entry %q leads to %q, which is missing", e.Name, p.Service)
		}
	}
	return nil
}
