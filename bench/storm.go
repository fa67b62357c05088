package main

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"briarrock.example/standin/wire"
)

func stormMeasure() measure {
	return measure{name: "storm", help: "50 changes in 10 s, and what follows a minute's cut between the regions", run: storm}
}

// Sizes of the storm.
const (
	stormNodes   = 64
	stormChanges = 50
	stormFor     = 10 * time.Second
	cutFor       = time.Minute
)

func storm(options) (*table, error) {
	t := &table{
		Name:  "many changes, and a cut that heals",
		Note:  fmt.Sprintf("%d nodes, 170 services, distances of the brief; milliseconds", stormNodes),
		Heads: []string{"what", "p50 ms", "p99 ms", "max ms", "versions", "B/node"},
	}
	link := wire.NewLink(paidRate)
	u := &uses{at: make(map[uint64][]time.Time)}
	m, end, err := farMesh(stormNodes, link, u)
	if err != nil {
		return nil, err
	}
	defer end()
	if err := m.WaitJoined(joinWithin); err != nil {
		return nil, errors.Wrap(err, "join")
	}
	if err := applyTo(m, 0); err != nil {
		return nil, err
	}
	if err := m.WaitInForce(1, forceWithin); err != nil {
		return nil, errors.Wrap(err, "first version")
	}
	settle()
	from := control(m)
	var all []time.Duration
	accepted := make([]time.Time, 0, stormChanges)
	for i := range stormChanges {
		next := time.Now().Add(stormFor / stormChanges)
		at, err := applyAt(m, i%2, i+1)
		if err != nil {
			return nil, err
		}
		accepted = append(accepted, at)
		time.Sleep(time.Until(next))
	}
	if err := m.WaitInForce(stormChanges+1, forceWithin); err != nil {
		return nil, errors.Wrap(err, "storm")
	}
	for i, at := range accepted {
		all = append(all, u.since(uint64(i+2), at)...)
	}
	p50, p99, most := quantiles(all)
	t.add("50 changes in 10 s", ms(p50), ms(p99), ms(most), stormChanges, (control(m)-from)/stormNodes)

	link.Cut(true)
	time.Sleep(cutFor / 2)
	if _, err := applyAt(m, 0, stormChanges+1); err != nil {
		return nil, err
	}
	time.Sleep(cutFor / 2)
	from = control(m)
	healed := time.Now()
	link.Cut(false)
	version := uint64(stormChanges + 2)
	if err := m.WaitInForce(version, forceWithin); err != nil {
		return nil, errors.Wrap(err, "healing")
	}
	var late []time.Duration
	for _, d := range u.since(version, healed) {
		if d > 0 {
			late = append(late, d)
		}
	}
	p50, p99, most = quantiles(late)
	t.add("regions cut for 60 s, from the healing on", ms(p50), ms(p99), ms(most), 1, (control(m)-from)/stormNodes)
	return t, nil
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
