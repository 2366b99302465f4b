package observer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	kindUpstream      = "RESOURCE_KIND_UPSTREAM"
	kindFailureDomain = "RESOURCE_KIND_FAILURE_DOMAIN"
)

// Outcome is the result of a change.
type Outcome int

// Outcomes of a change. Conflict means that the object no longer has the expected version. Other is any other error.
const (
	Accepted Outcome = iota
	Conflict
	InsufficientCapacity
	Other
)

// Rollout is the progress of a change: the number of hosts, and the number of hosts that have applied the change.
type Rollout struct {
	Hosts        int
	HostsApplied int
}

type wireChange struct {
	Name            string `json:"name"`
	Drained         *bool  `json:"drained,omitempty"`
	ExpectedVersion string `json:"expectedVersion"`
	OperationID     string `json:"operationId"`
}

// UpstreamVersion returns the version of the object of an upstream, according to the daemon at the address.
func UpstreamVersion(ctx context.Context, address, name string) (uint64, error) {
	return version(ctx, address, kindUpstream, name)
}

// FailureDomainVersion returns the version of the object of a failure domain, according to the daemon at the address.
func FailureDomainVersion(ctx context.Context, address, name string) (uint64, error) {
	return version(ctx, address, kindFailureDomain, name)
}

// Drain drains an upstream, or ends the drain if drained is false. The operation is an ID that Progress accepts.
func Drain(ctx context.Context, address, name string, drained bool, expected uint64, operation string) (Outcome, error) {
	return change(ctx, address, "DrainUpstream", wireChange{
		Name: name, Drained: &drained, ExpectedVersion: strconv.FormatUint(expected, 10), OperationID: operation,
	})
}

// TakeOut takes a failure domain out of service. The request is not forced, so it fails with InsufficientCapacity when
// the other domains cannot carry the load.
func TakeOut(ctx context.Context, address, name string, expected uint64, operation string) (Outcome, error) {
	return change(ctx, address, "TakeOutFailureDomain", wireChange{
		Name: name, ExpectedVersion: strconv.FormatUint(expected, 10), OperationID: operation,
	})
}

// Progress returns the rollout of the accepted change with the operation ID.
func Progress(ctx context.Context, address, operation string) (Rollout, error) {
	var response struct {
		Change struct {
			Rollout struct {
				Hosts        int `json:"hosts"`
				HostsApplied int `json:"hostsInForce"`
			} `json:"rollout"`
		} `json:"change"`
	}
	input := struct {
		OperationID string `json:"operationId"`
	}{OperationID: operation}
	err := call(ctx, address, "GetChange", input, &response)
	return Rollout(response.Change.Rollout), err
}

func version(ctx context.Context, address, kind, name string) (uint64, error) {
	input := struct {
		Kind string `json:"kind"`
		Name string `json:"name"`
	}{Kind: kind, Name: name}
	var response struct {
		Resource struct {
			Version string `json:"version"`
		} `json:"resource"`
	}
	if err := call(ctx, address, "GetResource", input, &response); err != nil {
		return 0, err
	}
	parsed, err := strconv.ParseUint(response.Resource.Version, 10, 64)
	return parsed, errors.Wrap(err, "observer: parse version of object")
}

func change(ctx context.Context, address, procedure string, wire wireChange) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	content, err := json.Marshal(wire)
	if err != nil {
		return Other, errors.Wrap(err, "observer: encode change")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+procedurePrefix+procedure, bytes.NewReader(content))
	if err != nil {
		return Other, errors.Wrap(err, "observer: create request for change")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Other, errors.Wrap(err, "observer: send change")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Other, errors.Wrap(err, "observer: read response to change")
	}
	return outcomeOf(response.StatusCode, body)
}

// outcomeOf decodes the response to a change. A response with any other error code is returned as an error.
func outcomeOf(status int, body []byte) (Outcome, error) {
	if status == http.StatusOK {
		return Accepted, nil
	}
	var failure struct {
		Code string `json:"code"`
	}
	if err := json.Unmarshal(body, &failure); err != nil {
		return Other, errors.Wrap(err, "observer: decode error response")
	}
	switch failure.Code {
	case "aborted":
		return Conflict, nil
	case "failed_precondition":
		return InsufficientCapacity, nil
	default:
		return Other, errors.Newf("observer: change failed with status %d: %s", status, strings.TrimSpace(string(body)))
	}
}
