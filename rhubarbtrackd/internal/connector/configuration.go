package connector

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ConfigurationPath is the HTTP path at which the controller serves its configuration to hosts that cannot read it from the
// store.
const ConfigurationPath = "/rhubarbtrack/configuration"

const (
	// configurationTimeout bounds the transfer of a configuration of 1 MB over a link of 10 Mbit/s.
	configurationTimeout = 1200 * time.Millisecond
	// maxConfiguration bounds a configuration in bytes. The store holds values of about 1 MB at most.
	maxConfiguration = 4 << 20
	// maxTransfers bounds the configurations that a host sends at the same time. Heartbeats use the same link.
	maxTransfers = 8
)

// configurationClient has no timeout of its own, because each call has one.
var configurationClient = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes},
}

// FetchConfiguration returns the configuration of the controller at address, with digests instead of the keys of client
// accounts.
func FetchConfiguration(ctx context.Context, address string) ([]byte, error) {
	op := "fetch configuration from " + address
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ConfigurationPath, nil)
	if err != nil {
		return nil, &Error{op, Disconnected, err}
	}
	response, err := configurationClient.Do(request)
	if err != nil {
		return nil, &Error{op, Disconnected, err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &Error{op, Disconnected, errors.Newf("status %d", response.StatusCode)}
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxConfiguration+1))
	if err != nil {
		return nil, &Error{op, Disconnected, err}
	}
	if len(data) > maxConfiguration {
		return nil, &Error{op, Unreadable, errors.Newf("the configuration exceeds %d bytes", maxConfiguration)}
	}
	return data, nil
}

// configurationServer serves the configuration of a host in compressed form. When the store rejects many hosts, all of them ask the
// controller at the same time, which may have a link of 10 Mbit/s.
type configurationServer struct {
	configuration func() []byte
	slots         chan struct{} // one for each transfer in progress
	mutex         sync.Mutex
	raw           []byte
	compressed    []byte // raw in gzip format
}

// ConfigurationHandler returns a handler that serves what configuration returns, or status 404 if that is empty. While
// maxTransfers are in progress, it responds with status 503. The result of configuration must not be changed later.
func ConfigurationHandler(configuration func() []byte) http.Handler {
	return &configurationServer{configuration: configuration, slots: make(chan struct{}, maxTransfers)}
}

// ServeHTTP implements http.Handler.
func (s *configurationServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := s.compress(s.configuration())
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if len(data) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	// The write fails only if the host has disconnected. It then calls again.
	_, _ = w.Write(data)
}

// compress returns raw in gzip format. It keeps the last result.
func (s *configurationServer) compress(raw []byte) ([]byte, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(raw) == 0 {
		return nil, nil
	}
	if len(raw) == len(s.raw) && &raw[0] == &s.raw[0] {
		return s.compressed, nil
	}
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(raw); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	s.raw, s.compressed = raw, buffer.Bytes()
	return s.compressed, nil
}
