package peer

import "math"

// Counter is one element of the mesh-wide sums.
type Counter struct {
	Key string `cbor:"1,keyasint"`
	// Values is empty if the counter was removed.
	Values []uint64 `cbor:"2,keyasint,omitempty"`
	// Serial orders the values that a domain has published for a key; 0 within a
	// domain, where frames arrive in the order in which they were sent.
	Serial uint64 `cbor:"3,keyasint,omitempty"`
}

// Sums carries changed contributions towards the root of a domain, where Domain is
// empty, and between the roots, where it names the domain whose sums these are. A frame
// without counters shows that the sender is still connected.
type Sums struct {
	Domain   string    `cbor:"1,keyasint,omitempty"`
	Counters []Counter `cbor:"2,keyasint,omitempty"`
	// Full is set if keys that are not in this frame are to be dropped. It is only set
	// within a domain.
	Full bool `cbor:"3,keyasint,omitempty"`
	// Request asks the receiver to send all that it knows on this link.
	Request bool `cbor:"4,keyasint,omitempty"`
}

// Totals carries changed sums over all domains from the root of a domain towards the
// leaves of its tree.
type Totals struct {
	Counters []Counter `cbor:"1,keyasint,omitempty"`
	Full     bool      `cbor:"2,keyasint,omitempty"`
}

// The type codes of the frames in this file; see codeHello.
const (
	codeSums   byte = 16
	codeTotals byte = 17
)

func (Sums) code() byte   { return codeSums }
func (Totals) code() byte { return codeTotals }

// Limits of the mesh-wide sums.
const (
	// maxCounters is the maximum number of keys in the sums: one for each workspace
	// and room for the roll-outs.
	maxCounters = 16384
	// maxCounterKey is the maximum length of a key in bytes.
	maxCounterKey = 256
	// maxCounterValues is the maximum length of a vector.
	maxCounterValues = 64
	// maxSerial bounds the serials of peers, so that there is a higher one.
	maxSerial = 1 << 62
)

func validCounters(counters []Counter) bool {
	if len(counters) > maxCounters {
		return false
	}
	for i := range counters {
		if len(counters[i].Key) > maxCounterKey || len(counters[i].Values) > maxCounterValues {
			return false
		}
	}
	return true
}

// addCounters adds b to a element by element; a missing element is 0, and a sum that
// does not fit is the largest number. It may modify a.
func addCounters(a, b []uint64) []uint64 {
	for len(a) < len(b) {
		a = append(a, 0)
	}
	for i, v := range b {
		if a[i] > math.MaxUint64-v {
			a[i] = math.MaxUint64
			continue
		}
		a[i] += v
	}
	return a
}
