package connector

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// AnnouncePath is where a host takes the announcement of a new controller.
const AnnouncePath = "/rhubarbtrack/controller"

const (
	// announceTimeout bounds one announcement: a connection and an answer within the same region.
	announceTimeout = 300 * time.Millisecond
	// maxAnnouncement bounds an announcement: two names and three numbers.
	maxAnnouncement = 1 << 10
)

// Announcement is what a new controller says of itself to hosts that have not connected yet.
type Announcement struct {
	Term      uint64
	Revision  int64         // of the controller's record
	Remaining time.Duration // of the controller's right
	Host      string
	Address   string
}

type wireAnnouncement struct {
	_        struct{} `cbor:",toarray"`
	Term     uint64
	Revision int64
	Left     int // milliseconds
	Host     string
	Address  string
}

var announcer = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: announceTimeout}

// Announce tells the host at address of a new controller.
func Announce(ctx context.Context, address string, a Announcement) error {
	body, err := cbor.Marshal(wireAnnouncement{
		Term: a.Term, Revision: a.Revision, Left: int(a.Remaining.Milliseconds()) + 1, Host: a.Host, Address: a.Address,
	})
	if err != nil {
		return &Error{"encode-announcement", Unreadable, err}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+AnnouncePath, bytes.NewReader(body))
	if err != nil {
		return &Error{"announce " + address, Disconnected, err}
	}
	response, err := announcer.Do(request)
	if err != nil {
		return &Error{"announce " + address, Disconnected, err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return &Error{"announce " + address, Disconnected, errors.Newf("status %d", response.StatusCode)}
	}
	return nil
}

// AnnouncementHandler passes announcements to take.
func AnnouncementHandler(take func(Announcement)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.WriteHeader(http.StatusMethodNotAllowed)
			return
		}
		var wire wireAnnouncement
		data, err := io.ReadAll(io.LimitReader(r.Body, maxAnnouncement))
		if err == nil {
			err = cbor.Unmarshal(data, &wire)
		}
		if err != nil || wire.Term == 0 || wire.Host == "" || wire.Address == "" {
			http.Error(w, "the announcement cannot be read", http.StatusBadRequest)
			return
		}
		take(Announcement{
			Term: wire.Term, Revision: wire.Revision, Remaining: time.Duration(wire.Left) * time.Millisecond,
			Host: wire.Host, Address: wire.Address,
		})
		w.WriteHeader(http.StatusNoContent)
	})
}
