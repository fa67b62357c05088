// Package demo shows briarrock's main job on one machine: a mesh of sixteen
// nodes in four failure domains, one text, one edit, calls before, during and
// after it, and a target that drains.
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

// Options choose what the demo shows.
type Options struct {
	// Example is the folder of the text to run.
	Example string
}

// Times of the demo.
const (
	joinTimeout  = 15 * time.Second
	applyTimeout = 10 * time.Second
	callTimeout  = 5 * time.Second
	drainTimeout = 5 * time.Second
	work         = 2 * time.Millisecond
	callers      = 8
)

// places is the file places.yaml of an example.
type places struct {
	Store   string        `yaml:"store"`
	Domains []local.Place `yaml:"domains"`
}

// UnmarshalYAML gives local.Place its names in the file.
func (p *places) UnmarshalYAML(n *yaml.Node) error {
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
	p.Store = raw.Store
	for _, d := range raw.Domains {
		p.Domains = append(p.Domains, local.Place{Domain: d.Name, Region: d.Region})
	}
	return nil
}

// Run shows the main job and writes a short report.
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

type demo struct {
	w    io.Writer
	src  []byte
	snap *snapshot.Snapshot
	mesh *local.Mesh
	load *load
}

func (d *demo) say(format string, args ...any) { _, _ = fmt.Fprintf(d.w, format+"\n", args...) }

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
	var p places
	if err := yaml.Unmarshal(b, &p); err != nil {
		return errors.WithStack(err)
	}
	spec := local.Spec{
		Places: p.Domains, PerDomain: len(d.snap.Services), StoreRegion: p.Store,
		Target: standintarget.Config{Slots: d.snap.Services[0].Slots, Conns: d.snap.Services[0].Conns, Work: work},
	}
	for _, s := range d.snap.Services {
		spec.Services = append(spec.Services, s.Name)
	}
	began := time.Now()
	if d.mesh, err = local.Start(spec); err != nil {
		return err
	}
	if err := d.mesh.Joined(joinTimeout); err != nil {
		return errors.Wrap(err, "nodes did not find each other")
	}
	d.say("%s: %d nodes in %d failure domains found each other in %v",
		d.snap.Mesh, len(d.mesh.Nodes), len(p.Domains), time.Since(began).Round(time.Millisecond))
	return nil
}

func (d *demo) apply(ctx context.Context, src []byte, base uint64, write string) (api.Result, error) {
	began := time.Now()
	res, err := d.mesh.Operator(0).Apply(ctx, api.Apply{Text: src, Base: base, Write: write, Note: "demo"})
	if err != nil {
		return res, errors.WithStack(err)
	}
	if res.Outcome != api.Accepted {
		return res, errors.Errorf("apply: %s: %s", res.Outcome, res.Text)
	}
	accepted := time.Now()
	if err := d.mesh.InForce(res.Version, applyTimeout); err != nil {
		return res, errors.Wrapf(err, "version %d in force", res.Version)
	}
	d.say("version %d: accepted in %v, in force on all %d nodes %v later", res.Version,
		accepted.Sub(began).Round(time.Millisecond), len(d.mesh.Nodes), time.Since(accepted).Round(time.Millisecond))
	return res, nil
}

func (d *demo) applyFirst(ctx context.Context) error {
	_, err := d.apply(ctx, d.src, 0, "demo-first")
	return err
}

// route is a route of the text that anybody may read from.
func (d *demo) route() (string, string) {
	for _, s := range d.snap.Services {
		for _, r := range s.Routes {
			if len(r.Callers) == 0 && r.Mode == snapshot.Repeatable && r.Methods[0] == http.MethodGet {
				return s.Name, r.Path
			}
		}
	}
	return "", ""
}

func (d *demo) call(ctx context.Context) error {
	service, path := d.route()
	if err := local.Until(joinTimeout, func() bool {
		for _, n := range d.mesh.Nodes {
			if n.LiveTargets(service) < len(d.mesh.Spec.Places) {
				return false
			}
		}
		return true
	}); err != nil {
		return errors.Wrap(err, "targets are known everywhere")
	}
	d.load = newLoad(d.mesh, service, path)
	d.load.start(ctx)
	return errors.Wrap(local.Until(callTimeout, func() bool { return d.load.good.Load() >= callers }), "calls are answered")
}

// edit changes a deadline in the text while calls go on.
func (d *demo) edit(ctx context.Context) error {
	changed := strings.Replace(string(d.src), "retries: 2", "retries: 1", 1)
	res, err := d.apply(ctx, []byte(changed), 1, "demo-edit")
	if err != nil {
		return err
	}
	for _, c := range res.Changes {
		d.say("  %s", c)
	}
	late, err := d.mesh.Operator(1).Apply(ctx, api.Apply{Text: d.src, Base: 1, Write: "demo-late"})
	if err != nil {
		return errors.WithStack(err)
	}
	d.say("a second operator who began from version 1: %s, nothing lost", late.Outcome)
	if late.Outcome != api.Conflict {
		return errors.Errorf("the late edit was %s", late.Outcome)
	}
	return nil
}

// drain lets one target announce that it leaves.
func (d *demo) drain(ctx context.Context) error {
	service, _ := d.route()
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
	began := time.Now()
	err := local.Until(drainTimeout, func() bool {
		for _, x := range d.mesh.Nodes {
			if x.LiveTargets(service) >= before {
				return false
			}
		}
		return true
	})
	if err != nil {
		return errors.Wrap(err, "the drained target is left alone")
	}
	d.say("target of %s on %s drains: no node sends it work after %v", service, n.Cfg.Host, time.Since(began).Round(time.Millisecond))
	return nil
}

func (d *demo) report(ctx context.Context) error {
	d.load.stop()
	var s api.Status
	began := time.Now()
	err := local.Until(applyTimeout, func() bool {
		var err error
		s, err = d.mesh.Operator(len(d.mesh.Nodes) - 1).Status(ctx)
		in, _, _ := s.InForce(2)
		return err == nil && in
	})
	if err != nil {
		return errors.Wrap(err, "the status shows version 2 in force everywhere")
	}
	d.say("status shows it in force everywhere after %v:", time.Since(began).Round(time.Millisecond))
	for _, x := range s.Domains {
		d.say("  %-14s %-10s %d nodes %v", x.Domain, x.Region, x.Members, x.Counts)
	}
	bad := d.load.bad.Load()
	d.say("calls to %s%s through all nodes, before, during and after: %d answered, %d failed",
		d.load.service, d.load.path, d.load.good.Load(), bad)
	if bad > 0 {
		return errors.Errorf("%d calls failed, the last one with %v", bad, d.load.last.Load())
	}
	return nil
}

// load calls a service through every node in turn.
type load struct {
	mesh          *local.Mesh
	service, path string
	good, bad     atomic.Int64
	last          atomic.Value
	cancel        context.CancelFunc
	wg            sync.WaitGroup
}

func newLoad(m *local.Mesh, service, path string) *load {
	return &load{mesh: m, service: service, path: path}
}

func (l *load) start(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	for i := range callers {
		l.wg.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				l.once(ctx, l.mesh.Nodes[n%len(l.mesh.Nodes)].Cfg.CallerAddr)
			}
		})
	}
}

func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

func (l *load) once(ctx context.Context, addr string) {
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
		l.bad.Add(1)
		l.last.Store(err.Error())
		return
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		l.bad.Add(1)
		l.last.Store(res.Status)
		return
	}
	l.good.Add(1)
}
