package allocator

import (
	"time"

	"rhubarbtrack.example/core/rebalancer"
)

// minLoadPeriod is the shortest time over which load is taken for a rate.
const minLoadPeriod = 400 * time.Millisecond

// minRunTimeSamples is the number of measured requests from which the speed of an upstream is used.
const minRunTimeSamples = 10

func (a *Allocator) recordRunTimes(event RunTimesMeasured) {
	speed := a.runTimes[event.Upstream]
	if speed == nil {
		speed = &rebalancer.RunTimeAverage{}
		a.runTimes[event.Upstream] = speed
	}
	speed.Observe(event.Count, event.Sum)
}

// replaceUnusableOwners starts a move for every range whose owner cannot keep it.
func (a *Allocator) replaceUnusableOwners(now time.Duration) {
	var homeless []*segment
	reasons := map[*segment]string{}
	for _, s := range a.segments {
		if s.orderID != 0 || (s.phase != held && s.phase != granting) {
			continue
		}
		if reason := a.moveReason(now, s); reason != "" {
			homeless = append(homeless, s)
			reasons[s] = reason
		}
	}
	if len(homeless) == 0 || len(a.usable()) == 0 {
		return
	}
	plan := a.newPlan()
	for _, s := range homeless {
		for _, part := range plan.Divide(s.From, s.To) {
			piece := a.split(s, part.From, part.To)
			a.move(now, piece, part.Owner, reasons[s])
		}
	}
}

func (a *Allocator) moveReason(now time.Duration, s *segment) string {
	owner, ok := a.upstreams[s.Owner]
	switch {
	case !ok:
		return "gone"
	case s.phase == held && s.incarnation != 0 && owner.Incarnation != s.incarnation:
		return "restarted"
	case a.isStopped(s.Owner):
		return "ended"
	case !owner.Usable:
		return "leaving"
	case a.unreachable(now, s.Owner):
		return "unreachable"
	default:
		return ""
	}
}

// rebalance moves ranges from loaded upstreams to others.
func (a *Allocator) rebalance(now time.Duration) {
	for _, part := range a.newPlan().Rebalance() {
		s := a.find(part.From)
		if s == nil || s.To < part.To || s.orderID != 0 || s.phase != held || s.Owner == part.Owner {
			continue
		}
		a.move(now, a.split(s, part.From, part.To), part.Owner, "load")
	}
}

// newPlan describes the present load to the leveler.
func (a *Allocator) newPlan() *rebalancer.Plan {
	plan := rebalancer.New(&a.load, max(minLoadPeriod, a.loadPeriod).Seconds())
	for id, owner := range a.upstreams {
		if !owner.Usable || a.isStopped(id) {
			continue
		}
		target := rebalancer.Target{ID: id, Slots: float64(owner.Slots)}
		if speed := a.runTimes[id]; speed != nil && speed.Samples >= minRunTimeSamples {
			target.RunTime = speed.Mean
		}
		if owner.Cold {
			target.MaxRate = a.options.ColdRate
		}
		plan.AddTarget(target)
	}
	for _, s := range a.segments {
		plan.AddRange(s.From, s.To, s.Owner, s.phase == held && s.orderID == 0)
	}
	return plan
}

func (a *Allocator) find(key uint16) *segment {
	for _, s := range a.segments {
		if s.From <= key && key <= s.To {
			return s
		}
	}
	return nil
}

// split returns the part of s between from and to as a segment of its own.
func (a *Allocator) split(s *segment, from, to uint16) *segment {
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
	for i, other := range a.segments {
		if other == s {
			a.segments = append(a.segments[:i], append(parts, a.segments[i+1:]...)...)
			break
		}
	}
	return result
}

// move names a new owner of the range. The former one goes on serving until the record has been written.
func (a *Allocator) move(now time.Duration, s *segment, owner, reason string) {
	previous := s.Owner
	if s.phase == granting && s.expiry == 0 {
		// No grant was ever sent to the owner that the record names.
		previous = ""
	}
	a.actions = append(a.actions, Moved{s.From, s.To, s.Owner, owner, reason})
	s.Owner = owner
	s.Previous = previous
	s.phase = committing
	s.handover = ""
	s.movedAt = now
	s.nextOrder = now
	if reason == "unreachable" || reason == "restarted" {
		s.routedTo = ""
	}
	if reason == "restarted" {
		// The new process may have received a renewal meant for the old one.
		s.incarnation = a.upstreams[previous].Incarnation
	}
	a.markChanged(now)
	s.commitVersion = a.version
}
