package drainer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rhubarbtrack.example/core/configurator"
)

// ZoneLoader returns the time zone with the given IANA name, usually by time.LoadLocation. A program for hosts without
// a time zone database must import time/tzdata.
type ZoneLoader func(name string) (*time.Location, error)

// cacheZones returns a ZoneLoader that caches the results of loadZone, because time.LoadLocation reads files. Errors
// are not cached.
func cacheZones(loadZone ZoneLoader) ZoneLoader {
	known := map[string]*time.Location{}
	return func(name string) (*time.Location, error) {
		if zone, ok := known[name]; ok {
			return zone, nil
		}
		zone, err := loadZone(name)
		if err == nil {
			known[name] = zone
		}
		return zone, err
	}
}

const (
	day = 24 * time.Hour
	// MaxWindowLength is the maximum length of a window, so that occurrences of one window never overlap.
	MaxWindowLength = day
	// overlapHorizon is the period for which windows are compared. Time zones change their offset on different dates, so
	// two windows may overlap only in a few weeks of the year.
	overlapHorizon = 2 * 366 * day
)

// Occurrence is one weekly occurrence of a window.
type Occurrence = configurator.Occurrence

// CheckWindow checks a window that is about to be added to the existing ones or to replace the one with the same name.
// Lead is the current lead time of a drain, which counts as part of every occurrence. CheckWindow returns an error of
// kind Invalid if a field is invalid, and of kind Overlap if the window overlaps one of another failure domain within
// the next two years.
func CheckWindow(now time.Time, loadZone ZoneLoader, existing map[string]configurator.Window, added configurator.Window,
	lead time.Duration) error {
	zone, err := checkWindowFields(loadZone, added)
	if err != nil {
		return err
	}
	addedRuns := added.Occurrences(zone, now, now.Add(overlapHorizon))
	for _, name := range slices.Sorted(maps.Keys(existing)) {
		other := existing[name]
		if name == added.Name || other.FailureDomain == added.FailureDomain {
			continue
		}
		otherZone, err := checkWindowFields(loadZone, other)
		if err != nil {
			continue // never carried out, see WindowZoneUnknown
		}
		if at, ok := firstOverlap(addedRuns, other.Occurrences(otherZone, now, now.Add(overlapHorizon)), lead); ok {
			return fail("accept window", Overlap, nil, "window %q overlaps window %q of failure domain %q on %s",
				added.Name, name, other.FailureDomain, at.In(zone).Format(time.DateTime))
		}
	}
	return nil
}

func checkWindowFields(loadZone ZoneLoader, window configurator.Window) (*time.Location, error) {
	zone, err := loadZone(window.TimeZone)
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

// firstOverlap returns the start of the first occurrence of xs that overlaps one of ys. Every occurrence begins lead
// before its start.
func firstOverlap(xs, ys []Occurrence, lead time.Duration) (time.Time, bool) {
	for _, x := range xs {
		for _, y := range ys {
			if x.Start.Add(-lead).Before(y.End) && y.Start.Add(-lead).Before(x.End) {
				return x.Start, true
			}
		}
	}
	return time.Time{}, false
}

// Next returns the occurrence of the window that is in progress at the given time, or the next one.
func Next(window configurator.Window, zone *time.Location, at time.Time) Occurrence {
	return window.Occurrences(zone, at, at.Add(9*day))[0]
}

// dueWindow is an occurrence for which the drain must start.
type dueWindow struct {
	configurator.Window
	Occurrence
}

// startWindows takes out the domains whose windows are due, or reports why a window is skipped. It handles every
// occurrence once.
func (d *Drainer) startWindows(now time.Time, status Status, windows map[string]configurator.Window) []Action {
	maps.DeleteFunc(d.Handled, func(name string, _ time.Time) bool {
		_, ok := windows[name]
		return !ok
	})
	pending, actions := d.dueWindows(now, status, windows)
	for _, due := range pending {
		d.Handled[due.Name] = due.Occurrence.Start
		action := Action{Domain: due.FailureDomain, Window: due.Name, Start: due.Occurrence.Start,
			Other: d.otherOut(due.FailureDomain), Shortfalls: d.Shortfalls(status, due.FailureDomain)}
		switch {
		case action.Other != "":
			action.Kind = WindowBlocked
			actions = append(actions, action)
		case len(action.Shortfalls) > 0:
			action.Kind = WindowOverCapacity
			actions = append(actions, action)
		default:
			actions = append(actions, d.addOutage(Outage{Domain: due.FailureDomain, Cause: Cleaning, Since: now,
				Window: due.Name, Start: due.Occurrence.Start, End: due.End}, nil)...)
		}
	}
	return actions
}

// dueWindows returns the occurrences that are in progress or start within their lead time and have not been handled,
// earliest first. It also returns a report for each window that cannot be carried out.
func (d *Drainer) dueWindows(now time.Time, status Status,
	windows map[string]configurator.Window) ([]dueWindow, []Action) {
	var pending []dueWindow
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(windows)) {
		window := windows[name]
		window.Name = name
		zone, err := checkWindowFields(d.zones, window)
		if err != nil {
			if _, known := d.Handled[name]; !known {
				d.Handled[name] = now
				actions = append(actions, Action{Kind: WindowZoneUnknown, Domain: window.FailureDomain, Window: name})
			}
			continue
		}
		next := Next(window, zone, now)
		if d.Handled[name].Equal(next.Start) || now.Before(next.Start.Add(-d.LeadTime(status, window.FailureDomain))) {
			continue
		}
		pending = append(pending, dueWindow{window, next})
	}
	slices.SortStableFunc(pending, func(x, y dueWindow) int {
		return cmp.Compare(x.Occurrence.Start.UnixNano(), y.Occurrence.Start.UnixNano())
	})
	return pending, actions
}
