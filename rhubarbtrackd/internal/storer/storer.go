// Package storer is the client of the platform's object API, as described in docs/protocols.md.
//
// # Usage
//
//	client := storer.New("http://127.0.0.1:9000", http.DefaultTransport)
//	object, err := client.Get(ctx, "config/service/shelf-marks")
//	version, err := client.Put(ctx, object.Name, value, storer.IfVersion(object.Version))
//	if storer.KindOf(err) == storer.Unknown {
//		// the write may have taken effect: read back before anything else
//	}
package storer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// watchTimeout is the silence after which a watch counts as broken. The store reports progress at least once a second, so
// two lines may be late. A connection to a store that vanished is noticed by TCP only after minutes.
const watchTimeout = 2500 * time.Millisecond

// Kind classifies errors of this package.
type Kind int

// Kinds of errors.
const (
	NotFound    Kind = iota + 1
	Conflict         // the condition of a write failed; Error.Current is the object
	Unavailable      // the store did not take the call: nothing has changed
	Unknown          // the answer was lost: a write may have taken effect
	Compacted        // a watch must start from a new listing
	Invalid          // the store refused the call, repeating it is useless
)

// Error is the error type of this package.
type Error struct {
	Op      string
	Kind    Kind
	Current Object
	Err     error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error of this package, or 0.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// Object is one versioned value of the store.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// Host is an entry of the platform's host list.
type Host struct {
	Name          string
	Address       string
	FailureDomain string
	Leaving       bool
}

// Change is one event of a watch. A change without a name only reports progress up to Version.
type Change struct {
	Object
	Deleted bool
}

// Condition restricts a write.
type Condition struct {
	header, value string
}

// IfVersion lets a write take effect only while the object has the given version.
func IfVersion(version uint64) Condition {
	return Condition{header: "If-Match", value: strconv.Quote(strconv.FormatUint(version, 10))}
}

// IfAbsent lets a write take effect only while the object does not exist.
func IfAbsent() Condition {
	return Condition{header: "If-None-Match", value: "*"}
}

// Client is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the store at the base URL. Deadlines come from the contexts of the calls.
func New(base string, transport http.RoundTripper) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport}}
}

type wireObject struct {
	Type    string `json:"type"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

func (w wireObject) object() Object {
	return Object{Name: w.Name, Version: w.Version, Value: w.Value}
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	var wire wireObject
	if err := c.call(ctx, "get "+name, http.MethodGet, "/v1/objects/"+name, nil, nil, &wire); err != nil {
		return Object{}, err
	}
	return wire.object(), nil
}

// List reads all objects whose names start with prefix, and the revision that the listing shows.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	var wire struct {
		Revision uint64       `json:"revision"`
		Objects  []wireObject `json:"objects"`
	}
	path := "/v1/objects?prefix=" + url.QueryEscape(prefix)
	if err := c.call(ctx, "list "+prefix, http.MethodGet, path, nil, nil, &wire); err != nil {
		return nil, 0, err
	}
	objects := make([]Object, len(wire.Objects))
	for i, object := range wire.Objects {
		objects[i] = object.object()
	}
	return objects, wire.Revision, nil
}

// Put writes an object under a condition and returns its new version.
func (c *Client) Put(ctx context.Context, name string, value []byte, condition Condition) (uint64, error) {
	var wire wireObject
	err := c.call(ctx, "put "+name, http.MethodPut, "/v1/objects/"+name, value, &condition, &wire)
	return wire.Version, err
}

// Delete removes an object under a condition and returns the version of the deletion.
func (c *Client) Delete(ctx context.Context, name string, condition Condition) (uint64, error) {
	var wire wireObject
	err := c.call(ctx, "delete "+name, http.MethodDelete, "/v1/objects/"+name, nil, &condition, &wire)
	return wire.Version, err
}

// Hosts reads the platform's list of hosts, which lags behind the truth.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var wire struct {
		Hosts []struct {
			Name          string `json:"name"`
			Address       string `json:"address"`
			FailureDomain string `json:"failure-domain"`
			State         string `json:"state"`
		} `json:"hosts"`
	}
	if err := c.call(ctx, "list hosts", http.MethodGet, "/v1/hosts", nil, nil, &wire); err != nil {
		return nil, err
	}
	hosts := make([]Host, len(wire.Hosts))
	for i, host := range wire.Hosts {
		hosts[i] = Host{
			Name:          host.Name,
			Address:       host.Address,
			FailureDomain: host.FailureDomain,
			Leaving:       host.State == "leaving",
		}
	}
	return hosts, nil
}

// Watch reports all changes below prefix after a revision until the connection ends, the store is silent or ctx is done.
// It always returns an error.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64, report func(Change)) error {
	op := "watch " + prefix
	path := fmt.Sprintf("/v1/watch?prefix=%s&from=%d", url.QueryEscape(prefix), from)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(watchTimeout, cancel)
	defer watchdog.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return &Error{Op: op, Kind: Invalid, Err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &Error{Op: op, Kind: Unavailable, Err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusError(op, http.MethodGet, response)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, 2<<20) // a value of 1 MiB in base64
	for lines.Scan() {
		watchdog.Reset(watchTimeout)
		var wire wireObject
		if err := json.Unmarshal(lines.Bytes(), &wire); err != nil {
			return &Error{Op: op, Kind: Unavailable, Err: errors.Wrap(err, "decode change")}
		}
		report(Change{Object: wire.object(), Deleted: wire.Type == "delete"})
	}
	cause := lines.Err()
	if cause == nil {
		cause = io.ErrUnexpectedEOF
	}
	return &Error{Op: op, Kind: Unavailable, Err: cause}
}

func (c *Client) call(ctx context.Context, op, method, path string, body []byte, condition *Condition, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Op: op, Kind: Invalid, Err: err}
	}
	// Without GetBody the transport never sends a write again by itself.
	request.GetBody = nil
	if condition != nil && condition.header != "" {
		request.Header.Set(condition.header, condition.value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &Error{Op: op, Kind: missingResponseKind(method, err), Err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusError(op, method, response)
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return &Error{Op: op, Kind: missingResponseKind(method, err), Err: errors.Wrap(err, "decode answer")}
	}
	return nil
}

// missingResponseKind tells a call that was never sent from one whose answer is missing. Reads change nothing, so they are always
// just unavailable.
func missingResponseKind(method string, err error) Kind {
	if method == http.MethodGet || errors.Is(err, syscall.ECONNREFUSED) {
		return Unavailable
	}
	return Unknown
}

func statusError(op, method string, response *http.Response) error {
	e := &Error{Op: op, Err: errors.Newf("status %d", response.StatusCode)}
	switch response.StatusCode {
	case http.StatusNotFound:
		e.Kind = NotFound
	case http.StatusPreconditionFailed:
		e.Kind = Conflict
		var wire wireObject
		if err := json.NewDecoder(response.Body).Decode(&wire); err == nil {
			e.Current = wire.object()
		}
	case http.StatusGone:
		e.Kind = Compacted
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		e.Kind = Unavailable
	default:
		e.Kind = Invalid
		if response.StatusCode >= http.StatusInternalServerError {
			e.Kind = missingResponseKind(method, nil)
		}
	}
	return e
}
