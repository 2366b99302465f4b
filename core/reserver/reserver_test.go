package reserver_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbtrack.example/core/reserver"
)

const (
	limit = 4 << 20
	large = 128 << 10
	small = 300
)

// TestSlowUploads plays upstreams that take three seconds for each upload, and checks that the memory is bounded, that small
// requests get room beside them, and that refused uploads have waited for a bounded time.
func TestSlowUploads(t *testing.T) {
	const hold = 3 * time.Second
	tests := []struct {
		name                 string
		uploads              float64 // per second
		minGranted, maxShare float64 // granted uploads of all, used bytes of the limit
	}{
		{"no pressure", 5, 1, 0.75},
		{"at the limit", 8, 0.9, 0.76},
		{"five times the limit", 40, 0.15, 0.76},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := reserver.New(limit)
			type held struct {
				size int64
				end  time.Duration
			}
			var holds []held
			began := map[reserver.Ticket]time.Duration{}
			granted, asked, peak, longest := 0, 0, int64(0), time.Duration(0)
			grant := func(now time.Duration, tickets []reserver.Ticket) {
				for _, ticket := range tickets {
					longest = max(longest, now-began[ticket])
					holds = append(holds, held{large, now + hold})
					granted++
				}
			}
			next := time.Duration(0)
			for now := time.Duration(0); now < 30*time.Second; now += 10 * time.Millisecond {
				current := holds
				holds = nil
				for _, h := range current {
					if h.end <= now {
						grant(now, r.Release(h.size))
					} else {
						holds = append(holds, h)
					}
				}
				_, more := r.Expire(now)
				grant(now, more)
				// A small request is answered at once.
				_, decision := r.Reserve(now, small)
				assert.Equal(t, decision, reserver.Granted)
				grant(now, r.Release(small))
				for ; next <= now; next += time.Duration(float64(time.Second) / tt.uploads) {
					asked++
					ticket, decision := r.Reserve(now, large)
					switch decision {
					case reserver.Granted:
						granted++
						holds = append(holds, held{large, now + hold})
					case reserver.Waiting:
						began[ticket] = now
					}
				}
				peak = max(peak, r.Used())
			}
			t.Logf("granted %d of %d, peak %d of %d bytes, longest wait %v", granted, asked, peak, limit, longest)
			assert.Assert(t, float64(granted) >= tt.minGranted*float64(asked))
			assert.Assert(t, float64(peak) <= tt.maxShare*limit)
			assert.Assert(t, longest <= reserver.MaxWait)
		})
	}
}

// TestResponsesCount checks that responses for slow callers take the room of requests and are never refused themselves.
func TestResponsesCount(t *testing.T) {
	r := reserver.New(limit)
	r.Hold(2 * limit)
	_, decision := r.Reserve(0, small)
	assert.Equal(t, decision, reserver.Waiting)
	assert.DeepEqual(t, r.Release(2*limit), []reserver.Ticket{1})
	assert.Equal(t, r.Used(), int64(small))
}

// TestCallerLeavesWhileItWaits checks that the bytes of a caller that has left go to the next one, and that nothing is counted for it.
func TestCallerLeavesWhileItWaits(t *testing.T) {
	r := reserver.New(limit)
	r.Hold(limit - large)
	first, decision := r.Reserve(0, 2*large)
	assert.Equal(t, decision, reserver.Waiting)
	second, decision := r.Reserve(0, small)
	assert.Equal(t, decision, reserver.Granted, "small bodies overtake large ones")
	assert.Equal(t, second, reserver.Ticket(0))
	assert.Equal(t, len(r.Cancel(first)), 0)
	assert.Equal(t, len(r.Cancel(first)), 0)
	assert.Equal(t, len(r.Release(small)), 0)
	assert.Equal(t, r.Used(), int64(limit-large))
	assert.Equal(t, r.Waiting(), 0)
}

// TestNoLimit checks that a host without a limit grants everything.
func TestNoLimit(t *testing.T) {
	r := reserver.New(0)
	for range 1000 {
		_, decision := r.Reserve(0, large)
		assert.Equal(t, decision, reserver.Granted)
	}
}

// TestBytesAddUp draws histories of reservations, and checks that requests get no more than the limit and that all bytes come back.
func TestBytesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := reserver.New(limit)
		sizes := map[reserver.Ticket]int64{}
		var holds []int64
		now := time.Duration(0)
		grant := func(tickets []reserver.Ticket) {
			for _, ticket := range tickets {
				size, waits := sizes[ticket]
				if !waits {
					t.Fatalf("ticket %d is granted twice or after it was removed", ticket)
				}
				delete(sizes, ticket)
				holds = append(holds, size)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				size := rapid.Int64Range(1, 2*limit).Draw(t, "size")
				ticket, decision := r.Reserve(now, size)
				switch decision {
				case reserver.Granted:
					holds = append(holds, size)
				case reserver.Waiting:
					sizes[ticket] = size
				}
			case 1:
				if len(holds) > 0 {
					size := holds[0]
					holds = holds[1:]
					grant(r.Release(size))
				}
			case 2:
				refused, granted := r.Expire(now)
				for _, ticket := range refused {
					delete(sizes, ticket)
				}
				grant(granted)
			case 3:
				for ticket := range sizes {
					delete(sizes, ticket)
					grant(r.Cancel(ticket))
					break
				}
			}
			if r.Used() > limit && len(holds) > 1 {
				t.Fatalf("%d bytes are held by %d requests", r.Used(), len(holds))
			}
			if r.Waiting() != len(sizes) {
				t.Fatalf("%d requests wait, want %d", r.Waiting(), len(sizes))
			}
		}
		for len(holds) > 0 {
			size := holds[0]
			holds = holds[1:]
			grant(r.Release(size))
		}
		if r.Used() != 0 || r.Waiting() != 0 {
			t.Fatalf("%d bytes and %d waiting requests are left", r.Used(), r.Waiting())
		}
	})
}
