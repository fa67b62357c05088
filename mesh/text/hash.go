package text

import (
	"bytes"
	"encoding/hex"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"briarrock.example/mesh/snapshot"
	"briarrock.example/mesh/strict"
)

// errRewrite means that a rewritten text does not say what it should.
var errRewrite = errors.New("text: the keys of this text can't be rewritten; write each on a line of its own, without an anchor")

// HashKeys returns a text with each plain key replaced by its hash, and the same
// text if it has none. The rest of the text is kept, with its comments. Its error
// is a strict.Mistakes if src has mistakes.
func HashKeys(src []byte) ([]byte, error) {
	want, err := Compile(src)
	if err != nil {
		return nil, err
	}
	if _, err := CompileHashed(src); err == nil {
		return src, nil
	}
	doc, err := document(src)
	if err != nil {
		return nil, err
	}
	var plain []*yaml.Node
	for _, w := range workspaceNodes(doc.Content[0]) {
		for _, k := range listNodes(field(w, "keys")) {
			if k.Kind == yaml.ScalarNode {
				plain = append(plain, k)
			}
		}
	}
	out, ok := replaceKeys(string(src), plain)
	if !ok || !compilesTo(out, want) {
		return hashNodes(doc, plain, want)
	}
	if err := checkLeft(out, plain); err != nil {
		return nil, err
	}
	return out, nil
}

// minLeftBytes is the length from which a plain key may not be left anywhere in a
// text. A shorter one may well be a part of a name.
const minLeftBytes = 16

// checkLeft reports the plain keys that are still in a text after their
// replacement, such as in a comment.
func checkLeft(out []byte, plain []*yaml.Node) error {
	var r strict.Reader
	for _, k := range plain {
		if len(k.Value) >= minLeftBytes && bytes.Contains(out, []byte(k.Value)) {
			r.Add(k, "this key is also in another place of the text, such as a comment; remove it there")
		}
	}
	return r.Err()
}

// hashNodes replaces the plain keys in the parsed text and formats it anew. It
// serves texts in which a key can't be replaced in place, such as one of several
// lines.
func hashNodes(doc *yaml.Node, plain []*yaml.Node, want *snapshot.Snapshot) ([]byte, error) {
	values := make([]*yaml.Node, 0, len(plain))
	for _, k := range plain {
		old := *k
		values = append(values, &old)
		n := hashNode(snapshot.HashKey(k.Value))
		n.HeadComment, n.LineComment, n.FootComment = k.HeadComment, k.LineComment, k.FootComment
		*k = *n
	}
	out, err := format(doc)
	if err != nil || !compilesTo(out, want) {
		return nil, errRewrite
	}
	if err := checkLeft(out, values); err != nil {
		return nil, err
	}
	return out, nil
}

// replaceKeys replaces plain keys, which are in the order of the text, by their
// hashes. It returns false if one is not written as its value on a single line. It
// reads the text once, since thousands of keys may be on one line.
func replaceKeys(src string, plain []*yaml.Node) ([]byte, bool) {
	var out bytes.Buffer
	line, column := 1, 1 // of src[0]; columns count characters
	for _, n := range plain {
		written, ok := writtenAs(n)
		i := 0
		for i < len(src) && (line < n.Line || line == n.Line && column < n.Column) {
			_, size := utf8.DecodeRuneInString(src[i:])
			column++
			if src[i] == '\n' {
				line, column = line+1, 1
			}
			i += size
		}
		if !ok || line != n.Line || column != n.Column || !strings.HasPrefix(src[i:], written) {
			return nil, false
		}
		out.WriteString(src[:i])
		out.WriteString(hashText(snapshot.HashKey(n.Value)))
		src = src[i+len(written):]
		column += utf8.RuneCountInString(written)
	}
	out.WriteString(src)
	return out.Bytes(), true
}

// writtenAs returns how a scalar is written if its value has no escapes; false for
// a scalar of several lines.
func writtenAs(n *yaml.Node) (string, bool) {
	switch n.Style {
	case 0:
		return n.Value, true
	case yaml.SingleQuotedStyle:
		return "'" + n.Value + "'", true
	case yaml.DoubleQuotedStyle:
		return `"` + n.Value + `"`, true
	default:
		return "", false
	}
}

// replaceAt replaces the text old at the position of n by with. It returns false
// if there is another text.
func replaceAt(lines []string, n *yaml.Node, old, with string) bool {
	before, rest, ok := splitAt(lines, n)
	after, found := strings.CutPrefix(rest, old)
	if !ok || !found {
		return false
	}
	lines[n.Line-1] = before + with + after
	return true
}

// splitAt splits the line of n at its position. Columns count characters, from 1.
func splitAt(lines []string, n *yaml.Node) (before, rest string, ok bool) {
	if n.Line < 1 || n.Line > len(lines) {
		return "", "", false
	}
	line := []rune(lines[n.Line-1])
	if n.Column < 1 || n.Column > len(line) {
		return "", "", false
	}
	return string(line[:n.Column-1]), string(line[n.Column-1:]), true
}

func hashText(h snapshot.KeyHash) string {
	return "{" + hashField + ": \"" + hex.EncodeToString(h[:]) + "\"}"
}

func hashNode(h snapshot.KeyHash) *yaml.Node {
	return &yaml.Node{Kind: yaml.MappingNode, Style: yaml.FlowStyle, Content: []*yaml.Node{
		{Kind: yaml.ScalarNode, Value: hashField},
		{Kind: yaml.ScalarNode, Style: yaml.DoubleQuotedStyle, Value: hex.EncodeToString(h[:])},
	}}
}

// format returns the YAML of a parsed text, with its comments.
func format(doc *yaml.Node) ([]byte, error) {
	var b bytes.Buffer
	enc := yaml.NewEncoder(&b)
	enc.SetIndent(2)
	if err := enc.Encode(doc); err != nil {
		return nil, errors.Wrap(err, "text: format")
	}
	return b.Bytes(), errors.Wrap(enc.Close(), "text: format")
}

// workspaceNodes returns the elements of the list of workspaces.
func workspaceNodes(root *yaml.Node) []*yaml.Node { return listNodes(field(root, "workspaces")) }

// field returns the value of a mapping's field; nil if it has none.
func field(n *yaml.Node, name string) *yaml.Node {
	if n == nil || n.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == name {
			return n.Content[i+1]
		}
	}
	return nil
}

// listNodes returns the elements of a list; none if n is no list.
func listNodes(n *yaml.Node) []*yaml.Node {
	if n == nil || n.Kind != yaml.SequenceNode {
		return nil
	}
	return n.Content
}
