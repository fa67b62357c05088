package command

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/integrii/flaggy"

	api "briarrock.example/mesh/operator"
	"briarrock.example/mesh/snapshot"
	"briarrock.example/mesh/text"
)

// maxKeyInput is the maximum size of the input that a key is read from. It leaves
// room for a line end.
const maxKeyInput = snapshot.MaxKeyBytes + 2

// readKey reads a key from a file, or from the standard input if file is empty or
// "-". One line end after the key is not part of it. readKey prints an error, which
// does not contain the input, and returns false if no caller can send the key.
func (e *env) readKey(file string) (snapshot.KeyHash, bool) {
	key, err := e.readKeyText(file)
	if err != nil {
		e.printError("the key can't be read: %v", err)
		return snapshot.KeyHash{}, false
	}
	if !snapshot.ValidKey(key) {
		e.printError("a key must have 1 to %d bytes, no control characters and no space at either end", snapshot.MaxKeyBytes)
		return snapshot.KeyHash{}, false
	}
	return snapshot.HashKey(key), true
}

func (e *env) readKeyText(file string) (string, error) {
	in := e.In
	if file != "" && file != standardInput {
		f, err := os.Open(file) //nolint:gosec // the operator names the file
		if err != nil {
			return "", fmt.Errorf("open: %w", err)
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, maxKeyInput+1))
	if err != nil {
		return "", fmt.Errorf("read: %w", err)
	}
	b = bytes.TrimSuffix(b, []byte("\n"))
	return string(bytes.TrimSuffix(b, []byte("\r"))), nil
}

// standardInput is the file name that means the standard input.
const standardInput = "-"

// keyEdit is an edit of one key of a workspace in the newest version's text.
type keyEdit struct {
	sub       *flaggy.Subcommand
	name      string
	apply     func(src []byte, workspace string, h snapshot.KeyHash) ([]byte, error)
	workspace string
	argument  string // a key that was given as an argument, which is refused
	file      string
	note      string
	editID    string
	wait      bool
	dry       bool
	timeout   time.Duration
}

// editKeys adds, removes or rotates keys of workspaces.
type editKeys struct{ edits []*keyEdit }

func (c *editKeys) flags(s *flaggy.Subcommand) {
	add := func(name, help string, apply func([]byte, string, snapshot.KeyHash) ([]byte, error)) {
		k := &keyEdit{sub: flaggy.NewSubcommand(name), name: name, apply: apply, timeout: defaultWaitTimeout}
		k.sub.Description = help
		k.sub.AddPositionalValue(&k.workspace, "NAME", 1, true, "the workspace")
		k.sub.AddPositionalValue(&k.argument, "KEY", 2, false, "")
		k.sub.PositionalFlags[1].Hidden = true
		k.sub.String(&k.file, "f", "file", "file with the key (default: standard input)")
		k.sub.Bool(&k.dry, "d", "dry-run", "only show what would change")
		k.sub.Bool(&k.wait, "w", "wait", "wait until it is in force on every node")
		k.sub.Duration(&k.timeout, "t", "timeout", "how long to wait with --wait")
		k.sub.String(&k.editID, "", "write", "id of this edit, to retry it after \"undecided\"")
		k.sub.String(&k.note, "m", "note", "a line for the history")
		s.AttachSubcommand(k.sub, 1)
		c.edits = append(c.edits, k)
	}
	add("add", "let a workspace use one more key", text.AddKey)
	add("remove", "take a key from a workspace", text.RemoveKey)
	add("rotate", "add a key, and remove the older one if the workspace has two", text.RotateKey)
}

func (c *editKeys) run(ctx context.Context, e *env) int {
	for _, k := range c.edits {
		if k.sub.Used {
			return k.run(ctx, e)
		}
	}
	e.printError("keys needs add, remove or rotate, and the name of a workspace")
	return ExitUsage
}

func (k *keyEdit) run(ctx context.Context, e *env) int {
	if k.argument != "" {
		// An unexpected argument would be printed.
		e.printError("a key can't be an argument, which other users of the machine see; use --file or standard input")
		return ExitUsage
	}
	h, ok := e.readKey(k.file)
	if !ok {
		return ExitInvalid
	}
	client, err := e.client()
	if err != nil {
		return e.reportFailure(err)
	}
	head, err := client.Text(ctx, 0)
	if err != nil {
		return e.reportFailure(err)
	}
	src, err := k.apply(head.Text, k.workspace, h)
	if errors.Is(err, text.ErrNoKey) && k.editID != "" {
		// A retry of an edit that went in: the node recognizes its id.
		src, err = head.Text, nil
	}
	if err != nil {
		e.printError("workspace %q in version %d: %v", k.workspace, head.Version, err)
		return ExitInvalid
	}
	a := api.Apply{
		Text: src, Base: head.Version, Write: orDefault(k.editID, newEditID()),
		Note: orDefault(k.note, "keys "+k.name+" "+k.workspace), Dry: k.dry,
	}
	res, err := client.Apply(ctx, a)
	if err != nil {
		e.printError("%v", err)
		e.printError("it is not known whether the edit went in. Run this again, at any node: briarrock keys %s %s --write %s", k.name, k.workspace, a.Write)
		return ExitUndecided
	}
	code := e.showResult("the text", res)
	if code == ExitDone && k.wait && !k.dry && res.Version > 0 {
		return e.waitInForce(ctx, client, res.Version, k.timeout)
	}
	return code
}
