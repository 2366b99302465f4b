package assigner

import (
	"cmp"
	"slices"
	"strconv"

	"rhubarbtrack.example/core/hasher"
)

// Modulo returns the owner of hash by the simplest assignment: hash modulo the number of live upstreams. It moves
// almost every key when an upstream is added or removed. It is a baseline for tests and benchmarks. Live must not be
// empty.
func Modulo(hash uint64, live []string) string {
	return live[hash%uint64(len(live))]
}

// Ring is plain consistent hashing. It moves few keys, but considers neither load nor slots nor the reduced capacity of
// cold upstreams. It is a baseline for tests and benchmarks.
type Ring struct {
	points []point
}

type point struct {
	hash  uint64
	owner string
}

// NewRing returns a ring with the given number of points (virtual nodes) for each live upstream.
func NewRing(live []string, points int) *Ring {
	ring := &Ring{}
	for _, name := range live {
		for i := range points {
			ring.points = append(ring.points, point{hasher.Sum(name + "#" + strconv.Itoa(i)), name})
		}
	}
	slices.SortFunc(ring.points, func(x, y point) int {
		return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.owner, y.owner))
	})
	return ring
}

// Owner returns the upstream of the first point at or after hash, with wrap-around, or "" for an empty ring.
func (r *Ring) Owner(hash uint64) string {
	if len(r.points) == 0 {
		return ""
	}
	at, _ := slices.BinarySearchFunc(r.points, hash, func(p point, hash uint64) int { return cmp.Compare(p.hash, hash) })
	return r.points[at%len(r.points)].owner
}
