package assigner

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"rhubarbtrack.example/core/slicer"
)

// Sketch estimates the load of the heaviest keys in bounded memory. It is the space-saving algorithm with exponential
// decay: it holds a fixed number of counters, and a key without one takes over the smallest. A key whose share of the
// load is above 1/capacity is always among them.
//
// One sketch belongs to one admission host, which sees all requests for the keys of its upstreams. The lists of several
// hosts are joined by concatenation.
type Sketch struct {
	capacity int
	halfLife time.Duration
	base     time.Duration // weights are scaled by 2^((now-base)/halfLife)
	byKey    map[string]*counter
	smallest counters
}

type counter struct {
	key    string
	weight float64 // scaled
	excess float64 // part of weight that may belong to keys that the counter had before
	index  int     // in the heap
}

// NewSketch returns a sketch with the given number of counters, at least one. A load counts half after halfLife.
func NewSketch(capacity int, halfLife time.Duration) *Sketch {
	return &Sketch{capacity: max(1, capacity), halfLife: halfLife, byKey: map[string]*counter{}}
}

// Observe counts one request of key that took the given slot time. Keys longer than slicer.MaxHotKeyBytes are ignored,
// which bounds the memory of the sketch.
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

// Top returns the heaviest keys, at most count of them, with lower bounds of their load in slots in use. The bound is
// reached only after a few half-lives: half of the load of a key that became hot one half-life ago is missing.
func (s *Sketch) Top(now time.Duration, count int) []KeyLoad {
	unscale := math.Ln2 / s.halfLife.Seconds() / s.scale(now)
	top := make([]KeyLoad, 0, len(s.smallest))
	for _, c := range s.smallest {
		top = append(top, KeyLoad{Key: c.key, Load: (c.weight - c.excess) * unscale})
	}
	slices.SortFunc(top, byLoad)
	return top[:min(count, len(top))]
}

// byLoad orders keys by falling load, then by name.
func byLoad(x, y KeyLoad) int {
	return cmp.Or(cmp.Compare(y.Load, x.Load), cmp.Compare(x.Key, y.Key))
}

// maxHalfLives is the age of the base at which weights are rescaled, long before a float64 loses precision.
const maxHalfLives = 64

// scale returns the present weight of one unit of load. Times before the base count as the base.
func (s *Sketch) scale(now time.Duration) float64 {
	age := max(0, (now-s.base).Seconds()/s.halfLife.Seconds())
	if age < maxHalfLives {
		return math.Exp2(age)
	}
	for _, c := range s.smallest { // one factor for all of them keeps the order of the heap
		c.weight *= math.Exp2(-age)
		c.excess *= math.Exp2(-age)
	}
	s.base = now
	return 1
}

// counters is a heap with the smallest weight first.
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
