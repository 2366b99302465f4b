package starter_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

// Keys of the tests with accounts.
const (
	keyA      = "key-of-a-5f0c2e"
	otherKeyA = "key-of-a-91b7d4"
	keyB      = "key-of-b-33ac10"
	addedKey  = "key-of-b-77e2f9"
)

var accounts = []simulator.Account{{Name: "a", Keys: []string{keyA, otherKeyA}}, {Name: "b", Keys: []string{keyB}}}

func (s *system) putAccounts(t *testing.T, version int, accounts ...simulator.Account) {
	t.Helper()
	configuration := simulator.ConfigurationWithAccounts(version, accounts...)
	assert.NilError(t, s.store.Put(translator.ConfigurationKind, translator.ConfigurationName, configuration, nil))
}

// newSystemWithAccounts starts a system whose configuration has accounts.
func newSystemWithAccounts(t *testing.T, change ...func(*simulator.UpstreamOptions)) *system {
	t.Helper()
	s := newSystemWith(t, 4, 2, change...)
	s.putAccounts(t, 10, accounts...)
	for _, h := range s.hosts {
		s.awaitKey(t, h, "unknown", http.StatusUnauthorized, configurationDelay)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	clear(s.headers) // of requests before the accounts
	return s
}

var attempts struct {
	sync.Mutex
	count int
}

func nextAttempt() string {
	attempts.Lock()
	defer attempts.Unlock()
	attempts.count++
	return fmt.Sprintf("account-%d", attempts.count)
}

// requestWith sends a request with the given header fields, and returns the ID of the attempt and the response.
func requestWith(h *testHost, path string, header http.Header) (attempt string, response *http.Response) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	request, err := http.NewRequest(http.MethodGet, "http://"+h.settings.CallerAddress+path, nil)
	if err != nil {
		return "", nil
	}
	request.Host = simulator.Hostname
	request.Header = header.Clone()
	attempt = nextAttempt()
	request.Header.Set(translator.AttemptHeader, attempt)
	request.Header.Set(translator.TimeLeftHeader, h.timeLeft)
	request.Header.Set(translator.KeyHeader, "7")
	response, err = client.Do(request)
	if err != nil {
		return attempt, nil
	}
	_ = response.Body.Close()
	return attempt, response
}

func bearer(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

// statusWithKey returns the status of a request with a key, or 0 without a response.
func (h *testHost) statusWithKey(path, key string) int {
	if _, response := requestWith(h, path, bearer(key)); response != nil {
		return response.StatusCode
	}
	return 0
}

func (s *system) awaitKey(t *testing.T, h *testHost, key string, status int, within time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(within); ; time.Sleep(20 * time.Millisecond) {
		got := h.statusWithKey(simulator.PlainPrefix+"x", key)
		if got == status {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "%s responds with %d, want %d", h.settings.Host, got, status)
	}
}

// Guards against a request that runs without a valid key or under another account's name, and against an upstream that gets the key
// or a name that the caller has made up.
func TestUpstreamGetsTheAccountAndNotTheKey(t *testing.T) {
	t.Parallel()
	s := newSystemWithAccounts(t)
	with := func(key string, fields ...string) http.Header {
		header := bearer(key)
		for i := 0; i < len(fields); i += 2 {
			header[fields[i]] = append(header[fields[i]], fields[i+1])
		}
		return header
	}
	for _, tt := range []struct {
		name    string
		path    string
		header  http.Header
		status  int
		account string
	}{
		{"first key", simulator.PlainPrefix, with(keyA), 200, "a"},
		{"second key", simulator.PlainPrefix, with(otherKeyA), 200, "a"},
		{"another account", simulator.PlainPrefix, with(keyB), 200, "b"},
		{"route with keys of requests", simulator.ReadPrefix, with(keyB), 200, "b"},
		{"scheme in lower case", simulator.PlainPrefix, http.Header{"Authorization": {"bearer " + keyA}}, 200, "a"},
		{"made-up name", simulator.PlainPrefix, with(keyA, "Tenant-Name", "b"), 200, "a"},
		{"made-up name in lower case", simulator.PlainPrefix, with(keyA, "tenant-name", "b"), 200, "a"},
		{"made-up name in other letter cases, several times", simulator.PlainPrefix, with(keyA, "TENANT-NAME", "b", "tEnant-nAme", "c", "tEnant-nAme", "d"), 200, "a"},
		{"made-up name that is hidden as a field of the connection", simulator.PlainPrefix, with(keyA, "Tenant-Name", "b", "Connection", "tenant-name"), 200, "a"},
		{"public route", simulator.PublicPrefix, http.Header{}, 200, ""},
		{"public route with a key and a name", simulator.PublicPrefix, with(keyA, "tenant-name", "b"), 200, ""},
		{"public route with an unknown key", simulator.PublicPrefix, with("z"), 200, ""},
		{"unknown key", simulator.PlainPrefix, with("z"), 401, ""},
		{"no key", simulator.PlainPrefix, http.Header{}, 401, ""},
		{"made-up name only", simulator.PlainPrefix, http.Header{"Tenant-Name": {"a"}}, 401, ""},
		{"two keys", simulator.PlainPrefix, http.Header{"Authorization": {"Bearer " + keyA, "Bearer " + keyB}}, 401, ""},
		{"other scheme", simulator.PlainPrefix, http.Header{"Authorization": {"Basic " + keyA}}, 401, ""},
		{"empty key", simulator.PlainPrefix, http.Header{"Authorization": {"Bearer "}}, 401, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			attempt, response := requestWith(s.hosts[0], tt.path+"x", tt.header)
			assert.Assert(t, response != nil)
			assert.Equal(t, response.StatusCode, tt.status)
			s.mutex.Lock()
			defer s.mutex.Unlock()
			got, ran := s.headers[attempt]
			assert.Equal(t, ran, tt.status == http.StatusOK)
			if !ran {
				assert.Equal(t, response.Header.Get("WWW-Authenticate"), "Bearer")
				return
			}
			assert.Equal(t, len(got["Authorization"]), 0, "%v", got)
			var want []string
			if tt.account != "" {
				want = []string{tt.account}
			}
			assert.DeepEqual(t, got[translator.AccountHeader], want)
		})
	}
}

// Guards against a change for deployments without accounts: credentials and all other fields pass as they are.
func TestCredentialsPassWithoutAccounts(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	attempt, response := requestWith(s.hosts[0], simulator.PlainPrefix+"x", http.Header{"Authorization": {"Bearer z"}, "Tenant-Name": {"b"}})
	assert.Assert(t, response != nil)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	assert.DeepEqual(t, s.headers[attempt]["Authorization"], []string{"Bearer z"})
	assert.DeepEqual(t, s.headers[attempt][translator.AccountHeader], []string{"b"})
}

// Guards against a key that goes on working after it was taken away: at hosts in touch beyond the time for configurations, at others
// beyond the time for keys. What needs no key is served all the while, and so are other keys as soon as the store is back.
func TestKeyTakenAwayStopsInTime(t *testing.T) {
	for _, tt := range []struct {
		name    string
		disturb func(t *testing.T, s *system)
		inTouch bool
	}{
		{"no fault", func(*testing.T, *system) {}, true},
		{"the store rejects a host that follows the controller", func(_ *testing.T, s *system) {
			i := slices.IndexFunc(s.hosts, func(h *testHost) bool { return h != s.controller() })
			s.hosts[i].storeUnavailable.Store(true)
		}, true},
		{"the store rejects all hosts", func(_ *testing.T, s *system) { s.eachHost(func(h *testHost) { h.storeUnavailable.Store(true) }) }, false},
		{"the store does not answer watches, and then rejects all hosts", func(_ *testing.T, s *system) {
			s.eachHost(func(h *testHost) { h.watchesHang.Store(true) })
			time.Sleep(800 * time.Millisecond) // until the watches in progress have ended
			s.eachHost(func(h *testHost) { h.storeUnavailable.Store(true) })
		}, false},
		{"the controller of hosts without the store is lost", func(t *testing.T, s *system) {
			s.eachHost(func(h *testHost) { h.storeUnavailable.Store(true) })
			s.controller().peers.cut(t, reset)
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSystemWithAccounts(t)
			tt.disturb(t, s)
			if !tt.inTouch {
				time.Sleep(700 * time.Millisecond) // watches in progress still return changes
			}
			s.putAccounts(t, 11, simulator.Account{Name: "a", Keys: []string{keyA}}, simulator.Account{Name: "b", Keys: []string{keyB}})
			takenAway := time.Now()
			within := configurationDelay
			if !tt.inTouch {
				within = revocationTime
				for _, h := range s.hosts {
					assert.Equal(t, h.statusWithKey(simulator.PlainPrefix+"x", keyA), http.StatusOK, "%s stops too early", h.settings.Host)
				}
			}
			time.Sleep(time.Until(takenAway.Add(within)))
			for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				for _, h := range s.hosts {
					status := h.statusWithKey(simulator.PlainPrefix+"x", otherKeyA)
					kept := h.statusWithKey(simulator.PlainPrefix+"x", keyA)
					if tt.inTouch {
						assert.Equal(t, status, http.StatusUnauthorized, h.settings.Host)
						assert.Equal(t, kept, http.StatusOK, h.settings.Host)
					} else {
						assert.Equal(t, status, http.StatusServiceUnavailable, h.settings.Host)
						assert.Equal(t, kept, http.StatusServiceUnavailable, h.settings.Host)
						assert.Assert(t, h.logged(eventlog.KeysSuspended) == 1)
					}
					assert.Equal(t, h.statusWithKey(simulator.PublicPrefix+"x", ""), http.StatusOK, h.settings.Host)
				}
			}
			s.eachHost(func(h *testHost) {
				h.storeUnavailable.Store(false)
				h.watchesHang.Store(false)
			})
			for _, h := range s.hosts {
				s.awaitKey(t, h, keyA, http.StatusOK, 2*configurationDelay)
				s.awaitKey(t, h, otherKeyA, http.StatusUnauthorized, configurationDelay)
			}
		})
	}
}

func (s *system) eachHost(f func(h *testHost)) {
	for _, h := range s.hosts {
		f(h)
	}
}

// Guards against a 401, after which callers do not try again, for a key that the host may not know yet.
func TestHostWithAnOldConfigurationDoesNotDenyKeys(t *testing.T) {
	t.Parallel()
	s := newSystemWithAccounts(t)
	s.eachHost(func(h *testHost) { h.storeUnavailable.Store(true) })
	time.Sleep(time.Second) // watches in progress still return changes
	s.putAccounts(t, 11, simulator.Account{Name: "b", Keys: []string{keyB, addedKey}}, accounts[0])
	addedAt := time.Now()
	for time.Since(addedAt) < configurationDelay+time.Second {
		for _, h := range s.hosts {
			sent := time.Now()
			status := h.statusWithKey(simulator.PlainPrefix+"x", addedKey)
			assert.Assert(t, status == http.StatusServiceUnavailable || status == http.StatusUnauthorized && sent.Sub(addedAt) < configurationDelay,
				"%s responds with %d after %v", h.settings.Host, status, sent.Sub(addedAt))
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.eachHost(func(h *testHost) { h.storeUnavailable.Store(false) })
	for _, h := range s.hosts {
		s.awaitKey(t, h, addedKey, http.StatusOK, 2*configurationDelay)
	}
}

// traffic records what passes between hosts, by connection and direction.
type traffic struct {
	mutex   sync.Mutex
	streams map[string]*bytes.Buffer
}

func (r *traffic) record(conn net.Conn, isReceived bool, data []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	name := fmt.Sprint(conn.RemoteAddr(), conn.LocalAddr(), isReceived)
	if r.streams[name] == nil {
		r.streams[name] = &bytes.Buffer{}
	}
	r.streams[name].Write(data)
}

// text returns all that was recorded, with the payloads of WebSocket frames without their masks.
func (r *traffic) text() []byte {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []byte
	for _, stream := range r.streams {
		all = append(all, stream.Bytes()...)
		if _, frames, ok := bytes.Cut(stream.Bytes(), []byte("\r\n\r\n")); ok {
			all = append(all, unmask(frames)...)
		}
	}
	return all
}

// unmask returns the payloads of WebSocket frames (RFC 6455, section 5.2).
func unmask(frames []byte) []byte {
	var payloads []byte
	for len(frames) >= 2 {
		masked, length := frames[1]&0x80 != 0, uint64(frames[1]&0x7f)
		frames = frames[2:]
		switch {
		case length == 126 && len(frames) >= 2:
			length, frames = uint64(binary.BigEndian.Uint16(frames)), frames[2:]
		case length == 127 && len(frames) >= 8:
			length, frames = binary.BigEndian.Uint64(frames), frames[8:]
		}
		mask := []byte{0, 0, 0, 0}
		if masked && len(frames) >= 4 {
			mask, frames = frames[:4], frames[4:]
		}
		length = min(length, uint64(len(frames)))
		for i, b := range frames[:length] {
			payloads = append(payloads, b^mask[i%4])
		}
		frames = frames[length:]
	}
	return payloads
}

// Guards against keys that leave their host or appear in its output.
func TestKeysDoNotLeaveTheHost(t *testing.T) {
	t.Parallel()
	const malformedKey, crashKey = "key-malformed-5d21", keyA
	s := newSystemWithAccounts(t)
	between := &traffic{streams: map[string]*bytes.Buffer{}}
	record := between.record
	s.eachHost(func(h *testHost) { h.peers.onBytes.Store(&record) })
	s.stopController(t) // so that hosts connect again
	for _, h := range s.hosts {
		s.awaitKey(t, h, keyA, http.StatusOK, readyWithin)
		for _, key := range []string{keyA, otherKeyA, keyB, addedKey} {
			for _, prefix := range []string{simulator.PlainPrefix, simulator.ReadPrefix, simulator.PublicPrefix, "/never/"} {
				requestWith(h, prefix+"x", bearer(key))
			}
		}
		requestWith(h, simulator.PlainPrefix+simulator.CrashName, bearer(crashKey))
		sendRaw(t, h, "GET /plain/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer \x01"+malformedKey+"\r\n\r\n")
		sendRaw(t, h, "GET /plain/x HTTP/1.1\r\nHost: h\r\nAuthoriz{ation: Bearer "+malformedKey+"\r\n\r\n")
		sendRaw(t, h, "GET /plain/x HTTP/1.1\r\nHost: h\r\n Authorization Bearer "+malformedKey+"\r\n\r\n")
	}
	time.Sleep(2 * time.Second) // until reports and metrics have been sent
	var output bytes.Buffer
	for _, h := range s.hosts {
		for _, entry := range h.logs.All() {
			_, _ = fmt.Fprintln(&output, entry.Message, entry.ContextMap())
		}
		output.Write(get(t, "http://"+h.metricsAddress+"/metrics"))
		configuration, err := connector.FetchConfiguration(context.Background(), h.settings.PeerAddress, nil)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Contains(configuration, []byte("key-digests")))
		output.Write(configuration)
	}
	s.mutex.Lock()
	for _, header := range s.headers {
		_, _ = fmt.Fprintln(&output, header)
	}
	s.mutex.Unlock()
	messages := between.text()
	for _, part := range []string{connector.Path, "owner-starts", "sent-at"} { // heartbeats and reports
		assert.Assert(t, bytes.Contains(messages, []byte(part)), "no %s in %d bytes of messages", part, len(messages))
	}
	output.Write(messages)
	assert.Assert(t, bytes.Contains(output.Bytes(), []byte("authentications_total")))
	for _, key := range []string{keyA, otherKeyA, keyB, addedKey, malformedKey} {
		at := bytes.Index(output.Bytes(), []byte(key))
		assert.Assert(t, at < 0, "%s in %q", key, output.Bytes()[max(0, at-200):min(output.Len(), max(0, at)+50)])
	}
}

// sendRaw sends bytes to a host and waits until it closes the connection or for a short time.
func sendRaw(t *testing.T, h *testHost, text string) {
	t.Helper()
	conn, err := net.Dial("tcp", h.settings.CallerAddress)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	_, _ = io.ReadAll(conn)
}

func get(t *testing.T, url string) []byte {
	t.Helper()
	response, err := http.Get(url)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return body
}
