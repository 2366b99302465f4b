package distributor_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/relayer"
	"rhubarbtrack.example/rhubarbtrackd/internal/distributor"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/storer"
)

// node is a distributor that is alone in its tree and thus a root, with what it delivers and sends.
type node struct {
	*distributor.Distributor
	mu    sync.Mutex
	items map[relayer.Key]relayer.Item
	sent  map[relayer.Key]relayer.Item // latest state sent to a neighbour
}

func start(t *testing.T, started uint64, store http.HandlerFunc) *node {
	t.Helper()
	server := httptest.NewServer(store)
	n := &node{items: map[relayer.Key]relayer.Item{}, sent: map[relayer.Key]relayer.Item{}}
	begin := time.Now()
	n.Distributor = distributor.New(distributor.Options{
		Self:       framer.Member{Name: "host-1", Address: "127.0.0.1:1", FailureDomain: "a", State: framer.Live},
		StartTime:  started,
		Clock:      func() time.Duration { return time.Since(begin) },
		Dial:       func(string, string) {},
		Disconnect: func(string) {},
		Send: func(_ string, frame relayer.Frame) {
			n.mu.Lock()
			defer n.mu.Unlock()
			for _, item := range frame.Items {
				n.sent[item.Key] = item
			}
		},
		Deliver: func(item relayer.Item) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.items[item.Key] = item
		},
		Members: func([]framer.Member, map[string]bool) {},
		Dropped: func() {},
		Store:   storer.New(server.URL, &http.Transport{}),
		Log:     eventlog.New(zap.NewNop()),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		server.CloseClientConnections()
		server.Close()
	})
	return n
}

func (n *node) state(items map[relayer.Key]relayer.Item, key relayer.Key) relayer.Item {
	n.mu.Lock()
	defer n.mu.Unlock()
	return items[key]
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("waiting: %s", what)
	}, poll.WithTimeout(time.Minute), poll.WithDelay(5*time.Millisecond))
}

func down(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against a host that stays lost for the others: because it was declared lost although it lives, or because its
// clock went back before a restart, so that its state of an earlier run is newer.
func TestAnnouncementSupersedesReceivedState(t *testing.T) {
	n := start(t, 100, down)
	key := relayer.Key{Kind: relayer.Member, Name: "host-1"}
	lost, err := framer.EncodeMember(framer.Member{Name: "host-1", State: framer.Dead})
	assert.NilError(t, err)
	n.Enqueue(relayer.PeerUp{Peer: "host-2"})
	for _, held := range []relayer.Version{{Term: 100, Seq: 50}, {Term: 900, Seq: 7}, {Term: 900, Seq: 70}} {
		n.Enqueue(relayer.Received{Peer: "host-2", Frame: relayer.Frame{
			Items: []relayer.Item{{Key: key, Version: held, Body: lost}},
		}})
		eventually(t, "a newer announcement", func() bool {
			item := n.state(n.sent, key)
			member, err := framer.DecodeMember(item.Body)
			return held.Less(item.Version) && err == nil && member.State == framer.Live
		})
	}
}

// Guards against a declaration of loss and an announcement with the same number, of which neither replaces the other:
// declarations have odd numbers, announcements even ones.
func TestDeadAndLiveVersionsDiffer(t *testing.T) {
	n := start(t, 100, down)
	own := relayer.Key{Kind: relayer.Member, Name: "host-1"}
	other := relayer.Key{Kind: relayer.Member, Name: "host-2"}
	live, err := framer.EncodeMember(framer.Member{Name: "host-2", State: framer.Live})
	assert.NilError(t, err)
	n.Enqueue(relayer.PeerUp{Peer: "host-2"})
	n.Enqueue(relayer.PeerUp{Peer: "host-3"})
	n.Enqueue(relayer.Received{Peer: "host-2", Frame: relayer.Frame{
		Items: []relayer.Item{{Key: other, Version: relayer.Version{Term: 100, Seq: 6}, Body: live}},
	}})
	n.Enqueue(relayer.PeerDown{Peer: "host-2"})
	eventually(t, "a declaration of loss", func() bool {
		n.Enqueue(relayer.Received{Peer: "host-3"}) // keeps the connection
		member, err := framer.DecodeMember(n.state(n.sent, other).Body)
		return err == nil && member.State == framer.Dead
	})
	assert.Equal(t, n.state(n.sent, other).Version.Seq, uint64(7))
	assert.Equal(t, n.state(n.sent, own).Version.Seq%2, uint64(0))
}

// fakeStore is down at first, compacts while the watch is cut, and then has one object less.
type fakeStore struct {
	up        atomic.Bool
	compacted atomic.Bool
	lists     atomic.Int64
	hanging   bool // every watch after the compaction is refused
}

func (f *fakeStore) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case !f.up.Load():
		down(w, r)
	case r.URL.Path == "/v1/hosts":
		_, _ = fmt.Fprint(w, `{"hosts":[]}`)
	case r.URL.Path == "/v1/objects":
		f.lists.Add(1)
		f.list(w)
	case f.compacted.Load() && (f.hanging || r.URL.Query().Get("from") != "9"):
		w.WriteHeader(http.StatusGone)
	default:
		f.watch(w, r)
	}
}

func (f *fakeStore) list(w http.ResponseWriter) {
	value := base64.StdEncoding.EncodeToString([]byte("v"))
	if f.compacted.Load() {
		_, _ = fmt.Fprintf(w, `{"revision":9,"objects":[{"name":"config/a","version":3,"value":%q}]}`, value)
		return
	}
	_, _ = fmt.Fprintf(w, `{"revision":4,"objects":[{"name":"config/a","version":3,"value":%q},
		{"name":"config/b","version":4,"value":%q}]}`, value, value)
}

// watch reports progress until the compaction or the end of the call.
func (f *fakeStore) watch(w http.ResponseWriter, r *http.Request) {
	was := f.compacted.Load()
	for r.Context().Err() == nil && f.compacted.Load() == was {
		_, _ = fmt.Fprintf(w, `{"type":"progress","version":4}`+"\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
	panic(http.ErrAbortHandler)
}

// Guards against a root that starts while the store is down and never lists, and against a configuration object that was
// deleted during a compaction and stays in force.
func TestListsAfterOutageAndCompaction(t *testing.T) {
	store := &fakeStore{}
	n := start(t, 1, store.serve)
	b := relayer.Key{Kind: relayer.Config, Name: "config/b"}
	store.up.Store(true)
	eventually(t, "the listing", func() bool { return n.state(n.items, b).Version.Seq == 4 })
	store.compacted.Store(true)
	eventually(t, "the deletion", func() bool {
		item := n.state(n.items, b)
		return item.Deleted && item.Version.Seq == 9
	})
	a := n.state(n.items, relayer.Key{Kind: relayer.Config, Name: "config/a"})
	assert.Assert(t, !a.Deleted && a.Version.Seq == 3)
}

// Guards against a root that lists without pause while the store refuses every watch as compacted, as it does when its
// listings are stale: this would use up the store's rate limit for reads.
func TestPausesBetweenListings(t *testing.T) {
	store := &fakeStore{hanging: true}
	store.up.Store(true)
	store.compacted.Store(true)
	var polls atomic.Int64
	n := start(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/hosts" {
			polls.Add(1)
		}
		store.serve(w, r)
	})
	eventually(t, "three polls of the host list, 2 s apart", func() bool { return polls.Load() >= 3 })
	assert.Assert(t, n.state(n.items, relayer.Key{Kind: relayer.Config, Name: "config/a"}).Version.Seq == 3)
	lists := store.lists.Load()
	assert.Assert(t, lists <= 100, "%d listings between three polls", lists)
}
