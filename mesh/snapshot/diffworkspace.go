package snapshot

import (
	"fmt"
	"strings"
)

// diffWorkspaces returns the changes of workspaces from a to b. Keys are only
// counted: the changes are shown to operators and stored in the audit trail, which
// must not hold a key or its hash.
func diffWorkspaces(a, b *Snapshot) []Change {
	from, to := workspacesByName(a), workspacesByName(b)
	var out []Change
	for name, old := range from {
		if to[name] == nil {
			out = append(out, Change{Sign: "-", Resource: workspaceResource(name), Detail: diffWorkspace(old, &Workspace{})})
		}
	}
	for name, now := range to {
		old, sign := from[name], "~"
		if old == nil {
			old, sign = &Workspace{}, "+"
		}
		if detail := diffWorkspace(old, now); detail != "" || sign == "+" {
			out = append(out, Change{Sign: sign, Resource: workspaceResource(name), Detail: detail})
		}
	}
	return out
}

func workspaceResource(name string) string { return "workspace " + name }

func workspacesByName(s *Snapshot) map[string]*Workspace {
	if s == nil {
		return nil
	}
	m := make(map[string]*Workspace, len(s.Workspaces))
	for i := range s.Workspaces {
		m[s.Workspaces[i].Name] = &s.Workspaces[i]
	}
	return m
}

// diffWorkspace returns the fields that differ between two workspaces, and the
// numbers of keys added and removed.
func diffWorkspace(old, now *Workspace) string {
	var parts []string
	if p, q := priorityName(old.Priority), priorityName(now.Priority); p != q {
		parts = append(parts, "Priority "+p+" → "+q)
	}
	if old.Rate != now.Rate {
		parts = append(parts, fmt.Sprintf("Rate %v → %v", old.Rate, now.Rate))
	}
	if old.Burst != now.Burst {
		parts = append(parts, fmt.Sprintf("Burst %v → %v", old.Burst, now.Burst))
	}
	if n := countMissingKeys(now, old); n > 0 {
		parts = append(parts, countKeys(n)+" added")
	}
	if n := countMissingKeys(old, now); n > 0 {
		parts = append(parts, countKeys(n)+" removed")
	}
	return strings.Join(parts, ", ")
}

func countKeys(n int) string {
	if n == 1 {
		return "1 key"
	}
	return fmt.Sprintf("%d keys", n)
}

// countMissingKeys returns how many keys of w are not in other.
func countMissingKeys(w, other *Workspace) int {
	in := make(map[KeyHash]bool, len(other.Keys))
	for _, k := range other.Keys {
		in[k] = true
	}
	n := 0
	for _, k := range w.Keys {
		if !in[k] {
			n++
		}
	}
	return n
}

// priorityName returns the name of a workspace's priority; "none" if it has none.
func priorityName(p *Priority) string {
	if p == nil {
		return "none"
	}
	return p.String()
}
