package contender_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/contender"
	"rhubarbtrack.example/core/internal/sequencer"
)

const step = 10 * time.Millisecond

// store is a model of the store. Writes are conditional, and each successful one increments the revision.
type store struct {
	record   contender.Record
	revision int64
}

func (s *store) write(record contender.Record) (contender.Record, bool) {
	if record.Revision != s.record.Revision {
		return s.record, false
	}
	s.revision++
	record.Revision = s.revision
	s.record = record
	return record, true
}

type host struct {
	contender *contender.Contender
	stopped   bool
	cutOff    bool          // the store is unreachable
	suspended time.Duration // until this time
}

// world is a set of hosts that compete for the lease.
type world struct {
	sequencer.Queue
	random        *rand.Rand
	store         store
	hosts         []*host
	heartbeats    bool // the holder sends heartbeats
	nextHeartbeat time.Duration
	lostShare     float64 // share of writes that are applied although the response is lost
	lateShare     float64 // share of writes that are applied seconds later, without a response
}

func newWorld(seed uint64, count int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, seed))}
	for range count {
		w.add()
	}
	return w
}

func (w *world) add() {
	options := contender.Options{
		Name: fmt.Sprintf("host-%d", len(w.hosts)), Delay: time.Duration(w.random.IntN(150)) * time.Millisecond,
	}
	w.hosts = append(w.hosts, &host{contender: contender.New(w.Now, options)})
}

func (w *world) feed(h *host, e contender.Event) {
	if h.stopped {
		return
	}
	if w.Now < h.suspended {
		w.After(h.suspended-w.Now, func() { w.feed(h, e) })
		return
	}
	for _, action := range h.contender.Step(w.Now, e) {
		switch action := action.(type) {
		case contender.Read:
			w.read(h)
		case contender.Write:
			w.write(h, action.Record)
		case contender.Lead:
			if w.heartbeats {
				w.announce(h)
			}
		}
	}
}

var errNoResponse = errors.New("no response")

func (w *world) read(h *host) {
	if h.cutOff {
		w.After(500*time.Millisecond, func() { w.feed(h, contender.ReadResult{Err: errNoResponse}) })
		return
	}
	w.After(step, func() {
		record := w.store.record
		w.After(step, func() { w.feed(h, contender.ReadResult{Record: record}) })
	})
}

func (w *world) write(h *host, record contender.Record) {
	sent := w.Now
	noResponse := func() {
		w.After(500*time.Millisecond, func() {
			w.feed(h, contender.WriteResult{SentAt: sent, Record: record, Err: errNoResponse})
		})
	}
	switch draw := w.random.Float64(); {
	case h.cutOff:
		noResponse()
	case draw < w.lateShare:
		w.After(time.Duration(1+w.random.IntN(6))*time.Second, func() { w.store.write(record) })
		noResponse()
	case draw < w.lateShare+w.lostShare:
		w.After(step, func() { w.store.write(record) })
		noResponse()
	default:
		w.After(step, func() {
			result, ok := w.store.write(record)
			w.After(step, func() { w.feed(h, contender.WriteResult{SentAt: sent, Record: result, Conflict: !ok}) })
		})
	}
}

// run advances the time by d and fails when two hosts have a valid lease at the same time.
func (w *world) run(t *testing.T, d time.Duration) {
	t.Helper()
	for end := w.Now + d; w.Now < end; {
		w.Advance(step)
		for _, h := range w.hosts {
			if w.Now >= h.suspended {
				w.feed(h, contender.Tick{})
			}
		}
		if w.heartbeats && w.Now >= w.nextHeartbeat {
			w.nextHeartbeat = w.Now + 200*time.Millisecond
			w.sendHeartbeats()
		}
		assert.Assert(t, len(w.acting()) <= 1, "%v: several hosts have a valid lease: %v", w.Now, w.acting())
	}
}

// sendHeartbeats sends a heartbeat from each host with a valid lease to all others, with a random delay.
func (w *world) sendHeartbeats() {
	for _, h := range w.hosts {
		if h.stopped || w.Now < h.suspended || !h.contender.Valid(w.Now) {
			continue
		}
		lease := h.contender.LeaseStatus(w.Now)
		for _, other := range w.hosts {
			if other != h {
				w.After(time.Duration(1+w.random.IntN(5))*step, func() {
					w.feed(other, contender.HeartbeatReceived{Lease: lease})
				})
			}
		}
	}
}

// announce sends an announcement of the holder to about two thirds of the other hosts, with a random delay.
func (w *world) announce(h *host) {
	event := contender.AnnouncementReceived{
		Lease: h.contender.LeaseStatus(w.Now), Holder: h.contender.Name(), Address: "address",
	}
	for _, other := range w.hosts {
		if other != h && w.random.IntN(3) > 0 {
			w.After(time.Duration(1+w.random.IntN(30))*step, func() { w.feed(other, event) })
		}
	}
}

// acting returns the hosts with a valid lease. It includes suspended hosts, which may act as soon as they resume.
func (w *world) acting() []int {
	var acting []int
	for i, h := range w.hosts {
		if !h.stopped && h.contender.Valid(w.Now) {
			acting = append(acting, i)
		}
	}
	return acting
}

// TestOneHostActs checks that two hosts never have a valid lease at the same time, while hosts stop, are suspended,
// resign or lose the store, and while writes are applied late or without a response.
func TestOneHostActs(t *testing.T) {
	for seed := range uint64(80) {
		w := newWorld(seed, 5)
		w.heartbeats = seed%2 == 1
		w.run(t, 2*time.Second)
		for range 30 {
			h := w.hosts[w.random.IntN(len(w.hosts))]
			if acting := w.acting(); len(acting) == 1 && w.random.IntN(2) == 0 {
				h = w.hosts[acting[0]]
			}
			switch w.random.IntN(6) {
			case 0:
				h.stopped = true
				w.add()
			case 1:
				h.cutOff = !h.cutOff
			case 2:
				h.suspended = w.Now + time.Duration(w.random.IntN(5000))*time.Millisecond
			case 3:
				w.feed(h, contender.Resign{})
				w.add()
			case 4:
				w.lostShare, w.lateShare = 0.3, 0
			case 5:
				w.lostShare, w.lateShare = 0, 0.3
			}
			w.run(t, time.Duration(w.random.IntN(3000))*time.Millisecond)
		}
	}
}

func TestTakeover(t *testing.T) {
	tests := []struct {
		name   string
		fail   func(w *world, h *host)
		within time.Duration
	}{
		{"killed", func(_ *world, h *host) { h.stopped = true }, 3300 * time.Millisecond},
		{"cannot reach the store", func(_ *world, h *host) { h.cutOff = true }, 3300 * time.Millisecond},
		{"suspended", func(w *world, h *host) { h.suspended = w.Now + time.Hour }, 3300 * time.Millisecond},
		{"resigned", func(w *world, h *host) { w.feed(h, contender.Resign{}) }, 1200 * time.Millisecond},
		{"known to have stopped", func(w *world, h *host) {
			h.stopped = true
			for _, other := range w.hosts {
				w.feed(other, contender.HolderStopped{Term: other.contender.Term()})
			}
		}, 500 * time.Millisecond}, // two delays, because the first write may conflict with a newer revision
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(3, 5)
			w.run(t, 2*time.Second)
			first := w.acting()
			assert.Equal(t, len(first), 1)
			tt.fail(w, w.hosts[first[0]])
			w.run(t, tt.within)
			next := w.acting()
			assert.Equal(t, len(next), 1)
			assert.Assert(t, next[0] != first[0])
		})
	}
}

// TestTakeoverAfterHeartbeats checks that hosts with recent heartbeats take over as soon as the lease of the failed
// holder has expired. They know its end from the heartbeats and do not count a full lease from the last seen revision.
func TestTakeoverAfterHeartbeats(t *testing.T) {
	tests := []struct {
		name string
		fail func(w *world, h *host)
	}{
		{"killed", func(_ *world, h *host) { h.stopped = true }},
		{"cannot reach the store", func(_ *world, h *host) { h.cutOff = true }},
		{"suspended", func(w *world, h *host) { h.suspended = w.Now + time.Hour }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(3, 5)
			w.heartbeats = true
			w.run(t, 3*time.Second)
			first := w.acting()
			assert.Equal(t, len(first), 1)
			tt.fail(w, w.hosts[first[0]])
			// The lease, its margins, the longest delay and one call.
			w.run(t, contender.LeaseDuration+contender.LeaseDuration/50+contender.SafetyMargin+150*time.Millisecond+5*step)
			next := w.acting()
			assert.Equal(t, len(next), 1)
			assert.Assert(t, next[0] != first[0])
		})
	}
}

// TestAnnouncement checks that a host whose calls fail follows the holder that announces itself. Repeated
// announcements, and announcements and records of older terms, must not change the holder again.
func TestAnnouncement(t *testing.T) {
	c := contender.New(0, contender.Options{Name: "host"})
	c.Step(0, contender.Tick{})
	c.Step(0, contender.ReadResult{Err: errNoResponse})
	announcement := contender.AnnouncementReceived{
		Lease: contender.LeaseStatus{Term: 4, Revision: 90, Remaining: time.Second}, Holder: "other", Address: "address",
	}
	var followed []contender.Record
	step := func(event contender.Event) {
		for _, action := range c.Step(time.Second, event) {
			if follow, ok := action.(contender.Follow); ok {
				followed = append(followed, follow.Record)
			}
		}
	}
	step(announcement)
	step(announcement)
	announcement.Lease.Term = 3
	step(announcement)
	step(contender.ReadResult{Record: contender.Record{Revision: 80, Holder: "former", Term: 3}})
	assert.DeepEqual(t, followed, []contender.Record{{Revision: 90, Holder: "other", Address: "address", Term: 4}})
}

// TestRejectedHostsBackOff checks that a host whose calls the store rejects backs off, because rejected calls are
// charged.
func TestRejectedHostsBackOff(t *testing.T) {
	c := contender.New(0, contender.Options{Name: "host"})
	calls := 0
	for now := time.Duration(0); now < 10*time.Second; now += step {
		for _, action := range c.Step(now, contender.Tick{}) {
			calls++
			switch action.(type) {
			case contender.Read:
				c.Step(now, contender.ReadResult{Err: errNoResponse})
			case contender.Write:
				c.Step(now, contender.WriteResult{Err: errNoResponse, Rejected: true})
			}
		}
	}
	// The interval grows from 0.4 s over 0.8 s to 1.6 s.
	assert.Assert(t, calls <= 8, "%d calls in 10 s", calls)
}

func TestHolderResumesAfterExpiredLease(t *testing.T) {
	w := newWorld(1, 1)
	w.run(t, time.Second)
	w.hosts[0].cutOff = true
	w.run(t, 3*time.Second)
	assert.Equal(t, len(w.acting()), 0)
	term := w.hosts[0].contender.Term()
	w.hosts[0].cutOff = false
	w.run(t, 1500*time.Millisecond)
	assert.Equal(t, len(w.acting()), 1)
	assert.Equal(t, w.hosts[0].contender.Term(), term)
}

func TestRenewalIsOverdueBeforeTheLeaseExpires(t *testing.T) {
	w := newWorld(1, 1)
	w.run(t, time.Second)
	w.hosts[0].cutOff = true
	for !w.hosts[0].contender.RenewalOverdue(w.Now) {
		w.run(t, step)
	}
	assert.Assert(t, w.hosts[0].contender.Remaining(w.Now) > time.Second)
}
