// Package strict reads YAML that people write, and is exact about it: what is
// unknown, doubled, missing, of the wrong type or out of range is a mistake.
// It collects all mistakes, each with its line and column, instead of stopping
// at the first.
//
//	var r strict.Reader
//	root, ok := r.Parse(src)
//	r.Fields(root, "the settings", map[string]strict.Field{
//		"host": {Read: func(n *yaml.Node) { s.Host = r.Name(n) }, Required: true},
//	})
//	return s, r.Err()
package strict

import (
	"bytes"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Mistake is one fault in a document, with its place. Line and Column count
// from 1; 0 stands for the document as a whole.
type Mistake struct {
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Text   string `json:"text"`
}

// String returns the mistake as line:column: text.
func (m Mistake) String() string {
	return fmt.Sprintf("%d:%d: %s", m.Line, m.Column, m.Text)
}

// Mistakes is every fault in a document, in the order of their places. It is an
// error when it is not empty.
type Mistakes []Mistake

// Error lists the mistakes, one a line.
func (m Mistakes) Error() string {
	lines := make([]string, 0, len(m))
	for _, x := range m {
		lines = append(lines, x.String())
	}
	return strings.Join(lines, "\n")
}

// maxMistakes bounds the list; a text with more is mostly one mistake early on.
const maxMistakes = 50

// Reader collects mistakes while a document is read. Its zero value is ready.
type Reader struct {
	mistakes Mistakes
}

// Add notes a mistake at the place of n.
func (c *Reader) Add(n *yaml.Node, format string, args ...any) {
	c.AddAt(n.Line, n.Column, format, args...)
}

// AddAt notes a mistake at a line and column.
func (c *Reader) AddAt(line, column int, format string, args ...any) {
	if len(c.mistakes) >= maxMistakes {
		return
	}
	c.mistakes = append(c.mistakes, Mistake{line, column, fmt.Sprintf(format, args...)})
}

// Parse reads the syntax of a document and returns its root. It is false when
// there is none, which is noted as a mistake.
func (c *Reader) Parse(src []byte) (*yaml.Node, bool) {
	var doc, second yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(src))
	if err := dec.Decode(&doc); err != nil && !errors.Is(err, io.EOF) {
		c.addYAML(err)
		return nil, false
	}
	// What stands in a second document would count for nothing, and nobody
	// would be told.
	switch err := dec.Decode(&second); {
	case err == nil:
		c.Add(&second, "a second document begins here; there must be one only")
		return nil, false
	case !errors.Is(err, io.EOF):
		c.addYAML(err)
		return nil, false
	}
	if len(doc.Content) == 0 {
		c.AddAt(1, 1, "the document is empty")
		return nil, false
	}
	return doc.Content[0], true
}

// addYAML takes the line out of a syntax error of the YAML library, which
// gives it only in its text.
func (c *Reader) addYAML(err error) {
	msg := strings.TrimPrefix(err.Error(), "yaml: ")
	line := 0
	if n, _ := fmt.Sscanf(msg, "line %d:", &line); n == 1 {
		_, msg, _ = strings.Cut(msg, ": ")
	}
	c.AddAt(line, 1, "not YAML: %s", msg)
}

// Err returns the mistakes in the order of their places; nil for none.
func (c *Reader) Err() error {
	if len(c.mistakes) == 0 {
		return nil
	}
	sort.SliceStable(c.mistakes, func(i, j int) bool {
		a, b := c.mistakes[i], c.mistakes[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return c.mistakes
}
