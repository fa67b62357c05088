package snapshot

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// dictID is the identifier that a raw zstd dictionary must carry; base and
// content always travel with their hashes, so one value serves for all.
const dictID = 1

// maxWindow bounds the memory that decoding a peer's delta may ask for.
const maxWindow = 2 * MaxBytes

// Pack compresses b against base, the bytes of a version that the receiver
// holds. With an empty base it compresses b alone.
//
// The base serves as a raw zstd dictionary, so that an edit of one line costs
// some tens of bytes whatever the size of the text. The level and the small
// tables keep the memory that it takes at 3 MB for 1,200 entries; the next level
// takes 9 MB for the same bytes. docs/design/delta.md has the other ways.
func Pack(base, b []byte) ([]byte, error) {
	opts := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowFor(len(base) + len(b))),
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

// Unpack reverses Pack. The result is not trusted: callers pass it to Open.
func Unpack(base, packed []byte) ([]byte, error) {
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(MaxBytes),
		zstd.WithDecoderMaxWindow(maxWindow),
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

// windowFor is the smallest zstd window (a power of two, 1 KiB at least) that
// reaches back over n bytes.
func windowFor(n int) int {
	w := zstd.MinWindowSize
	for w < n && w < MaxBytes {
		w <<= 1
	}
	return w
}
