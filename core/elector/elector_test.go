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

// fixture runs one elector with witnesses and a store in memory. All calls are carried out at once.
type fixture struct {
	now              time.Duration
	elector          *elector.Elector
	self             witness.Holder
	record           witness.Record
	version          uint64
	witnesses        map[string]*witness.Witness
	dropWriteReplies bool // writes take effect but their replies are lost
	writes           []witness.Record
	lease            elector.LeaderLease
	lastConfirm      time.Duration // latest request to a witness
}

func newFixture(record witness.Record, hosts int) *fixture {
	f := &fixture{self: witness.Holder{Host: "h0", Incarnation: "1"}, record: record, version: record.Term,
		witnesses: map[string]*witness.Witness{}}
	f.elector = elector.New(elector.Options{Service: "s", Self: f.self})
	f.listHosts(hosts)
	for i := range hosts {
		host := fmt.Sprintf("h%d", i)
		f.witnesses[host] = witness.New(witness.Options{Host: host})
		f.witnesses[host].Observe(witness.Record{Service: "s"})
	}
	return f
}

// listHosts sets the platform's host list to h0 to h(count-1), in three failure domains.
func (f *fixture) listHosts(count int) {
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
	for _, action := range f.elector.Step(f.now, event) {
		switch action := action.(type) {
		case elector.ReadRecord:
			f.step(elector.RecordRead{Operation: action.Operation, Outcome: elector.Done, Version: f.version, Record: f.record})
		case elector.WriteRecord:
			f.write(action)
		case elector.SendConfirm:
			f.lastConfirm = f.now
			if machine := f.witnesses[action.Witness]; machine != nil {
				f.step(elector.ConfirmReply{Reply: machine.Confirm(f.now, action.Request)})
			}
		case elector.LeaderLease:
			f.lease = action
		}
	}
}

func (f *fixture) write(action elector.WriteRecord) {
	result := elector.RecordWritten{Operation: action.Operation, Outcome: elector.Conflict}
	if action.Expect == f.version {
		f.version++
		f.record = action.Record
		f.writes = append(f.writes, action.Record)
		result.Outcome, result.Version = elector.Done, f.version
	}
	if !f.dropWriteReplies {
		f.step(result)
	}
}

// TestLostWriteReply guards against a second write of a candidate after the reply to the first one, which took
// effect, was lost.
func TestLostWriteReply(t *testing.T) {
	f := newFixture(witness.Record{}, 5)
	f.dropWriteReplies = true
	f.run(3 * time.Second)
	assert.Equal(t, len(f.writes), 1)
	assert.Equal(t, f.lease.Term, uint64(1))
	assert.Equal(t, len(f.record.Witnesses), 5)
}

// TestLeaseExpires guards against a lease that outlasts the promises: their lifetime counts from the sending of the
// last confirmed request.
func TestLeaseExpires(t *testing.T) {
	f := newFixture(witness.Record{}, 5)
	f.run(3 * time.Second)
	last := f.lease.Until
	// The clock of a witness may be 2% faster.
	assert.Assert(t, last <= f.lastConfirm+witness.Lifetime*98/100)
	f.witnesses = nil
	f.run(witness.Lifetime)
	assert.Assert(t, f.lease.Until <= last)
	assert.Equal(t, f.lease.Term, uint64(0))
}

// TestWitnessReplacement guards against a change of the witness list without a new term, without the previous list
// until the new one is committed, or before a witness has been absent for 30 s.
func TestWitnessReplacement(t *testing.T) {
	f := newFixture(witness.Record{}, 7)
	f.run(2 * time.Second)
	first := f.record
	absent := slices.Index(first.Witnesses, "h6")
	assert.Assert(t, absent >= 0, "the witnesses are %v, the test needs h6 among them", first.Witnesses)
	f.listHosts(6)
	f.run(29 * time.Second)
	assert.Equal(t, f.record.Term, first.Term)
	f.run(3 * time.Second)
	assert.Equal(t, len(f.writes), 3)
	assert.Equal(t, f.writes[1].Term, first.Term+1)
	assert.DeepEqual(t, f.writes[1].Previous, first.Witnesses)
	assert.Equal(t, len(f.record.Previous), 0)
	assert.Equal(t, f.record.Term, first.Term+1)
	assert.Assert(t, !slices.Contains(f.record.Witnesses, "h6"))
	assert.Equal(t, f.lease.Term, first.Term+1)
}

// TestMajorityLost guards against a witness list that stays in place after its majority is permanently lost, and
// against its replacement within 30 s.
func TestMajorityLost(t *testing.T) {
	old := witness.Record{Service: "s", Term: 4, Holder: witness.Holder{Host: "x"},
		Witnesses: []string{"h0", "h1", "x", "y", "z"}}
	f := newFixture(old, 5)
	f.run(time.Second)
	f.listHosts(5)
	f.run(29 * time.Second)
	assert.Equal(t, len(f.writes), 0)
	f.run(3 * time.Second)
	assert.Equal(t, f.lease.Term, f.record.Term)
	assert.Assert(t, f.record.Term > 4)
	assert.Assert(t, slices.Contains(f.record.Witnesses, "h0") && !slices.Contains(f.record.Witnesses, "x"))
}
