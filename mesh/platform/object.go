package platform

import (
	"context"

	"github.com/pkg/errors"

	"briarrock.example/mesh/snapshot"
)

// objectName returns the name of the object that stores the content with the
// hash h. The name depends on the content only, so writes are idempotent.
func objectName(h snapshot.Hash) string { return "zstd-" + h.String() }

// PutContent stores b as an object named by its hash. The object is compressed,
// since nodes outside the store's region transfer it over a link that is billed
// by traffic.
func PutContent(ctx context.Context, st Store, b []byte) error {
	packed, err := snapshot.Pack(nil, b)
	if err != nil {
		return err
	}
	name := objectName(snapshot.Sum(b))
	for n := 1; ; n++ {
		err := st.PutObject(ctx, name, packed)
		if err == nil || n == maxPutAttempts || errors.Is(err, ErrUnavailable) {
			return errors.WithStack(err)
		}
	}
}

// maxPutAttempts is the number of attempts to write an object when the outcome
// of a write is unknown. Retries are harmless, since the write is idempotent.
const maxPutAttempts = 3

// GetContent reads the content with the hash h and verifies the hash. It returns
// snapshot.ErrHash if the stored content does not match.
func GetContent(ctx context.Context, st Store, h snapshot.Hash) ([]byte, error) {
	packed, err := st.GetObject(ctx, objectName(h))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	b, err := snapshot.Unpack(nil, packed)
	if err != nil {
		return nil, err
	}
	if snapshot.Sum(b) != h {
		return nil, snapshot.ErrHash
	}
	return b, nil
}
