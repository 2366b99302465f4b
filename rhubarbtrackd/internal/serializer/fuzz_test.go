package serializer_test

import (
	"testing"

	"rhubarbtrack.example/rhubarbtrackd/internal/serializer"
)

// FuzzTable checks that no stored table makes the host panic, and that an accepted one covers all keys.
func FuzzTable(f *testing.F) {
	f.Add([]byte(`{"term":2,"version":3,"ranges":[[0,9,"a"],[10,65535,"b","a"]]}`))
	f.Add([]byte(`{"ranges":[[0,65535,"a"],[0]]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		table, err := serializer.DecodeTable(data)
		if err != nil {
			return
		}
		next := 0
		for _, r := range table.Ranges {
			if int(r.From) != next {
				t.Fatalf("range %+v does not begin at key %d", r, next)
			}
			next = int(r.To) + 1
		}
	})
}

// FuzzRecord checks that no stored lease record makes the host panic.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"holder":"h","address":"a","term":1,"beat":2}`))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = serializer.DecodeRecord(1, data) })
}
