package rebalancer

// moveHotKeys moves each key that alone exceeds the capacity of its owner to the upstream with the most capacity. A key
// has one owner, so this is all that can be done for its requests. The other keys of that upstream move away afterwards,
// because it is above its target load.
func (p *Plan) moveHotKeys() []Assignment {
	var parts []Assignment
	taken := map[*target]bool{}
	for _, s := range p.spans {
		if s.owner != nil && s.from == s.to && s.load > s.owner.capacity {
			taken[s.owner] = true
		}
	}
	for _, s := range p.spans[:len(p.spans):len(p.spans)] {
		if s.owner == nil || !s.movable || s.load <= s.owner.capacity {
			continue
		}
		key := p.hottestKey(s)
		if load := p.loadOf(key); load > s.owner.capacity {
			if to := p.largest(taken); to != nil && to.capacity >= minCapacityGain*s.owner.capacity {
				taken[to] = true
				parts = append(parts, p.moveKey(s, key, to))
			}
		}
	}
	return parts
}

func (p *Plan) hottestKey(s *span) int {
	hottest := s.from
	for key := s.from + 1; key <= s.to; key++ {
		if p.load[key] > p.load[hottest] {
			hottest = key
		}
	}
	return hottest
}

// largest returns the target with the most capacity that is not in excluded, or nil.
func (p *Plan) largest(excluded map[*target]bool) *target {
	var best *target
	for _, t := range p.targets {
		if !excluded[t] && t.MaxRate == 0 && (best == nil || t.capacity > best.capacity) {
			best = t
		}
	}
	return best
}

// moveKey moves one key of a range to another upstream and divides the rest of the range.
func (p *Plan) moveKey(s *span, key int, to *target) Assignment {
	from, load := s.owner, p.loadOf(key)
	if key > s.from {
		p.spans = append(p.spans, &span{from: s.from, to: key - 1, owner: from, movable: true, load: p.sum(s.from, key-1)})
		from.ranges++
	}
	if key < s.to {
		p.spans = append(p.spans, &span{from: key + 1, to: s.to, owner: from, movable: true, load: p.sum(key+1, s.to)})
		from.ranges++
	}
	from.load -= load
	from.ranges--
	to.load += load
	to.ranges++
	*s = span{from: key, to: key, owner: to, load: load}
	return Assignment{uint16(key), uint16(key), to.ID}
}
