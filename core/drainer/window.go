package drainer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rhubarbtrack.example/core/configurator"
)

// ZoneLoader returns the time zone with an IANA name, usually time.LoadLocation. Hosts without a zone database import
// time/tzdata.
type ZoneLoader func(name string) (*time.Location, error)

// cached asks zones once for each known name, since time.LoadLocation reads files.
func cached(zones ZoneLoader) ZoneLoader {
	known := map[string]*time.Location{}
	return func(name string) (*time.Location, error) {
		if zone, ok := known[name]; ok {
			return zone, nil
		}
		zone, err := zones(name)
		if err == nil {
			known[name] = zone
		}
		return zone, err
	}
}

const (
	day = 24 * time.Hour
	// MaxWindowLength bounds the length of a window, so that consecutive occurrences of one window never meet.
	MaxWindowLength = day
	// checkedAhead is the time for which windows are compared. Time zones change their offset at different dates, so two
	// windows may overlap in a few weeks of the year only.
	checkedAhead = 2 * 366 * day
)

// Occurrence is one run of a window.
type Occurrence = configurator.Occurrence

// CheckWindow reports whether a window may be accepted beside the existing ones, of which one with the same name is
// replaced. Lead is the time that emptying a domain takes at present; it belongs to the window. Errors are of kind
// Invalid, and of kind Overlap when a window of another failure domain runs at the same time within two years.
func CheckWindow(now time.Time, zones ZoneLoader, existing map[string]configurator.Window, added configurator.Window,
	lead time.Duration) error {
	zone, err := checkFields(zones, added)
	if err != nil {
		return err
	}
	mine := added.Occurrences(zone, now, now.Add(checkedAhead))
	for _, name := range slices.Sorted(maps.Keys(existing)) {
		other := existing[name]
		if name == added.Name || other.FailureDomain == added.FailureDomain {
			continue
		}
		otherZone, err := checkFields(zones, other)
		if err != nil {
			continue // never carried out, see Unreadable
		}
		if at, ok := meet(mine, other.Occurrences(otherZone, now, now.Add(checkedAhead)), lead); ok {
			return fail("accept window", Overlap, nil, "window %q overlaps window %q of failure domain %q on %s",
				added.Name, name, other.FailureDomain, at.In(zone).Format(time.DateTime))
		}
	}
	return nil
}

func checkFields(zones ZoneLoader, window configurator.Window) (*time.Location, error) {
	zone, err := zones(window.TimeZone)
	switch {
	case err != nil:
		return nil, fail("accept window", Invalid, nil, "time zone %q: %v", window.TimeZone, err)
	case window.Weekday < time.Sunday || window.Weekday > time.Saturday:
		return nil, fail("accept window", Invalid, nil, "weekday %d", int(window.Weekday))
	case window.Start < 0 || window.Start >= day:
		return nil, fail("accept window", Invalid, nil, "start %v is not within a day", window.Start)
	case window.Length <= 0 || window.Length > MaxWindowLength:
		return nil, fail("accept window", Invalid, nil, "length %v is not between 0 and %v", window.Length, MaxWindowLength)
	}
	return zone, nil
}

// meet returns the start of the first occurrence of xs that overlaps one of ys. The lead belongs to an occurrence.
func meet(xs, ys []Occurrence, lead time.Duration) (time.Time, bool) {
	for _, x := range xs {
		for _, y := range ys {
			if x.Start.Add(-lead).Before(y.End) && y.Start.Add(-lead).Before(x.End) {
				return x.Start, true
			}
		}
	}
	return time.Time{}, false
}

// Next returns the occurrence of the window that is running at the given time, or else the next one.
func Next(window configurator.Window, zone *time.Location, at time.Time) Occurrence {
	return window.Occurrences(zone, at, at.Add(9*day))[0]
}

// due is an occurrence for which the moves have to start.
type due struct {
	configurator.Window
	Occurrence
}

// startWindows takes out the domains whose windows are due, or reports why it does not. Either happens once per
// occurrence.
func (p *Drainer) startWindows(now time.Time, status Status, windows map[string]configurator.Window) []Action {
	maps.DeleteFunc(p.Handled, func(name string, _ time.Time) bool {
		_, ok := windows[name]
		return !ok
	})
	pending, actions := p.due(now, status, windows)
	for _, d := range pending {
		p.Handled[d.Name] = d.Occurrence.Start
		action := Action{Domain: d.FailureDomain, Window: d.Name, Start: d.Occurrence.Start,
			Other: p.otherOut(d.FailureDomain), Shortfalls: p.Shortfalls(status, d.FailureDomain)}
		switch {
		case action.Other != "":
			action.Kind = WindowBlocked
			actions = append(actions, action)
		case len(action.Shortfalls) > 0:
			action.Kind = WindowOverCapacity
			actions = append(actions, action)
		default:
			actions = append(actions, p.begin(Outage{Domain: d.FailureDomain, Cause: Cleaning, Since: now, Window: d.Name,
				Start: d.Occurrence.Start, End: d.End}, nil)...)
		}
	}
	return actions
}

// due returns the occurrences that are within their lead time or running and have not been handled, earliest first.
func (p *Drainer) due(now time.Time, status Status, windows map[string]configurator.Window) ([]due, []Action) {
	var pending []due
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(windows)) {
		window := windows[name]
		window.Name = name
		zone, err := checkFields(p.zones, window)
		if err != nil {
			if _, known := p.Handled[name]; !known {
				p.Handled[name] = now
				actions = append(actions, Action{Kind: WindowZoneUnknown, Domain: window.FailureDomain, Window: name})
			}
			continue
		}
		next := Next(window, zone, now)
		if p.Handled[name].Equal(next.Start) || now.Before(next.Start.Add(-p.LeadTime(status, window.FailureDomain))) {
			continue
		}
		pending = append(pending, due{window, next})
	}
	slices.SortStableFunc(pending, func(x, y due) int {
		return cmp.Compare(x.Occurrence.Start.UnixNano(), y.Occurrence.Start.UnixNano())
	})
	return pending, actions
}
