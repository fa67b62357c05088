package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"briarrock.example/briarrock/local"
	"briarrock.example/mesh/platform"
	"briarrock.example/mesh/snapshot"
	"briarrock.example/mesh/text"
	standinplatform "briarrock.example/standin/platform"
	"briarrock.example/standin/wire"
)

// benchmarks returns all commands in the order in which help lists them.
func benchmarks() []benchmark {
	return []benchmark{convergeBenchmark(), deltaBenchmark(), callsBenchmark(), overloadBenchmark(), faultsBenchmark(), onceBenchmark(), slopesBenchmark(), mutateBenchmark(), stormBenchmark()}
}

// storeFaults adds the latency of a store in the same region to the stand-in
// platform.
var storeFaults = standinplatform.Faults{Delay: 2 * time.Millisecond}

// listen opens a listener on loopback and returns it with its URL.
func listen() (net.Listener, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.WithStack(err)
	}
	return l, "http://" + l.Addr().String(), nil
}

// shapedClient returns an HTTP client whose connections have the delay and bandwidth
// of a path.
func shapedClient(p wire.Path) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, network, addr)
			if err != nil {
				return nil, errors.WithStack(err)
			}
			return wire.Shape(c, p), nil
		},
	}}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// compile returns the snapshot of the text that makeText returns for the same
// arguments, and its encoding.
func compile(services, edit int) (*snapshot.Snapshot, []byte, error) {
	s, err := text.Compile(makeText(services, edit))
	if err != nil {
		return nil, nil, errors.Wrap(err, "compiling the text")
	}
	b, err := snapshot.Encode(s)
	return s, b, errors.Wrap(err, "encoding the snapshot")
}

// commitToStore commits an edit directly to the store and waits until all pollers
// have read it. It returns their latencies, counted from the acceptance of the edit.
func commitToStore(ctx context.Context, st platform.Store, edit int, times *versionTimes, nodes int) ([]time.Duration, error) {
	_, b, err := compile(convergeFlags.services, edit)
	if err != nil {
		return nil, err
	}
	hash := snapshot.Sum(b)
	if err := st.PutObject(ctx, "whole-"+hash.String(), b); err != nil {
		return nil, errors.Wrap(err, "baseline: storing the snapshot")
	}
	result := platform.Apply(ctx, st, platform.Edit{
		Audit: platform.Audit{Base: uint64(edit), Hash: hash.String(), Text: hash.String(), Write: fmt.Sprintf("bench-%08d", edit)},
		Text:  b, Snapshot: b,
	}, platform.Row{})
	if result.Outcome != platform.Accepted {
		return nil, errors.New("baseline: edit not accepted")
	}
	accepted := time.Now()
	version := uint64(edit + 1)
	err = local.WaitUntil(inForceTimeout, func() bool { return len(times.latencies(version, accepted)) >= nodes })
	return times.latencies(version, accepted), err
}
