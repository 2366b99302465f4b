// Package configurer writes host entries and configuration objects to the platform's store over its HTTP interface.
//
// Usage:
//
//	store := configurer.New("http://127.0.0.1:8500")
//	err := store.CreateService(ctx, configurer.Service{Name: "shelf-marks", Keyed: true})
//	err = store.SetTakenOut(ctx, "domain-a", true)
package configurer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const callTimeout = 5 * time.Second

// Host is an entry of the platform's host list.
type Host struct {
	Name          string
	Address       string
	FailureDomain string
}

// Service is the configuration of a service. A keyed service assigns each key to one upstream.
type Service struct {
	Name  string
	Keyed bool
}

// Upstream is the configuration of an upstream. Slots is the number of requests that it runs at the same time.
type Upstream struct {
	Name          string
	Service       string
	FailureDomain string
	Address       string
	Slots         int
	ChecksFence   bool
}

// Store is a client of the platform's store. It is safe for concurrent use.
type Store struct {
	base   string
	client *http.Client
}

// New returns a client of the platform at the base URL. Each of its calls times out after 5 s.
func New(base string) *Store {
	return &Store{base: base, client: &http.Client{Timeout: callTimeout}}
}

// AddHost adds a host to the host list, in the state live.
func (s *Store) AddHost(ctx context.Context, host Host) error {
	_, err := s.call(ctx, http.MethodPut, "/v1/hosts/"+host.Name, encodeHost(host), nil, nil)
	return err
}

// RemoveHost removes a host from the host list.
func (s *Store) RemoveHost(ctx context.Context, name string) error {
	_, err := s.call(ctx, http.MethodDelete, "/v1/hosts/"+name, nil, nil, nil)
	return err
}

// CreateService writes the object of a service. It returns an error if the object exists.
func (s *Store) CreateService(ctx context.Context, service Service) error {
	return s.create(ctx, "config/service/"+service.Name, encodeService(service))
}

// CreateUpstream writes the object of an upstream. It returns an error if the object exists.
func (s *Store) CreateUpstream(ctx context.Context, upstream Upstream) error {
	return s.create(ctx, "config/upstream/"+upstream.Service+"."+upstream.Name, encodeUpstream(upstream))
}

// CreateFailureDomain writes the object of a failure domain that is in service. It returns an error if the object
// exists.
func (s *Store) CreateFailureDomain(ctx context.Context, name string) error {
	return s.create(ctx, failureDomainName(name), encodeFailureDomain(name, false))
}

// SetTakenOut takes a failure domain out of service, or returns it to service, by an update of the current version.
func (s *Store) SetTakenOut(ctx context.Context, name string, takenOut bool) error {
	version, err := s.FailureDomainVersion(ctx, name)
	if err != nil {
		return err
	}
	return s.PutTakenOut(ctx, name, takenOut, version)
}

// FailureDomainVersion returns the current version of the object of a failure domain, for use with PutTakenOut.
func (s *Store) FailureDomainVersion(ctx context.Context, name string) (uint64, error) {
	var current struct {
		Version uint64 `json:"version"`
	}
	_, err := s.call(ctx, http.MethodGet, "/v1/objects/"+failureDomainName(name), nil, nil, &current)
	return current.Version, err
}

// PutTakenOut takes a failure domain out of service, or returns it to service. It returns an error if the object no
// longer has the given version.
func (s *Store) PutTakenOut(ctx context.Context, name string, takenOut bool, version uint64) error {
	match := http.Header{"If-Match": {fmt.Sprintf(`"%d"`, version)}}
	_, err := s.call(ctx, http.MethodPut, "/v1/objects/"+failureDomainName(name), encodeFailureDomain(name, takenOut), match, nil)
	return err
}

func (s *Store) create(ctx context.Context, name string, body any) error {
	_, err := s.call(ctx, http.MethodPut, "/v1/objects/"+name, body, http.Header{"If-None-Match": {"*"}}, nil)
	return err
}

// call sends a request and decodes the response into output unless that is nil. A status other than 200 is returned
// together with an error.
func (s *Store) call(ctx context.Context, method, path string, body any, header http.Header, output any) (int, error) {
	var content []byte
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, errors.Wrap(err, "configurer: encode request body")
		}
		content = encoded
	}
	request, err := http.NewRequestWithContext(ctx, method, s.base+path, bytes.NewReader(content))
	if err != nil {
		return 0, errors.Wrap(err, "configurer: create request")
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "configurer: send request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, errors.Newf("configurer: %s %s: status %s", method, path, response.Status)
	}
	if output == nil {
		return response.StatusCode, nil
	}
	return response.StatusCode, errors.Wrap(json.NewDecoder(response.Body).Decode(output), "configurer: decode response")
}
