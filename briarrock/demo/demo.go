// Package demo demonstrates the main functions of briarrock on one machine: it
// runs a mesh of sixteen nodes in four failure domains, applies a text and an edit
// of it, sends calls before, during and after the edit, and drains a target.
//
//	err := demo.Run(ctx, demo.Options{Example: "quaywell"}, os.Stdout)
package demo

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"briarrock.example/briarrock/local"
	"briarrock.example/examples"
	api "briarrock.example/mesh/operator"
	"briarrock.example/mesh/snapshot"
	"briarrock.example/mesh/text"
	standintarget "briarrock.example/standin/target"
)

// Options configure the demo.
type Options struct {
	// Example is the name of the example, a folder in package examples.
	Example string
}

const (
	joinTimeout  = 15 * time.Second
	applyTimeout = 10 * time.Second
	callTimeout  = 5 * time.Second
	drainTimeout = 5 * time.Second
	// targetWork is the processing time of a request at a target.
	targetWork = 2 * time.Millisecond
	// workers is the number of concurrent calls.
	workers = 8
)

// exampleLocations is the content of the file places.yaml of an example: its
// failure domains and the region of the store.
type exampleLocations struct {
	Store   string           `yaml:"store"`
	Domains []local.Location `yaml:"domains"`
}

// UnmarshalYAML maps the field names of the file to those of local.Location.
func (l *exampleLocations) UnmarshalYAML(n *yaml.Node) error {
	var raw struct {
		Store   string `yaml:"store"`
		Domains []struct {
			Name   string `yaml:"name"`
			Region string `yaml:"region"`
		} `yaml:"domains"`
	}
	if err := n.Decode(&raw); err != nil {
		return errors.WithStack(err)
	}
	l.Store = raw.Store
	for _, d := range raw.Domains {
		l.Domains = append(l.Domains, local.Location{Domain: d.Name, Region: d.Region})
	}
	return nil
}

// Run runs the demo and writes a short report to w.
func Run(ctx context.Context, o Options, w io.Writer) error {
	d := &demo{w: w}
	if err := d.start(o.Example); err != nil {
		return err
	}
	defer d.mesh.Close()
	for _, step := range []func(context.Context) error{d.applyFirst, d.call, d.edit, d.drain, d.report} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// demo is the state that the steps share.
type demo struct {
	w    io.Writer
	src  []byte             // the example's text
	snap *snapshot.Snapshot // src, compiled
	mesh *local.Mesh
	load *loadGenerator
}

func (d *demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.w, format+"\n", args...) }

// start starts the mesh of an example and waits until its nodes have joined.
func (d *demo) start(example string) error {
	src, err := fs.ReadFile(examples.Files, example+"/mesh.yaml")
	if err != nil {
		return errors.Errorf("there is no example %q", example)
	}
	d.src = src
	if d.snap, err = text.Compile(src); err != nil {
		return errors.WithStack(err)
	}
	b, err := fs.ReadFile(examples.Files, example+"/places.yaml")
	if err != nil {
		return errors.WithStack(err)
	}
	var locations exampleLocations
	if err := yaml.Unmarshal(b, &locations); err != nil {
		return errors.WithStack(err)
	}
	spec := local.Spec{
		Locations: locations.Domains, NodesPerDomain: len(d.snap.Services), StoreRegion: locations.Store,
		Target: standintarget.Config{Slots: d.snap.Services[0].Slots, Conns: d.snap.Services[0].Conns, Work: targetWork},
	}
	for _, s := range d.snap.Services {
		spec.Services = append(spec.Services, s.Name)
	}
	started := time.Now()
	if d.mesh, err = local.Start(spec); err != nil {
		return err
	}
	if err := d.mesh.WaitJoined(joinTimeout); err != nil {
		return errors.Wrap(err, "waiting for the nodes to join")
	}
	d.printf("%s: %d nodes in %d failure domains found each other in %v",
		d.snap.Mesh, len(d.mesh.Nodes), len(locations.Domains), time.Since(started).Round(time.Millisecond))
	return nil
}

// apply applies a text, based on version base, and waits until it is in force.
// write is the id of the edit.
func (d *demo) apply(ctx context.Context, src []byte, base uint64, write string) (api.Result, error) {
	started := time.Now()
	res, err := d.mesh.Operator(0).Apply(ctx, api.Apply{Text: src, Base: base, Write: write, Note: "demo"})
	if err != nil {
		return res, errors.WithStack(err)
	}
	if res.Outcome != api.Accepted {
		return res, errors.Errorf("apply: %s: %s", res.Outcome, res.Text)
	}
	accepted := time.Now()
	if err := d.mesh.WaitInForce(res.Version, applyTimeout); err != nil {
		return res, errors.Wrapf(err, "waiting for version %d to be in force", res.Version)
	}
	d.printf("version %d: accepted in %v, in force on all %d nodes %v later", res.Version,
		accepted.Sub(started).Round(time.Millisecond), len(d.mesh.Nodes), time.Since(accepted).Round(time.Millisecond))
	return res, nil
}

func (d *demo) applyFirst(ctx context.Context) error {
	_, err := d.apply(ctx, d.src, 0, "demo-first")
	return err
}

// openRoute returns the service and the path of the first repeatable GET route of
// the text that is open to all callers.
func (d *demo) openRoute() (string, string) {
	for _, s := range d.snap.Services {
		for _, r := range s.Routes {
			if len(r.Callers) == 0 && r.Mode == snapshot.Repeatable && r.Methods[0] == http.MethodGet {
				return s.Name, r.Path
			}
		}
	}
	return "", ""
}

// call waits until all nodes see a target in each domain and starts the load
// generator.
func (d *demo) call(ctx context.Context) error {
	service, path := d.openRoute()
	if err := local.WaitUntil(joinTimeout, func() bool {
		for _, n := range d.mesh.Nodes {
			if n.LiveTargets(service) < len(d.mesh.Spec.Locations) {
				return false
			}
		}
		return true
	}); err != nil {
		return errors.Wrap(err, "waiting for all nodes to see the targets")
	}
	d.load = newLoadGenerator(d.mesh, service, path)
	d.load.start(ctx)
	return errors.Wrap(local.WaitUntil(callTimeout, func() bool { return d.load.succeeded.Load() >= workers }), "waiting for successful calls")
}

// edit applies a text with a changed number of retries under load, and then a
// conflicting edit that is based on the first version.
func (d *demo) edit(ctx context.Context) error {
	changed := strings.Replace(string(d.src), "retries: 2", "retries: 1", 1)
	res, err := d.apply(ctx, []byte(changed), 1, "demo-edit")
	if err != nil {
		return err
	}
	for _, c := range res.Changes {
		d.printf("  %s", c)
	}
	conflicting, err := d.mesh.Operator(1).Apply(ctx, api.Apply{Text: d.src, Base: 1, Write: "demo-late"})
	if err != nil {
		return errors.WithStack(err)
	}
	d.printf("a second operator who began from version 1: %s, nothing lost", conflicting.Outcome)
	if conflicting.Outcome != api.Conflict {
		return errors.Errorf("the conflicting edit was %s", conflicting.Outcome)
	}
	return nil
}

// drain drains one target and waits until no node sends requests to it.
func (d *demo) drain(ctx context.Context) error {
	service, _ := d.openRoute()
	var n *local.Node
	for _, x := range d.mesh.Nodes {
		if x.LiveTargets(service) > 0 && x.Target != nil && x.Target.Service() == service {
			n = x
			break
		}
	}
	if n == nil {
		return errors.New("no target to drain")
	}
	before := n.LiveTargets(service)
	n.Target.Drain()
	if err := n.Target.AnnounceOnce(ctx, "http://"+n.Cfg.AnnounceAddr); err != nil {
		return errors.WithStack(err)
	}
	started := time.Now()
	err := local.WaitUntil(drainTimeout, func() bool {
		for _, x := range d.mesh.Nodes {
			if x.LiveTargets(service) >= before {
				return false
			}
		}
		return true
	})
	if err != nil {
		return errors.Wrap(err, "waiting for all nodes to stop using the drained target")
	}
	d.printf("target of %s on %s drains: no node sends it work after %v", service, n.Cfg.Host, time.Since(started).Round(time.Millisecond))
	return nil
}

// report stops the load and prints the status and the results of the calls.
func (d *demo) report(ctx context.Context) error {
	d.load.stop()
	var s api.Status
	started := time.Now()
	err := local.WaitUntil(applyTimeout, func() bool {
		var err error
		s, err = d.mesh.Operator(len(d.mesh.Nodes) - 1).Status(ctx)
		in, _, _ := s.InForce(2)
		return err == nil && in
	})
	if err != nil {
		return errors.Wrap(err, "waiting for the status to show version 2 in force everywhere")
	}
	d.printf("status shows it in force everywhere after %v:", time.Since(started).Round(time.Millisecond))
	for _, x := range s.Domains {
		d.printf("  %-14s %-10s %d nodes %v", x.Domain, x.Region, x.Members, x.Counts)
	}
	failed := d.load.failed.Load()
	d.printf("calls to %s%s through all nodes, before, during and after: %d answered, %d failed",
		d.load.service, d.load.path, d.load.succeeded.Load(), failed)
	if failed > 0 {
		return errors.Errorf("%d calls failed, the last one with: %v", failed, d.load.lastError.Load())
	}
	return nil
}

// loadGenerator sends calls of a service through all nodes in turn.
type loadGenerator struct {
	mesh              *local.Mesh
	service, path     string
	succeeded, failed atomic.Int64
	lastError         atomic.Value
	cancel            context.CancelFunc
	wg                sync.WaitGroup
}

func newLoadGenerator(m *local.Mesh, service, path string) *loadGenerator {
	return &loadGenerator{mesh: m, service: service, path: path}
}

func (l *loadGenerator) start(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	for i := range workers {
		l.wg.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				l.sendCall(ctx, l.mesh.Nodes[n%len(l.mesh.Nodes)].Cfg.CallerAddr)
			}
		})
	}
}

func (l *loadGenerator) stop() {
	l.cancel()
	l.wg.Wait()
}

func (l *loadGenerator) sendCall(ctx context.Context, addr string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+l.path+"/1", nil)
	if err != nil {
		return
	}
	req.Host = l.service
	res, err := http.DefaultClient.Do(req)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		l.failed.Add(1)
		l.lastError.Store(err.Error())
		return
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		l.failed.Add(1)
		l.lastError.Store(res.Status)
		return
	}
	l.succeeded.Add(1)
}
