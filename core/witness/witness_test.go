package witness_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"rhubarbtrack.example/core/witness"
)

const ms = time.Millisecond

// TestConfirm guards the exclusivity of promises and the silence after a start.
func TestConfirm(t *testing.T) {
	a := witness.Holder{Host: "a", Incarnation: "1"}
	restarted := witness.Holder{Host: "a", Incarnation: "2"}
	b := witness.Holder{Host: "b", Incarnation: "1"}
	steps := []struct {
		name    string
		at      time.Duration
		learn   uint64 // term of a record read before the request, 0 for none
		term    uint64
		holder  witness.Holder
		probe   bool
		granted bool
	}{
		{"silent before the record is read", 700 * ms, 0, 5, a, false, false},
		{"silent for one lifetime after the start", 599 * ms, 5, 5, a, false, false},
		{"first promise", 700 * ms, 0, 5, a, false, true},
		{"probe of another holder during a promise", 710 * ms, 0, 0, b, true, false},
		{"renewal", 900 * ms, 0, 5, a, false, true},
		{"same term after a restart of the holder", 1600 * ms, 0, 5, restarted, false, false},
		{"probe after the promise", 1600 * ms, 0, 0, b, true, true},
		{"renewal after expiry", 1600 * ms, 0, 5, a, false, true},
		{"higher term during a promise", 1700 * ms, 0, 6, b, false, false},
		{"superseded term", 1710 * ms, 0, 5, a, false, false},
		{"same holder with a higher term", 1720 * ms, 0, 7, a, false, true},
		{"higher term one moment too early", 2319 * ms, 0, 8, b, false, false},
		{"higher term after the promise", 2320 * ms, 0, 8, b, false, true},
		{"term below the stored record", 3000 * ms, 9, 8, b, false, false},
	}
	machine := witness.New(witness.Options{Host: "w"})
	for _, step := range steps {
		if step.learn > 0 {
			machine.Observe(witness.Record{Service: "s", Term: step.learn})
		}
		reply := machine.Confirm(step.at, witness.Request{Service: "s", Term: step.term, Holder: step.holder, Probe: step.probe})
		assert.Equal(t, reply.Granted, step.granted, step.name)
	}
}

// TestHasMajority guards the need for both lists while a change is uncommitted.
func TestHasMajority(t *testing.T) {
	tests := []struct {
		witnesses, previous, confirmed []string
		want                           bool
	}{
		{[]string{"a", "b", "c"}, nil, []string{"a", "b"}, true},
		{[]string{"a", "b", "c"}, nil, []string{"a", "x"}, false},
		{[]string{"a", "b", "c", "d"}, nil, []string{"a", "b"}, false},
		{[]string{"a", "b", "x"}, []string{"a", "b", "c"}, []string{"a", "b"}, true},
		{[]string{"x", "y", "z"}, []string{"a", "b", "c"}, []string{"x", "y", "a"}, false},
		{[]string{"x", "y", "z"}, []string{"a", "b", "c"}, []string{"x", "a", "b"}, false},
		{nil, nil, nil, false},
	}
	for _, test := range tests {
		record := witness.Record{Witnesses: test.witnesses, Previous: test.previous}
		got := record.HasMajority(func(host string) bool { return slices.Contains(test.confirmed, host) })
		assert.Equal(t, got, test.want, "%v", test)
	}
}
