package coordinator

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/allocator"
	"rhubarbtrack.example/core/apportioner"
	"rhubarbtrack.example/core/contender"
	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/matcher"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/meter"
	"rhubarbtrack.example/rhubarbtrackd/internal/recoverer"
	"rhubarbtrack.example/rhubarbtrackd/internal/timer"
)

// connection is a coordinator whose loop does not run, and a host that is connected to it.
type connection struct {
	*Coordinator
	peer         *connector.Peer
	received     chan connector.Heartbeat
	disconnected chan error
}

func connect(t *testing.T) connection {
	t.Helper()
	log := eventlog.New(zap.NewNop())
	panics := recoverer.New(log, meter.New())
	c := connection{received: make(chan connector.Heartbeat, 8), disconnected: make(chan error, 8)}
	c.Coordinator = New(Options{
		Host: "h", Now: timer.Now, Log: log, Panics: panics,
		Follower: follower.New(follower.Options{Store: storer.New("127.0.0.1:1"), Log: log, Now: timer.Now}),
	})
	server := httptest.NewServer(c.Hub())
	t.Cleanup(server.Close)
	client := connector.NewClient(connector.ClientOptions{
		Leader:       func() (host, address string) { return "h", strings.TrimPrefix(server.URL, "http://") },
		Report:       func() connector.Report { return connector.Report{Host: "other"} },
		OnHeartbeat:  func(heartbeat connector.Heartbeat) { c.received <- heartbeat },
		OnConnect:    func(string) {},
		OnDisconnect: func(_ string, err error) { c.disconnected <- err },
		Now:          timer.Now,
		Panics:       panics,
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go client.Run(ctx)
	waitUntil(t, "the host connects", func() bool { return len(c.hub.Peers()) == 1 })
	c.peer = c.hub.Peers()[0]
	return c
}

func (c connection) next(t *testing.T) connector.Heartbeat {
	t.Helper()
	select {
	case heartbeat := <-c.received:
		return heartbeat
	case err := <-c.disconnected:
		t.Fatalf("disconnected: %v", err)
	case <-time.After(5 * time.Second):
		t.Fatal("no heartbeat")
	}
	return connector.Heartbeat{}
}

// Guards against hosts that take load reports for those of other upstreams, or end their connection, after the controller has begun
// a second term while they stayed connected.
func TestPackedLoadsOfASecondTerm(t *testing.T) {
	c := connect(t)
	for _, term := range [][]string{{"a"}, {"b"}, {"c", "a"}} {
		c.pacing.beginTerm(timer.Now(), c.options)
		var loads []connector.LoadReport
		want := map[identifier.Tag]bool{}
		for _, id := range term {
			tag := identifier.Incarnation{ID: id, Start: 1}.Tag()
			want[tag] = true
			loads = append(loads, connector.LoadReport{Upstream: tag, Load: selector.Load{Running: 1, Slots: 2}})
		}
		c.send(c.peer, connector.Heartbeat{Packed: c.pacing.packer.Pack(loads, nil)})
		heartbeat := c.next(t)
		got, _, err := heartbeat.SharedLoads()
		assert.NilError(t, err)
		assert.Equal(t, len(got), len(want))
		for _, load := range got {
			assert.Assert(t, want[load.Upstream], "a load of %v is taken for that of another upstream", term)
		}
	}
}

// Guards against heartbeats for requests that wait for tokens and carry tables or the copy: the pacer does not hold these back.
func TestHeartbeatsForWaitingRequestsCarryOnlyTokens(t *testing.T) {
	c := connect(t)
	c.snapshot = &follower.Snapshot{Config: &matcher.Config{HasAccounts: true, Accounts: []matcher.Account{{Name: "a", Rate: 1}}}}
	now := timer.Now()
	c.contender.Step(now, contender.WriteResult{SentAt: now, Record: contender.Record{Revision: 1, Holder: "h", Term: 1}})
	c.services["s"] = &serviceState{
		service: "s", routingTable: allocator.RoutingTable{{From: 0, To: 9, Owner: identifier.Incarnation{ID: "u", Start: 1}}},
	}
	c.handleQuotas(c.peer, apportioner.Report{Rows: []apportioner.ReportRow{{Account: apportioner.TagOf("a"), Waiting: 1}}})
	heartbeat := c.next(t)
	assert.Assert(t, heartbeat.Quotas != nil)
	assert.Equal(t, len(heartbeat.Tables), 0)
	assert.Assert(t, !heartbeat.HasCopy)
	c.sendHeartbeats(now, nil)
	assert.Equal(t, len(c.next(t).Tables), 1, "the table is sent later")
}
