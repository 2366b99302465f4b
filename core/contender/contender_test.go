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

// store is a model of the record with conditional writes. Each write gets a new revision.
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
	dead      bool
	cut       bool          // from the store
	frozen    time.Duration // until then
}

// world is a set of hosts that compete for one record.
type world struct {
	sequencer.Queue
	random *rand.Rand
	store  store
	hosts  []*host
	beats  bool // holders tell the others of their right
	beat   time.Duration
	lost   float64 // share of writes that are carried out and not answered
	late   float64 // share of writes that are carried out seconds later
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
	if h.dead {
		return
	}
	if w.Now < h.frozen {
		w.After(h.frozen-w.Now, func() { w.feed(h, e) })
		return
	}
	for _, action := range h.contender.Step(w.Now, e) {
		switch action := action.(type) {
		case contender.Read:
			w.read(h)
		case contender.Write:
			w.write(h, action.Record)
		case contender.Lead:
			if w.beats {
				w.announce(h)
			}
		}
	}
}

var errNoAnswer = errors.New("no answer")

func (w *world) read(h *host) {
	if h.cut {
		w.After(500*time.Millisecond, func() { w.feed(h, contender.ReadResult{Err: errNoAnswer}) })
		return
	}
	w.After(step, func() {
		record := w.store.record
		w.After(step, func() { w.feed(h, contender.ReadResult{Record: record}) })
	})
}

func (w *world) write(h *host, record contender.Record) {
	sent := w.Now
	noAnswer := func() {
		w.After(500*time.Millisecond, func() { w.feed(h, contender.WriteResult{SentAt: sent, Record: record, Err: errNoAnswer}) })
	}
	switch draw := w.random.Float64(); {
	case h.cut:
		noAnswer()
	case draw < w.late:
		w.After(time.Duration(1+w.random.IntN(6))*time.Second, func() { w.store.write(record) })
		noAnswer()
	case draw < w.late+w.lost:
		w.After(step, func() { w.store.write(record) })
		noAnswer()
	default:
		w.After(step, func() {
			result, ok := w.store.write(record)
			w.After(step, func() { w.feed(h, contender.WriteResult{SentAt: sent, Record: result, Conflict: !ok}) })
		})
	}
}

// run lets time pass. At every moment at most one host may act.
func (w *world) run(t *testing.T, d time.Duration) {
	t.Helper()
	for end := w.Now + d; w.Now < end; {
		w.Advance(step)
		for _, h := range w.hosts {
			if w.Now >= h.frozen {
				w.feed(h, contender.Tick{})
			}
		}
		if w.beats && w.Now >= w.beat {
			w.beat = w.Now + 200*time.Millisecond
			w.sendBeats()
		}
		assert.Assert(t, len(w.acting()) <= 1, "%v: %v act", w.Now, w.acting())
	}
}

// sendBeats has the holder tell all others of its right. A beat may be late.
func (w *world) sendBeats() {
	for _, h := range w.hosts {
		if h.dead || w.Now < h.frozen || !h.contender.Valid(w.Now) {
			continue
		}
		claim := h.contender.LeaseStatus(w.Now)
		for _, other := range w.hosts {
			if other != h {
				w.After(time.Duration(1+w.random.IntN(5))*step, func() { w.feed(other, contender.HeartbeatReceived{Lease: claim}) })
			}
		}
	}
}

// announce has the holder tell all others of itself.
func (w *world) announce(h *host) {
	event := contender.AnnouncementReceived{Lease: h.contender.LeaseStatus(w.Now), Holder: h.contender.Name(), Address: "address"}
	for _, other := range w.hosts {
		if other != h && w.random.IntN(3) > 0 {
			w.After(time.Duration(1+w.random.IntN(30))*step, func() { w.feed(other, event) })
		}
	}
}

// acting returns the hosts that may act now. A frozen host does nothing, but may act as soon as it is thawed.
func (w *world) acting() []int {
	var acting []int
	for i, h := range w.hosts {
		if !h.dead && h.contender.Valid(w.Now) {
			acting = append(acting, i)
		}
	}
	return acting
}

func TestOneHostActs(t *testing.T) {
	for seed := range uint64(80) {
		w := newWorld(seed, 5)
		w.beats = seed%2 == 1
		w.run(t, 2*time.Second)
		for range 30 {
			h := w.hosts[w.random.IntN(len(w.hosts))]
			if acting := w.acting(); len(acting) == 1 && w.random.IntN(2) == 0 {
				h = w.hosts[acting[0]]
			}
			switch w.random.IntN(6) {
			case 0:
				h.dead = true
				w.add()
			case 1:
				h.cut = !h.cut
			case 2:
				h.frozen = w.Now + time.Duration(w.random.IntN(5000))*time.Millisecond
			case 3:
				w.feed(h, contender.Resign{})
				w.add()
			case 4:
				w.lost, w.late = 0.3, 0
			case 5:
				w.lost, w.late = 0, 0.3
			}
			w.run(t, time.Duration(w.random.IntN(3000))*time.Millisecond)
		}
	}
}

func TestTakeover(t *testing.T) {
	tests := []struct {
		name   string
		lose   func(w *world, h *host)
		within time.Duration
	}{
		{"killed", func(_ *world, h *host) { h.dead = true }, 3300 * time.Millisecond},
		{"cut from the store", func(_ *world, h *host) { h.cut = true }, 3300 * time.Millisecond},
		{"frozen", func(w *world, h *host) { h.frozen = w.Now + time.Hour }, 3300 * time.Millisecond},
		{"resigned", func(w *world, h *host) { w.feed(h, contender.Resign{}) }, 1200 * time.Millisecond},
		{"known to have ended", func(w *world, h *host) {
			h.dead = true
			for _, other := range w.hosts {
				w.feed(other, contender.HolderStopped{Term: other.contender.Term()})
			}
		}, 500 * time.Millisecond}, // two delays, because the first write may meet a newer revision
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(3, 5)
			w.run(t, 2*time.Second)
			first := w.acting()
			assert.Equal(t, len(first), 1)
			tt.lose(w, w.hosts[first[0]])
			w.run(t, tt.within)
			next := w.acting()
			assert.Equal(t, len(next), 1)
			assert.Assert(t, next[0] != first[0])
		})
	}
}

// TestTakeoverAfterBeats checks that hosts which hear the holder do not wait longer than its right lasts.
func TestTakeoverAfterBeats(t *testing.T) {
	tests := []struct {
		name string
		lose func(w *world, h *host)
	}{
		{"killed", func(_ *world, h *host) { h.dead = true }},
		{"cut from the store", func(_ *world, h *host) { h.cut = true }},
		{"frozen", func(w *world, h *host) { h.frozen = w.Now + time.Hour }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(3, 5)
			w.beats = true
			w.run(t, 3*time.Second)
			first := w.acting()
			assert.Equal(t, len(first), 1)
			tt.lose(w, w.hosts[first[0]])
			// The right, its margins, the longest delay and one call.
			w.run(t, contender.LeaseDuration+contender.LeaseDuration/50+contender.SafetyMargin+150*time.Millisecond+5*step)
			next := w.acting()
			assert.Equal(t, len(next), 1)
			assert.Assert(t, next[0] != first[0])
		})
	}
}

// TestAnnouncement checks that a host which the store refuses follows a holder that tells of itself, and no older one.
func TestAnnouncement(t *testing.T) {
	c := contender.New(0, contender.Options{Name: "host"})
	c.Step(0, contender.Tick{})
	c.Step(0, contender.ReadResult{Err: errNoAnswer})
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

// TestRefusedHostsCallSeldom checks that a host which the store refuses does not call it at full pace.
func TestRefusedHostsCallSeldom(t *testing.T) {
	c := contender.New(0, contender.Options{Name: "host"})
	calls := 0
	for now := time.Duration(0); now < 10*time.Second; now += step {
		for _, action := range c.Step(now, contender.Tick{}) {
			calls++
			switch action.(type) {
			case contender.Read:
				c.Step(now, contender.ReadResult{Err: errNoAnswer})
			case contender.Write:
				c.Step(now, contender.WriteResult{Err: errNoAnswer, Rejected: true})
			}
		}
	}
	// Longest pause 1.6 s, after pauses of 0.4 and 0.8 s.
	assert.Assert(t, calls <= 8, "%d calls", calls)
}

func TestLapsedHolderResumes(t *testing.T) {
	w := newWorld(1, 1)
	w.run(t, time.Second)
	w.hosts[0].cut = true
	w.run(t, 3*time.Second)
	assert.Equal(t, len(w.acting()), 0)
	term := w.hosts[0].contender.Term()
	w.hosts[0].cut = false
	w.run(t, 1500*time.Millisecond)
	assert.Equal(t, len(w.acting()), 1)
	assert.Equal(t, w.hosts[0].contender.Term(), term)
}

func TestDoubtComesBeforeTheEndOfTheRight(t *testing.T) {
	w := newWorld(1, 1)
	w.run(t, time.Second)
	w.hosts[0].cut = true
	for !w.hosts[0].contender.RenewalOverdue(w.Now) {
		w.run(t, step)
	}
	assert.Assert(t, w.hosts[0].contender.Remaining(w.Now) > time.Second)
}
