package configurator

import "time"

const day = 24 * time.Hour

// Occurrence is one weekly occurrence of a window.
type Occurrence struct {
	Start time.Time
	End   time.Time
}

// Occurrences returns the occurrences of the window that end after from and start before to, in chronological order.
func (w Window) Occurrences(zone *time.Location, from, to time.Time) []Occurrence {
	var all []Occurrence
	year, month, date := from.In(zone).Date()
	for date -= 2; ; date++ { // an occurrence lasts at most a day
		if time.Date(year, month, date, 0, 0, 0, 0, time.UTC).Weekday() != w.Weekday {
			continue
		}
		start := startOn(year, month, date, w.Start, zone)
		if !start.Before(to) {
			return all
		}
		if end := start.Add(w.Length); end.After(from) {
			all = append(all, Occurrence{Start: start, End: end})
		}
	}
}

// startOn returns the first instant at which the local time in the zone is at or after the given time of the given
// date. It does not use time.Date in that zone, whose result for skipped and repeated local times is not specified.
func startOn(year int, month time.Month, date int, sinceMidnight time.Duration, zone *time.Location) time.Time {
	wall := time.Date(year, month, date, 0, 0, 0, 0, time.UTC).Add(sinceMidnight)
	before, after := offset(wall.Add(-day), zone), offset(wall.Add(day), zone)
	first, second := wall.Add(-max(before, after)), wall.Add(-min(before, after))
	for _, candidate := range []time.Time{first, second} {
		if candidate.Add(offset(candidate, zone)).Equal(wall) {
			return candidate.In(zone)
		}
	}
	for second.Sub(first) > time.Second { // local time skips wall: search for the instant of the clock change
		middle := first.Add(second.Sub(first) / 2).Truncate(time.Second)
		if offset(middle, zone) == after {
			second = middle
		} else {
			first = middle
		}
	}
	return second.In(zone)
}

// offset returns the UTC offset of the zone at the given time.
func offset(at time.Time, zone *time.Location) time.Duration {
	_, seconds := at.In(zone).Zone()
	return time.Duration(seconds) * time.Second
}
