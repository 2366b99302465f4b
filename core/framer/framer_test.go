package framer_test

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbtrack.example/core/controller"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/relayer"
	"rhubarbtrack.example/core/slicer"
	"rhubarbtrack.example/core/witness"
)

// equal compares by content; an empty list or map and none have the same encoding.
func equal(t *rapid.T, got, want any) {
	if !reflect.DeepEqual(normal(reflect.ValueOf(got)), normal(reflect.ValueOf(want))) {
		t.Fatalf("got  %+v\nwant %+v", got, want)
	}
}

// normal returns the value as nested lists without empty ones.
func normal(value reflect.Value) any {
	switch value.Kind() {
	case reflect.Pointer:
		if value.IsNil() {
			return nil
		}
		return normal(value.Elem())
	case reflect.Struct:
		var fields []any
		for i := range value.NumField() {
			fields = append(fields, normal(value.Field(i)))
		}
		return fields
	case reflect.Slice:
		var list []any
		for i := range value.Len() {
			list = append(list, normal(value.Index(i)))
		}
		return list
	case reflect.Map:
		entries := map[any]any{}
		for _, key := range value.MapKeys() {
			entries[key.Interface()] = normal(value.MapIndex(key))
		}
		return entries
	default:
		return value.Interface()
	}
}

// bodies draws every field of a body, so that a field which a codec forgets shows as a difference.
var bodies = []func(t *rapid.T, m *framer.Message){
	func(t *rapid.T, m *framer.Message) {
		m.Confirm = rapid.Ptr(rapid.Make[witness.Request](), false).Draw(t, "confirm")
		m.Confirm.Service = m.Service
	},
	func(t *rapid.T, m *framer.Message) {
		m.Confirmed = rapid.Ptr(rapid.Make[witness.Reply](), false).Draw(t, "confirmed")
		m.Confirmed.Service = m.Service
	},
	func(t *rapid.T, m *framer.Message) {
		m.Heartbeat = rapid.Ptr(rapid.Make[controller.Heartbeat](), false).Draw(t, "heartbeat")
	},
	func(t *rapid.T, m *framer.Message) {
		m.Leases = rapid.Ptr(rapid.Make[controller.SendLeases](), false).Draw(t, "leases")
		m.Leases.Service = m.Service
	},
	func(t *rapid.T, m *framer.Message) {
		m.StopAnswer = rapid.Ptr(rapid.Make[controller.StopAnswer](), false).Draw(t, "stop answer")
	},
	func(t *rapid.T, m *framer.Message) {
		m.LeaseReturned = rapid.Ptr(rapid.Make[controller.LeaseReturned](), false).Draw(t, "lease returned")
	},
	func(t *rapid.T, m *framer.Message) {
		count := rapid.IntRange(0, 1<<30)
		m.Load = &framer.LoadReport{
			Upstream: rapid.String().Draw(t, "upstream"),
			Limit:    count.Draw(t, "limit"),
			InFlight: count.Draw(t, "in-flight"),
			Cold:     rapid.Bool().Draw(t, "cold"),
			Samples:  count.Draw(t, "samples"),
			Mean:     time.Duration(count.Draw(t, "mean")),
			Median:   time.Duration(count.Draw(t, "median")),
			Slices:   rapid.SliceOfN(rapid.Make[framer.SliceRate](), 0, 8).Draw(t, "slices"),
			Keys: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) framer.KeyRate {
				return framer.KeyRate{Key: rapid.StringN(0, 20, 100).Draw(t, "key"), MilliRPS: rapid.Uint64().Draw(t, "rate")}
			}), 0, framer.MaxLoadKeys).Draw(t, "keys"),
		}
	},
}

func drawMessage(t *rapid.T) framer.Message {
	message := framer.Message{Service: rapid.String().Draw(t, "service")}
	rapid.SampledFrom(bodies).Draw(t, "body")(t, &message)
	return message
}

// Guards against fields of control messages that a codec forgets.
func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := drawMessage(t)
		data, err := framer.EncodeMessage(message)
		assert.NilError(t, err)
		decoded, err := framer.DecodeMessage(data)
		assert.NilError(t, err)
		equal(t, decoded, message)
	})
}

func drawTable(t *rapid.T) slicer.Table {
	table := rapid.Make[slicer.Table]().Draw(t, "table")
	hot := map[string]slicer.Slice{}
	for key, slice := range table.Hot {
		slice.HotKey = key
		hot[key] = slice
	}
	table.Hot = hot
	return table
}

// Guards against fields that a codec forgets: without LastID the ID of a removed slice would be given again.
func TestItemRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := drawTable(t)
		stamp := rapid.Make[controller.Stamp]().Draw(t, "stamp")
		data, err := framer.EncodeStoredTable(stamp, table)
		assert.NilError(t, err)
		readStamp, readTable, err := framer.DecodeStoredTable(data)
		assert.NilError(t, err)
		equal(t, readStamp, stamp)
		equal(t, readTable, table)

		delta := rapid.Make[slicer.Delta]().Draw(t, "delta")
		data, err = framer.EncodeTableDelta(delta)
		assert.NilError(t, err)
		readDelta, err := framer.DecodeTableDelta(data)
		assert.NilError(t, err)
		equal(t, readDelta, delta)

		record := rapid.Make[witness.Record]().Draw(t, "record")
		data, err = framer.EncodeRecord(record)
		assert.NilError(t, err)
		readRecord, err := framer.DecodeRecord(data)
		assert.NilError(t, err)
		equal(t, readRecord, record)

		beacon := rapid.Make[framer.LeaderHeartbeat]().Draw(t, "beacon")
		beacon.Seq = 0 // travels as the version of the item
		data, err = framer.EncodeLeaderHeartbeat(beacon)
		assert.NilError(t, err)
		readBeacon, err := framer.DecodeLeaderHeartbeat(beacon.Service, data)
		assert.NilError(t, err)
		equal(t, readBeacon, beacon)

		member := rapid.Make[framer.Member]().Draw(t, "member")
		data, err = framer.EncodeMember(member)
		assert.NilError(t, err)
		readMember, err := framer.DecodeMember(data)
		assert.NilError(t, err)
		equal(t, readMember, member)
	})
}

// Guards against fields of relay frames that a codec forgets.
func TestFrameRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frame := rapid.Make[relayer.Frame]().Draw(t, "frame")
		data, err := framer.EncodeFrame(frame)
		assert.NilError(t, err)
		decoded, err := framer.DecodeFrame(data)
		assert.NilError(t, err)
		equal(t, decoded, frame)
	})
}

// Guards against load reports that exceed the control budget: one with too much of everything is cut, keeping the heaviest
// keys.
func TestLoadReportIsBounded(t *testing.T) {
	report := framer.LoadReport{Upstream: "marks.u1", Slices: make([]framer.SliceRate, 5000)}
	for range 100 {
		report.Keys = append(report.Keys, framer.KeyRate{Key: strings.Repeat("k", 1024), MilliRPS: 1 << 40})
	}
	data, err := framer.EncodeMessage(framer.Message{Service: "marks", Load: &report})
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 20<<10, "%d bytes", len(data))
	decoded, err := framer.DecodeMessage(data)
	assert.NilError(t, err)
	assert.Equal(t, len(decoded.Load.Slices), framer.MaxLoadSlices)
	assert.Equal(t, len(decoded.Load.Keys), 4)
}

// FuzzDecode guards against bytes of a peer that make a decoder panic, and against a message that changes when it is
// passed on.
func FuzzDecode(f *testing.F) {
	table := slicer.New("marks", 2)
	stored, err := framer.EncodeStoredTable(controller.Stamp{Host: "host-1"}, table)
	assert.NilError(f, err)
	f.Add(stored)
	report, err := framer.EncodeMessage(framer.Message{Service: "marks", Load: &framer.LoadReport{
		Upstream: "marks.u1", Slices: []framer.SliceRate{{Slice: 1, MilliRPS: 5}}, Keys: []framer.KeyRate{{Key: "k", MilliRPS: 5}},
	}})
	assert.NilError(f, err)
	f.Add(report)
	message, err := framer.EncodeMessage(framer.Message{Service: "marks", Heartbeat: &controller.Heartbeat{Host: "host-1"}})
	assert.NilError(f, err)
	f.Add(message)
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = framer.DecodeFrame(data)
		_, _ = framer.DecodeTable(data)
		_, _ = framer.DecodeTableDelta(data)
		_, _, _ = framer.DecodeStoredTable(data)
		_, _ = framer.DecodeRecord(data)
		_, _ = framer.DecodeMember(data)
		_, _ = framer.DecodeLeaderHeartbeat("marks", data)
		decoded, err := framer.DecodeMessage(data)
		if err != nil {
			return
		}
		again, err := framer.EncodeMessage(decoded)
		assert.NilError(t, err)
		read, err := framer.DecodeMessage(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, read, decoded)
	})
}
