package connector

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/throttler"
	"rhubarbtrack.example/platform/downloader"
	"rhubarbtrack.example/platform/transporter"
	"rhubarbtrack.example/rhubarbtrackd/internal/compressor"
)

// ConfigurationPath is the HTTP path at which the controller serves its configuration to other hosts.
const ConfigurationPath = "/rhubarbtrack/configuration"

const (
	// configurationTimeout bounds the time until the response with a configuration begins.
	configurationTimeout = 1200 * time.Millisecond
	// maxConfiguration bounds a configuration in bytes. The store holds values of about 1 MB at most.
	maxConfiguration = 4 << 20
	// maxTransfers bounds the configurations that a host sends at the same time to hosts of earlier versions.
	maxTransfers = 8
	// configurationShare is the share of the link that configurations may take. What is left beside heartbeats, see package pacer,
	// is for callers, upstreams and the store.
	configurationShare = 0.2
	// configurationBurst is the time whose bytes may be sent at once.
	configurationBurst = time.Second
	// maxBases bounds the former configurations that are kept because other hosts may still have them.
	maxBases = 4
	// baseParameter and baseHeader hold the digest of the configuration that the host has, and of the one that the response applies to.
	baseParameter = "base"
	baseHeader    = "Rhubarbtrack-Base"
)

// configurationClient has no timeout of its own, because each call has one.
var configurationClient = &http.Client{
	Transport: transporter.New(&http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}),
}

// digest identifies a configuration. 0 stands for none.
func digest(configuration []byte) uint64 {
	if len(configuration) == 0 {
		return 0
	}
	return max(1, xxhash.Sum64(configuration))
}

func formatDigest(digest uint64) string { return strconv.FormatUint(digest, 16) }

// FetchConfiguration returns the configuration of the controller at address, with digests instead of the keys of client
// accounts. known is the configuration that this host has, or nil. The controller sends what has changed if it has that as well.
func FetchConfiguration(ctx context.Context, address string, known []byte) ([]byte, error) {
	op := "fetch configuration from " + address
	query := url.Values{baseParameter: {formatDigest(digest(known))}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ConfigurationPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, &Error{op, Disconnected, err}
	}
	response, err := downloader.Do(configurationClient, request, downloader.Limits{Bytes: maxConfiguration, Begin: configurationTimeout})
	if err != nil {
		return nil, &Error{op, Disconnected, err}
	}
	if response.Status != http.StatusOK {
		return nil, &Error{op, Disconnected, errors.Newf("status %d", response.Status)}
	}
	text, err := decodeConfiguration(response, known)
	if err != nil {
		return nil, &Error{op, Unreadable, err}
	}
	return text, nil
}

func decodeConfiguration(response downloader.Response, known []byte) ([]byte, error) {
	switch response.Header.Get("Content-Encoding") {
	case "zstd":
		base := response.Header.Get(baseHeader)
		if base == "" {
			return compressor.Decompress(response.Body, nil, maxConfiguration)
		}
		if base != formatDigest(digest(known)) {
			return nil, errors.New("the response applies to a configuration that this host does not have")
		}
		return compressor.Decompress(response.Body, known, maxConfiguration)
	case "gzip": // controllers of earlier versions
		return compressor.Unzip(response.Body, maxConfiguration)
	}
	return response.Body, nil
}

// version is a configuration with its digest.
type version struct {
	text   []byte
	digest uint64 // 0 without a configuration
}

// configurationServer serves the configuration of a host in compressed form, and against a former one if the other host has that. When
// the configuration changes, all hosts ask the controller at the same time.
type configurationServer struct {
	configuration func() []byte
	now           func() time.Duration
	slots         chan struct{} // one for each transfer to a host of an earlier version
	mutex         sync.Mutex
	budget        *throttler.Bucket // in bytes; nil: unlimited
	current       version
	bases         []version         // former configurations, the latest last
	encoded       map[uint64][]byte // current, by the digest of the base; 0: without base
	zipped        []byte            // current in gzip format
}

// ConfigurationHandler returns a handler that serves what configuration returns, or status 404 if that is empty. The result of
// configuration must not be changed later. A response has status 503 when configurations have taken their share of the link, whose
// rate is in bytes per second; 0: unknown.
func ConfigurationHandler(now func() time.Duration, linkRate float64, configuration func() []byte) http.Handler {
	s := &configurationServer{
		configuration: configuration, now: now, slots: make(chan struct{}, maxTransfers), encoded: map[uint64][]byte{},
	}
	if rate := configurationShare * linkRate; rate > 0 {
		s.budget = throttler.NewBucket(now(), rate, rate*configurationBurst.Seconds())
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s *configurationServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	query := r.URL.Query()
	if !query.Has(baseParameter) {
		s.serveZipped(w)
		return
	}
	base, err := strconv.ParseUint(query.Get(baseParameter), 16, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	data, used, err := s.encode(s.configuration(), base)
	if used != 0 {
		w.Header().Set(baseHeader, formatDigest(used))
	}
	s.send(w, "zstd", data, err)
}

// serveZipped responds to a host of an earlier version.
func (s *configurationServer) serveZipped(w http.ResponseWriter) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := s.zip(s.configuration())
	s.send(w, "gzip", data, err)
}

func (s *configurationServer) send(w http.ResponseWriter, encoding string, data []byte, err error) {
	switch {
	case err != nil:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case len(data) == 0:
		w.WriteHeader(http.StatusNotFound)
		return
	case !s.spend(len(data) + frameOverhead):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", encoding)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	// The write fails only if the host has disconnected. It then calls again.
	_, _ = w.Write(data)
}

// spend reports whether the share of the link allows a response of a number of bytes, and counts them.
func (s *configurationServer) spend(size int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.budget == nil || s.budget.Spend(s.now(), float64(size))
}

// update makes configuration the current one. The caller holds the mutex.
func (s *configurationServer) update(configuration []byte) {
	if len(configuration) == len(s.current.text) && (len(configuration) == 0 || &configuration[0] == &s.current.text[0]) {
		return
	}
	if s.current.digest != 0 {
		s.bases = append(s.bases, s.current)
		s.bases = s.bases[max(0, len(s.bases)-maxBases):]
	}
	s.current, s.zipped = version{configuration, digest(configuration)}, nil
	clear(s.encoded)
}

// encode returns the configuration in Zstandard format, and the digest of the base that is needed to decode it, or 0. Hosts that ask
// at the same time wait for the first one, so that each form is made once.
func (s *configurationServer) encode(configuration []byte, digestOfBase uint64) (data []byte, used uint64, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.update(configuration)
	if s.current.digest == 0 {
		return nil, 0, nil
	}
	base := s.find(digestOfBase)
	if data, ok := s.encoded[base.digest]; ok {
		return data, base.digest, nil
	}
	data, err = compressor.Compress(s.current.text, base.text)
	if err == nil {
		s.encoded[base.digest] = data
	}
	return data, base.digest, err
}

// find returns the current or a former configuration with a digest, or none. The caller holds the mutex.
func (s *configurationServer) find(digest uint64) version {
	if s.current.digest == digest {
		return s.current
	}
	for _, former := range s.bases {
		if former.digest == digest {
			return former
		}
	}
	return version{}
}

// zip returns the configuration in gzip format.
func (s *configurationServer) zip(configuration []byte) ([]byte, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.update(configuration)
	if s.current.digest == 0 || s.zipped != nil {
		return s.zipped, nil
	}
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(s.current.text); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	s.zipped = buffer.Bytes()
	return s.zipped, nil
}
