package relayer

import (
	"fmt"
	"sort"

	"rhubarbtrack.example/core/hasher"
)

// Tree is the topology over which items are relayed. The first Roots hosts of the order are the roots, which are all
// connected to each other. Every other host has one parent among the hosts before it.
type Tree struct {
	Order  []string
	Roots  int
	Fanout int
}

// NewTree orders the hosts by a seeded hash, which spreads the hosts of one failure domain over the subtrees.
func NewTree(names []string, seed uint64, roots, fanout int) Tree {
	order := append([]string(nil), names...)
	rank := make(map[string]uint64, len(order))
	for _, name := range order {
		rank[name] = hasher.Sum(fmt.Sprintf("%d/%s", seed, name))
	}
	sort.Slice(order, func(i, j int) bool {
		if rank[order[i]] != rank[order[j]] {
			return rank[order[i]] < rank[order[j]]
		}
		return order[i] < order[j]
	})
	return Tree{Order: order, Roots: roots, Fanout: fanout}
}

// position returns the index of a host in the order, or -1.
func (t Tree) position(name string) int {
	for i, candidate := range t.Order {
		if candidate == name {
			return i
		}
	}
	return -1
}

// IsRoot reports whether a host is one of the roots.
func (t Tree) IsRoot(name string) bool {
	position := t.position(name)
	return position >= 0 && position < t.Roots
}

// Parents returns the candidates for the parent of a host, best first: its regular parent, the two hosts next to that
// one in the order, its grandparent, the roots. A host that is not in the order may use every root.
func (t Tree) Parents(name string) []string {
	position := t.position(name)
	var candidates []string
	seen := map[string]bool{name: true}
	add := func(index int) {
		if index < 0 || index >= len(t.Order) || (position >= 0 && index >= position) {
			return
		}
		if candidate := t.Order[index]; !seen[candidate] {
			seen[candidate] = true
			candidates = append(candidates, candidate)
		}
	}
	if position >= t.Roots {
		parent := (position - t.Roots) / t.Fanout
		add(parent)
		add(parent + 1)
		add(parent - 1)
		if parent >= t.Roots {
			add((parent - t.Roots) / t.Fanout)
		}
	}
	for root := range min(t.Roots, len(t.Order)) {
		add(root)
	}
	return candidates
}

// Depth returns the number of hops between the roots and the farthest host.
func (t Tree) Depth() int {
	depth := 0
	for position := len(t.Order) - 1; position >= t.Roots; position = (position - t.Roots) / t.Fanout {
		depth++
	}
	return depth
}
