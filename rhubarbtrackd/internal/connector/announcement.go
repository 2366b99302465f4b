package connector

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rhubarbtrack.example/platform/transporter"
)

// AnnouncePath is the HTTP path at which a host receives announcements of new controllers.
const AnnouncePath = "/rhubarbtrack/controller"

const (
	// announceTimeout bounds one announcement: a connection and a response within the same region.
	announceTimeout = 300 * time.Millisecond
	// maxAnnouncement bounds an announcement in bytes. It holds two names and three numbers.
	maxAnnouncement = 1 << 10
)

// Announcement informs hosts that have not connected yet of a new controller.
type Announcement struct {
	Term      uint64
	Revision  int64         // of the lease record
	Remaining time.Duration // of the controller's lease
	Host      string
	Address   string
}

type wireAnnouncement struct {
	_         struct{} `cbor:",toarray"`
	Term      uint64
	Revision  int64
	Remaining int // milliseconds, rounded up
	Host      string
	Address   string
}

var announceClient = &http.Client{
	Transport: transporter.New(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}), Timeout: announceTimeout,
}

// Announce sends an announcement to the host at address.
func Announce(ctx context.Context, address string, a Announcement) error {
	body, err := cbor.Marshal(wireAnnouncement{
		Term: a.Term, Revision: a.Revision, Remaining: int(a.Remaining.Milliseconds()) + 1, Host: a.Host, Address: a.Address,
	})
	if err != nil {
		return &Error{"encode-announcement", Unreadable, err}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+AnnouncePath, bytes.NewReader(body))
	if err != nil {
		return &Error{"announce " + address, Disconnected, err}
	}
	response, err := announceClient.Do(request)
	if err != nil {
		return &Error{"announce " + address, Disconnected, err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return &Error{"announce " + address, Disconnected, errors.Newf("status %d", response.StatusCode)}
	}
	return nil
}

// AnnouncementHandler returns a handler that passes valid announcements to handle. It responds with status 400 to
// invalid ones.
func AnnouncementHandler(handle func(Announcement)) http.Handler {
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
		handle(Announcement{
			Term: wire.Term, Revision: wire.Revision, Remaining: time.Duration(wire.Remaining) * time.Millisecond,
			Host: wire.Host, Address: wire.Address,
		})
		w.WriteHeader(http.StatusNoContent)
	})
}
