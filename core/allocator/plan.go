package allocator

import (
	"time"

	"rhubarbtrack.example/core/rebalancer"
)

// minPeriod is the shortest time over which load is taken for a rate.
const minPeriod = 400 * time.Millisecond

// minSpeedSamples is the number of measured requests from which the speed of an upstream is used.
const minSpeedSamples = 10

func (k *Allocator) measure(event RunTimesMeasured) {
	speed := k.speeds[event.Upstream]
	if speed == nil {
		speed = &rebalancer.RunTimeAverage{}
		k.speeds[event.Upstream] = speed
	}
	speed.Observe(event.Count, event.Sum)
}

// checkOwners starts a move for every range whose owner cannot keep it.
func (k *Allocator) checkOwners(now time.Duration) {
	var homeless []*segment
	reasons := map[*segment]string{}
	for _, s := range k.segments {
		if s.order != 0 || (s.phase != held && s.phase != granting) {
			continue
		}
		if reason := k.reasonToLeave(now, s); reason != "" {
			homeless = append(homeless, s)
			reasons[s] = reason
		}
	}
	if len(homeless) == 0 || len(k.usable()) == 0 {
		return
	}
	plan := k.newPlan()
	for _, s := range homeless {
		for _, part := range plan.Divide(s.From, s.To) {
			piece := k.cut(s, part.From, part.To)
			k.move(now, piece, part.Owner, reasons[s])
		}
	}
}

func (k *Allocator) reasonToLeave(now time.Duration, s *segment) string {
	owner, ok := k.owners[s.Owner]
	switch {
	case !ok:
		return "gone"
	case s.phase == held && s.life != 0 && owner.Incarnation != s.life:
		return "restarted"
	case k.hasEnded(s.Owner):
		return "ended"
	case !owner.Usable:
		return "leaving"
	case k.unreachable(now, s.Owner):
		return "unreachable"
	default:
		return ""
	}
}

// level moves ranges from loaded upstreams to others.
func (k *Allocator) level(now time.Duration) {
	for _, part := range k.newPlan().Rebalance() {
		s := k.find(part.From)
		if s == nil || s.To < part.To || s.order != 0 || s.phase != held || s.Owner == part.Owner {
			continue
		}
		k.move(now, k.cut(s, part.From, part.To), part.Owner, "load")
	}
}

// newPlan describes the present load to the leveler.
func (k *Allocator) newPlan() *rebalancer.Plan {
	plan := rebalancer.New(&k.load, max(minPeriod, k.period).Seconds())
	for id, owner := range k.owners {
		if !owner.Usable || k.hasEnded(id) {
			continue
		}
		target := rebalancer.Target{ID: id, Slots: float64(owner.Slots)}
		if speed := k.speeds[id]; speed != nil && speed.Samples >= minSpeedSamples {
			target.RunTime = speed.Mean
		}
		if owner.Cold {
			target.MaxRate = k.options.ColdRate
		}
		plan.AddTarget(target)
	}
	for _, s := range k.segments {
		plan.AddRange(s.From, s.To, s.Owner, s.phase == held && s.order == 0)
	}
	return plan
}

func (k *Allocator) find(key uint16) *segment {
	for _, s := range k.segments {
		if s.From <= key && key <= s.To {
			return s
		}
	}
	return nil
}

// cut returns the part of s between from and to as a segment of its own.
func (k *Allocator) cut(s *segment, from, to uint16) *segment {
	if s.From == from && s.To == to {
		return s
	}
	var parts []*segment
	if s.From < from {
		left := *s
		left.To = from - 1
		parts = append(parts, &left)
	}
	middle := *s
	middle.From, middle.To = from, to
	parts = append(parts, &middle)
	if to < s.To {
		right := *s
		right.From = to + 1
		parts = append(parts, &right)
	}
	// s itself stays part of the list, so that pointers to it remain valid for the last part.
	last := parts[len(parts)-1]
	result := &middle
	if result == last {
		result = s
	}
	*s = *last
	parts[len(parts)-1] = s
	for i, other := range k.segments {
		if other == s {
			k.segments = append(k.segments[:i], append(parts, k.segments[i+1:]...)...)
			break
		}
	}
	return result
}

// move names a new owner of the range. The former one goes on serving until the record has been written.
func (k *Allocator) move(now time.Duration, s *segment, owner, reason string) {
	previous := s.Owner
	if s.phase == granting && s.expiry == 0 {
		// No grant was ever sent to the owner that the record names.
		previous = ""
	}
	k.actions = append(k.actions, Moved{s.From, s.To, s.Owner, owner, reason})
	s.Owner = owner
	s.Previous = previous
	s.phase = committing
	s.handover = ""
	s.moved = now
	s.next = now
	if reason == "unreachable" || reason == "restarted" {
		s.served = ""
	}
	if reason == "restarted" {
		// The new process may have received a renewal meant for the old one.
		s.life = k.owners[previous].Incarnation
	}
	k.changed(now)
	s.commit = k.version
}
