package text

import (
	"encoding/hex"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"briarrock.example/mesh/snapshot"
)

// Errors of the edits of a workspace's keys.
var (
	ErrNoWorkspace = errors.New("there is no such workspace")
	ErrNoKey       = errors.New("the workspace does not have this key")
	ErrOtherOwner  = errors.New("another workspace has this key")
	ErrManyKeys    = errors.New("the workspace has more than two keys, and which one to replace is not known; add and remove keys instead")
)

// AddKey returns a text in which the workspace has the key with the hash h as its
// last one. A workspace that has it already is left as it is. Like the other edits
// of keys, it takes a text without plain keys and keeps comments; it returns a
// strict.Mistakes if src has mistakes.
func AddKey(src []byte, workspace string, h snapshot.KeyHash) ([]byte, error) {
	s, w, err := findWorkspace(src, workspace)
	if err != nil {
		return nil, err
	}
	if slices.Contains(w.Keys, h) {
		return src, nil
	}
	for i := range s.Workspaces {
		if slices.Contains(s.Workspaces[i].Keys, h) {
			return nil, errors.Wrapf(ErrOtherOwner, "workspace %q", s.Workspaces[i].Name)
		}
	}
	w.Keys = append(w.Keys, h)
	sortHashes(w.Keys)
	return rewrite(src, s, workspace, func(lines []string, list *yaml.Node) bool {
		return appendInPlace(lines, list, hashText(h))
	}, func(list *yaml.Node) {
		list.Content = append(list.Content, hashNode(h))
	})
}

// RemoveKey returns a text in which the workspace does not have the key with the
// hash h.
func RemoveKey(src []byte, workspace string, h snapshot.KeyHash) ([]byte, error) {
	s, w, err := findWorkspace(src, workspace)
	if err != nil {
		return nil, err
	}
	i := slices.Index(w.Keys, h)
	if i < 0 {
		return nil, ErrNoKey
	}
	w.Keys = slices.Delete(w.Keys, i, i+1)
	if len(w.Keys) == 0 {
		w.Keys = nil
	}
	return rewrite(src, s, workspace, func(lines []string, list *yaml.Node) bool {
		return removeInPlace(lines, list, indexKey(list, h))
	}, func(list *yaml.Node) {
		if i := indexKey(list, h); i >= 0 {
			list.Content = slices.Delete(list.Content, i, i+1)
		}
	})
}

// RotateKey returns a text in which the workspace has the key with the hash h and
// the one that was its last before. With two keys, the first is removed. A
// workspace with more keys is not changed, because several callers may use them.
func RotateKey(src []byte, workspace string, h snapshot.KeyHash) ([]byte, error) {
	_, w, err := findWorkspace(src, workspace)
	if err != nil {
		return nil, err
	}
	if slices.Contains(w.Keys, h) {
		return src, nil
	}
	added, err := AddKey(src, workspace, h)
	if err != nil || len(w.Keys) < 2 {
		return added, err
	}
	if len(w.Keys) > 2 {
		return nil, ErrManyKeys
	}
	doc, err := document(src)
	if err != nil {
		return nil, err
	}
	// The snapshot sorts keys by hash; the text has them in the order of the edits.
	for _, k := range w.Keys {
		if indexKey(keyList(doc, workspace), k) == 0 {
			return RemoveKey(added, workspace, k)
		}
	}
	return nil, errRewrite
}

// findWorkspace compiles a text and returns its snapshot and one workspace of it.
func findWorkspace(src []byte, name string) (*snapshot.Snapshot, *snapshot.Workspace, error) {
	s, err := CompileHashed(src)
	if err != nil {
		return nil, nil, err
	}
	for i := range s.Workspaces {
		if s.Workspaces[i].Name == name {
			return s, &s.Workspaces[i], nil
		}
	}
	return nil, nil, ErrNoWorkspace
}

// document parses a text that compiles. The document node has the comments at
// its beginning and end.
func document(src []byte) (*yaml.Node, error) {
	doc := new(yaml.Node)
	if err := yaml.Unmarshal(src, doc); err != nil || len(doc.Content) == 0 {
		return nil, errRewrite
	}
	return doc, nil
}

// keyList returns the list of keys of a workspace; nil if it has none.
func keyList(doc *yaml.Node, workspace string) *yaml.Node {
	return field(workspaceNode(doc, workspace), "keys")
}

func workspaceNode(doc *yaml.Node, name string) *yaml.Node {
	for _, w := range workspaceNodes(doc.Content[0]) {
		if n := field(w, "name"); n != nil && n.Value == name {
			return w
		}
	}
	return nil
}

// indexKey returns the index of a key in a list of hashes; -1 if it is not there.
func indexKey(list *yaml.Node, h snapshot.KeyHash) int {
	want := hex.EncodeToString(h[:])
	return slices.IndexFunc(listNodes(list), func(n *yaml.Node) bool {
		v := field(n, hashField)
		return v != nil && strings.EqualFold(v.Value, want)
	})
}

// rewrite edits the keys of a workspace so that the text compiles to want. It
// first tries inPlace, which edits the lines of the text and returns false if it
// can't. If the result is not as wanted, it edits the parsed text by nodes and
// formats all of it anew.
func rewrite(src []byte, want *snapshot.Snapshot, workspace string,
	inPlace func(lines []string, list *yaml.Node) bool, nodes func(list *yaml.Node),
) ([]byte, error) {
	doc, err := document(src)
	if err != nil {
		return nil, err
	}
	list := keyList(doc, workspace)
	lines := strings.SplitAfter(string(src), "\n")
	if list != nil && inPlace(lines, list) {
		if out := []byte(strings.Join(lines, "")); compilesTo(out, want) {
			return out, nil
		}
	}
	if list == nil {
		list = &yaml.Node{Kind: yaml.SequenceNode}
		w := workspaceNode(doc, workspace)
		if w == nil {
			return nil, errRewrite
		}
		w.Content = append(w.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: "keys"}, list)
	}
	nodes(list)
	out, err := format(doc)
	if err != nil || !compilesTo(out, want) {
		return nil, errRewrite
	}
	return out, nil
}

func compilesTo(src []byte, want *snapshot.Snapshot) bool {
	s, err := CompileHashed(src)
	return err == nil && reflect.DeepEqual(s, want)
}

// appendInPlace appends an element to a list in the lines of a text.
func appendInPlace(lines []string, list *yaml.Node, element string) bool {
	if list.Style&yaml.FlowStyle != 0 {
		if len(list.Content) == 0 {
			return replaceAt(lines, list, "[]", "["+element+"]")
		}
		before, rest, ok := splitAt(lines, list.Content[len(list.Content)-1])
		last, after, closed := strings.Cut(rest, "}")
		if !ok || !closed {
			return false
		}
		lines[list.Content[len(list.Content)-1].Line-1] = before + last + "}, " + element + after
		return true
	}
	if len(list.Content) == 0 {
		return false
	}
	i := list.Content[len(list.Content)-1].Line - 1
	if i >= len(lines) || !strings.HasSuffix(lines[i], "\n") {
		return false
	}
	lines[i] += strings.Repeat(" ", list.Column-1) + "- " + element + "\n"
	return true
}

// removeInPlace removes element i of a list from the lines of a text.
func removeInPlace(lines []string, list *yaml.Node, i int) bool {
	if i < 0 {
		return false
	}
	n := list.Content[i]
	before, rest, ok := splitAt(lines, n)
	if !ok {
		return false
	}
	if list.Style&yaml.FlowStyle == 0 {
		if strings.TrimSpace(before) != "-" || len(list.Content) == 1 {
			return false
		}
		lines[n.Line-1] = ""
		return true
	}
	_, after, ok := strings.Cut(rest, "}")
	if next, comma := strings.CutPrefix(after, ","); comma {
		after = strings.TrimLeft(next, " ")
	} else {
		before = strings.TrimSuffix(strings.TrimRight(before, " "), ",")
	}
	lines[n.Line-1] = before + after
	return ok
}
