package connector

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"rhubarbtrack.example/core/allocator"
	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/resolver"
)

var upstream = identifier.Incarnation{ID: "u", Start: 1}

func seedHeartbeat(f *testing.F) []byte {
	loads, err := EncodeLoads([]LoadReport{{Upstream: upstream.Tag(), Load: selector.Load{Running: 1, Slots: 6, Slowdown: 1.5}, Age: time.Second}},
		map[identifier.Incarnation]time.Duration{upstream: time.Second})
	if err != nil {
		f.Fatal(err)
	}
	data, err := encodeHeartbeat(0, Heartbeat{
		Term: 3, Valid: true, Revision: 9, Remaining: time.Second, Index: 1, Hosts: 4, Loads: loads, HasCopy: true,
		Copy:    follower.Change{Full: true, Revision: 7, Puts: []registrar.Upstream{{Incarnation: upstream, Service: "s", Address: "127.0.0.1:1", Slots: 6}}},
		Tables:  []TableChange{{Service: "s", Full: true, Rows: allocator.RoutingTable{{From: 0, To: 65535, Owner: upstream}}}},
		Doubted: []identifier.Tag{upstream.Tag()}, Addresses: []string{"127.0.0.1:2"},
		Signatures: []detector.Report{{Signature: 5, Status: detector.Blocked, Version: 1 << 32, Crashes: 3, Upstream: "u/1"}},
	}, true)
	if err != nil {
		f.Fatal(err)
	}
	return data
}

// FuzzHeartbeat checks that no message makes a host panic when it decodes it and applies its tables.
func FuzzHeartbeat(f *testing.F) {
	f.Add(seedHeartbeat(f), uint16(5))
	f.Fuzz(func(_ *testing.T, data []byte, key uint16) {
		heartbeat, err := decodeHeartbeat(0, data)
		if err != nil {
			return
		}
		_, _, _ = heartbeat.Loads.Decode()
		tables := resolver.New()
		for _, change := range heartbeat.Tables {
			tables.Replace(change.Service, change.Rows)
			tables.Overlay(change.Service, change.Rows)
			tables.Find(change.Service, key)
		}
	})
}

// FuzzReport checks that no message makes the controller panic when it decodes it, and that measured times stay within
// what a host can measure between two reports.
func FuzzReport(f *testing.F) {
	data, err := encodeReport(Report{
		Host: "h", Address: "127.0.0.1:1", Keys: map[string][]uint16{"s": {1, 2}},
		Timings: []Timing{{Upstream: upstream.Tag(), Count: 2, Sum: time.Second}},
		Loads:   []LoadReport{{Upstream: upstream.Tag(), Load: selector.Load{Running: 1, Slots: 6}}}, Refused: []identifier.Tag{upstream.Tag()},
		Interruptions: []Interruption{{Signature: 5, Upstream: upstream, SentAge: 2 * time.Second, EndedAge: time.Second}},
		Completed:     []uint64{6},
	}, true)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		report, err := decodeReport(data)
		if err != nil {
			return
		}
		for _, timing := range report.Timings {
			if timing.Count <= 0 || timing.Count > maxTimingCount || timing.Sum < 0 || timing.Sum > maxTimingSum {
				t.Fatalf("timing %+v was accepted", timing)
			}
		}
	})
}

// FuzzAnnouncement checks that no message makes the handler of announcements panic.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte{0x85, 1, 2, 3, 0x61, 'h', 0x61, 'a'})
	handler := AnnouncementHandler(func(Announcement) {})
	f.Fuzz(func(_ *testing.T, data []byte) {
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, AnnouncePath, bytes.NewReader(data)))
	})
}
