package coordinator

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/meter"
	"rhubarbtrack.example/rhubarbtrackd/internal/recoverer"
	"rhubarbtrack.example/rhubarbtrackd/internal/timer"
)

// Guards against hosts that take load reports for those of other upstreams, or end their connection, after the controller has begun
// a second term while they stayed connected.
func TestPackedLoadsOfASecondTerm(t *testing.T) {
	log := eventlog.New(zap.NewNop())
	panics := recoverer.New(log, meter.New())
	c := New(Options{
		Host: "h", Now: timer.Now, Log: log, Panics: panics,
		Follower: follower.New(follower.Options{Store: storer.New("127.0.0.1:1"), Log: log, Now: timer.Now}),
	})
	server := httptest.NewServer(c.Hub())
	defer server.Close()
	received := make(chan []connector.LoadReport, 8)
	disconnected := make(chan error, 8)
	client := connector.NewClient(connector.ClientOptions{
		Leader: func() (host, address string) { return "h", strings.TrimPrefix(server.URL, "http://") },
		Report: func() connector.Report { return connector.Report{Host: "other"} },
		OnHeartbeat: func(heartbeat connector.Heartbeat) {
			loads, _, err := heartbeat.SharedLoads()
			assert.Check(t, err)
			received <- loads
		},
		OnConnect:    func(string) {},
		OnDisconnect: func(_ string, err error) { disconnected <- err },
		Now:          timer.Now,
		Panics:       panics,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go client.Run(ctx)
	waitUntil(t, "the host connects", func() bool { return len(c.hub.Peers()) == 1 })
	peer := c.hub.Peers()[0]
	for _, term := range [][]string{{"a"}, {"b"}, {"c", "a"}} {
		c.pacing.beginTerm(timer.Now(), c.options)
		var loads []connector.LoadReport
		want := map[identifier.Tag]bool{}
		for _, id := range term {
			tag := identifier.Incarnation{ID: id, Start: 1}.Tag()
			want[tag] = true
			loads = append(loads, connector.LoadReport{Upstream: tag, Load: selector.Load{Running: 1, Slots: 2}})
		}
		c.send(peer, connector.Heartbeat{Packed: c.pacing.packer.Pack(loads, nil)})
		select {
		case got := <-received:
			assert.Equal(t, len(got), len(want))
			for _, load := range got {
				assert.Assert(t, want[load.Upstream], "a load of %v is taken for that of another upstream", term)
			}
		case err := <-disconnected:
			t.Fatalf("disconnected: %v", err)
		case <-time.After(5 * time.Second):
			t.Fatal("no heartbeat")
		}
	}
}
