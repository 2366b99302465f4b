// Package storer is the client of the platform's object API, as described in docs/protocols.md.
//
// Its errors distinguish calls that certainly changed nothing from writes that may have taken effect. The client never
// repeats a write.
//
// # Usage
//
//	client := storer.New("http://127.0.0.1:9000", http.DefaultTransport)
//	object, err := client.Get(ctx, "config/service/shelf-marks")
//	version, err := client.Put(ctx, object.Name, value, storer.IfVersion(object.Version))
//	if storer.KindOf(err) == storer.Unknown {
//		// the write may have taken effect: read the object before the next write
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

// watchTimeout is the time without a line after which a watch fails. The store reports progress at least once a second,
// so the timeout tolerates two missing lines. TCP detects a store that disappeared only after minutes.
const watchTimeout = 2500 * time.Millisecond

// Kind classifies errors of this package.
type Kind int

// Kinds of errors.
const (
	NotFound    Kind = iota + 1
	Conflict         // the condition of a write failed; Error.Current is the present object
	Unavailable      // the call failed and has changed nothing
	Unknown          // no response was received: a write may have taken effect
	Compacted        // the revision of a watch was compacted: list again and watch from the new revision
	Invalid          // the store rejected the call; a retry would fail again
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

// Condition is a precondition of a write. The zero value permits every write.
type Condition struct {
	header, value string
}

// IfVersion permits a write only if the object has the given version.
func IfVersion(version uint64) Condition {
	return Condition{header: "If-Match", value: strconv.Quote(strconv.FormatUint(version, 10))}
}

// IfAbsent permits a write only if the object does not exist.
func IfAbsent() Condition {
	return Condition{header: "If-None-Match", value: "*"}
}

// Client is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the store at the base URL. It sets no timeouts, except that a watch fails after watchTimeout;
// callers set deadlines with their contexts.
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

// List reads all objects whose names start with prefix, and the revision at which they were read.
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

// Hosts reads the platform's list of hosts, which may be out of date.
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

// Watch calls report for each change of an object whose name starts with prefix after revision from. It returns when
// the connection fails, a line cannot be decoded, no line arrives for watchTimeout, or ctx is done, always with an
// error.
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
	lines.Buffer(nil, 2<<20) // fits a value of 1 MiB in base64
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
	// Without GetBody the transport cannot send a write again.
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

// missingResponseKind returns the kind of a call without a response. A write may have taken effect unless the
// connection was refused. A read changes nothing and is always Unavailable.
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
