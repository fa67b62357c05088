package command

import (
	"bytes"
	"errors"
	"unicode/utf8"

	api "briarrock.example/mesh/operator"
	"briarrock.example/mesh/strict"
	"briarrock.example/mesh/text"
)

// hashKeys replaces the plain keys of a text, which must not leave this machine. It
// prints the mistakes and returns false if the text must not be sent. A text with
// mistakes is still sent if it can't have keys, so that the node records the
// attempt.
func (e *env) hashKeys(file string, src []byte) ([]byte, bool) {
	out, err := text.HashKeys(src)
	if err == nil {
		return out, true
	}
	var mistakes strict.Mistakes
	if !errors.As(err, &mistakes) {
		e.printError("%s: %v", file, err)
		return nil, false
	}
	if !mayHaveKeys(src) {
		return src, true
	}
	e.showResult(file, api.Result{Outcome: api.Invalid, Mistakes: mistakes, Text: "the text is invalid; nothing was sent"})
	return nil, false
}

// mayHaveKeys reports whether a text that may have mistakes can define workspaces.
// An escape, or an encoding other than UTF-8, may hide the field's name.
func mayHaveKeys(src []byte) bool {
	return bytes.Contains(src, []byte("workspaces")) || bytes.ContainsAny(src, "\\\x00") || !utf8.Valid(src)
}
