package main

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"briarrock.example/mesh/snapshot"
)

func deltaBenchmark() benchmark {
	return benchmark{name: "delta", help: "size and time of the encodings of a version after a change of one line", run: delta}
}

// resourceDiff is an encoding that briarrock does not use, since it lost in the
// comparison: the services that changed, and the names of those that were removed.
type resourceDiff struct {
	Changed []snapshot.Service `cbor:"1,keyasint,omitempty"`
	Removed []string           `cbor:"2,keyasint,omitempty"`
}

// delta compares the encodings of a version in size and time.
func delta(options) (*table, error) {
	t := &table{
		Name:  "ways to send a version",
		Note:  "one number of one service changed; bytes on the wire, and time to pack and to unpack",
		Heads: []string{"services", "whole B", "compressed B", "by dictionary B", "by resource B", "pack ms", "unpack ms"},
	}
	for _, n := range []int{4, 170, 500} {
		a, old, err := compile(n, 1)
		if err != nil {
			return nil, err
		}
		b, current, err := compile(n, 2)
		if err != nil {
			return nil, err
		}
		standalone, err := snapshot.Pack(nil, current)
		if err != nil {
			return nil, errors.Wrap(err, "packing without a base")
		}
		started := time.Now()
		packed, err := snapshot.Pack(old, current)
		packTime := time.Since(started)
		if err != nil {
			return nil, errors.Wrap(err, "packing with a base")
		}
		started = time.Now()
		unpacked, err := snapshot.Unpack(old, packed)
		unpackTime := time.Since(started)
		if err != nil || snapshot.Sum(unpacked) != snapshot.Sum(current) {
			return nil, errors.New("the unpacked snapshot differs from the original")
		}
		diff, err := cbor.Marshal(diffOf(a, b))
		if err != nil {
			return nil, errors.Wrap(err, "encoding the changed services")
		}
		t.add(n, len(current), len(standalone), len(packed), len(diff), packTime.Seconds()*1000, unpackTime.Seconds()*1000)
	}
	return t, nil
}

// diffOf returns the services of b that differ from a. Removed is left empty, since
// the edits of makeText remove no service.
func diffOf(a, b *snapshot.Snapshot) resourceDiff {
	var d resourceDiff
	changed := make(map[string]bool)
	for _, c := range snapshot.Diff(a, b) {
		changed[c.Resource] = true
	}
	for i := range b.Services {
		if changed[b.Services[i].Name] {
			d.Changed = append(d.Changed, b.Services[i])
		}
	}
	return d
}
