package registrar_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/registrar"
)

func entry(id string) registrar.Upstream {
	return registrar.Upstream{ID: id, Service: "s", Address: "x", Slots: 6}
}

func TestRemoval(t *testing.T) {
	tests := []struct {
		name   string
		outage bool
		after  time.Duration // of the removal, since the store's return
		wait   time.Duration
		kept   bool
	}{
		{"in normal operation", false, 0, 0, false},
		{"right after an outage", true, 100 * time.Millisecond, time.Second, true},
		{"right after an outage, not registered again", true, 100 * time.Millisecond, 2 * time.Second, false},
		{"long after an outage", true, 5 * time.Second, 5 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := registrar.New()
			l.Put(entry("a"))
			back := time.Minute
			if tt.outage {
				l.MarkUnreachable()
				l.MarkReachable(back)
			}
			l.Remove(back+tt.after, "a")
			l.Tick(back + tt.wait)
			_, ok := l.Get("a")
			assert.Equal(t, ok, tt.kept)
		})
	}
}

func TestLapsedEntryThatRegistersAgainStays(t *testing.T) {
	l := registrar.New()
	l.Put(entry("a"))
	l.MarkUnreachable()
	l.MarkReachable(time.Minute)
	l.Replace(time.Minute, nil)
	l.Put(entry("a"))
	l.Tick(2 * time.Minute)
	_, ok := l.Get("a")
	assert.Assert(t, ok)
}

func TestVersionGrowsWithChangesOnly(t *testing.T) {
	l := registrar.New()
	u := entry("a")
	u.ColdEnd = 3 * time.Second
	l.Put(u)
	version := l.Version()
	u.ColdEnd += 100 * time.Millisecond
	l.Put(u)
	assert.Equal(t, l.Version(), version)
	u.ColdEnd += time.Second
	l.Put(u)
	assert.Assert(t, l.Version() > version)
}

func TestAdopt(t *testing.T) {
	l := registrar.New()
	l.Put(entry("a"))
	l.ApplyUpdate(true, []registrar.Upstream{entry("b")}, nil)
	assert.Equal(t, len(l.All()), 1)
	l.ApplyUpdate(false, []registrar.Upstream{entry("c")}, []string{"b"})
	_, ok := l.Get("c")
	assert.Assert(t, ok && len(l.All()) == 1)
}
