// Package codec encodes and decodes everything that nodes send to each other or
// identify by a content hash. The format is deterministic CBOR (RFC 8949,
// section 4.2). Input is untrusted, so decoding is strict and bounded.
//
//	b, err := codec.Encode(v)
//	err := codec.Decode(b, &v)
package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Limits that Decode enforces for every type.
const (
	MaxNested   = 8       // levels of nesting
	MaxElements = 1 << 16 // elements of one array
	MaxPairs    = 64      // pairs of one map
)

// Raw is an encoded value that is decoded later, by itself.
type Raw = cbor.RawMessage

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  MaxNested,
		MaxArrayElements: MaxElements,
		MaxMapPairs:      MaxPairs,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the library rejects the constant options above
	}
	return v
}

// Encode returns the deterministic encoding of v: equal values have equal
// encodings.
func Encode(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	return b, errors.Wrap(err, "codec: encode")
}

// Decode decodes b into the value that v points to.
func Decode(b []byte, v any) error {
	return errors.Wrap(decMode.Unmarshal(b, v), "codec: decode")
}
