package local_test

import (
	"context"

	"briarrock.example/mesh/platform"
)

// unavailableStore is a platform whose operations all fail with ErrUnavailable.
type unavailableStore struct{}

func (unavailableStore) Get(context.Context, string) (platform.Row, error) {
	return platform.Row{}, platform.ErrUnavailable
}

func (unavailableStore) List(context.Context, platform.Scan) ([]platform.Row, error) {
	return nil, platform.ErrUnavailable
}

func (unavailableStore) Transact(context.Context, platform.Transaction) error {
	return platform.ErrUnavailable
}

func (unavailableStore) PutObject(context.Context, string, []byte) error {
	return platform.ErrUnavailable
}

func (unavailableStore) GetObject(context.Context, string) ([]byte, error) {
	return nil, platform.ErrUnavailable
}
