package command

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	api "briarrock.example/mesh/operator"
	"briarrock.example/mesh/strict"
	"briarrock.example/mesh/text"
)

// check compiles a text locally, without connecting to a node.
type check struct{ file string }

func (c *check) flags(s *flaggy.Subcommand) {
	s.AddPositionalValue(&c.file, "FILE", 1, true, "the text")
}

func (c *check) run(_ context.Context, e *env) int {
	src, ok := e.read(c.file)
	if !ok {
		return ExitInvalid
	}
	snap, err := text.Compile(src)
	var mistakes strict.Mistakes
	if errors.As(err, &mistakes) {
		e.showMistakes(c.file, mistakes)
		return ExitInvalid
	}
	if err != nil {
		e.printError("%v", err)
		return ExitInvalid
	}
	if e.json {
		e.writeJSON(snap.Inventory)
		return ExitDone
	}
	e.printf("%s: %d services, %d routes, no mistakes", c.file, len(snap.Services), snap.Inventory.Routes)
	return ExitDone
}

// read returns the content of a file, or prints an error and returns false.
func (e *env) read(file string) ([]byte, bool) {
	src, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		e.printError("%v", err)
		return nil, false
	}
	return src, true
}

// showMistakes prints the mistakes of a text with their positions.
func (e *env) showMistakes(file string, mistakes strict.Mistakes) {
	if e.json {
		e.writeJSON(mistakes)
		return
	}
	for _, m := range mistakes {
		_, _ = fmt.Fprintf(e.Err, "%s:%s\n", file, m)
	}
}

// basePrefix starts the first line of a text that was read from the mesh (the
// base line). The line holds the version that was read, the base of the next
// edit. An edit whose base is outdated is detected as a conflict and does not
// overwrite a concurrent edit.
const basePrefix = "# briarrock base: "

// parseBase returns the version in the base line of a text, and whether it has
// such a line.
func parseBase(src []byte) (uint64, bool) {
	line, _, _ := bytes.Cut(src, []byte("\n"))
	rest, ok := strings.CutPrefix(string(line), basePrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(strings.TrimSpace(rest), 10, 64)
	return n, err == nil
}

// stripBase returns a text without its base line.
func stripBase(src []byte) []byte {
	if _, ok := parseBase(src); !ok {
		return src
	}
	_, rest, _ := bytes.Cut(src, []byte("\n"))
	return rest
}

// withBase returns a text with a base line for version, which replaces an
// existing one.
func withBase(version uint64, src []byte) []byte {
	return append([]byte(basePrefix+strconv.FormatUint(version, 10)+"\n"), stripBase(src)...)
}

// diff shows what a text would change, by a dry run.
type diff struct{ file string }

func (c *diff) flags(s *flaggy.Subcommand) {
	s.AddPositionalValue(&c.file, "FILE", 1, true, "the text")
}

func (c *diff) run(ctx context.Context, e *env) int {
	src, ok := e.read(c.file)
	if !ok {
		return ExitInvalid
	}
	hashed, ok := e.hashKeys(c.file, src)
	if !ok {
		return ExitInvalid
	}
	client, err := e.client()
	if err != nil {
		return e.reportFailure(err)
	}
	res, err := client.Apply(ctx, api.Apply{Text: stripBase(hashed), Head: true, Write: newEditID(), Dry: true})
	if err != nil {
		return e.reportFailure(err)
	}
	return e.showResult(c.file, res)
}

// apply commits a text as the newest version of the configuration.
type apply struct {
	file    string
	note    string
	editID  string
	base    string
	wait    bool
	yes     bool
	dry     bool
	timeout time.Duration
}

// defaultWaitTimeout is the default of --timeout.
const defaultWaitTimeout = 30 * time.Second

func (c *apply) flags(s *flaggy.Subcommand) {
	c.timeout = defaultWaitTimeout
	s.AddPositionalValue(&c.file, "FILE", 1, true, "the text")
	s.Bool(&c.wait, "w", "wait", "wait until it is in force on every node")
	s.Duration(&c.timeout, "t", "timeout", "how long to wait with --wait")
	s.Bool(&c.yes, "y", "yes", "don't ask before a route or service is taken away")
	s.Bool(&c.dry, "d", "dry-run", "only show what would change")
	s.String(&c.base, "b", "base", "version that the edit began from (default: the text's first line, or the version in force)")
	s.String(&c.editID, "", "write", "id of this edit, to retry it after \"undecided\"")
	s.String(&c.note, "m", "note", "a line for the history")
}

func (c *apply) run(ctx context.Context, e *env) int {
	src, ok := e.read(c.file)
	if !ok {
		return ExitInvalid
	}
	hashed, ok := e.hashKeys(c.file, src)
	if !ok {
		return ExitInvalid
	}
	a := api.Apply{Text: stripBase(hashed), Write: orDefault(c.editID, newEditID()), Note: c.note, Dry: c.dry}
	if !c.setBase(e, &a, src) {
		return ExitUsage
	}
	client, err := e.client()
	if err != nil {
		return e.reportFailure(err)
	}
	if !c.yes && !c.dry {
		if code, stop := c.confirm(ctx, e, client, a); stop {
			return code
		}
	}
	res, err := client.Apply(ctx, a)
	if err != nil {
		// The request may have reached the node; only a retry with the same id
		// shows whether the edit was committed.
		e.printError("%v", err)
		e.printError("it is not known whether the edit went in. Run this again, at any node: briarrock apply %s --write %s", c.file, a.Write)
		return ExitUndecided
	}
	code := e.showResult(c.file, res)
	if code != ExitDone || c.dry {
		return code
	}
	c.updateBase(e, src, res)
	if c.wait && res.Version > 0 {
		return e.waitInForce(ctx, client, res.Version, c.timeout)
	}
	return code
}

// setBase sets the version that the edit is based on: that of --base, else that
// of the base line, else the newest version (Head). It reports whether --base
// is valid.
func (c *apply) setBase(e *env, a *api.Apply, src []byte) bool {
	if c.base != "" {
		n, ok := e.version(c.base)
		a.Base = n
		return ok
	}
	n, ok := parseBase(src)
	a.Base, a.Head = n, !ok
	return true
}

// confirm prompts the operator before two kinds of edits. An edit that removes
// routes or services may remove some that are in use. An edit whose text has no
// base may overwrite a version that the operator has not seen. confirm returns
// the exit code and true if the edit must not be applied.
func (c *apply) confirm(ctx context.Context, e *env, client *api.Client, a api.Apply) (int, bool) {
	a.Dry = true
	dryRun, err := client.Apply(ctx, a)
	if err != nil {
		return e.reportFailure(err), true
	}
	baseUnknown := a.Head && dryRun.Base > 0
	if dryRun.Outcome != api.Planned || (len(dryRun.Removed) == 0 && !baseUnknown) {
		return ExitDone, false
	}
	if baseUnknown {
		e.printError("%s does not say which version it began from; on top of version %d it changes, on %d nodes:", c.file, dryRun.Base, dryRun.Nodes)
		for _, x := range dryRun.Changes {
			_, _ = fmt.Fprintln(e.Err, "  "+x)
		}
	} else {
		e.printError("this takes away, on %d nodes:", dryRun.Nodes)
		for _, r := range dryRun.Removed {
			_, _ = fmt.Fprintln(e.Err, "  - "+r)
		}
	}
	_, _ = fmt.Fprint(e.Err, "go on? (yes or no; --yes does not ask) ")
	line, _ := bufio.NewReader(e.In).ReadString('\n')
	if answer := strings.ToLower(strings.TrimSpace(line)); answer == "yes" || answer == "y" {
		return ExitDone, false
	}
	e.printError("nothing changed")
	return ExitRefused, true
}

// updateBase writes the accepted version into the base line of a text that has
// one, so that the next edit of the same file is based on that version.
func (c *apply) updateBase(e *env, src []byte, res api.Result) {
	if _, ok := parseBase(src); !ok || res.Version == 0 {
		return
	}
	if err := os.WriteFile(c.file, withBase(res.Version, src), 0o600); err != nil {
		e.printError("the base in %s could not be renewed: %v", c.file, err)
	}
}

// newEditID returns a random id for an edit. A retry with the same id does not
// create another version.
func newEditID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// showResult prints the result of an edit or a dry run and returns the exit code.
func (e *env) showResult(file string, res api.Result) int {
	code := exitCode(res.Outcome)
	if e.json {
		e.writeJSON(res)
		return code
	}
	if res.Outcome == api.Invalid {
		e.showMistakes(file, res.Mistakes)
		return code
	}
	for _, c := range res.Changes {
		e.printf("%s", e.colourChange(c))
	}
	switch res.Outcome {
	case api.Accepted:
		e.printf("version %d accepted (was %d), for %d nodes", res.Version, res.Base, res.Nodes)
	case api.Unchanged:
		e.printf("nothing to change: version %d says the same", res.Version)
	case api.Planned:
		e.printf("%d changes to version %d, on %d nodes; nothing was applied", len(res.Changes), res.Base, res.Nodes)
	default:
		e.printError("%s: %s", res.Outcome, res.Text)
		e.showConflict(res)
	}
	return code
}

// showConflict prints the concurrent edit that an edit conflicts with, if any.
func (e *env) showConflict(res api.Result) {
	if res.Other == nil {
		return
	}
	o := res.Other
	e.printError("version %d by %s at %s (yours began from %d):", o.Version, o.Who, o.At.Format(time.RFC3339), res.Base)
	for _, c := range o.Changes {
		_, _ = fmt.Fprintln(e.Err, "  "+c)
	}
}

func (e *env) colourChange(c string) string {
	switch {
	case strings.HasPrefix(c, "+"):
		return e.colourize(green, c)
	case strings.HasPrefix(c, "-"):
		return e.colourize(red, c)
	default:
		return e.colourize(yellow, c)
	}
}

// revert commits an old version's text as the newest version.
type revert struct {
	version string
	note    string
	wait    bool
	timeout time.Duration
}

func (c *revert) flags(s *flaggy.Subcommand) {
	c.timeout = defaultWaitTimeout
	s.AddPositionalValue(&c.version, "VERSION", 1, true, "the version to go back to")
	s.Bool(&c.wait, "w", "wait", "wait until it is in force on every node")
	s.Duration(&c.timeout, "t", "timeout", "how long to wait with --wait")
	s.String(&c.note, "m", "note", "a line for the history")
}

func (c *revert) run(ctx context.Context, e *env) int {
	n, ok := e.version(c.version)
	if ok && n == 0 {
		e.printError("versions count from 1")
	}
	if !ok || n == 0 {
		return ExitUsage
	}
	client, err := e.client()
	if err != nil {
		return e.reportFailure(err)
	}
	old, err := client.Text(ctx, n)
	if err != nil {
		e.printError("%v", err)
		return ExitInvalid
	}
	head, err := client.Text(ctx, 0)
	if err != nil {
		return e.reportFailure(err)
	}
	note := orDefault(c.note, "revert to version "+c.version)
	res, err := client.Apply(ctx, api.Apply{Text: old.Text, Base: head.Version, Write: newEditID(), Note: note})
	if err != nil {
		return e.reportFailure(err)
	}
	code := e.showResult("version "+c.version, res)
	if code == ExitDone && c.wait && res.Version > 0 {
		return e.waitInForce(ctx, client, res.Version, c.timeout)
	}
	return code
}
