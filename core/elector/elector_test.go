package elector_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"rhubarbtrack.example/core/elector"
	"rhubarbtrack.example/core/witness"
)

const ms = time.Millisecond

// fixture runs one elector against reachable witnesses and a store in memory.
type fixture struct {
	now       time.Duration
	machine   *elector.Elector
	self      witness.Holder
	record    witness.Record
	version   uint64
	witnesses map[string]*witness.Witness
	lose      bool // answers to writes are lost
	writes    []witness.Record
	right     elector.LeaderLease
	asked     time.Duration // latest request to a witness
}

func newFixture(record witness.Record, hosts int) *fixture {
	f := &fixture{self: witness.Holder{Host: "h0", Incarnation: "1"}, record: record, version: record.Term,
		witnesses: map[string]*witness.Witness{}}
	f.machine = elector.New(elector.Options{Service: "s", Self: f.self})
	f.list(hosts)
	for i := range hosts {
		host := fmt.Sprintf("h%d", i)
		f.witnesses[host] = witness.New(witness.Options{Host: host})
		f.witnesses[host].Observe(witness.Record{Service: "s"})
	}
	return f
}

// list shows the hosts h0 to h(count-1) in three failure domains.
func (f *fixture) list(count int) {
	event := elector.Hosts{}
	for i := range count {
		event.Hosts = append(event.Hosts, elector.Host{Name: fmt.Sprintf("h%d", i), FailureDomain: fmt.Sprint(i % 3)})
	}
	f.step(event)
}

func (f *fixture) run(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += 10 * ms {
		f.step(elector.Tick{})
	}
}

func (f *fixture) step(event elector.Event) {
	for _, action := range f.machine.Step(f.now, event) {
		switch action := action.(type) {
		case elector.ReadRecord:
			f.step(elector.RecordRead{Operation: action.Operation, Outcome: elector.Done, Version: f.version, Record: f.record})
		case elector.WriteRecord:
			f.write(action)
		case elector.SendConfirm:
			f.asked = f.now
			if machine := f.witnesses[action.Witness]; machine != nil {
				f.step(elector.ConfirmReply{Reply: machine.Confirm(f.now, action.Request)})
			}
		case elector.LeaderLease:
			f.right = action
		}
	}
}

func (f *fixture) write(action elector.WriteRecord) {
	answer := elector.RecordWritten{Operation: action.Operation, Outcome: elector.Conflict}
	if action.Expect == f.version {
		f.version++
		f.record = action.Record
		f.writes = append(f.writes, action.Record)
		answer.Outcome, answer.Version = elector.Done, f.version
	}
	if !f.lose {
		f.step(answer)
	}
}

// TestLostAnswer guards against a second write of a candidate whose first one took effect without an answer.
func TestLostAnswer(t *testing.T) {
	f := newFixture(witness.Record{}, 5)
	f.lose = true
	f.run(3 * time.Second)
	assert.Equal(t, len(f.writes), 1)
	assert.Equal(t, f.right.Term, uint64(1))
	assert.Equal(t, len(f.record.Witnesses), 5)
}

// TestRightEnds guards the end of the right: the promise lifetime counts from the sending of the last confirmed request.
func TestRightEnds(t *testing.T) {
	f := newFixture(witness.Record{}, 5)
	f.run(3 * time.Second)
	last := f.right.Until
	// The clock of a witness may be 2% fast.
	assert.Assert(t, last <= f.asked+witness.Lifetime*98/100)
	f.witnesses = nil
	f.run(witness.Lifetime)
	assert.Assert(t, f.right.Until <= last)
	assert.Equal(t, f.right.Term, uint64(0))
}

// TestWitnessReplacement guards the change of the list: a new term, the previous list until the new one is committed, and
// no change before a witness has been absent for 30 s.
func TestWitnessReplacement(t *testing.T) {
	f := newFixture(witness.Record{}, 7)
	f.run(2 * time.Second)
	first := f.record
	gone := slices.Index(first.Witnesses, "h6")
	assert.Assert(t, gone >= 0, "the fixture expects h6 in %v", first.Witnesses)
	f.list(6)
	f.run(29 * time.Second)
	assert.Equal(t, f.record.Term, first.Term)
	f.run(3 * time.Second)
	assert.Equal(t, len(f.writes), 3)
	assert.Equal(t, f.writes[1].Term, first.Term+1)
	assert.DeepEqual(t, f.writes[1].Previous, first.Witnesses)
	assert.Equal(t, len(f.record.Previous), 0)
	assert.Equal(t, f.record.Term, first.Term+1)
	assert.Assert(t, !slices.Contains(f.record.Witnesses, "h6"))
	assert.Equal(t, f.right.Term, first.Term+1)
}

// TestMajorityGone guards the replacement of a list that can confirm nobody any more: only after 30 s.
func TestMajorityGone(t *testing.T) {
	old := witness.Record{Service: "s", Term: 4, Holder: witness.Holder{Host: "x"}, Witnesses: []string{"h0", "h1", "x", "y", "z"}}
	f := newFixture(old, 5)
	f.run(time.Second)
	f.list(5)
	f.run(29 * time.Second)
	assert.Equal(t, len(f.writes), 0)
	f.run(3 * time.Second)
	assert.Equal(t, f.right.Term, f.record.Term)
	assert.Assert(t, f.record.Term > 4)
	assert.Assert(t, slices.Contains(f.record.Witnesses, "h0") && !slices.Contains(f.record.Witnesses, "x"))
}
