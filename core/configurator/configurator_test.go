package configurator_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/encoder"
)

func testService() configurator.Service {
	return configurator.Service{
		Name: "shelf-marks", Keyed: true, KeyHeader: "Shelf-Mark", SliceCount: 320,
		Rules: []configurator.Rule{{Method: "POST", Path: "/print/**", Class: configurator.NeverRepeat}},
	}
}

func testUpstream() configurator.Upstream {
	return configurator.Upstream{
		Name: "p1", Service: "shelf-marks", FailureDomain: "east", Address: "10.0.0.1:80", Slots: 6, Connections: 130,
	}
}

func testWindow() configurator.Window {
	return configurator.Window{
		Name: "east-weekly", FailureDomain: "east", Weekday: time.Sunday, Start: 3 * time.Hour, Length: time.Hour,
		TimeZone: "Europe/Bratislava",
	}
}

func merge(t *testing.T, snapshot *configurator.Snapshot, version uint64, value configurator.Value) {
	t.Helper()
	body, err := encoder.Encode(value, configurator.Origin{Writer: "ana", Operation: "op"})
	assert.NilError(t, err)
	changed, err := snapshot.Merge(configurator.Object{Name: value.ObjectName(), Version: version, Body: body},
		encoder.Decode)
	assert.NilError(t, err)
	assert.Assert(t, changed)
}

func testSnapshot(t *testing.T) *configurator.Snapshot {
	t.Helper()
	snapshot := configurator.New()
	merge(t, snapshot, 1, testService())
	merge(t, snapshot, 2, configurator.FailureDomain{Name: "east"})
	merge(t, snapshot, 3, testUpstream())
	merge(t, snapshot, 4, testWindow())
	return snapshot
}

// Guards against a stale read, a late watch event or a lagging peer that reverts an accepted change or a deletion.
func TestMergeKeepsNewest(t *testing.T) {
	snapshot := testSnapshot(t)
	drained := testUpstream()
	drained.Drained = true
	merge(t, snapshot, 9, drained)
	old, err := encoder.Encode(testUpstream(), configurator.Origin{})
	assert.NilError(t, err)
	name := testUpstream().ObjectName()
	stale := []configurator.Object{
		{Name: name, Version: 8, Body: old},
		{Name: name, Version: 9, Body: old},
		{Name: name, Version: 7, Deleted: true},
		{Name: name, Version: 5, Body: []byte("{")},
	}
	for _, object := range stale {
		changed, err := snapshot.Merge(object, encoder.Decode)
		assert.NilError(t, err)
		assert.Assert(t, !changed)
	}
	assert.DeepEqual(t, snapshot.Upstreams["shelf-marks.p1"], drained)
	changed, err := snapshot.Merge(configurator.Object{Name: name, Version: 11, Deleted: true}, encoder.Decode)
	assert.NilError(t, err)
	assert.Assert(t, changed)
	changed, err = snapshot.Merge(configurator.Object{Name: name, Version: 10, Body: old}, encoder.Decode)
	assert.NilError(t, err)
	assert.Assert(t, !changed)
	_, found := snapshot.Lookup(name)
	assert.Assert(t, !found)
	assert.Equal(t, snapshot.Revision, uint64(11))
}

// Guards against hosts that end with different configurations because they received the same versions in different
// orders.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var objects []configurator.Object
		for version := range uint64(rapid.IntRange(1, 12).Draw(t, "versions")) {
			upstream := testUpstream()
			upstream.Slots = int(version) + 1
			body, err := encoder.Encode(upstream, configurator.Origin{})
			assert.NilError(t, err)
			deleted := rapid.Bool().Draw(t, "deleted")
			name := upstream.ObjectName()
			objects = append(objects, configurator.Object{Name: name, Version: version + 1, Body: body, Deleted: deleted})
		}
		ordered, shuffled := configurator.New(), configurator.New()
		for _, object := range objects {
			_, err := ordered.Merge(object, encoder.Decode)
			assert.NilError(t, err)
		}
		for _, object := range rapid.Permutation(objects).Draw(t, "order") {
			_, err := shuffled.Merge(object, encoder.Decode)
			assert.NilError(t, err)
		}
		assert.DeepEqual(t, ordered, shuffled)
	})
}

// Guards against a malformed or invalid object that changes the snapshot or whose error does not name the invalid
// field.
func TestMergeRejectsBadObject(t *testing.T) {
	cases := []struct {
		name, object, body string
		kind               configurator.Kind
		field              string
	}{
		{"unknown prefix", "table/x/1", `{}`, configurator.Misnamed, ""},
		{"empty name", "config/service/", `{}`, configurator.Misnamed, ""},
		{"malformed JSON", "config/failure-domain/west", `{`, configurator.Unreadable, ""},
		{"unknown field", "config/failure-domain/west", `{"name":"west","out":true}`, configurator.Unreadable, "out"},
		{"wrong type", "config/failure-domain/west", `{"name":1}`, configurator.Unreadable, "name"},
		{"other name", "config/failure-domain/west", `{"name":"east"}`, configurator.Misnamed, "name"},
		{"bad value", "config/failure-domain/West", `{"name":"West"}`, configurator.Invalid, "name"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			snapshot := testSnapshot(t)
			before := snapshot.Clone()
			object := configurator.Object{Name: test.object, Version: 50, Body: []byte(test.body)}
			changed, err := snapshot.Merge(object, encoder.Decode)
			assert.Assert(t, !changed)
			var typed *configurator.Error
			assert.Assert(t, asError(err, &typed))
			assert.Equal(t, typed.Kind, test.kind)
			assert.Equal(t, fieldNames(err), test.field)
			assert.DeepEqual(t, snapshot, before)
		})
	}
}

// Guards against accepting an invalid field, and against an error that names the wrong field or not all invalid fields.
func TestValidate(t *testing.T) {
	cases := []struct {
		name   string
		value  configurator.Value
		fields string
	}{
		{"service", testService(), ""},
		{"upstream", testUpstream(), ""},
		{"window", testWindow(), ""},
		{"name with dot", with(testService(), func(s *configurator.Service) { s.Name = "a.b" }), "name"},
		{"header and segment", with(testService(), func(s *configurator.Service) { s.KeySegment = 1 }), "key-segment"},
		{"header", with(testService(), func(s *configurator.Service) { s.KeyHeader = "a b" }), "key-header"},
		{"no slices", with(testService(), func(s *configurator.Service) { s.SliceCount = 0 }), "slice-count"},
		{"key of unkeyed service", with(testService(), func(s *configurator.Service) { s.Keyed = false }),
			"key-header,slice-count"},
		{"rule", with(testService(), func(s *configurator.Service) {
			s.Rules = []configurator.Rule{{Path: "/"}, {Method: "post", Path: "a/[", Class: 7}}
		}), "rules[1].method,rules[1].path,rules[1].path,rules[1].class"},
		{"rule with inner **", with(testService(), func(s *configurator.Service) {
			s.Rules = []configurator.Rule{{Path: "/**/x"}}
		}), "rules[0].path"},
		{"rule with long path", with(testService(), func(s *configurator.Service) {
			s.Rules = []configurator.Rule{{Path: "/" + strings.Repeat("a", 256)}}
		}), "rules[0].path"},
		{"address", with(testUpstream(), func(u *configurator.Upstream) { u.Address = "host:80" }), "address"},
		{"port", with(testUpstream(), func(u *configurator.Upstream) { u.Address = "10.0.0.1:0" }), "address"},
		{"slots", with(testUpstream(), func(u *configurator.Upstream) { u.Slots = 0 }), "slots"},
		{"connections", with(testUpstream(), func(u *configurator.Upstream) { u.Connections = 5 }), "connections"},
		{"references", with(testUpstream(), func(u *configurator.Upstream) { u.Service, u.FailureDomain = "", "-" }),
			"service,failure-domain"},
		{"domain", configurator.FailureDomain{Name: strings.Repeat("a", 64)}, "name"},
		{"weekday", with(testWindow(), func(w *configurator.Window) { w.Weekday = 7 }), "weekday"},
		{"start", with(testWindow(), func(w *configurator.Window) { w.Start = 24 * time.Hour }), "start"},
		{"length", with(testWindow(), func(w *configurator.Window) { w.Length = 0 }), "length-minutes"},
		{"length too long", with(testWindow(), func(w *configurator.Window) { w.Length = 25 * time.Hour }), "length-minutes"},
		{"zone of the host", with(testWindow(), func(w *configurator.Window) { w.TimeZone = "Local" }), "time-zone"},
		{"unknown zone", with(testWindow(), func(w *configurator.Window) { w.TimeZone = "Europe/Nowhere" }), "time-zone"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, fieldNames(test.value.Validate()), test.fields)
		})
	}
}

// Guards against accepting a change that causes a dangling reference, changes the slices of a stored table or overlaps
// another window.
func TestCheck(t *testing.T) {
	now := time.Date(2026, time.January, 7, 12, 0, 0, 0, time.UTC)
	cases := []struct {
		name   string
		value  configurator.Value
		fields string
	}{
		{"unchanged service", testService(), ""},
		{"slice count", with(testService(), func(s *configurator.Service) { s.SliceCount++ }), "slice-count"},
		{"references", with(testUpstream(), func(u *configurator.Upstream) { u.Service, u.FailureDomain = "x", "y" }),
			"service,failure-domain"},
		{"same window", testWindow(), ""},
		{"window of unknown domain", with(testWindow(), func(w *configurator.Window) { w.FailureDomain = "x" }),
			"failure-domain"},
		{"adjacent", with(testWindow(), func(w *configurator.Window) { w.Name, w.Start = "w", 4*time.Hour }), ""},
		{"overlapping", with(testWindow(), func(w *configurator.Window) {
			w.Name, w.Start = "w", 3*time.Hour+59*time.Minute
		}), "start"},
		{"overlapping across the end of the week", with(testWindow(), func(w *configurator.Window) {
			w.Name, w.Weekday, w.Start, w.Length = "w", time.Saturday, 23*time.Hour, 5*time.Hour
		}), "start"},
		// 02:00 in Reykjavik is 03:00 in Bratislava in winter and 04:00 in summer.
		{"overlapping in winter only", with(testWindow(), func(w *configurator.Window) {
			w.Name, w.Start, w.TimeZone = "w", 2*time.Hour, "Atlantic/Reykjavik"
		}), "start"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, fieldNames(testSnapshot(t).Check(test.value, now)), test.fields)
		})
	}
}

// Guards against deleting an object to which another one refers.
func TestCheckDelete(t *testing.T) {
	snapshot := testSnapshot(t)
	for _, name := range []string{"config/service/shelf-marks", "config/failure-domain/east"} {
		assert.Equal(t, fieldNames(snapshot.CheckDelete(name)), "name")
	}
	assert.NilError(t, snapshot.CheckDelete(testUpstream().ObjectName()))
}
