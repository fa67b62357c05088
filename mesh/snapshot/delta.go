package snapshot

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// dictID is the identifier that zstd requires of a raw dictionary. One constant
// is enough, since base and content are always identified by their hashes.
const dictID = 1

// maxWindowBytes limits the window, and so the memory, that a peer's delta can
// make the decoder allocate.
const maxWindowBytes = 2 * MaxBytes

// Pack returns b compressed as a delta against base, an encoded snapshot that
// the receiver already has. With an empty base it compresses b by itself.
//
// The base is used as a raw zstd dictionary, so an edit of one line takes some
// tens of bytes regardless of the size of the configuration. With this level
// and low encoder memory, compression uses 3 MB for 1,200 entries; the next
// level uses 9 MB for an output of the same size. docs/design/delta.md describes
// the alternatives.
func Pack(base, b []byte) ([]byte, error) {
	opts := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowSize(len(base) + len(b))),
		zstd.WithEncoderCRC(false),
	}
	if len(base) > 0 {
		opts = append(opts, zstd.WithEncoderDictRaw(dictID, base))
	}
	enc, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot: pack")
	}
	defer func() { _ = enc.Close() }()
	return enc.EncodeAll(b, nil), nil
}

// Unpack decompresses the output of Pack for the same base. Its errors wrap
// ErrDelta. The result is untrusted: callers verify it by passing it to Open.
func Unpack(base, packed []byte) ([]byte, error) {
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(MaxBytes),
		zstd.WithDecoderMaxWindow(maxWindowBytes),
	}
	if len(base) > 0 {
		opts = append(opts, zstd.WithDecoderDictRaw(dictID, base))
	}
	dec, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot: unpack")
	}
	defer dec.Close()
	b, err := dec.DecodeAll(packed, nil)
	if err != nil {
		return nil, errors.Wrap(ErrDelta, err.Error())
	}
	return b, nil
}

// windowSize returns the smallest zstd window, a power of two of at least 1 KiB,
// that covers n bytes.
func windowSize(n int) int {
	w := zstd.MinWindowSize
	for w < n && w < MaxBytes {
		w <<= 1
	}
	return w
}
