package command

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"briarrock.example/briarrock/demo"
	api "briarrock.example/mesh/operator"
)

// show writes a version's text.
type show struct {
	version string
	out     string
}

func (c *show) flags(s *flaggy.Subcommand) {
	s.AddPositionalValue(&c.version, "VERSION", 1, false, "the version (default: the one in force)")
	s.String(&c.out, "o", "output", "write to this file instead")
}

func (c *show) run(ctx context.Context, e *env) int {
	n, ok := e.version(c.version)
	if !ok {
		return ExitUsage
	}
	client, err := e.client()
	if err != nil {
		return e.failed(err)
	}
	v, err := client.Text(ctx, n)
	if err != nil {
		e.complain("%v", err)
		return ExitRefused
	}
	if v.Version == 0 {
		e.complain("there is no version yet; \"briarrock apply FILE\" makes the first one")
		return ExitInvalid
	}
	b := withBase(v.Version, v.Text)
	if c.out == "" {
		_, _ = e.Out.Write(b)
		return ExitDone
	}
	if err := os.WriteFile(c.out, b, 0o600); err != nil {
		e.complain("%v", err)
		return ExitRefused
	}
	return ExitDone
}

// status shows which version is in force where.
type status struct{ watch bool }

func (c *status) flags(s *flaggy.Subcommand) {
	s.Bool(&c.watch, "w", "watch", "go on showing it each second")
}

// watchEvery is how often status --watch asks.
const watchEvery = time.Second

func (c *status) run(ctx context.Context, e *env) int {
	client, err := e.client()
	if err != nil {
		return e.failed(err)
	}
	for {
		s, err := client.Status(ctx)
		if err != nil {
			return e.failed(err)
		}
		e.showStatus(s)
		if !c.watch {
			return ExitDone
		}
		time.Sleep(watchEvery)
		e.say("")
	}
}

func (e *env) showStatus(s api.Status) {
	if e.json {
		e.writeJSON(s)
		return
	}
	in, done, all := s.InForce(s.Version)
	word := e.colour(green, "in force everywhere")
	if !in {
		word = e.colour(yellow, "not in force everywhere")
	}
	e.say("version %d (%s): %s, on %d of %d nodes", s.Version, short(s.Hash), word, done, all)
	for _, d := range s.Domains {
		e.showDomain(d)
	}
	for _, h := range s.Held {
		e.say("held back: request %s to %s, which crashed %d targets", h.Fingerprint, h.Service, h.Crashes)
	}
	if !s.Complete {
		e.say("this node can't reach the first node of its domain: what it shows is only what it knows itself")
	}
	switch {
	case s.HeadAgeMillis < 0:
		e.say("store: no node has been able to read it yet")
	case s.HeadAgeMillis > storeLate.Milliseconds():
		e.say("store: not read for %v; edits are refused while it is down", time.Duration(s.HeadAgeMillis)*time.Millisecond)
	}
}

// storeLate is the age of the last read from which on it is worth a line.
const storeLate = 15 * time.Second

func short(hash string) string { return hash[:min(len(hash), 8)] }

func (e *env) showDomain(d api.Domain) {
	parts := make([]string, 0, len(d.Counts))
	for _, c := range d.Counts {
		parts = append(parts, fmt.Sprintf("%d on version %d", c.Nodes, c.Version))
	}
	line := fmt.Sprintf("  %-16s %-12s %3d nodes: %s", d.Domain, d.Region, d.Members, strings.Join(parts, ", "))
	if len(d.Laggards) > 0 {
		line += "; behind: " + strings.Join(d.Laggards, ", ")
	}
	if d.SilentMillis > 0 {
		line += fmt.Sprintf("; not heard of for %v", (time.Duration(d.SilentMillis) * time.Millisecond).Round(time.Second))
	}
	e.say("%s", line)
}

// await follows a version until it is in force everywhere.
func (e *env) await(ctx context.Context, client *api.Client, version uint64, timeout time.Duration) int {
	began := time.Now()
	last := ""
	for {
		s, err := client.Status(ctx)
		if err == nil {
			in, done, all := s.InForce(version)
			if line := fmt.Sprintf("version %d on %d of %d nodes", version, done, all); line != last && !e.json {
				e.say("%s", line)
				last = line
			}
			if in {
				if !e.json {
					e.say("in force everywhere after %v", time.Since(began).Round(time.Millisecond))
				}
				return ExitDone
			}
		}
		if time.Since(began) > timeout {
			e.complain("version %d is accepted and stays, but was not in force everywhere within %v; \"briarrock status\" shows where", version, timeout)
			return ExitWaited
		}
		time.Sleep(awaitEvery)
	}
}

// awaitEvery is how often --wait asks.
const awaitEvery = 50 * time.Millisecond

// history shows the audit trail.
type history struct {
	before string
	limit  int
}

const historyLimit = 20

func (c *history) flags(s *flaggy.Subcommand) {
	c.limit = historyLimit
	s.String(&c.before, "b", "before", "show versions before this one")
	s.Int(&c.limit, "l", "limit", "how many to show")
}

func (c *history) run(ctx context.Context, e *env) int {
	before, ok := e.version(c.before)
	if !ok {
		return ExitUsage
	}
	client, err := e.client()
	if err != nil {
		return e.failed(err)
	}
	h, err := client.History(ctx, before, c.limit)
	if err != nil {
		e.complain("%v", err)
		return ExitRefused
	}
	if e.json {
		e.writeJSON(h)
		return ExitDone
	}
	e.showHistory(h)
	return ExitDone
}

func (e *env) showHistory(h api.History) {
	for _, x := range h.Entries {
		line := fmt.Sprintf("version %d  %s  by %s from %s", x.Version, x.At.Format(time.RFC3339), x.Who, x.From)
		if x.Converged > 0 {
			line += fmt.Sprintf("  in force on %d nodes after %d ms", x.Nodes, x.Converged)
		}
		if x.Note != "" {
			line += "  \"" + x.Note + "\""
		}
		e.say("%s", line)
		for _, c := range x.Changes {
			e.say("  %s", e.colourChange(c))
		}
	}
	for _, a := range h.Attempts {
		e.say("not accepted  %s  by %s from %s  %s: %s", a.At.Format(time.RFC3339), a.Who, a.From, a.Outcome, a.Text)
	}
	if h.Next > 0 {
		e.say("older ones: briarrock history --before %d", h.Next)
	}
}

// explain shows which way a request would take.
type explain struct {
	method string
	url    string
	caller string
}

func (c *explain) flags(s *flaggy.Subcommand) {
	s.AddPositionalValue(&c.method, "METHOD", 1, true, "such as GET")
	s.AddPositionalValue(&c.url, "URL", 2, true, "such as http://orderdesk/orders")
	s.String(&c.caller, "", "caller", "who would send it")
}

func (c *explain) run(ctx context.Context, e *env) int {
	client, err := e.client()
	if err != nil {
		return e.failed(err)
	}
	x, err := client.Explain(ctx, c.method, c.url, c.caller)
	if err != nil {
		return e.failed(err)
	}
	if e.json {
		e.writeJSON(x)
	} else {
		e.showExplain(x)
	}
	if x.Kind != "" {
		return ExitInvalid
	}
	return ExitDone
}

func (e *env) showExplain(x api.Explain) {
	if x.Service != "" {
		e.say("service %s (version %d): %d slots a target, %d queued", x.Service, x.Version, x.Slots, x.Queue)
	}
	if x.Route != "" {
		e.say("route %s: %s, deadline %s, %d retries, priority %s", x.Route, x.Mode, x.Deadline, x.Retries, x.Priority)
	}
	if len(x.Callers) > 0 {
		e.say("callers: %s", strings.Join(x.Callers, ", "))
	}
	for _, u := range x.Upstreams {
		e.say("  %s in %s, %s: %d slots", u.Host, u.Domain, u.Region, u.Slots)
	}
	if x.Kind != "" {
		e.say("it would be refused: %s (%s)", x.Kind, x.Text)
	}
}

// runDemo runs a whole mesh in this process.
type runDemo struct{ example string }

func (c *runDemo) flags(s *flaggy.Subcommand) {
	c.example = "quaywell"
	s.String(&c.example, "e", "example", "which example to run: quaywell or lakeshore")
}

func (c *runDemo) run(ctx context.Context, e *env) int {
	if err := demo.Run(ctx, demo.Options{Example: c.example}, e.Out); err != nil {
		e.complain("demo: %v", err)
		return ExitRefused
	}
	return ExitDone
}
