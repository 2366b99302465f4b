package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
)

func TestHostList(t *testing.T) {
	former := newRoster("a")
	b, c := &connector.Peer{Host: "b", Address: "b"}, &connector.Peer{Host: "c", Address: "c"}
	assert.Assert(t, is.Len(former.missing(0, []*connector.Peer{b, c}), 0))
	assert.DeepEqual(t, former.news(b), []string{"a", "b", "c"})
	assert.Assert(t, is.Len(former.news(b), 0), "the list is sent once")

	successor := newRoster("b")
	successor.adopt(0, []string{"a", "b", "c", "replaced"})
	successor.adopt(time.Second, []string{"a", "b", "c"})
	start := 10 * time.Minute // the list has not changed since
	successor.begin(start)
	assert.DeepEqual(t, successor.missing(start, nil), []string{"a", "c"})
	assert.DeepEqual(t, successor.missing(start+time.Second, []*connector.Peer{c}), []string{"a"})
	assert.DeepEqual(t, successor.news(c), []string{"a", "b", "c"})
	assert.Assert(t, is.Len(successor.missing(start+rosterLife, []*connector.Peer{c}), 0), "the former controller is forgotten")
	assert.DeepEqual(t, successor.news(c), []string{"b", "c"})
	former.forget(b)
	assert.DeepEqual(t, former.news(b), []string{"a", "b", "c"})
}
