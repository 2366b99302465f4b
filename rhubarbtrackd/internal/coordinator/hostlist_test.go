package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rhubarbtrack.example/core/throttler"
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

// Guards against positions that change when hosts restart or another host becomes the controller: hosts would use shares of limits
// that others still use.
func TestPositionsOfHosts(t *testing.T) {
	peer := func(address string) *connector.Peer { return &connector.Peer{Host: address, Address: address} }
	for _, tt := range []struct {
		name      string
		own       string
		known     []string // from the former controller, at 0
		connected []string
		at        time.Duration
		want      []int // of connected
		wantOwn   int
		hosts     int
	}{
		{"all are connected", "a", nil, []string{"b", "c"}, 0, []int{1, 2}, 0, 3},
		{"another controller", "b", nil, []string{"a", "c"}, 0, []int{0, 2}, 1, 3},
		{"new controller while hosts connect", "b", []string{"a", "b", "c", "d"}, []string{"d"}, time.Second, []int{3}, 1, 4},
		{"hosts that have not connected again", "b", []string{"a", "b", "c", "d"}, []string{"d"}, throttler.HostMemory, []int{1}, 0, 2},
		{"host whose address is unknown", "a", nil, []string{"", "b"}, 0, []int{2, 1}, 0, 3},
		{"two hosts whose addresses are unknown", "a", nil, []string{"", ""}, 0, []int{1, 2}, 0, 3},
		{"no other host", "a", nil, nil, 0, nil, 0, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := newHostList(tt.own)
			l.replace(0, tt.known)
			var peers []*connector.Peer
			for _, address := range tt.connected {
				peers = append(peers, peer(address))
			}
			got := l.positions(tt.at, peers)
			assert.Equal(t, got.own, tt.wantOwn)
			assert.Equal(t, got.hosts, tt.hosts)
			for i, p := range peers {
				assert.Equal(t, got.index[p], tt.want[i], "host %d", i)
			}
		})
	}
}
