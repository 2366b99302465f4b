package governor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rhubarbtrack.example/rhubarbtrackd/internal/linker"
)

func TestRoster(t *testing.T) {
	former := newRoster("a")
	b, c := &linker.Peer{Host: "b", Address: "b"}, &linker.Peer{Host: "c", Address: "c"}
	assert.Assert(t, is.Len(former.missing(0, []*linker.Peer{b, c}), 0))
	assert.DeepEqual(t, former.news(b), []string{"a", "b", "c"})
	assert.Assert(t, is.Len(former.news(b), 0), "the list is sent once")

	successor := newRoster("b")
	successor.adopt(time.Second, []string{"a", "b", "c"})
	assert.DeepEqual(t, successor.missing(2*time.Second, nil), []string{"a", "c"})
	assert.DeepEqual(t, successor.missing(3*time.Second, []*linker.Peer{c}), []string{"a"})
	assert.Assert(t, is.Len(successor.missing(time.Second+rosterLife, []*linker.Peer{c}), 0), "the former controller is forgotten")
	former.forget(b)
	assert.DeepEqual(t, former.news(b), []string{"a", "b", "c"})
}
