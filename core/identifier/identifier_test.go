package identifier_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
)

func TestTextForm(t *testing.T) {
	for _, tt := range []struct {
		text string
		want identifier.Incarnation
		ok   bool
	}{
		{"u1/1700000000000", identifier.Incarnation{ID: "u1", Start: 1700000000000}, true},
		{"a/b/7", identifier.Incarnation{ID: "a/b", Start: 7}, true},
		{"u1/-7", identifier.Incarnation{ID: "u1", Start: -7}, true},
		{"u1", identifier.Incarnation{}, false},
		{"u1/x", identifier.Incarnation{}, false},
		{"", identifier.Incarnation{}, false},
	} {
		got, ok := identifier.Parse(tt.text)
		assert.Equal(t, ok, tt.ok, tt.text)
		if ok {
			assert.Equal(t, got, tt.want)
			assert.Equal(t, got.String(), tt.text)
		}
	}
}

// TestTagsDistinguishRuns guards against a fact about one run of a process that reaches the next one with the same ID.
func TestTagsDistinguishRuns(t *testing.T) {
	index := identifier.Index{}
	runs := []identifier.Incarnation{{ID: "u", Start: 1}, {ID: "u", Start: 2}, {ID: "v", Start: 1}, {ID: "u"}}
	for _, run := range runs {
		index.Add(run)
	}
	assert.Equal(t, len(index), len(runs))
	for _, run := range runs {
		assert.Equal(t, index[run.Tag()], run)
	}
}
