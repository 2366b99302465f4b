package storer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platformsim/internal/storer"
)

// Guards against a conditional write that takes effect although its condition fails, which would let two controllers
// hold the same term.
func TestPutChecksCondition(t *testing.T) {
	tests := []struct {
		name      string
		exists    bool
		condition storer.Condition
		want      bool
	}{
		{name: "unconditional, new", want: true},
		{name: "unconditional, existing", exists: true, want: true},
		{name: "absent, new", condition: storer.Condition{Absent: true}, want: true},
		{name: "absent, existing", exists: true, condition: storer.Condition{Absent: true}},
		{name: "match, current", exists: true, condition: storer.Condition{Match: 1}, want: true},
		{name: "match, old", exists: true, condition: storer.Condition{Match: 7}},
		{name: "match, new", condition: storer.Condition{Match: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := storer.New()
			if test.exists {
				store.Put("a", []byte("old"), storer.Condition{})
			}
			_, ok := store.Put("a", []byte("new"), test.condition)
			assert.Equal(t, ok, test.want)
			object, _ := store.Get("a")
			assert.Equal(t, string(object.Value) == "new", test.want)
		})
	}
}

// Guards against a watch that misses or repeats a change, or that silently skips compacted ones.
func TestChangesSinceReturnsChangesAfterRevision(t *testing.T) {
	tests := []struct {
		name    string
		from    uint64
		compact uint64
		want    []uint64
		err     error
	}{
		{name: "from the start", from: 0, want: []uint64{1, 3, 4}},
		{name: "resumed", from: 3, want: []uint64{4}},
		{name: "at the end", from: 4},
		{name: "compacted", from: 1, compact: 3, err: storer.ErrCompacted},
		{name: "just kept", from: 2, compact: 3, want: []uint64{3, 4}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := storer.New()
			store.Put("a/1", nil, storer.Condition{})
			store.Put("b/1", nil, storer.Condition{})
			store.Put("a/1", nil, storer.Condition{})
			store.Delete("a/1", storer.Condition{})
			store.Compact(test.compact)
			batch, err := store.ChangesSince("a/", test.from)
			assert.ErrorIs(t, err, test.err)
			var versions []uint64
			for _, change := range batch.Changes {
				versions = append(versions, change.Object.Version)
			}
			assert.DeepEqual(t, versions, test.want)
		})
	}
}

// Guards against stale reads that also affect conditional writes, which are always decided by the latest state.
func TestStaleReadsDoNotAffectConditions(t *testing.T) {
	store := storer.New()
	store.Put("a", []byte("1"), storer.Condition{})
	store.SetStale(true)
	_, ok := store.Put("a", []byte("2"), storer.Condition{Match: 1})
	assert.Assert(t, ok)
	object, _ := store.Get("a")
	assert.Equal(t, string(object.Value), "1")
	_, ok = store.Put("a", []byte("3"), storer.Condition{Match: object.Version})
	assert.Assert(t, !ok)
	store.SetStale(false)
	object, _ = store.Get("a")
	assert.Equal(t, string(object.Value), "2")
}
