// Package platform is the client of the platform's storage service, a
// transactional table and an object store. All persistent state is kept there.
//
// Store is the interface that the rest of the system uses, so that support for
// another platform only takes another implementation of it. HTTP is the one in
// this package. Commit is the state machine that commits a new version: it never
// applies an edit twice and never reports an outcome that it has not verified.
//
//	st := platform.NewHTTP(client, "http://127.0.0.1:7400", token)
//	row, err := st.Get(ctx, platform.HeadKey)
//
// Callers must distinguish three kinds of errors of a write: ErrCondition, it
// did not take effect because a condition failed; ErrUnavailable, it certainly
// did not take effect; any other error, it may have taken effect.
package platform

import (
	"context"

	"github.com/pkg/errors"
)

// Limits of the table.
const (
	MaxKey   = 512      // bytes of a key
	MaxValue = 64 << 10 // bytes of a value
	MaxWrite = 256      // rows in one transaction
	MaxScan  = 500      // rows in the response to one scan
)

// Sentinel errors of a Store.
var (
	// ErrMissing means that the row or object does not exist.
	ErrMissing = errors.New("platform: not found")
	// ErrCondition means that a transaction did not take effect because one of
	// its conditions failed.
	ErrCondition = errors.New("platform: condition does not hold")
	// ErrUnavailable means that the platform could not be reached or rejected
	// the request, and so that a write certainly did not take effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown means that a write was sent but its outcome is not known: it
	// may have taken effect.
	ErrUnknown = errors.New("platform: outcome not known")
)

// Row is one row of the table. Tag changes with every write of the row.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Tag   string `json:"tag"`
}

// Condition requires that a row still has the given tag. An empty Tag requires
// that the row does not exist.
type Condition struct {
	Key string `json:"key"`
	Tag string `json:"tag"`
}

// Write sets the value of one row; a nil Value deletes the row.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transaction is a set of writes that are applied atomically if all conditions
// hold.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Scan selects up to Limit rows whose keys begin with Prefix. It starts after
// the key After, which need not exist; an empty After starts at the first row.
// With Reverse, rows are in descending order of their keys, After is an exclusive
// upper bound, and an empty After starts at the last row.
type Scan struct {
	Prefix  string
	After   string
	Limit   int
	Reverse bool
}

// Store is the platform's storage service. Its methods are safe for concurrent
// use.
type Store interface {
	// Get returns the row with the given key, or ErrMissing.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows selected by s in the order of their keys.
	List(ctx context.Context, s Scan) ([]Row, error)
	// Transact applies all writes of t or none.
	Transact(ctx context.Context, t Transaction) error
	// PutObject stores content under name. The name must be derived from the
	// content, so that a repeated call is harmless.
	PutObject(ctx context.Context, name string, content []byte) error
	// GetObject returns the content of an object, or ErrMissing.
	GetObject(ctx context.Context, name string) ([]byte, error)
}
