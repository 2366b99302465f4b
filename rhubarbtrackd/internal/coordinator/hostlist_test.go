package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
)

// TestHostList guards against a new controller that does not announce itself to all hosts. The list reaches it through
// heartbeats, may be old by then, and must not contain hosts that were replaced or that have been disconnected for
// longer than the retention time.
func TestHostList(t *testing.T) {
	former := newHostList("a")
	b, c := &connector.Peer{Host: "b", Address: "b"}, &connector.Peer{Host: "c", Address: "c"}
	assert.Assert(t, is.Len(former.disconnected(0, []*connector.Peer{b, c}), 0))
	assert.DeepEqual(t, former.update(b), []string{"a", "b", "c"})
	assert.Assert(t, is.Len(former.update(b), 0), "an unchanged list was sent again")

	successor := newHostList("b")
	successor.replace(0, []string{"a", "b", "c", "replaced"})
	successor.replace(time.Second, []string{"a", "b", "c"})
	start := 10 * time.Minute // the list has not changed since its last update
	successor.resetAges(start)
	assert.DeepEqual(t, successor.disconnected(start, nil), []string{"a", "c"})
	assert.DeepEqual(t, successor.disconnected(start+time.Second, []*connector.Peer{c}), []string{"a"})
	assert.DeepEqual(t, successor.update(c), []string{"a", "b", "c"})
	assert.Assert(t, is.Len(successor.disconnected(start+hostRetention, []*connector.Peer{c}), 0),
		"the former controller is still listed after the retention")
	assert.DeepEqual(t, successor.update(c), []string{"b", "c"})
	former.removePeer(b)
	assert.DeepEqual(t, former.update(b), []string{"a", "b", "c"})
}
