// Package observer reads the state of the system, and changes upstreams and failure domains, through the operator
// service of a daemon. It uses the JSON encoding of the Connect protocol.
//
// Usage:
//
//	host, err := observer.Controller(ctx, "127.0.0.1:7480", "shelf-marks")
//	owners, err := observer.Owners(ctx, "127.0.0.1:7480", "shelf-marks")
package observer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	callTimeout     = 2 * time.Second
	procedurePrefix = "/rhubarbtrack.v1.OperatorService/"
	roleController  = "ROLE_KIND_CONTROLLER"
)

type wireHosts struct {
	Hosts []struct {
		Name  string `json:"name"`
		Roles []struct {
			Kind    string `json:"kind"`
			Subject string `json:"subject"`
		} `json:"roles"`
	} `json:"hosts"`
}

type wireSlices struct {
	Slices []struct {
		ID    uint32 `json:"id"`
		Owner string `json:"owner"`
	} `json:"slices"`
}

// Controller returns the name of the host that controls the service, according to the daemon at the address. It returns
// an error if the daemon reports none.
func Controller(ctx context.Context, address, service string) (string, error) {
	var hosts wireHosts
	if err := call(ctx, address, "ListHosts", struct{}{}, &hosts); err != nil {
		return "", err
	}
	for _, host := range hosts.Hosts {
		for _, role := range host.Roles {
			if role.Kind == roleController && role.Subject == service {
				return host.Name, nil
			}
		}
	}
	return "", errors.Newf("observer: no host reports to control service %s", service)
}

// Owners returns the owner of each slice of the service by the ID of the slice, according to the daemon at the address.
func Owners(ctx context.Context, address, service string) (map[uint32]string, error) {
	var slices wireSlices
	input := struct {
		Service string `json:"service"`
	}{Service: service}
	if err := call(ctx, address, "ListSlices", input, &slices); err != nil {
		return nil, err
	}
	owners := map[uint32]string{}
	for _, slice := range slices.Slices {
		owners[slice.ID] = slice.Owner
	}
	return owners, nil
}

func call(ctx context.Context, address, procedure string, input, output any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	content, err := json.Marshal(input)
	if err != nil {
		return errors.Wrap(err, "observer: encode request body")
	}
	url := "http://" + address + procedurePrefix + procedure
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(content))
	if err != nil {
		return errors.Wrap(err, "observer: create request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "observer: send request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("observer: call %s: status %s", procedure, response.Status)
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(output), "observer: decode response")
}
