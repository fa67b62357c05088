package peer

// The tree of a domain carries versions, reports and sums. It depends on the hosts'
// scores only. The member with the least score is the root. The others are divided into
// treeDegree groups by bits of their scores, and the member with the least score of each
// group is a child of the root; the rest of the group is placed below it by the next
// bits. A group of at most treeDegree members is not divided further.
//
// A member that joins is mostly a leaf, and one that leaves is replaced from within its
// own group, so nearly all others keep their parents. With places by the index in the
// order, each change would give new parents to a large part of the domain, whose sums and
// reports would be missing until the new links are open.
const (
	// treeDegree is the maximum number of children of a node in the tree of its domain.
	treeDegree = 4
	// treeBits is the number of bits of a score that choose one of treeDegree groups.
	treeBits = 2
)

// position is a member's place in the tree of its domain.
type position struct {
	parent   string // empty at the root
	children []string
}

// newTree returns the positions of a domain's members, by host. order is sorted by score.
func newTree(order []*record) map[string]*position {
	tree := make(map[string]*position, len(order))
	if len(order) > 0 {
		placeGroup(tree, "", order, 0)
	}
	return tree
}

// placeGroup places the first member of a group below parent, and all others below it.
func placeGroup(tree map[string]*position, parent string, group []*record, depth int) {
	head := group[0].Host
	tree[head] = &position{parent: parent}
	if p := tree[parent]; p != nil {
		p.children = append(p.children, head)
	}
	rest := group[1:]
	if len(rest) <= treeDegree {
		for i := range rest {
			placeGroup(tree, head, rest[i:i+1], depth+1)
		}
		return
	}
	var groups [treeDegree][]*record
	for _, r := range rest {
		// The low bits are used, since the order depends on the high ones.
		i := r.score >> (treeBits * depth) % treeDegree
		groups[i] = append(groups[i], r)
	}
	for _, g := range groups {
		if len(g) > 0 {
			placeGroup(tree, head, g, depth+1)
		}
	}
}
