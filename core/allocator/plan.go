package allocator

import (
	"time"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/rebalancer"
)

// minLoadPeriod is the shortest period by which load is divided to get a rate. It avoids inflated rates right after the
// first request.
const minLoadPeriod = 400 * time.Millisecond

// hotKeyRest is the time for which a hot key that was moved alone stays with its owner. The load of the key makes the
// owner look slower than others.
const hotKeyRest = 5 * time.Second

// minRunTimeSamples is the number of measured requests from which the mean run time of an upstream is used.
const minRunTimeSamples = 10

func (a *Allocator) recordRunTimes(now time.Duration, event RunTimesMeasured) {
	runTime := a.runTimes[event.Upstream]
	if runTime == nil {
		runTime = &rebalancer.RunTimeAverage{}
		a.runTimes[event.Upstream] = runTime
	}
	runTime.Observe(now, event.Count, event.Sum)
}

// replaceUnusableOwners starts a move for every range whose owner can no longer serve it.
func (a *Allocator) replaceUnusableOwners(now time.Duration) {
	var orphaned []*segment
	reasons := map[*segment]string{}
	for _, s := range a.segments {
		if s.orderID != 0 || (s.phase != held && s.phase != granting) {
			continue
		}
		if reason := a.moveReason(now, s); reason != "" {
			orphaned = append(orphaned, s)
			reasons[s] = reason
		}
	}
	if len(orphaned) == 0 || len(a.usable(now)) == 0 {
		return
	}
	plan := a.newPlan(now)
	for _, s := range orphaned {
		for _, part := range plan.Divide(s.From, s.To) {
			moving := a.split(s, part.From, part.To)
			a.move(now, moving, a.upstreams[part.Owner].Incarnation, reasons[s])
		}
	}
}

func (a *Allocator) moveReason(now time.Duration, s *segment) string {
	owner, ok := a.upstreams[s.Owner.ID]
	switch {
	case !ok:
		return "gone"
	case owner.Incarnation != s.Owner:
		return "restarted"
	case a.stopped[s.Owner]:
		return "ended"
	case !owner.Usable:
		return "leaving"
	case a.unreachable(now, s.Owner):
		return "unreachable"
	default:
		return ""
	}
}

// rebalance moves ranges from highly utilized upstreams to others.
func (a *Allocator) rebalance(now time.Duration) {
	for _, part := range a.newPlan(now).Rebalance() {
		s := a.find(part.From)
		if s == nil || s.To < part.To || s.orderID != 0 || s.phase != held || s.Owner.ID == part.Owner {
			continue
		}
		a.move(now, a.split(s, part.From, part.To), a.upstreams[part.Owner].Incarnation, "load")
	}
}

// newPlan returns a rebalancing plan for the current load and owners. Only ranges without a pending change are movable.
func (a *Allocator) newPlan(now time.Duration) *rebalancer.Plan {
	plan := rebalancer.New(&a.load, max(minLoadPeriod, a.loadPeriod).Seconds())
	for id, upstream := range a.upstreams {
		if !a.mayOwn(now, upstream) {
			continue
		}
		target := rebalancer.Target{ID: id, Slots: float64(upstream.Slots)}
		if runTime := a.runTimes[upstream.Incarnation]; runTime != nil && runTime.Samples >= minRunTimeSamples {
			target.RunTime = runTime.Mean
		}
		if upstream.Cold {
			target.MaxRate = a.options.ColdRate
		}
		plan.AddTarget(target)
	}
	for _, s := range a.segments {
		resting := s.From == s.To && now < s.movedAt+hotKeyRest
		plan.AddRange(s.From, s.To, s.Owner.ID, s.phase == held && s.orderID == 0 && !resting)
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

// split splits s so that the keys between from and to form a segment of their own, which it returns.
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
	// s itself becomes the last part, so that pointers to it remain valid.
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

// move sets a new owner of the range. The former owner continues to serve the range until the table is stored, unless
// it is unreachable or has restarted.
func (a *Allocator) move(now time.Duration, s *segment, owner identifier.Incarnation, reason string) {
	previous := s.Owner
	if s.phase == granting && s.expiry == 0 {
		// No grant was ever sent to the owner that the table names.
		previous = identifier.Incarnation{}
	}
	a.actions = append(a.actions, Moved{s.From, s.To, s.Owner, owner, reason})
	s.Owner = owner
	s.Previous = previous
	s.phase = committing
	s.handover = ""
	s.movedAt = now
	s.nextOrder = now
	if reason == "unreachable" || reason == "restarted" {
		s.routedTo = identifier.Incarnation{}
	}
	a.markChanged(now, commitDelay)
	s.commitVersion = a.version
}
