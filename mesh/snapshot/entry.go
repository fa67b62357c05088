package snapshot

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// MaxEntries is the maximum number of entries of one mesh.
const MaxEntries = 16384

// Entry is an ingress route: it matches requests by host name and path prefix
// and sends them to one service, or to several in proportion to their weights.
// Entries exist in addition to the routes of the services, which are addressed
// by service name.
type Entry struct {
	Name string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	// Route is the policy for matching requests. Its Path is the path prefix.
	Route        Route         `cbor:"3,keyasint"`
	Destinations []Destination `cbor:"4,keyasint"`
}

// Destination is a service to which an entry sends requests.
type Destination struct {
	Service string `cbor:"1,keyasint"`
	// Weight is the service's share of the requests, relative to the weights of
	// the entry's other destinations. Weight 0 receives no requests.
	Weight int `cbor:"2,keyasint"`
}

// Limits bounds the requests of callers. A field that is 0 sets nothing: a server
// then uses its own default, and does not limit the size of a body.
type Limits struct {
	// HeaderBytes and BodyBytes limit the size of one request.
	HeaderBytes int   `cbor:"1,keyasint,omitempty"`
	BodyBytes   int64 `cbor:"2,keyasint,omitempty"`
	// HeaderTime limits the time from the first to the last byte of a request's
	// header, IdleTime the time between two requests on a connection.
	HeaderTime time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTime   time.Duration `cbor:"4,keyasint,omitempty"`
}

// verifyEntries checks that every entry refers only to services of the snapshot
// and has at least one destination with a positive weight.
func (s *Snapshot) verifyEntries() error {
	if len(s.Entries) > MaxEntries {
		return ErrBounds
	}
	if n := len(s.Entries) + len(s.Workspaces); n != s.Inventory.Entries {
		return errors.Wrapf(ErrInventory, "%d entries and workspaces where the inventory lists %d", n, s.Inventory.Entries)
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
	if !slices.ContainsFunc(e.Destinations, func(d Destination) bool { return d.Weight > 0 }) {
		return errors.Wrapf(ErrInventory, "entry %q has no destination with a positive weight", e.Name)
	}
	for _, d := range e.Destinations {
		if d.Weight < 0 {
			return errors.Wrapf(ErrInventory, "entry %q has a negative weight", e.Name)
		}
		if _, ok := s.Service(d.Service); !ok {
			return errors.Wrapf(ErrInventory, "entry %q refers to service %q, which is missing", e.Name, d.Service)
		}
	}
	return nil
}
