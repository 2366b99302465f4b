package assigner

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"rhubarbtrack.example/core/slicer"
)

// Sketch estimates the load of the keys with the highest load in bounded memory. It uses the space-saving algorithm
// with exponential decay: it has a fixed number of counters, and a key without a counter takes over the smallest one. A
// key whose share of the load is above 1/capacity always has a counter.
//
// Each admission host has a sketch of its own and observes all requests for the keys of its upstreams. To combine the
// results of several hosts, concatenate them. A Sketch is not safe for concurrent use.
type Sketch struct {
	capacity int
	halfLife time.Duration
	base     time.Duration // a request at time t is weighted by 2^((t-base)/halfLife)
	byKey    map[string]*counter
	smallest counters
}

type counter struct {
	key    string
	weight float64 // scaled
	excess float64 // upper bound of the part of weight that belongs to earlier keys of the counter
	index  int     // position in the heap
}

// NewSketch returns a sketch with max(1, capacity) counters. The weight of a request halves every halfLife.
func NewSketch(capacity int, halfLife time.Duration) *Sketch {
	return &Sketch{capacity: max(1, capacity), halfLife: halfLife, byKey: map[string]*counter{}}
}

// Observe counts one request for key that occupied a slot for slotTime. It ignores keys longer than
// slicer.MaxHotKeyBytes, which bounds the memory of the sketch.
func (s *Sketch) Observe(now time.Duration, key string, slotTime time.Duration) {
	if key == "" || len(key) > slicer.MaxHotKeyBytes {
		return
	}
	weight := slotTime.Seconds() * s.scale(now)
	if known := s.byKey[key]; known != nil {
		known.weight += weight
		heap.Fix(&s.smallest, known.index)
		return
	}
	if len(s.byKey) < s.capacity {
		added := &counter{key: key, weight: weight}
		s.byKey[key] = added
		heap.Push(&s.smallest, added)
		return
	}
	reused := s.smallest[0]
	delete(s.byKey, reused.key)
	reused.key, reused.excess = key, reused.weight
	reused.weight += weight
	s.byKey[key] = reused
	heap.Fix(&s.smallest, 0)
}

// Top returns the keys with the highest load, at most count, with lower bounds of their load in slots in use. The bound
// approaches the load over several half-lives: one half-life after a key became hot, half of its load is still missing.
func (s *Sketch) Top(now time.Duration, count int) []KeyLoad {
	unscale := math.Ln2 / s.halfLife.Seconds() / s.scale(now)
	top := make([]KeyLoad, 0, len(s.smallest))
	for _, c := range s.smallest {
		top = append(top, KeyLoad{Key: c.key, Load: (c.weight - c.excess) * unscale})
	}
	slices.SortFunc(top, byLoad)
	return top[:min(count, len(top))]
}

// byLoad orders keys by descending load, then by name.
func byLoad(x, y KeyLoad) int {
	return cmp.Or(cmp.Compare(y.Load, x.Load), cmp.Compare(x.Key, y.Key))
}

// maxHalfLives is the age of the base at which the weights are rescaled, long before a float64 overflows or loses
// precision.
const maxHalfLives = 64

// scale returns the current weight of one unit of load. Times before the base count as the base.
func (s *Sketch) scale(now time.Duration) float64 {
	age := max(0, (now-s.base).Seconds()/s.halfLife.Seconds())
	if age < maxHalfLives {
		return math.Exp2(age)
	}
	for _, c := range s.smallest { // a common factor preserves the order of the heap
		c.weight *= math.Exp2(-age)
		c.excess *= math.Exp2(-age)
	}
	s.base = now
	return 1
}

// counters is a min-heap by weight.
type counters []*counter

// Len is part of heap.Interface.
func (c counters) Len() int { return len(c) }

// Less is part of heap.Interface.
func (c counters) Less(i, j int) bool { return c[i].weight < c[j].weight }

// Swap is part of heap.Interface.
func (c counters) Swap(i, j int) {
	c[i], c[j] = c[j], c[i]
	c[i].index, c[j].index = i, j
}

// Push is part of heap.Interface.
func (c *counters) Push(added any) {
	last := added.(*counter)
	last.index = len(*c)
	*c = append(*c, last)
}

// Pop is part of heap.Interface. The sketch never removes a counter.
func (c *counters) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}
