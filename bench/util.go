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

func measures() []measure {
	return []measure{convergeMeasure(), deltaMeasure(), callsMeasure(), overloadMeasure(), faultsMeasure(), onceMeasure(), slopesMeasure(), mutateMeasure(), stormMeasure()}
}

// storeDelay makes the stand-in platform as far as one in the same region.
var storeDelay = standinplatform.Faults{Delay: 2 * time.Millisecond}

func listen() (net.Listener, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.WithStack(err)
	}
	return l, "http://" + l.Addr().String(), nil
}

func slowClient(p wire.Path) *http.Client {
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

// cpuNow is the processor time of this process so far.
func cpuNow() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// compiled is the snapshot of a text that makeText made.
func compiled(services, edit int) (*snapshot.Snapshot, []byte, error) {
	s, err := text.Compile(makeText(services, edit))
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	b, err := snapshot.Encode(s)
	return s, b, errors.WithStack(err)
}

// publish commits an edit straight to the store and waits until all pollers
// have it.
func publish(ctx context.Context, st platform.Store, edit int, u *uses, nodes int) ([]time.Duration, error) {
	_, b, err := compiled(convergeFlags.services, edit)
	if err != nil {
		return nil, err
	}
	hash := snapshot.Sum(b)
	if err := st.PutObject(ctx, "whole-"+hash.String(), b); err != nil {
		return nil, errors.WithStack(err)
	}
	fin := platform.Apply(ctx, st, platform.Edit{
		Audit: platform.Audit{Base: uint64(edit), Hash: hash.String(), Text: hash.String(), Write: fmt.Sprintf("bench-%08d", edit)},
		Text:  b, Snapshot: b,
	}, platform.Row{})
	if fin.Outcome != platform.Accepted {
		return nil, errors.New("baseline: not accepted")
	}
	accepted := time.Now()
	version := uint64(edit + 1)
	err = local.WaitUntil(forceWithin, func() bool { return len(u.since(version, accepted)) >= nodes })
	return u.since(version, accepted), err
}
