package command

import (
	"context"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"briarrock.example/briarrock/demo"
	api "briarrock.example/mesh/operator"
)

// show prints a version's text with its base line.
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
		return e.reportFailure(err)
	}
	v, err := client.Text(ctx, n)
	if err != nil {
		e.printError("%v", err)
		return ExitRefused
	}
	if v.Version == 0 {
		e.printError("there is no version yet; \"briarrock apply FILE\" makes the first one")
		return ExitInvalid
	}
	b := withBase(v.Version, v.Text)
	if c.out == "" {
		_, _ = e.Out.Write(b)
		return ExitDone
	}
	if err := os.WriteFile(c.out, b, 0o600); err != nil {
		e.printError("%v", err)
		return ExitRefused
	}
	return ExitDone
}

// status shows which version each failure domain serves.
type status struct{ watch bool }

func (c *status) flags(s *flaggy.Subcommand) {
	s.Bool(&c.watch, "w", "watch", "go on showing it each second")
}

// watchInterval is the pause between two requests of status --watch.
const watchInterval = time.Second

func (c *status) run(ctx context.Context, e *env) int {
	client, err := e.client()
	if err != nil {
		return e.reportFailure(err)
	}
	for {
		s, err := client.Status(ctx)
		if err != nil {
			return e.reportFailure(err)
		}
		e.showStatus(s)
		if !c.watch {
			return ExitDone
		}
		time.Sleep(watchInterval)
		e.printf("")
	}
}

func (e *env) showStatus(s api.Status) {
	if e.json {
		e.writeJSON(s)
		return
	}
	inForce, nodesInForce, nodes := s.InForce(s.Version)
	state := e.colourize(green, "in force everywhere")
	if !inForce {
		state = e.colourize(yellow, "not in force everywhere")
	}
	e.printf("version %d (%s): %s, on %d of %d nodes", s.Version, short(s.Hash), state, nodesInForce, nodes)
	for _, d := range s.Domains {
		e.showDomain(d)
	}
	for _, h := range s.Held {
		e.printf("held back: request %s to %s, which crashed %d targets", h.Fingerprint, h.Service, h.Crashes)
	}
	if !s.Complete {
		e.printf("this node can't reach the first node of its domain: the status covers only the data of this node")
	}
	switch {
	case s.HeadAgeMillis < 0:
		e.printf("store: no node has been able to read it yet")
	case s.HeadAgeMillis > storeStaleAfter.Milliseconds():
		e.printf("store: not read for %v; edits are refused while it is down", time.Duration(s.HeadAgeMillis)*time.Millisecond)
	}
}

// storeStaleAfter is the age of the last store read above which status reports it.
const storeStaleAfter = 15 * time.Second

// short returns the first 8 characters of a hash.
func short(hash string) string { return hash[:min(len(hash), 8)] }

// showDomain prints the versions that the nodes of a domain serve.
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
	e.printf("%s", line)
}

// waitInForce prints the progress of a version until all nodes serve it or the
// timeout ends, and returns the exit code. It ignores failed status requests.
func (e *env) waitInForce(ctx context.Context, client *api.Client, version uint64, timeout time.Duration) int {
	start := time.Now()
	lastLine := ""
	for {
		s, err := client.Status(ctx)
		if err == nil {
			inForce, nodesInForce, nodes := s.InForce(version)
			if line := fmt.Sprintf("version %d on %d of %d nodes", version, nodesInForce, nodes); line != lastLine && !e.json {
				e.printf("%s", line)
				lastLine = line
			}
			if inForce {
				if !e.json {
					e.printf("in force everywhere after %v", time.Since(start).Round(time.Millisecond))
				}
				return ExitDone
			}
		}
		if time.Since(start) > timeout {
			e.printError("version %d is accepted and stays, but was not in force everywhere within %v; \"briarrock status\" shows where", version, timeout)
			return ExitWaitTimeout
		}
		time.Sleep(pollInterval)
	}
}

// pollInterval is the interval at which --wait requests the status.
const pollInterval = 50 * time.Millisecond

// history shows the audit trail.
type history struct {
	before string
	limit  int
}

// historyLimit is the default of --limit, in versions.
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
		return e.reportFailure(err)
	}
	h, err := client.History(ctx, before, c.limit)
	if err != nil {
		e.printError("%v", err)
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
		e.printf("%s", line)
		for _, c := range x.Changes {
			e.printf("  %s", e.colourChange(c))
		}
	}
	for _, a := range h.Attempts {
		e.printf("not accepted  %s  by %s from %s  %s: %s", a.At.Format(time.RFC3339), a.Who, a.From, a.Outcome, a.Text)
	}
	if h.Next > 0 {
		e.printf("older ones: briarrock history --before %d", h.Next)
	}
}

// explain shows how a request would be routed. It exits with ExitInvalid if the
// request would be refused.
type explain struct {
	method string
	url    string
	caller string
	key    string // file with the caller's key
}

func (c *explain) flags(s *flaggy.Subcommand) {
	s.AddPositionalValue(&c.method, "METHOD", 1, true, "such as GET")
	s.AddPositionalValue(&c.url, "URL", 2, true, "such as http://orderdesk/orders")
	s.String(&c.caller, "", "caller", "who would send it")
	s.String(&c.key, "", "key-file", "file with the caller's key, - for standard input")
}

func (c *explain) run(ctx context.Context, e *env) int {
	req := api.Request{Method: c.method, URL: c.url, Caller: c.caller}
	if c.key != "" {
		h, ok := e.readKey(c.key)
		if !ok {
			return ExitInvalid
		}
		req.KeyHash = hex.EncodeToString(h[:])
	}
	client, err := e.client()
	if err != nil {
		return e.reportFailure(err)
	}
	x, err := client.Explain(ctx, req)
	if err != nil {
		return e.reportFailure(err)
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
		e.printf("service %s (version %d): %d slots a target, %d queued", x.Service, x.Version, x.Slots, x.Queue)
	}
	if x.Route != "" {
		e.printf("route %s: %s, deadline %s, %d retries, priority %s", x.Route, x.Mode, x.Deadline, x.Retries, x.Priority)
	}
	if len(x.Callers) > 0 {
		e.printf("callers: %s", strings.Join(x.Callers, ", "))
	}
	e.showKey(x)
	for _, u := range x.Upstreams {
		e.printf("  %s in %s, %s: %d slots", u.Host, u.Domain, u.Region, u.Slots)
	}
	if x.Kind != "" {
		e.printf("it would be refused: %s (%s)", x.Kind, x.Text)
	}
}

// showKey prints whose key the request has, and whether it needs one.
func (e *env) showKey(x api.Explain) {
	needed := "the route needs one"
	switch {
	case x.Open:
		needed = "the route is open and needs none"
	case x.Route == "":
		needed = "no route matches"
	}
	switch x.Key {
	case "":
	case api.KeyKnown:
		e.printf("key: of workspace %s", x.Workspace)
	case api.KeyMissing:
		e.printf("key: none is given; %s", needed)
	case api.KeyUnknown:
		e.printf("key: version %d does not know it; %s", x.Version, needed)
	default:
		e.printf("key: %s; %s", x.Key, needed)
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
		e.printError("demo: %v", err)
		return ExitRefused
	}
	return ExitDone
}
