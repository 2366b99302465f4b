package inhibitor

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbtrack.example/core/identifier"
)

const (
	ms         = time.Millisecond
	drainDelay = 2 * time.Second
)

var target = Target{Incarnation: identifier.Incarnation{ID: "u", Start: 7}, Address: "10.0.0.1:80"}

func TestLeaving(t *testing.T) {
	for _, tt := range []struct {
		name         string
		now, arrived time.Duration
		target       Target
		want         Decision
	}{
		{"at once", 1000 * ms, 1000 * ms, target, Avoided},
		{"within the drain delay", 2900 * ms, 2900 * ms, target, Avoided},
		{"after the drain delay", 3001 * ms, 3001 * ms, target, Left},
		{"queued request", 3500 * ms, 2999 * ms, target, Avoided},
		{"much later", 5 * time.Minute, 5 * time.Minute, target, Left},
		{"after the retention", 11 * time.Minute, 11 * time.Minute, target, Open},
		{"later incarnation", 5 * time.Second, 5 * time.Second, Target{Incarnation: identifier.Incarnation{ID: "u", Start: 8}, Address: "10.0.0.1:80"}, Open},
		{"another upstream at the address", 5 * time.Second, 5 * time.Second, Target{Incarnation: identifier.Incarnation{ID: "v", Start: 7}, Address: "10.0.0.1:80"}, Open},
	} {
		t.Run(tt.name, func(t *testing.T) {
			i := New(1)
			assert.Assert(t, i.RecordLeaving(time.Second, target))
			assert.Assert(t, !i.RecordLeaving(1500*ms, target), "recorded twice")
			assert.Equal(t, i.Check(tt.now, tt.arrived, drainDelay, tt.target).Decision, tt.want)
		})
	}
}

func TestPause(t *testing.T) {
	i := New(1)
	assert.Assert(t, i.RecordPause(time.Second, target, 3*time.Second))
	assert.Assert(t, !i.RecordPause(1500*ms, target, time.Second), "a shorter pause began")
	v := i.Check(2*time.Second, 2*time.Second, drainDelay, target)
	assert.Equal(t, v.Decision, Paused)
	end := 2*time.Second + v.Wait
	assert.Assert(t, end >= 4*time.Second && end <= 4*time.Second+maxSpread, "ends at %v", end)

	i.RecordServed(1200*ms, target)
	assert.Equal(t, i.Check(3*time.Second, 3*time.Second, drainDelay, target).Decision, Paused, "a response to an earlier request ended the pause")
	assert.Equal(t, i.Check(end, end, drainDelay, target).Decision, Open)
	i.RecordSent(end, target)
	assert.Equal(t, i.Check(end+ms, end+ms, drainDelay, target).Decision, Paused, "two trials at the same time")
	assert.Equal(t, i.Check(end+trialInterval, end, drainDelay, target).Decision, Open)
	i.RecordServed(end, target)
	i.RecordSent(end+ms, target)
	assert.Equal(t, i.Check(end+2*ms, end, drainDelay, target).Decision, Open, "the pause did not end")
}

func TestUnusablePauses(t *testing.T) {
	for _, tt := range []struct {
		name  string
		pause time.Duration
		most  time.Duration
	}{
		{"none", 0, 0},
		{"negative", -time.Hour, 0},
		{"huge", 1 << 62, MaxPause + maxSpread},
	} {
		t.Run(tt.name, func(t *testing.T) {
			i := New(1)
			i.RecordPause(0, target, tt.pause)
			assert.Assert(t, i.Check(0, 0, drainDelay, target).Wait <= tt.most)
			assert.Equal(t, i.Check(tt.most, 0, drainDelay, target).Decision, Open)
		})
	}
}

// Guards against more than two requests to an upstream between half a second after a rejection with a pause and its end, whatever
// the order of rejections, and against one that is never used again.
func TestPausesAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := New(rapid.Uint64().Draw(t, "seed"))
		now, end := time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "passed")) * ms
			if i.Check(now, now, drainDelay, target).Decision != Open {
				continue
			}
			assert.Assert(t, now >= end, "sent %v before the end", end-now)
			i.RecordSent(now, target)
			if rapid.Bool().Draw(t, "rejected") {
				pause := time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause")) * ms
				i.RecordPause(now, target, pause)
				end = max(end, now+pause)
			} else {
				i.RecordServed(now, target)
			}
		}
		assert.Equal(t, i.Check(end+time.Second, 0, drainDelay, target).Decision, Open)
	})
}

// Guards against more than two requests during a long pause that the upstream confirms, and against a long one by mistake.
func TestLongPauses(t *testing.T) {
	for _, tt := range []struct {
		name   string
		pause  time.Duration
		honest bool // the upstream rejects requests until the end of the pause
		most   int  // requests during the pause
		used   time.Duration
	}{
		{"within the bound", 50 * time.Second, true, 0, 50 * time.Second},
		{"longer than the first bound", 3 * time.Minute, true, 1, 3 * time.Minute},
		{"as long as the second bound", 10 * time.Minute, true, 1, 10 * time.Minute},
		{"longer than both", 20 * time.Minute, true, 2, 20 * time.Minute},
		{"a day by mistake", 24 * time.Hour, false, 1, MaxPause},
	} {
		t.Run(tt.name, func(t *testing.T) {
			i := New(1)
			i.RecordPause(0, target, tt.pause)
			sent, now := 0, time.Duration(0)
			for ; ; now += 10 * ms {
				if i.Check(now, now, drainDelay, target).Decision != Open {
					continue
				}
				i.RecordSent(now, target)
				if now < tt.pause {
					sent++
				}
				if now >= tt.pause || !tt.honest {
					i.RecordServed(now, target)
					break
				}
				i.RecordPause(now, target, tt.pause-now)
			}
			assert.Assert(t, sent <= tt.most, "%d requests", sent)
			assert.Assert(t, now >= tt.used && now <= tt.used+time.Second, "used again after %v", now)
			i.RecordPause(now, target, 24*time.Hour)
			assert.Assert(t, i.Check(now, now, drainDelay, target).Wait <= MaxPause+maxSpread, "a request that was served did not end the repetition")
		})
	}
}

// Guards against all hosts returning in the same moment, and against a service that stays unused after its pause.
func TestHostsReturnAtDifferentTimes(t *testing.T) {
	const hosts, pause = 95, 3 * time.Second
	perStep := map[time.Duration]int{}
	for host := range uint64(hosts) {
		i := New(host)
		i.RecordPause(0, target, pause)
		for now := pause; ; now += 10 * ms {
			assert.Assert(t, now < pause+time.Second)
			if i.Check(now, now, drainDelay, target).Decision == Open {
				perStep[now/(50*ms)]++
				break
			}
		}
	}
	for step, count := range perStep {
		assert.Assert(t, count <= hosts/4, "%d hosts return at %v", count, step*50*ms)
	}
}

func TestStateIsBounded(t *testing.T) {
	i := New(1)
	i.bound = 10
	for n := range 100 {
		now := time.Duration(n) * ms
		i.RecordLeaving(now, Target{Incarnation: identifier.Incarnation{ID: strconv.Itoa(n)}})
		i.RecordPause(now, Target{Incarnation: identifier.Incarnation{ID: strconv.Itoa(n)}}, time.Second)
	}
	assert.Equal(t, len(i.states), 10)
	assert.Equal(t, i.Check(time.Second, time.Second, 0, Target{Incarnation: identifier.Incarnation{ID: "99"}}).Decision, Left)
	i.Sweep(time.Hour)
	assert.Assert(t, i.IsEmpty())
}
