package detector

import (
	"cmp"
	"slices"
	"time"
)

// crashes counts interruptions.
type crashes struct {
	count    int
	endedAt  time.Duration // of the last one
	upstream string        // of the last one
	variants []uint64      // that were counted
}

// add counts an interruption that ended after all others, if it continues the sequence.
func (c crashes) add(next Interrupted) crashes {
	if c.count > 0 && (next.SentAt < c.endedAt || next.EndedAt < c.endedAt+minCrashInterval || next.Upstream == c.upstream) {
		return c
	}
	return c.addVariant(next)
}

// addVariant counts an interruption, unless one of the same variant was counted.
func (c crashes) addVariant(next Interrupted) crashes {
	variants := c.variants
	if next.Variant != 0 {
		if slices.Contains(variants, next.Variant) {
			return c
		}
		variants = append(slices.Clone(variants), next.Variant)
	}
	return crashes{c.count + 1, next.EndedAt, next.Upstream, variants}
}

// compareEnds orders interruptions independently of their arrival.
func compareEnds(a, b Interrupted) int {
	return cmp.Or(cmp.Compare(a.EndedAt, b.EndedAt), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.SentAt, b.SentAt))
}

// addInterruption inserts an interruption in its order and returns the crashes in sequence.
func (e *entry) addInterruption(event Interrupted) crashes {
	i, _ := slices.BinarySearchFunc(e.latest, event, compareEnds)
	e.latest = slices.Insert(slices.Clone(e.latest), i, event)
	if len(e.latest) > maxReordered {
		e.before = e.before.add(e.latest[0])
		e.latest = e.latest[1:]
	}
	total := e.before
	for _, known := range e.latest {
		total = total.add(known)
	}
	return total
}

// upstreams returns those that ended under the request, as far as they are known.
func (e *entry) upstreams() []string {
	upstreams := append(slices.Clone(e.settled), e.before.upstream)
	for _, known := range e.latest {
		upstreams = append(upstreams, known.Upstream)
	}
	return upstreams
}

// settle returns the crashes with the latest interruptions, which are counted by the upstreams that have ended.
func (e *entry) settle(ends endings) crashes {
	ran := map[string]bool{}
	for _, upstream := range e.upstreams() {
		ran[upstream] = true
	}
	latest := slices.DeleteFunc(slices.Clone(e.latest), func(known Interrupted) bool { return slices.Contains(e.settled, known.Upstream) })
	total := e.before
	var group []Interrupted // from one that add counts to the next
	for _, next := range latest {
		if total.add(next).count > total.count {
			total = total.addSimultaneous(group, ran, ends).addVariant(next)
			group = nil
		}
		group = append(group, next)
	}
	return total.addSimultaneous(group, ran, ends)
}

// addSimultaneous counts the interruptions of a group that add does not count. Each upstream that ended under the request counts, less
// those that ended at that time without it. ran holds the upstreams that ran the request.
func (c crashes) addSimultaneous(group []Interrupted, ran map[string]bool, ends endings) crashes {
	seen := map[string]bool{c.upstream: true}
	var further []Interrupted
	for _, next := range group {
		if !seen[next.Upstream] && (next.Variant == 0 || !slices.Contains(c.variants, next.Variant)) {
			further = append(further, next)
		}
		seen[next.Upstream] = true
	}
	if len(further) == 0 {
		return c
	}
	without := ends.countOthers(group[0].EndedAt-minCrashInterval, group[len(group)-1].EndedAt+minCrashInterval, ran)
	for _, next := range further[:max(0, len(further)-without)] {
		c = c.addVariant(next)
	}
	return c
}
