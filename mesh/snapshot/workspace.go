package snapshot

import (
	"math"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"
	"github.com/zeebo/blake3"
)

// MaxWorkspaces and MaxKeys are the maximum numbers of workspaces, and of all
// their keys, in one mesh.
const (
	MaxWorkspaces = 8192
	MaxKeys       = 32768
)

// MaxKeyBytes is the maximum length of a caller's key, and MaxWorkspaceNameBytes
// that of a workspace's name.
const (
	MaxKeyBytes           = 200
	MaxWorkspaceNameBytes = 200
)

// KeyHash is the BLAKE3 hash of a caller's key, truncated to 128 bits. A
// snapshot holds no key itself.
type KeyHash [16]byte

// HashKey returns the hash of a caller's key.
func HashKey(key string) KeyHash {
	sum := blake3.Sum256([]byte(key))
	return KeyHash(sum[:len(KeyHash{})])
}

// ValidKey reports whether a caller can send a key: it is not empty, not longer
// than MaxKeyBytes, and a header can carry it unchanged.
func ValidKey(key string) bool { return key != "" && len(key) <= MaxKeyBytes && isHeaderText(key) }

// Workspace is a tenant of the mesh: the callers that share some keys, a
// priority and an allowance.
type Workspace struct {
	Name string    `cbor:"1,keyasint"`
	Keys []KeyHash `cbor:"2,keyasint,omitempty"`
	// Priority, if set, replaces the priority of the routes that the workspace
	// uses.
	Priority *Priority `cbor:"3,keyasint,omitempty"`
	// Rate is the number of requests a second that the workspace may make over
	// all nodes together, in addition to Burst requests at once. A Rate of 0
	// sets no limit.
	Rate  float64 `cbor:"4,keyasint,omitempty"`
	Burst float64 `cbor:"5,keyasint,omitempty"`
}

// isAllowance reports whether x is a finite number that is not negative.
func isAllowance(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// isHeaderText reports whether a header can carry s unchanged: it has no control
// characters and no space at either end. The name of a workspace is sent to targets
// in a header, and a line break in it would add headers to requests.
func isHeaderText(s string) bool {
	return strings.TrimSpace(s) == s && utf8.ValidString(s) && !strings.ContainsFunc(s, unicode.IsControl)
}

// verifyWorkspaces checks that names and keys are unique and that all limits are
// in range.
func (s *Snapshot) verifyWorkspaces() error {
	if len(s.Workspaces) > MaxWorkspaces {
		return ErrBounds
	}
	keys := 0
	for i := range s.Workspaces {
		keys += len(s.Workspaces[i].Keys)
	}
	if keys > MaxKeys {
		return ErrBounds
	}
	names, owners := make(map[string]bool, len(s.Workspaces)), make(map[KeyHash]string, keys)
	for i := range s.Workspaces {
		w := &s.Workspaces[i]
		if w.Name == "" || names[w.Name] {
			return errors.Wrapf(ErrInventory, "workspace %q has no name or is listed twice", w.Name)
		}
		names[w.Name] = true
		if len(w.Name) > MaxWorkspaceNameBytes || !isHeaderText(w.Name) {
			return errors.Wrapf(ErrInventory, "workspace %q has a name that is too long or can't be sent in a header", w.Name)
		}
		if !isAllowance(w.Rate) || !isAllowance(w.Burst) {
			return errors.Wrapf(ErrInventory, "workspace %q has an allowance that is negative or no number", w.Name)
		}
		if w.Priority != nil && *w.Priority > MaxPriority {
			return errors.Wrapf(ErrInventory, "workspace %q has priority %d, above the highest", w.Name, *w.Priority)
		}
		for _, k := range w.Keys {
			if owner, ok := owners[k]; ok && owner != w.Name {
				return errors.Wrapf(ErrInventory, "workspaces %q and %q have the same key", owner, w.Name)
			}
			owners[k] = w.Name
		}
	}
	return nil
}
