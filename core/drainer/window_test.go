package drainer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/drainer"
)

// Guards against a window that starts at a wrong instant when the clocks change.
func TestNextAcrossClockChanges(t *testing.T) {
	at := func(hour, minute int) time.Duration {
		return time.Duration(hour)*time.Hour + time.Duration(minute)*time.Minute
	}
	tests := []struct {
		name    string
		zone    string
		weekday time.Weekday
		start   time.Duration
		from    string
		want    string
	}{
		{"winter", "Europe/Bratislava", time.Sunday, at(2, 30), "2026-03-20T00:00:00Z", "2026-03-22T01:30:00Z"},
		{"skipped hour", "Europe/Bratislava", time.Sunday, at(2, 30), "2026-03-28T00:00:00Z", "2026-03-29T01:00:00Z"},
		{"after the skipped hour", "Europe/Rome", time.Sunday, at(3, 0), "2026-03-28T00:00:00Z", "2026-03-29T01:00:00Z"},
		{"summer", "Europe/Rome", time.Sunday, at(2, 30), "2026-04-01T00:00:00Z", "2026-04-05T00:30:00Z"},
		{"repeated hour", "Europe/Rome", time.Sunday, at(2, 30), "2026-10-24T00:00:00Z", "2026-10-25T00:30:00Z"},
		{"after the repeated hour", "Europe/Rome", time.Sunday, at(3, 0), "2026-10-24T00:00:00Z", "2026-10-25T02:00:00Z"},
		{"skipped midnight", "America/Havana", time.Sunday, at(0, 0), "2026-03-07T00:00:00Z", "2026-03-08T05:00:00Z"},
		{"half an hour", "Australia/Lord_Howe", time.Sunday, at(2, 10), "2026-10-03T00:00:00Z", "2026-10-03T15:30:00Z"},
		{"running", "UTC", time.Sunday, at(23, 0), "2026-06-08T00:30:00Z", "2026-06-07T23:00:00Z"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			zone, err := time.LoadLocation(test.zone)
			assert.NilError(t, err)
			from, err := time.Parse(time.RFC3339, test.from)
			assert.NilError(t, err)
			next := drainer.Next(configurator.Window{Weekday: test.weekday, Start: test.start, Length: 2 * time.Hour},
				zone, from)
			assert.Equal(t, next.Start.UTC().Format(time.RFC3339), test.want)
			assert.Equal(t, next.End.Sub(next.Start), 2*time.Hour)
		})
	}
}

// Guards against a start that differs from a minute-by-minute search for the first instant at which the clock shows the
// start or later.
func TestNextAgainstSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone, err := time.LoadLocation(rapid.SampledFrom([]string{"Europe/Rome", "America/Havana", "Australia/Lord_Howe",
			"America/New_York", "Asia/Beirut", "Pacific/Chatham"}).Draw(t, "zone"))
		assert.NilError(t, err)
		day := rapid.IntRange(0, 365).Draw(t, "day")
		from := time.Date(2026, 1, 1+day, 0, 0, 0, 0, time.UTC)
		window := configurator.Window{Weekday: time.Sunday, Length: time.Minute,
			Start: time.Duration(rapid.IntRange(0, 24*60-1).Draw(t, "start")) * time.Minute}
		next := drainer.Next(window, zone, from)
		shown := func(at time.Time) time.Time { // the clock as if it were UTC
			_, seconds := at.In(zone).Zone()
			return at.UTC().Add(time.Duration(seconds) * time.Second)
		}
		midnight := shown(next.Start).Truncate(24 * time.Hour)
		assert.Equal(t, midnight.Weekday(), time.Sunday)
		found := midnight.Add(-15 * time.Hour)
		for shown(found).Before(midnight.Add(window.Start)) {
			found = found.Add(time.Minute)
		}
		assert.Assert(t, found.Equal(next.Start), "%v, found %v", next.Start, found)
		assert.Assert(t, next.End.After(from) && next.Start.Before(from.Add(8*24*time.Hour)))
	})
}

// Guards against accepting a window that overlaps one of another domain, be it in a few weeks of the year only, and
// against refusing windows that do not.
func TestCheckWindow(t *testing.T) {
	add := func(change func(w *configurator.Window)) configurator.Window {
		w := cleaning
		w.Name, w.FailureDomain, w.Start = "south", "b", 7*time.Hour
		change(&w)
		return w
	}
	tests := []struct {
		name   string
		window configurator.Window
		kind   drainer.Kind
		ok     bool
	}{
		{"later", add(func(*configurator.Window) {}), 0, true},
		{"other day", add(func(w *configurator.Window) { w.Weekday, w.Start = time.Tuesday, 2*time.Hour }), 0, true},
		{"inside", add(func(w *configurator.Window) { w.Start = 3 * time.Hour }), drainer.Overlap, false},
		// In the night in which 02:00 is skipped, the window north runs from 03:00 to 06:00.
		{"moves start inside", add(func(w *configurator.Window) { w.Start = 6*time.Hour + 29*time.Minute }),
			drainer.Overlap, false},
		{"moves start at the end", add(func(w *configurator.Window) { w.Start = 6*time.Hour + 30*time.Minute }), 0, true},
		{"same domain", add(func(w *configurator.Window) { w.FailureDomain, w.Start = "a", 3*time.Hour }), 0, true},
		{"replaces", add(func(w *configurator.Window) { w.Name, w.Start = "north", 3*time.Hour }), 0, true},
		// The clocks of New York change some weeks before those of Rome, so that 22:00 there is 03:00 in Rome instead of
		// 04:00.
		{"between two clock changes", add(func(w *configurator.Window) {
			w.Weekday, w.Start, w.Length = time.Monday, 2*time.Hour, 90*time.Minute
		}), drainer.Overlap, false},
		{"before both", add(func(w *configurator.Window) {
			w.Weekday, w.Start, w.Length = time.Monday, time.Hour, 90*time.Minute
		}), 0, true},
		{"unknown zone", add(func(w *configurator.Window) { w.TimeZone = "Europe/Trnava" }), drainer.Invalid, false},
		{"start", add(func(w *configurator.Window) { w.Start = 24 * time.Hour }), drainer.Invalid, false},
		{"length", add(func(w *configurator.Window) { w.Length = 0 }), drainer.Invalid, false},
		{"weekday", add(func(w *configurator.Window) { w.Weekday = 7 }), drainer.Invalid, false},
	}
	west := configurator.Window{Name: "west", FailureDomain: "c", Weekday: time.Sunday, Start: 22 * time.Hour,
		Length: time.Hour, TimeZone: "America/New_York"}
	existing := map[string]configurator.Window{"north": cleaning, "west": west}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := drainer.CheckWindow(start, time.LoadLocation, existing, test.window, 30*time.Minute)
			if test.ok {
				assert.NilError(t, err)
				return
			}
			assertKind(t, err, test.kind)
		})
	}
}

// Guards against a window with an unknown time zone that stops the others or is reported again and again.
func TestUnreadableWindow(t *testing.T) {
	p := drainer.New(pace, time.LoadLocation)
	broken := cleaning
	broken.TimeZone = "Europe/Trnava"
	both := map[string]configurator.Window{"broken": broken, "north": cleaning}
	assert.DeepEqual(t, kinds(p.Step(start, status(10, 16), both)),
		[]drainer.ActionKind{drainer.WindowZoneUnknown, drainer.TakeOut, drainer.WindowLate})
	assert.Equal(t, len(p.Step(start, status(10, 16), both)), 0)
}
