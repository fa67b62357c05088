package main

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"briarrock.example/standin/wire"
)

func stormBenchmark() benchmark {
	return benchmark{name: "storm", help: "50 changes in 10 s, and convergence after the regions were partitioned for a minute", run: storm}
}

// Size of the storm, the many changes in a short time, and of the partition.
const (
	stormNodes        = 64
	stormChanges      = 50
	stormDuration     = 10 * time.Second
	partitionDuration = time.Minute
)

// storm measures two kinds of convergence: that of many changes in a short time, and
// that of a change applied during a partition of the regions, from its healing on.
func storm(options) (*table, error) {
	t := &table{
		Name:  "many changes, and a cut that heals",
		Note:  fmt.Sprintf("%d nodes, 170 services, network delays as in converge; milliseconds", stormNodes),
		Heads: []string{"what", "p50 ms", "p99 ms", "max ms", "versions", "B/node"},
	}
	link := wire.NewLink(regionRate)
	times := &versionTimes{at: make(map[uint64][]time.Time)}
	m, stop, err := regionalMesh(stormNodes, link, times)
	if err != nil {
		return nil, err
	}
	defer stop()
	if err := m.WaitJoined(joinTimeout); err != nil {
		return nil, errors.Wrap(err, "waiting for the nodes to join")
	}
	if err := applyAtFirst(m, 0); err != nil {
		return nil, err
	}
	if err := m.WaitInForce(1, inForceTimeout); err != nil {
		return nil, errors.Wrap(err, "waiting for the first version to be in force")
	}
	waitIdle()
	bytesBefore := controlBytes(m)
	var latencies []time.Duration
	accepted := make([]time.Time, 0, stormChanges)
	for i := range stormChanges {
		next := time.Now().Add(stormDuration / stormChanges)
		acceptedAt, err := applyEdit(m, i%2, i+1)
		if err != nil {
			return nil, err
		}
		accepted = append(accepted, acceptedAt)
		time.Sleep(time.Until(next))
	}
	if err := m.WaitInForce(stormChanges+1, inForceTimeout); err != nil {
		return nil, errors.Wrap(err, "waiting for the last of the changes to be in force")
	}
	for i, acceptedAt := range accepted {
		latencies = append(latencies, times.latencies(uint64(i+2), acceptedAt)...)
	}
	p50, p99, maximum := percentiles(latencies)
	t.add("50 changes in 10 s", ms(p50), ms(p99), ms(maximum), stormChanges, (controlBytes(m)-bytesBefore)/stormNodes)

	link.Cut(true)
	time.Sleep(partitionDuration / 2)
	if _, err := applyEdit(m, 0, stormChanges+1); err != nil {
		return nil, err
	}
	time.Sleep(partitionDuration / 2)
	bytesBefore = controlBytes(m)
	healed := time.Now()
	link.Cut(false)
	version := uint64(stormChanges + 2)
	if err := m.WaitInForce(version, inForceTimeout); err != nil {
		return nil, errors.Wrap(err, "waiting for convergence after the partition")
	}
	var healLatencies []time.Duration
	for _, d := range times.latencies(version, healed) {
		if d > 0 {
			healLatencies = append(healLatencies, d)
		}
	}
	p50, p99, maximum = percentiles(healLatencies)
	t.add("regions cut for 60 s, from the healing on", ms(p50), ms(p99), ms(maximum), 1, (controlBytes(m)-bytesBefore)/stormNodes)
	return t, nil
}

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
